import signal
import time
import unittest
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from aiohttp import web

from bench.promises import (
    CONFIGURATION_APPLY_BOUND_S,
    STREAM_EVENT_COUNT,
    Disruption,
    InvariantChecker,
    PlannedStop,
)
from bench.soak import SoakRun
from bench.stops import STOP_SERIES, send_stop_series
from standins.backend_server import Arrival, ServerRun
from standins.deployment import RunningProgram, open_client
from standins.events import StreamEvent
from standins.kept_caller import KeptResult
from standins.link import Link
from standins.resuming_caller import ResumedStream

#: Longer than a stop of an entry may last.
SECONDS = 20.0
EVENTS = [
    b"id: %d\ndata: %d v1\n\n" % (number, number)
    for number in range(1, STREAM_EVENT_COUNT + 1)
]
COMPLETE_STREAM = b"".join(EVENTS)


class InvariantTests(unittest.TestCase):
    """The checker detects a violation of each invariant."""

    def setUp(self):
        self.checker = InvariantChecker()

    def list_violated(self):
        return [violation.invariant for violation in self.checker.violations]

    def test_responses(self):
        """Responses to other requests and incomplete streams are detected."""
        cases = {
            "same request": ("read", b"GET q1", []),
            "other request": ("read", b"GET q2", ["responses match requests"]),
            "complete": ("stream", COMPLETE_STREAM, []),
            "truncated": ("model", COMPLETE_STREAM[:-14], ["complete ordered streams"]),
            "repeated": (
                "stream",
                COMPLETE_STREAM + COMPLETE_STREAM,
                ["complete ordered streams"],
            ),
            "half an event behind": (
                "stream",
                COMPLETE_STREAM + b"id: 21",
                ["complete ordered streams"],
            ),
            "foreign text": (
                "stream",
                b"data: error\n\n" + COMPLETE_STREAM,
                ["streams hold only their events"],
            ),
        }
        for name, (kind, body, violated) in cases.items():
            with self.subTest(name):
                self.checker = InvariantChecker()
                self.checker.check_response("q1", kind, 200, body)
                self.assertEqual(self.list_violated(), violated)

    def test_streams_that_break_off(self):
        """What a caller got of a broken stream is the begin of that stream."""
        cases = {
            "nothing": (b"", []),
            "some events": (EVENTS[0] + EVENTS[1], []),
            "part of an event": (EVENTS[0] + EVENTS[1][:9], []),
            "a gap": (
                EVENTS[0] + EVENTS[2],
                ["complete ordered streams"],
            ),
            "a repeat": (
                EVENTS[0] + EVENTS[0],
                ["complete ordered streams"],
            ),
            "a head": (
                EVENTS[0] + b"HTTP/1.1 500 Failed\r\n\r\nfailed\n\n",
                ["streams hold only their events"],
            ),
            "a text": (
                EVENTS[0] + b"failed",
                ["streams hold only their events"],
            ),
        }
        for name, (body, violated) in cases.items():
            with self.subTest(name):
                self.checker = InvariantChecker()
                self.checker.check_stream_text("q1", body, is_complete=False)
                self.assertEqual(self.list_violated(), violated)

    def test_receipts(self):
        """A success without the receipt for its request is detected."""
        violated = ["successes have receipts"]
        cases = {
            "receipt": (200, "i-1.q1", []),
            "no receipt": (200, "", violated),
            "another's receipt": (206, "i-1.q2", violated),
            "no success": (503, "", []),
        }
        for name, (status, signature, expected) in cases.items():
            with self.subTest(name):
                self.checker = InvariantChecker()
                self.checker.check_receipt("q1", status, signature)
                self.assertEqual(self.list_violated(), expected)

    def test_taken_up_streams(self):
        """Streams of two versions, or in disorder, are detected."""
        mixed = (1, "v1"), (2, "v2")
        cases = {
            # name: (streams of (number, version), whether complete, violated)
            "whole": (
                [[(n, "v1") for n in range(1, STREAM_EVENT_COUNT + 1)]],
                True,
                [],
            ),
            "cut": ([[(1, "v1"), (2, "v1")]], False, []),
            "not whole": ([[(1, "v1")]], True, ["complete ordered streams"]),
            "a gap": (
                [[(1, "v1"), (3, "v1")]],
                False,
                ["complete ordered streams"],
            ),
            "as many mixed as allowed": ([mixed] * 2, False, []),
            "mixed": ([mixed] * 3, False, ["streams keep their version"]),
        }
        for name, (streams, is_complete, violated) in cases.items():
            with self.subTest(name):
                self.checker = InvariantChecker()
                for events in streams:
                    stream = ResumedStream(is_complete=is_complete)
                    for number, version in events:
                        event = StreamEvent(number=number, version=version)
                        stream.events.append(event)
                    self.checker.check_stream(stream)
                self.checker.check_stream_versions()
                self.assertEqual(self.list_violated(), violated)

    def test_foreign_text_in_taken_up_streams(self):
        """Text that is no event, or of two servers, is detected."""
        joint = ResumedStream(other_bodies=[b"xx" + EVENTS[3]])
        cases = {
            "foreign": (
                ResumedStream(foreign=[b"failed"]),
                ["streams hold only their events"],
            ),
            "of one server": (ResumedStream(other_bodies=[b"xx", EVENTS[3]]), []),
            "of two servers": (joint, ["bodies come from one server"]),
        }
        for name, (stream, violated) in cases.items():
            with self.subTest(name):
                self.checker = InvariantChecker()
                self.checker.check_stream(stream)
                self.assertEqual(self.list_violated(), violated)

    def test_reads(self):
        """A version that is outdated for longer than the bound is detected."""
        self.checker.confirmed_versions = [(0.0, 3), (10.0, 5)]
        cases = {
            "newest": (20.0, 5, []),
            "within the bound": (10.0 + CONFIGURATION_APPLY_BOUND_S / 2, 3, []),
            "outdated": (20.0, 3, ["no outdated configuration"]),
        }
        for name, (sent_at, version, violated) in cases.items():
            with self.subTest(name):
                self.checker.violations.clear()
                self.checker.check_version(sent_at, version, "c1")
                self.assertEqual(self.list_violated(), violated)

    def test_denials(self):
        """A route denied after instances had their time is detected."""
        self.checker.confirmed_versions = [(0.0, 3), (10.0, 5)]
        bound = CONFIGURATION_APPLY_BOUND_S
        cases = {
            "within the bound": (10.0 + bound, 5, []),
            "too late": (10.1 + bound, 5, ["no confirmed route is denied"]),
            "never confirmed": (20.0, 4, []),
        }
        for name, (sent_at, version, violated) in cases.items():
            with self.subTest(name):
                self.checker.violations.clear()
                self.checker.check_denial(sent_at, version, "e1")
                self.assertEqual(self.list_violated(), violated)

    def test_runs(self):
        """Repeated runs and runs of refused requests are detected."""
        servers = [
            SimpleNamespace(run_counts=Counter(a=1, b=1)),
            SimpleNamespace(run_counts=Counter(a=1)),
        ]
        self.checker.at_most_once = {"a", "b", "c"}
        self.checker.refused = {"b", "c"}
        self.checker.check_executions(servers)
        self.assertEqual(
            self.list_violated(),
            ["at-most-once execution", "refused requests do not run"],
        )

    def build_server(self, times, *, body=b"", limit=None, crashes=(), name="q"):
        announced = {"Server-Limit": str(limit)} if limit else {}
        return SimpleNamespace(
            server_id="s1",
            crashes=[(at, body) for at in crashes],
            arrivals=[
                Arrival(
                    at=at, attempt_id=f"{name}{number}", body=body, announced=announced
                )
                for number, at in enumerate(times)
            ],
        )

    def test_crashing_requests(self):
        """More than three requests long after the third crash are detected."""
        cases = {
            "three after the third": (10.0, 3, []),
            "four after the third": (
                10.0,
                4,
                ["crashing requests are held back"],
            ),
            "four within the bound": (2.0, 4, []),
        }
        for name, (after_s, count, violated) in cases.items():
            with self.subTest(name):
                self.checker.violations.clear()
                crashes = (1.0, 2.0, 3.0)
                times = [*crashes, *(3.0 + after_s for _ in range(count))]
                server = self.build_server(times, body=b"x", crashes=crashes)
                self.checker.check_crashing_requests([server])
                self.assertEqual(self.list_violated(), violated)

    def test_crashing_parts(self):
        """The same holds for a part, from the fifth crash on."""
        cases = {
            "three after the fifth": (5, 3, []),
            "four after the fifth": (5, 4, ["crashing requests are held back"]),
            "four after the fourth": (4, 4, []),
        }
        for name, (crash_count, count, violated) in cases.items():
            with self.subTest(name):
                self.checker.violations.clear()
                crashes = [float(number) for number in range(crash_count)]
                times = [*crashes, *(20.0 for _ in range(count))]
                server = self.build_server(times, crashes=crashes)
                server.crashes = [(at, b"dead") for at in crashes]
                for number, arrival in enumerate(server.arrivals):
                    server.arrivals[number] = replace(
                        arrival, body=b"%d" % number, parts=("50d", "dead", "own")
                    )
                self.checker.check_crashing_requests([server])
                self.assertEqual(self.list_violated(), violated)

    def test_sound_parts(self):
        """A sound part that is not served in time is detected."""
        self.checker.check_sound_part("50d", 200)
        self.assertEqual(self.list_violated(), [])
        self.checker.check_sound_part("50d", 503)
        self.assertEqual(self.list_violated(), ["sound parts get free"])

    def test_repeats(self):
        """Repeats beyond the share and the slack of a window are detected."""
        cases = {
            "all allowed": (20, []),
            "one more": (21, ["retries within the budget"]),
        }
        for name, (repeats, violated) in cases.items():
            with self.subTest(name):
                self.checker.violations.clear()
                # Of four requests 0.8 may be repeated beside the slack.
                first = self.build_server([1.0] * 4)
                again = self.build_server([2.0] * repeats)
                for number, arrival in enumerate(again.arrivals):
                    again.arrivals[number] = replace(
                        arrival, attempt_id=f"q{number % 4}"
                    )
                self.checker.sent_requests = {f"q{n}": ("e", 1.0) for n in range(4)}
                self.checker.check_repeats("svc", [first, again])
                self.assertEqual(self.list_violated(), violated)

    def test_announced_limits(self):
        """Too many requests from entries that were told are detected."""
        violated = ["announced limits are kept"]
        frozen = [Disruption(entry="e", started_at=4.0, ended_at=9.9)]
        cases = {
            "within the limit": (1.0, 0.4, [], []),
            "beyond it": (1.0, 0.2, [], violated),
            "no limit": (None, 0.01, [], []),
            "by an entry that was frozen": (1.0, 0.02, frozen, []),
        }
        for name, (limit, interval_s, disruptions, expected) in cases.items():
            with self.subTest(name):
                self.checker.violations.clear()
                self.checker.disruptions = disruptions
                early = [0.0]
                times = early + [10.0 + n * interval_s for n in range(20)]
                server = self.build_server(times, limit=limit)
                self.checker.sent_requests = {f"q{n}": ("e", 0.0) for n in range(21)}
                self.checker.check_announced_limits([server])
                self.assertEqual(self.list_violated(), expected)


