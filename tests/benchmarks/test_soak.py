import unittest
from collections import Counter
from types import SimpleNamespace

from aiohttp import web

from bench.promises import CONFIGURATION_APPLY_BOUND_S, InvariantChecker
from bench.soak import SoakRun
from standins.deployment import open_client
from standins.link import Link

SECONDS = 8.0
WHOLE = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))


class PromiseTests(unittest.TestCase):
    """Each promise can be found broken."""

    def setUp(self):
        self.checker = InvariantChecker()

    def list_broken(self):
        return [violation.invariant for violation in self.checker.violations]

    def test_answers(self):
        """Answers of other requests and streams with gaps are found."""
        cases = {
            "own": ("read", b"GET q1", []),
            "another's": ("read", b"GET q2", ["own answers"]),
            "whole": ("stream", WHOLE, []),
            "cut": ("model", WHOLE[:-14], ["whole streams in order"]),
            "twice": ("stream", WHOLE + WHOLE, ["whole streams in order"]),
        }
        for name, (kind, body, broken) in cases.items():
            with self.subTest(name):
                self.checker = InvariantChecker()
                self.checker.check_response("q1", kind, 200, body)
                self.assertEqual(self.list_broken(), broken)

    def test_reads(self):
        """A version that was overtaken longer ago than the bound is found."""
        self.checker.confirmed_versions = [(0.0, 3), (10.0, 5)]
        cases = {
            "newest": (20.0, 5, []),
            "not yet due": (10.0 + CONFIGURATION_APPLY_BOUND_S / 2, 3, []),
            "old": (20.0, 3, ["no configuration goes back"]),
        }
        for name, (sent_at, version, broken) in cases.items():
            with self.subTest(name):
                self.checker.violations.clear()
                self.checker.check_version(sent_at, version, "c1")
                self.assertEqual(self.list_broken(), broken)

    def test_runs(self):
        """Runs of one request at two servers and false refusals are found."""
        servers = [
            SimpleNamespace(run_counts=Counter(a=1, b=1)),
            SimpleNamespace(run_counts=Counter(a=1)),
        ]
        self.checker.at_most_once = {"a", "b", "c"}
        self.checker.refused = {"b", "c"}
        self.checker.check_executions(servers)
        self.assertEqual(self.list_broken(), ["at most once", "true refusals"])


class RecoveryTests(unittest.IsolatedAsyncioTestCase):
    """Whether entries serve is found out on connections of its own."""

    async def asyncSetUp(self):
        app = web.Application()
        app.router.add_get("/read/x", self.answer)
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

    async def answer(self, request):
        return web.Response(text=request.headers["Carobspring-Attempt-Id"])

    async def test_callers_silent_connections_do_not_count(self):
        """Connections that faults silenced say nothing of the entries.

        Each costs a caller its whole patience, and five in turn more than
        the time in which service has to be back.
        """
        soak = SoakRun(seed=1, seconds=0.0, processes=7)
        soak._links = self.links
        instances = [SimpleNamespace(name=name) for name in self.links]
        soak._instances = SimpleNamespace(instances=instances)
        async with open_client(50) as client:
            for name in self.links:
                await soak._call(client, name, "read")
            for link in self.links.values():
                link.silence_connections()
            await soak._wait_until_serving()
        self.assertEqual(soak.checker.violations, [])


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_short_run(self):
        """A few seconds of faults break no promise."""
        checker = await SoakRun(seed=1, seconds=SECONDS, processes=7).run()
        self.assertEqual(checker.violations, [])
        self.assertGreater(checker.status_counts[200], 0)
