import asyncio
import unittest

from carobspring.dispatch import StopSchedule
from carobspring.domain.routes import KeyOwner, RoutingTable
from carobspring.gateway import GatewayState
from tests.gateway.fakes import RESPONSE_HEADERS, FakeResponder, GatewayHarness

SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
OWNERS = (KeyOwner(name="acme", keys=("k1",), priority=1),)


class GatewayApiTests(unittest.IsolatedAsyncioTestCase):
    async def test_route_and_key(self):
        """Only requests with a route and a valid key reach a server."""
        key = ("Authorization", "Bearer k1")
        cases = {
            "allowed": ({"owners": OWNERS}, "/a/x", (key,), 200, 1),
            "no route": ({"owners": OWNERS}, "/b/x", (key,), 404, 0),
            "no key": ({"owners": OWNERS}, "/a/x", (), 401, 0),
            "unknown key": (
                {"owners": OWNERS},
                "/a/x",
                (("Authorization", "Bearer k2"),),
                401,
                0,
            ),
            "public": ({"owners": OWNERS, "public": True}, "/a/x", (), 200, 1),
            "no workspaces": ({}, "/a/x", (), 200, 1),
        }
        for name, (options, path, headers, status, sends) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([SUCCESS], **options)
                response = await gateway.call(path=path, headers=headers)
                self.assertEqual(response.status, status)
                self.assertEqual(gateway.count_requests(), {"s1": sends})

    async def test_unconfirmed_routes_deny_nothing(self):
        """Without a confirmed table, a request is refused only for now."""
        key = ("Authorization", "Bearer k1")
        wrong_key = ("Authorization", "Bearer k2")
        cases = {
            "known route": ("/a/x", key, (200, None), 1),
            "no route": ("/b/x", key, (503, "0.300"), 0),
            "unknown key": ("/a/x", wrong_key, (503, "0.300"), 0),
        }
        for name, (path, header, expected, sends) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([SUCCESS], owners=OWNERS, confirmed=False)
                response = await gateway.call(path=path, headers=(header,))
                self.assertEqual((response.status, response.retry_after), expected)
                self.assertEqual(gateway.count_requests(), {"s1": sends})

    async def test_workspace_is_forwarded_without_the_key(self):
        """The server gets the workspace's name but never the key."""
        gateway = GatewayHarness([SUCCESS], owners=OWNERS)
        await gateway.call(headers=(("authorization", "bearer k1"),))
        headers = {k.lower(): v for k, v in gateway.clients["s1"].requests[0].headers}
        self.assertEqual(headers["carobspring-tenant"], "acme")
        self.assertNotIn("authorization", headers)

    async def test_requests_during_a_stop(self):
        """A stop takes what it can end, and refuses the rest unsent."""
        cases = {
            "ends in time": (10.0, 200, None, 1),
            "too late": (1.0, 503, "0.000", 0),
        }
        for name, (left_s, status, retry_after, sends) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([SUCCESS], timeout_ms=2000)
                now = asyncio.get_running_loop().time()
                schedule = StopSchedule(listens_until=now, ends_at=now + left_s)
                gateway.api.begin_stop(schedule)
                response = await gateway.call()
                self.assertEqual(
                    (response.status, response.retry_after), (status, retry_after)
                )
                self.assertEqual(gateway.count_requests(), {"s1": sends})

    async def test_known_durations_during_a_stop(self):
        """A request of a route that lately took little is taken in a stop."""
        gateway = GatewayHarness([SUCCESS, SUCCESS], timeout_ms=9000)
        await gateway.call()
        now = asyncio.get_running_loop().time()
        gateway.api.begin_stop(StopSchedule(listens_until=now + 2, ends_at=now + 5))
        self.assertEqual((await gateway.call()).status, 200)

    async def test_request_waits_for_the_first_table(self):
        """A request to a newly started entry waits for the routing table."""
        gateway = GatewayHarness([SUCCESS])
        table, gateway.state.table = gateway.state.table, None
        gateway.state._has_table.clear()
        call = asyncio.create_task(gateway.call())
        await asyncio.sleep(0.05)
        self.assertIs(call.done(), False)
        gateway.state.apply_table(table, 0.0)
        self.assertEqual((await call).status, 200)

    async def test_no_table_in_time(self):
        """Without a table in time, a request gets 503 with Retry-After."""
        gateway = GatewayHarness([SUCCESS])
        gateway.state.table = None
        gateway.state._has_table.clear()
        response = await gateway.call()
        self.assertEqual((response.status, response.retry_after), (503, "0.300"))
        self.assertEqual(gateway.count_requests(), {"s1": 0})

    async def test_caller_disconnected_before_the_start(self):
        """A request whose caller has already disconnected leaves no task."""
        gateway = GatewayHarness([asyncio.Event()])
        responder = FakeResponder()
        responder.disconnected.set()
        await asyncio.wait_for(gateway.call(responder=responder), 5)
        self.assertEqual(len(gateway.api.open_requests), 0)


class StateTests(unittest.TestCase):
    def test_older_table_is_not_applied(self):
        """An entry keeps the highest table version that it has received."""
        state = GatewayState()
        newer, older = (build_table(version) for version in (7, 6))
        results = [
            state.apply_table(newer, 1.0),
            state.apply_table(older, 2.0),
            state.apply_table(newer, 3.0),
        ]
        self.assertEqual(results, [True, False, False])
        self.assertEqual((state.table, state.table_applied_at), (newer, 1.0))

    def test_confirmation(self):
        """A confirmation counts for two heartbeats of a control stream."""
        state = GatewayState()
        state.apply_table(build_table(1), 9.0)
        before = state.is_confirmed(9.0)
        state.confirm_table(10.0)
        results = [state.is_confirmed(now) for now in (10.0, 12.0, 12.1)]
        self.assertEqual((before, results), (False, [True, True, False]))

    def test_readiness(self):
        """An entry is ready from its first table until it stops."""
        state = GatewayState()
        readiness = [state.is_ready]
        state.apply_table(build_table(1), 0.0)
        readiness.append(state.is_ready)
        state.begin_stop(1.0)
        readiness.append(state.is_ready)
        self.assertEqual(readiness, [False, True, False])


def build_table(version):
    return RoutingTable(version=version)
