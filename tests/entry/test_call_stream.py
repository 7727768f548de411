import asyncio
import unittest
from dataclasses import replace

from carobspring.adapters.rpc import open_channel
from carobspring.domain import RunStatus
from carobspring.entry import (
    CallProgress,
    CallStreamReader,
    ChannelPool,
    ConnectionObserver,
    StreamLimits,
)
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, RunCall
from tests.entry.fakes import SECRET, FakeAgent, build_answer

BODY = b"0123456789"
RAN = CallEnd(run_status=RunStatus.RAN)
LIMITS = StreamLimits(silence_timeout_s=0.3, resume_attempts=2, resume_pause_s=0.01)


class RecordingObserver(ConnectionObserver):
    """Keeps the zones that round trips were measured to."""

    def __init__(self, zones):
        self._zones = zones

    def record_round_trip(self, server, round_trip_ms):
        """Keep the zone."""
        self._zones.append(server.zone)

    def record_broken_stream(self, server):
        """Take a broken stream."""


class CallStreamReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        """Start one fake agent."""
        self.agent = await FakeAgent("r1").start()
        self.pool = ChannelPool(
            lambda host, port: open_channel(host=host, port=port, secret=SECRET)
        )
        self.zones = []
        self.stream_reader = self.build_stream_reader(LIMITS)
        self.progress = CallProgress(call_id="c1")
        self.statuses = []
        self.data = b""

    async def asyncTearDown(self):
        """Stop the agent."""
        self.pool.close()
        self.agent.stop()

    def build_stream_reader(self, limits):
        """Return a follower that keeps the zones it measured."""
        return CallStreamReader(
            pool=self.pool,
            limits=limits,
            observer=RecordingObserver(self.zones),
        )

    async def follow(self):
        """Run call c1 and return its end."""

        async def deliver(event):
            if event.head is not None:
                self.statuses.append(event.head.status)
            self.data += event.data

        server = self.agent.describe()
        run = RunCall(
            call_id="c1",
            boot=1,
            workspace="shop-a",
            service_class="chat",
            method="POST",
            path="/x",
        )
        return await self.stream_reader.read_to_end(server, run, deliver, self.progress)

    async def play_rest(self, request, send):
        """Answer a resume from its offset, with the head again."""
        await send(CallEvent(head=ResponseHead(status=200)))
        await send(CallEvent(data=BODY[request.offset :], offset=request.offset))
        await send(CallEvent(end=RAN, offset=len(BODY)))

    def break_after(self, events):
        """Let the run's stream send these, then stay silent for good."""

        async def send_some(request, send):
            for event in events:
                await send(event)
            await asyncio.Event().wait()

        self.agent.on_run = send_some
        self.agent.on_resume = self.play_rest

    async def test_broken_streams_are_resumed_at_the_offset(self):
        """Whatever a stream loses, the answer comes whole, each byte once."""
        head = CallEvent(head=ResponseHead(status=200))
        start = CallEvent(data=BODY[:4], offset=0)
        cases = {
            "silent from the start": [],
            "silent after the head": [head],
            "silent in mid-answer": [head, start],
            "a gap in the bytes": [head, start, CallEvent(data=b"9", offset=9)],
            "end before the last bytes": [head, start, CallEvent(end=RAN, offset=10)],
            "an event of another call": [
                head,
                start,
                CallEvent(data=b"zz", offset=4, call_id="c2"),
            ],
            "the end of another call": [
                head,
                start,
                CallEvent(end=RAN, offset=4, call_id="c2"),
            ],
        }
        for name, events in cases.items():
            with self.subTest(name):
                self.statuses, self.data = [], b""
                self.progress = CallProgress(call_id="c1")
                self.break_after(events)
                end = await self.follow()
                self.assertEqual(
                    (end, self.statuses, self.data), (RAN, [200], BODY), name
                )
                self.assertEqual(self.agent.resumes[-1].call_id, "c1")

    async def test_duplicates_are_dropped(self):
        """Events that come twice, or overlap, are delivered once."""
        events = build_answer(BODY)
        twice = [event for event in events[:-1] for _ in range(2)] + events[-1:]
        overlap = CallEvent(data=BODY[2:7], offset=2)
        self.agent.script = [*twice[:6], overlap, *twice[6:]]
        end = await self.follow()
        self.assertEqual((end, self.statuses, self.data), (RAN, [200], BODY))
        self.assertGreater(self.progress.duplicates, 0)
        self.assertEqual(self.zones, ["z1"])

    async def test_end_of_stream_is_no_end_of_call(self):
        """A stream that closes without an end event is resumed."""
        self.agent.script = build_answer(BODY)[:-1]
        self.agent.on_resume = self.play_rest
        end = await self.follow()
        self.assertEqual((end, self.data), (RAN, BODY))
        self.assertEqual([resume.offset for resume in self.agent.resumes], [10])

    async def test_end_counts_though_the_stream_stays_open(self):
        """A call whose end came is over, whatever its stream does then."""
        self.break_after(build_answer(BODY))
        async with asyncio.timeout(60):
            end = await self.follow()
        got = (end, self.data, self.agent.resumes)
        self.assertEqual(got, (RAN, BODY, []))

    async def test_heartbeats_keep_a_quiet_call(self):
        """A call without output but with heartbeats is not given up."""

        async def beat(request, send):
            for _ in range(8):
                await send(CallEvent())
                await asyncio.sleep(0.1)
            await self.agent.play(request, send)

        self.agent.on_run = beat
        self.agent.on_resume = beat
        end = await self.follow()
        self.assertEqual((end, self.data), (RAN, b'{"id": "x"}'))

    async def test_lost_agent_is_unknown(self):
        """An agent that stays silent on every stream leaves UNKNOWN."""

        async def say_nothing(request, send):
            await asyncio.Event().wait()

        self.agent.on_run = say_nothing
        self.agent.on_resume = say_nothing
        end = await self.follow()
        lost = CallEnd(run_status=RunStatus.UNKNOWN, reason="agent_lost")
        self.assertEqual(end, lost)
        self.assertEqual(len(self.agent.resumes), LIMITS.resume_attempts)

    async def test_refused_connection_is_not_run(self):
        """A call that was never sent is known not to have run."""
        self.agent.stop()
        end = await self.follow()
        never = CallEnd(run_status=RunStatus.NOT_RUN, reason="unreachable")
        self.assertEqual((end, self.zones), (never, []))

    async def test_refused_after_sending_is_unknown(self):
        """A call whose agent died after it was sent may have run."""

        async def die(request, send):
            await send(CallEvent())
            self.agent.stop()
            await asyncio.Event().wait()

        self.agent.on_run = die
        end = await self.follow()
        self.assertEqual(end.run_status, RunStatus.UNKNOWN)

    async def test_silent_connection_is_given_to_no_new_stream(self):
        """After a silence new streams use another connection."""
        self.break_after([])
        server = self.agent.describe()
        with self.pool.acquire(server) as before:
            await self.follow()
            with self.pool.acquire(server) as after:
                self.assertIsNot(after, before)
                self.assertIs(before.retired, True)

    async def test_stalled_caller_holds_up_no_other(self):
        """A caller that reads nothing leaves its connection to others."""
        slow = replace(LIMITS, silence_timeout_s=60.0)
        self.stream_reader = self.build_stream_reader(slow)
        stalled = asyncio.Event()

        async def flood(request, send):
            if len(self.agent.runs) > 1:
                await self.agent.play(request, send)
                return
            for number in range(256):
                piece = bytes(64 * 1024)
                await send(CallEvent(data=piece, offset=number * len(piece)))

        async def read_nothing(event):
            stalled.set()
            await asyncio.Event().wait()

        self.agent.on_run = flood
        server = self.agent.describe()
        run = RunCall(
            call_id="c0",
            boot=1,
            workspace="shop-a",
            service_class="chat",
            method="POST",
            path="/x",
        )
        progress = CallProgress(call_id="c0")
        task = asyncio.ensure_future(
            self.stream_reader.read_to_end(server, run, read_nothing, progress)
        )
        await stalled.wait()
        # Enough for the flood to fill every window that it may fill.
        await asyncio.sleep(0.5)
        async with asyncio.timeout(60):
            self.assertEqual(await self.follow(), RAN)
        task.cancel()

    async def test_more_calls_than_streams_of_a_connection(self):
        """Calls beyond one connection's streams don't wait for them."""
        gate = asyncio.Event()

        async def hold(request, send):
            await gate.wait()
            await self.agent.play(request, send)

        self.agent.on_run = hold
        slow = replace(LIMITS, silence_timeout_s=60.0)
        self.stream_reader = self.build_stream_reader(slow)
        calls = [asyncio.ensure_future(self.follow()) for _ in range(130)]
        async with asyncio.timeout(60):
            while len(self.agent.runs) < 130:
                await asyncio.sleep(0.01)
        gate.set()
        ends = await asyncio.gather(*calls)
        self.assertEqual(set(ends), {RAN})
