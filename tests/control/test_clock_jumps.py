"""The time of day jumps by seconds or hours, in both directions."""

import json
import unittest

from carobspring.control import CommandProposer, ControlState, LocalLog
from carobspring.control.instance_api import InstanceApi
from carobspring.ledger import ClaimCommand, ExpireCommand, UniqueCallLedger
from carobspring.ports import Clock, HttpRequest
from carobspring.protocol import ClaimRequest, ClaimState
from tests.control.test_instance_api import FakeGossip, FixedRedirect
from tests.gateway.fakes import FakeResponder
from tests.platform.test_checkins import BODY as CHECK_IN
from tests.platform.test_configuration import BODY as CONFIGURATION

START_MS = 1_790_000_000_000
JUMPS_MS = (5_000, -5_000, 3_600_000, -7_200_000)


class JumpingClock(Clock):
    """A steady clock, and a time of day that jumps."""

    def __init__(self):
        self.monotonic = 100.0
        self.wall_ms = START_MS

    def read_monotonic(self):
        return self.monotonic

    def read_wall_ms(self):
        return self.wall_ms


class InstanceTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = JumpingClock()
        self.state = ControlState(replica_id="r", clock=self.clock, lease_s=5.0)
        log = LocalLog(replica_id="r", machine=self.state.machine)
        self.api = InstanceApi(
            state=self.state,
            proposer=CommandProposer(log=log, peers={}, clock=self.clock),
            finder=FixedRedirect(),
            started_at=0.0,
            learning_period_s=2.4,
            gossip=FakeGossip(),
        )

    async def put(self, path, body):
        responder = FakeResponder()
        request = HttpRequest(method="PUT", path=path, body=json.dumps(body).encode())
        await self.api.handle(request, responder)
        return responder.status

    async def test_configurations(self):
        """The highest version stays in force, whatever the time of day."""
        for number, jump_ms in enumerate(JUMPS_MS, 2):
            self.clock.wall_ms += jump_ms
            for version in (10 * number, 5):
                body = CONFIGURATION | {"version": version}
                self.assertEqual(await self.put("/v1/config", body), 200)
            self.assertEqual(self.state.find_routing().version, 10 * number)

    async def test_leases(self):
        """A lease ends by the steady clock alone."""
        await self.put("/v1/instances/i-1", CHECK_IN)
        for jump_ms in JUMPS_MS:
            self.clock.wall_ms += jump_ms
            self.state.expire_leases(self.clock.monotonic)
            self.assertEqual(len(self.state.members.list_present()), 1)
        self.clock.monotonic += 5.1
        self.state.expire_leases(self.clock.monotonic)
        self.assertEqual(self.state.members.list_present(), [])


class UniqueCallTests(unittest.TestCase):
    def test_claims(self):
        """A jump of seconds ends no claim, and none is granted twice."""
        request = ClaimRequest(
            workspace="w",
            service="booking",
            key="k",
            request_hash="h",
            server_id="m1",
            boot=7,
            request_id="r1",
        )
        for jump_ms in JUMPS_MS[:2]:
            with self.subTest(jump_ms=jump_ms):
                ledger = UniqueCallLedger()
                claim = ClaimCommand(request=request, at_ms=START_MS)
                self.assertIs(ledger.apply_claim(claim).granted, True)
                at_ms = START_MS + jump_ms
                self.assertIs(ledger.needs_expiry(at_ms), False)
                self.assertEqual(ledger.apply_expiry(ExpireCommand(at_ms=at_ms)), 0)
                found = ledger.find_claim("w", "booking", "k")
                self.assertIs(found.state, ClaimState.CLAIMED)
