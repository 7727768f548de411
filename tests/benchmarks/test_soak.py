import unittest
from collections import Counter
from types import SimpleNamespace

from aiohttp import web

from bench.promises import CONFIGURATION_APPLY_BOUND_S, InvariantChecker
from bench.soak import SoakRun
from standins.deployment import open_client
from standins.link import Link

SECONDS = 8.0
COMPLETE_STREAM = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))


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
        }
        for name, (kind, body, violated) in cases.items():
            with self.subTest(name):
                self.checker = InvariantChecker()
                self.checker.check_response("q1", kind, 200, body)
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
        return web.Response(text=request.headers["Carobspring-Attempt-Id"])

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
        """A few seconds of faults violate no invariant."""
        checker = await SoakRun(seed=1, seconds=SECONDS, processes=7).run()
        self.assertEqual(checker.violations, [])
        self.assertGreater(checker.status_counts[200], 0)