class NoticeTests(unittest.TestCase):
    """The checks of servers that ask for rest or say that they leave."""

    def check(self, check, arrivals, *, disruptions=(), unanswered=()):
        """Return what arrivals violate, given by time, entry and start.

        ``unanswered`` has the numbers of those whose server said nothing.
        """
        checker = InvariantChecker()
        checker.disruptions = list(disruptions)
        server = SimpleNamespace(server_id="s1", arrivals=[])
        for number, (at, entry, start, announced) in enumerate(arrivals):
            name = f"q{number}"
            checker.sent_requests[name] = (entry, at)
            server.arrivals.append(
                Arrival(
                    at=at,
                    attempt_id=name,
                    body=b"",
                    announced=announced,
                    started_at_ms=start,
                    is_rejected="Retry-After" in announced,
                    is_unanswered=number in unanswered,
                )
            )
        getattr(checker, check)([server])
        return [violation.invariant for violation in checker.violations]

    def test_rests(self):
        """More than two requests of an entry within a rest are detected."""
        rest = {"Retry-After": "3"}
        violated = ["rests are kept"]
        frozen = [Disruption(entry="e", started_at=0.5, ended_at=0.9)]
        cases = {
            "two": ([(1.0, "e", 1), (2.0, "e", 1)], (), []),
            "three": ([(1.0, "e", 1), (2.0, "e", 1), (2.9, "e", 1)], (), violated),
            "by another entry": ([(1.0, "f", 1)] * 5, (), []),
            "at a later start": ([(1.0, "e", 2)] * 5, (), []),
            "in the first half second": ([(0.4, "e", 1)] * 5, (), []),
            "after it": ([(3.1, "e", 1)] * 5, (), []),
            "by an entry that was frozen": ([(1.0, "e", 1)] * 5, frozen, []),
        }
        for name, (later, disruptions, expected) in cases.items():
            with self.subTest(name):
                arrivals = [(0.0, "e", 1, rest), *((*each, {}) for each in later)]
                found = self.check("check_rests", arrivals, disruptions=disruptions)
                self.assertEqual(found, expected)

    def test_leaving_servers(self):
        """A request sent too late to a leaving server is detected."""
        leaving = {"Server-Leaving": "1"}
        violated = ["leaving servers get nothing"]
        killed = [Disruption(entry="e", started_at=0.5, ended_at=0.9)]
        cases = {
            "in time": ((2.0, "e", 1), (), []),
            "late": ((2.1, "e", 1), (), violated),
            "by another entry": ((2.1, "f", 1), (), []),
            "at a later start": ((2.1, "e", 2), (), []),
            "by an entry that was killed": ((2.1, "e", 1), killed, []),
        }
        for name, (later, disruptions, expected) in cases.items():
            with self.subTest(name):
                arrivals = [(0.0, "e", 1, leaving), (*later, {})]
                found = self.check(
                    "check_leaving_servers", arrivals, disruptions=disruptions
                )
                self.assertEqual(found, expected)
        with self.subTest("nobody heard it"):
            arrivals = [(0.0, "e", 1, leaving), (2.1, "e", 1, leaving)]
            found = self.check("check_leaving_servers", arrivals, unanswered=(0,))
            self.assertEqual(found, [])
            arrivals.append((4.2, "e", 1, leaving))
            found = self.check("check_leaving_servers", arrivals, unanswered=(0,))
            self.assertEqual(found, violated)


