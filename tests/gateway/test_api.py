import asyncio
import unittest

from carobspring.domain.routes import KeyOwner, RoutingTable
from carobspring.gateway import GatewayState
from tests.gateway.fakes import OWN, FakeResponder, Gateway

WHOLE = (200, OWN, [b"answer"])
OWNERS = (KeyOwner(name="acme", keys=("k1",), priority=1),)


class GatewayApiTests(unittest.IsolatedAsyncioTestCase):
    async def test_route_and_key(self):
        """Only requests that a route and a key allow reach a server."""
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
                gateway = Gateway([WHOLE], **options)
                got = await gateway.call(path=path, headers=headers)
                self.assertEqual(got.status, status)
                self.assertEqual(gateway.count_sent(), {"s1": sends})

    async def test_workspace_is_told_and_key_is_not(self):
        """The server hears of the workspace, never of the key."""
        gateway = Gateway([WHOLE], owners=OWNERS)
        await gateway.call(headers=(("authorization", "bearer k1"),))
        headers = {k.lower(): v for k, v in gateway.clients["s1"].requests[0].headers}
        self.assertEqual(headers["carobspring-tenant"], "acme")
        self.assertNotIn("authorization", headers)

    async def test_first_routes_are_awaited(self):
        """A request at an entry that has just started waits for its routes."""
        gateway = Gateway([WHOLE])
        table, gateway.state.table = gateway.state.table, None
        gateway.state._has_table.clear()
        call = asyncio.create_task(gateway.call())
        await asyncio.sleep(0.05)
        self.assertIs(call.done(), False)
        gateway.state.apply_table(table, 0.0)
        self.assertEqual((await call).status, 200)

    async def test_no_routes_in_time(self):
        """Without any routes a request is refused, and told to come back."""
        gateway = Gateway([WHOLE])
        gateway.state.table = None
        gateway.state._has_table.clear()
        got = await gateway.call()
        self.assertEqual((got.status, got.retry_after), (503, "0.300"))
        self.assertEqual(gateway.count_sent(), {"s1": 0})

    async def test_nothing_of_a_caller_that_left(self):
        """A caller that is gone already starts nothing that stays."""
        gateway = Gateway([asyncio.Event()])
        responder = FakeResponder()
        responder.gone.set()
        await asyncio.wait_for(gateway.call(responder=responder), 5)
        self.assertEqual(gateway.api.open_requests, 0)


class StateTests(unittest.TestCase):
    def test_routes_never_go_back(self):
        """An entry keeps the highest version that it has seen."""
        gateway_table = GatewayState()
        newer, older = (build_table(version) for version in (7, 6))
        found = [
            gateway_table.apply_table(newer, 1.0),
            gateway_table.apply_table(older, 2.0),
            gateway_table.apply_table(newer, 3.0),
        ]
        self.assertEqual(found, [True, False, False])
        self.assertEqual(
            (gateway_table.table, gateway_table.table_applied_at), (newer, 1.0)
        )

    def test_readiness(self):
        """An entry is ready once it has routes, until it stops."""
        state = GatewayState()
        found = [state.is_ready]
        state.apply_table(build_table(1), 0.0)
        found.append(state.is_ready)
        state.is_stopping = True
        found.append(state.is_ready)
        self.assertEqual(found, [False, True, False])


def build_table(version):
    return RoutingTable(version=version)
