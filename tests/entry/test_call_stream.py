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
from tests.entry.fakes import SECRET, FakeAgent, build_response_events

BODY = b"0123456789"
RAN = CallEnd(run_status=RunStatus.RAN)
LIMITS = StreamLimits(silence_timeout_s=0.3, resume_attempts=2, resume_delay_s=0.01)


class RecordingObserver(ConnectionObserver):
    """Records the zones to which round trips were measured."""

    def __init__(self, zones):
        self._zones = zones

    def record_round_trip(self, server, round_trip_ms):
        """Record the zone."""
        self._zones.append(server.zone)

    def record_broken_stream(self, server):
        """Ignore a broken stream."""


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
        """Return a stream reader that records the zones it measures."""
        return CallStreamReader(
            pool=self.pool,
            limits=limits,
            observer=RecordingObserver(self.zones),
        )

    async def read_call(self):
        """Run call c1 to its end and return the end."""

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

    async def send_rest(self, request, send):
        """Send the head again and the data from the requested offset."""
        await send(CallEvent(head=ResponseHead(status=200)))
        await send(CallEvent(data=BODY[request.offset :], offset=request.offset))
        await send(CallEvent(end=RAN, offset=len(BODY)))

    def break_after(self, events):
        """Make the run's stream send these events, then nothing more."""

        async def send_some(request, send):
            for event in events:
                await send(event)
            await asyncio.Event().wait()

        self.agent.on_run = send_some
        self.agent.on_resume = self.send_rest

    async def test_broken_streams_are_resumed_at_the_offset(self):
        """The response is complete, with each byte once, after any fault."""
        head = CallEvent(head=ResponseHead(status=200))
        start = CallEvent(data=BODY[:4], offset=0)
        cases = {
            "silent from the start": [],
            "silent after the head": [head],
            "silent within the response": [head, start],
            "a gap in the bytes": [head, start, CallEvent(data=b"9", offset=9)],
            "end before the last bytes": [head, start, CallEvent(end=RAN, offset=10)],
            "end of a shorter response": [head, start, CallEvent(end=RAN, offset=3)],
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
                end = await self.read_call()
                self.assertEqual(
                    (end, self.statuses, self.data), (RAN, [200], BODY), name
                )
                self.assertEqual(self.agent.resumes[-1].call_id, "c1")

    async def test_duplicates_are_dropped(self):
        """Duplicate or overlapping data is delivered once."""
        events = build_response_events(BODY)
        twice = [event for event in events[:-1] for _ in range(2)] + events[-1:]
        overlap = CallEvent(data=BODY[2:7], offset=2)
        self.agent.script = [*twice[:6], overlap, *twice[6:]]
        end = await self.read_call()
        self.assertEqual((end, self.statuses, self.data), (RAN, [200], BODY))
        self.assertGreater(self.progress.duplicates, 0)
        self.assertEqual(self.zones, ["z1"])

    async def test_end_of_stream_is_not_end_of_call(self):
        """A stream that closes without an end event is resumed."""
        self.agent.script = build_response_events(BODY)[:-1]
        self.agent.on_resume = self.send_rest
        end = await self.read_call()
        self.assertEqual((end, self.data), (RAN, BODY))
        self.assertEqual([resume.offset for resume in self.agent.resumes], [10])

    async def test_call_ends_even_if_stream_stays_open(self):
        """A call ends with its end event even if the stream stays open."""
        self.break_after(build_response_events(BODY))
        async with asyncio.timeout(60):
            end = await self.read_call()
        got = (end, self.data, self.agent.resumes)
        self.assertEqual(got, (RAN, BODY, []))

    async def test_heartbeats_keep_an_idle_call_open(self):
        """A call that sends only heartbeats doesn't time out."""

        async def send_heartbeats(request, send):
            for _ in range(8):
                await send(CallEvent())
                await asyncio.sleep(0.1)
            await self.agent.send_script(request, send)

        self.agent.on_run = send_heartbeats
        self.agent.on_resume = send_heartbeats
        end = await self.read_call()
        self.assertEqual((end, self.data), (RAN, b'{"id": "x"}'))

    async def test_lost_agent_is_unknown(self):
        """A call at an agent that stays silent ends as UNKNOWN."""

        async def stay_silent(request, send):
            await asyncio.Event().wait()

        self.agent.on_run = stay_silent
        self.agent.on_resume = stay_silent
        end = await self.read_call()
        lost = CallEnd(run_status=RunStatus.UNKNOWN, reason="agent_lost")
        self.assertEqual(end, lost)
        self.assertEqual(len(self.agent.resumes), LIMITS.resume_attempts)

    async def test_refused_connection_is_not_run(self):
        """A call that was never sent ends as NOT_RUN."""
        self.agent.stop()
        end = await self.read_call()
        not_sent = CallEnd(run_status=RunStatus.NOT_RUN, reason="unreachable")
        self.assertEqual((end, self.zones), (not_sent, []))

    async def test_not_run_after_a_part_of_the_response_is_unknown(self):
        """A call whose response has begun is never taken for not run."""
        not_run = CallEnd(run_status=RunStatus.NOT_RUN, reason="past")
        unknown = CallEnd(run_status=RunStatus.UNKNOWN, reason="denied_after_start")
        head = CallEvent(head=ResponseHead(status=200))
        start = CallEvent(data=BODY[:4], offset=0)
        cases = {
            "heartbeat": ([CallEvent()], not_run),
            "head": ([head], unknown),
            "data": ([head, start], unknown),
        }
        for name, (events, expected) in cases.items():
            for is_resumed in (False, True):
                with self.subTest(name, is_resumed=is_resumed):
                    self.progress = CallProgress(call_id="c1")
                    self.break_after(events)
                    if not is_resumed:
                        offset = sum(len(event.data) for event in events)
                        end = CallEvent(end=not_run, offset=offset)
                        self.break_after([*events, end])

                    async def deny(request, send):
                        await send(CallEvent(end=not_run, offset=request.offset))

                    self.agent.on_resume = deny
                    self.assertEqual(await self.read_call(), expected)

    async def test_refused_after_sending_is_unknown(self):
        """A call whose agent stopped after receiving it ends as UNKNOWN."""

        async def stop_agent(request, send):
            await send(CallEvent())
            self.agent.stop()
            await asyncio.Event().wait()

        self.agent.on_run = stop_agent
        end = await self.read_call()
        self.assertEqual(end.run_status, RunStatus.UNKNOWN)

    async def test_silent_connection_is_not_reused(self):
        """After a timeout, new streams use another connection."""
        self.break_after([])
        server = self.agent.describe()
        with self.pool.acquire(server) as before:
            await self.read_call()
            with self.pool.acquire(server) as after:
                self.assertIsNot(after, before)
                self.assertIs(before.retired, True)

    async def test_stalled_caller_does_not_block_others(self):
        """A caller that reads nothing doesn't block others on a connection."""
        slow = replace(LIMITS, silence_timeout_s=60.0)
        self.stream_reader = self.build_stream_reader(slow)
        stalled = asyncio.Event()

        async def send_large_response(request, send):
            if len(self.agent.runs) > 1:
                await self.agent.send_script(request, send)
                return
            for number in range(256):
                chunk = bytes(64 * 1024)
                await send(CallEvent(data=chunk, offset=number * len(chunk)))

        async def read_nothing(event):
            stalled.set()
            await asyncio.Event().wait()

        self.agent.on_run = send_large_response
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
        # Long enough for the response to fill every flow-control window.
        await asyncio.sleep(0.5)
        async with asyncio.timeout(60):
            self.assertEqual(await self.read_call(), RAN)
        task.cancel()

    async def test_more_calls_than_streams_of_a_connection(self):
        """Calls beyond the stream limit of a connection don't wait."""
        proceed = asyncio.Event()

        async def hold(request, send):
            await proceed.wait()
            await self.agent.send_script(request, send)

        self.agent.on_run = hold
        slow = replace(LIMITS, silence_timeout_s=60.0)
        self.stream_reader = self.build_stream_reader(slow)
        calls = [asyncio.ensure_future(self.read_call()) for _ in range(130)]
        async with asyncio.timeout(60):
            while len(self.agent.runs) < 130:
                await asyncio.sleep(0.01)
        proceed.set()
        ends = await asyncio.gather(*calls)
        self.assertEqual(set(ends), {RAN})