class KeptRequestTests(unittest.TestCase):
    """The check of requests on connections that outlive a stop's begin.

    The entry gets its first stop signal at 100 s.
    """

    def check(
        self,
        *,
        sent_at=99.0,
        ended_at=104.0,
        run_until=104.0,
        status=0,
        is_sound=True,
        runs=1,
        adds_nothing=False,
        disruptions=(),
        stopped="e",
        count=1,
    ):
        """Return what equal requests by the entry "e" violate."""
        checker = InvariantChecker()
        checker.disruptions = [
            Disruption(entry=entry, started_at=start, ended_at=end, is_planned=planned)
            for entry, start, end, planned in disruptions
        ]
        checker.planned_stops = [
            PlannedStop(entry=stopped, signalled_at=50.0),
            PlannedStop(entry=stopped, signalled_at=100.0),
        ]
        server = SimpleNamespace(runs=[])
        for number in range(count):
            result = KeptResult(
                attempt_id=f"k{number}",
                path="/book/lasting/5",
                sent_at=sent_at,
                ended_at=ended_at,
                status=status,
                signature=f"i-1.k{number}" if status else "",
                body=b"POST k%d" % number,
            )
            checker.record_kept("e", result)
            server.runs += [
                ServerRun(
                    attempt_id=result.attempt_id,
                    started_at=sent_at + run,
                    ended_at=run_until,
                    # Only the last run counts.
                    is_sound=is_sound if run == runs - 1 else not is_sound,
                    adds_nothing=adds_nothing and run == runs - 1,
                )
                for run in range(runs)
            ]
        checker.check_kept_requests([server])
        return [violation.invariant for violation in checker.violations]

    def test_stops(self):
        """A request that a server got and a planned stop cuts is detected."""
        cut = ["planned stops cut nothing"]
        cases = {
            "cut": ({}, cut),
            "answered": ({"status": 200}, []),
            "refused": ({"status": 503, "runs": 0}, []),
            "never sent to a server": ({"runs": 0}, []),
            "broken off by its server": ({"is_sound": False}, []),
            "broken off once, then cut": ({"runs": 2}, cut),
            "cut once, then broken off": ({"runs": 2, "is_sound": False}, []),
            "broken off behind its last event": ({"runs": 2, "adds_nothing": True}, []),
            "sound, and one that adds nothing behind": (
                {"runs": 2, "adds_nothing": True, "is_sound": False},
                cut,
            ),
            "sent late": ({"sent_at": 103.1, "ended_at": 107.6}, cut),
            "at its deadline": ({"sent_at": 94.0}, []),
            "shortly before its deadline": ({"sent_at": 94.2}, cut),
            "at the end of the stop": ({"ended_at": 108.9, "sent_at": 103.1}, cut),
            "after the stop": ({"ended_at": 109.1, "sent_at": 103.1}, []),
            "of another entry's stop": ({"stopped": "f"}, []),
        }
        for name, (changes, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.check(**changes), expected)

    def test_work_near_the_end(self):
        """Work in the last sixth counts only if it was sent too late."""
        cut = ["planned stops cut nothing"]
        cases = {
            "sent in time, long": (102.9, 106.7, []),
            "sent in time, given up before": (102.9, 106.6, cut),
            "sent too late": (103.1, 107.5, cut),
        }
        for name, (sent_at, run_until, expected) in cases.items():
            with self.subTest(name):
                violated = self.check(
                    sent_at=sent_at, run_until=run_until, ended_at=107.6
                )
                self.assertEqual(violated, expected)

    def test_disruptions(self):
        """What else befell the instance near the request excuses the cut."""
        cut = ["planned stops cut nothing"]
        cases = {
            "unplanned": (("e", 103.0, 103.5, False), []),
            "shortly before": (("e", 90.0, 96.1, False), []),
            "long before": (("e", 90.0, 95.9, False), cut),
            "after it": (("e", 104.1, 105.0, False), cut),
            "planned": (("e", 100.0, 108.0, True), cut),
            "at another instance": (("f", 103.0, 103.5, False), cut),
        }
        for name, (disruption, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.check(disruptions=[disruption]), expected)

    def test_calm_times(self):
        """More than three requests cut outside of stops are detected."""
        calm = {"sent_at": 9.0, "ended_at": 10.0, "run_until": 10.0}
        self.assertEqual(self.check(count=3, **calm), [])
        self.assertEqual(self.check(count=4, **calm), ["kept connections are answered"])

    def test_responses(self):
        """What such a caller gets is checked like any response."""
        checker = InvariantChecker()
        whole = {"sent_at": 0.0, "ended_at": 1.0, "status": 200}
        results = {
            "unsigned": {"path": "/book/x", "body": b"POST unsigned", **whole},
            "foreign": {"path": "/stream/x", "body": b"x", "signature": "i.foreign"}
            | whole,
            "broken": {"path": "/stream/x", "body": b"x", "signature": "i.broken"}
            | whole
            | {"status": 0},
            "refused": {"path": "/book/x"} | whole | {"status": 503},
        }
        for name, values in results.items():
            checker.record_kept("e", KeptResult(attempt_id=name, **values))
        violated = [
            (each.invariant, each.detail.split(":")[0]) for each in checker.violations
        ]
        self.assertEqual(
            violated,
            [
                ("successes have receipts", "unsigned"),
                ("complete ordered streams", "foreign"),
                ("streams hold only their events", "foreign"),
                ("streams hold only their events", "broken"),
            ],
        )
        self.assertEqual(checker.refused, {"refused"})


class StopSeriesTests(unittest.IsolatedAsyncioTestCase):
    """Series of signals of planned stops."""

    async def test_signals(self):
        """Every program gets each signal in order, and what froze goes on."""
        for name, numbers in STOP_SERIES.items():
            with self.subTest(name):
                programs = [mock.Mock(spec=RunningProgram) for _ in range(2)]
                await send_stop_series(programs, numbers, lambda: 0.0)
                for program in programs:
                    sent = [call.args[0] for call in program.send_signal.mock_calls]
                    self.assertEqual(sent, list(numbers))
                suspended = numbers.count(signal.SIGSTOP)
                self.assertEqual(suspended, numbers.count(signal.SIGCONT))

    async def test_begin(self):
        """A stop begins at its first stop signal, not at a reload."""
        delays = iter((0.05, 0.05, 0.0))
        began_at = time.monotonic()
        stopped_at = await send_stop_series(
            [], STOP_SERIES["reload before"], lambda: next(delays)
        )
        self.assertGreaterEqual(stopped_at, began_at + 0.1)
        self.assertGreater(time.monotonic(), stopped_at)


class RecoveryTests(unittest.IsolatedAsyncioTestCase):
    """The check that every entry serves uses its own connections."""

    async def asyncSetUp(self):
        app = web.Application()
        app.router.add_get("/read/x", self.handle_read)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.links = {}
        for name in "abcde":
            link = Link(target_host="127.0.0.1", target_port=port)
            await link.start()
            self.addAsyncCleanup(link.close)
            self.links[name] = link

    async def handle_read(self, request):
        name = request.headers["Carobspring-Attempt-Id"]
        headers = {"Carobspring-Upstream-Signature": f"i-1.{name}"}
        return web.Response(text=name, headers=headers)

    async def test_silent_caller_connections(self):
        """Caller connections silenced by faults don't fail the check.

        A request on such a connection takes the full request timeout, and
        five in sequence take longer than the recovery bound.
        """
        soak = SoakRun(seed=1, seconds=0.0, processes=7)
        soak._links = self.links
        instances = [SimpleNamespace(name=name) for name in self.links]
        soak._instances = SimpleNamespace(entries=instances)
        async with open_client(50) as client:
            for name in self.links:
                await soak._call(client, name, "read")
            for link in self.links.values():
                link.silence_connections()
            await soak._wait_until_serving()
        self.assertEqual(soak.checker.violations, [])


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_short_run(self):
        """Some seconds of all kinds of faults violate no invariant."""
        checker = await SoakRun(seed=1, seconds=SECONDS, processes=7).run()
        self.assertEqual(checker.violations, [])
        played = {
            "responses": checker.status_counts[200],
            "planned stops": len(checker.planned_stops),
            "requests on kept connections": len(checker.kept_results),
            "odd continuations": checker.odd_response_count,
        }
        for name, count in played.items():
            with self.subTest(name):
                self.assertGreater(count, 0)
