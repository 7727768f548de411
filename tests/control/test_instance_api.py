import asyncio
import json
import unittest
import unittest.mock

from carobspring.adapters.clock import SystemClock
from carobspring.control import (
    CommandProposer,
    ControlState,
    LocalLog,
    instance_api,
)
from carobspring.control.instance_api import InstanceApi, RedirectFinder
from carobspring.membership import withdrawals
from carobspring.ports import HttpRequest, NotLeaderError, ReplicatedLog
from tests.gateway.fakes import FakeResponder
from tests.platform.test_checkins import BODY as CHECK_IN
from tests.platform.test_configuration import BODY as CONFIGURATION


class FixedRedirect(RedirectFinder):
    def __init__(self, redirect=None):
        self.redirect = redirect

    def find_redirect(self, *, to_member=False):
        return self.redirect


class LeaderlessLog(ReplicatedLog):
    """A log without a leader."""

    async def propose(self, command):
        raise NotLeaderError(leader="")

    async def confirm_read(self):
        raise NotLeaderError(leader="")

    def find_leader(self):
        return ""

    def is_leader(self):
        return False


class FakeGossip:
    """Counts the changes to send, and merges views at once or never."""

    def __init__(self):
        self.change_count = 0
        self.is_reachable = True

    def tick(self, now):
        self.change_count += 1

    async def wait_until_replicated(self, view):
        if not self.is_reachable:
            await asyncio.Event().wait()


class InstanceApiTests(unittest.IsolatedAsyncioTestCase):
    def build(self, *, log=None, redirect=None, uptime_s=60.0):
        clock = SystemClock()
        self.state = ControlState(replica_id="r", clock=clock)
        log = log or LocalLog(replica_id="r", machine=self.state.machine)
        self.gossip = FakeGossip()
        self.api = InstanceApi(
            state=self.state,
            proposer=CommandProposer(log=log, peers={}, clock=clock),
            finder=FixedRedirect(redirect),
            started_at=clock.read_monotonic() - uptime_s,
            learning_period_s=2.4,
            gossip=self.gossip,
        )

    async def call(self, method, path, body=b"", *, is_body_read=True):
        responder = FakeResponder()
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        request = HttpRequest(
            method=method, path=path, body=body, is_body_read=is_body_read
        )
        await self.api.handle(request, responder)
        return responder

    async def put(self, version, **changes):
        body = CONFIGURATION | {"version": version} | changes
        return (await self.call("PUT", "/v1/config", body)).status

    async def read(self):
        response = await self.call("GET", "/v1/config")
        return response.status, json.loads(response.body).get("version")

    async def test_configuration(self):
        """The highest version is kept; lower ones are acknowledged too."""
        self.build()
        self.assertEqual((await self.read())[0], 503)
        statuses = [await self.put(version) for version in (3, 3, 2, 9)]
        self.assertEqual(statuses, [200] * 4)
        self.assertEqual(await self.read(), (200, 9))

    async def test_bodies_that_were_not_read(self):
        """A check-in that is too large is refused like any unusable one.

        Other calls get the status of a body that is too large.
        """
        self.build()
        cases = {
            ("PUT", "/v1/instances/i-1"): 400,
            ("DELETE", "/v1/instances/i-1"): 413,
            ("POST", "/elsewhere"): 413,
        }
        for (method, path), status in cases.items():
            with self.subTest(method=method, path=path):
                response = await self.call(method, path, is_body_read=False)
                self.assertEqual(response.status, status)

    async def test_body_is_returned_unchanged(self):
        """A read returns exactly the bytes that were sent."""
        self.build()
        body = json.dumps(CONFIGURATION, indent=3).encode()
        await self.call("PUT", "/v1/config", body)
        self.assertEqual((await self.call("GET", "/v1/config")).body, body)

    async def test_invalid_configuration(self):
        """An invalid configuration is rejected and never stored."""
        self.build()
        await self.put(3)
        self.assertEqual(await self.put(4, routes=[{"name": "r"}]), 400)
        response = await self.call("PUT", "/v1/config", b'{"version": 5')
        self.assertEqual(response.status, 400)
        self.assertEqual(await self.read(), (200, 3))

    async def test_version_that_the_log_cannot_carry(self):
        """A version over 63 bits is invalid, and the next one is taken."""
        self.build()
        self.assertEqual(await self.put(2**64), 400)
        self.assertEqual(await self.put(3), 200)

    async def test_same_version_other_content(self):
        """Different content under the current version is not stored."""
        self.build()
        await self.put(3)
        self.assertEqual(await self.put(3, tenants=[]), 200)
        stored = json.loads((await self.call("GET", "/v1/config")).body)
        self.assertEqual(stored["tenants"], CONFIGURATION["tenants"])

    async def test_no_quorum(self):
        """Without a quorum a write is not acknowledged and a read fails."""
        self.build(log=LeaderlessLog())
        self.assertEqual(await self.put(3), 503)
        self.assertEqual((await self.read())[0], 503)

    async def test_read_without_quorum(self):
        """A stored configuration is not returned when it may be outdated."""
        self.build()
        await self.put(3)
        self.api._proposer = CommandProposer(
            log=LeaderlessLog(), peers={}, clock=SystemClock()
        )
        self.assertEqual((await self.read())[0], 503)

    async def test_redirect(self):
        """A daemon without the log redirects to one that holds it."""
        self.build(redirect="http://10.0.0.4:8080")
        response = await self.call("PUT", "/v1/config", CONFIGURATION)
        self.assertEqual(response.status, 307)
        self.assertEqual(
            dict(response.headers)["Location"], "http://10.0.0.4:8080/v1/config"
        )

    async def test_check_ins(self):
        """Newer check-ins of a server are stored, older ones are ignored."""
        self.build()
        path = "/v1/instances/i-1"
        await self.call("PUT", path, CHECK_IN)
        draining = CHECK_IN | {"state": "draining", "seq": 9}
        await self.call("PUT", path, draining)
        late = await self.call("PUT", path, CHECK_IN | {"seq": 5})
        self.assertEqual(late.status, 200)
        (member,) = self.state.members.list_present()
        self.assertEqual((member.sequence, member.load.draining), (9, True))
        self.assertEqual(self.gossip.change_count, 2)

    async def test_drain_is_confirmed_when_replicated(self):
        """Only a drain waits until all reachable replicas know it."""
        self.build()
        path = "/v1/instances/i-1"
        self.gossip.is_reachable = False
        draining = CHECK_IN | {"state": "draining", "seq": 9}
        with unittest.mock.patch.object(instance_api, "REPLICATION_TIMEOUT_S", 0.01):
            ready = await self.call("PUT", path, CHECK_IN)
            unknown = await self.call("PUT", path, draining)
            removed = await self.call("DELETE", path)
            self.gossip.is_reachable = True
            known = await self.call("PUT", path, draining)
        statuses = [r.status for r in (ready, unknown, removed, known)]
        self.assertEqual(statuses, [200, 503, 503, 200])

    async def test_stopping_daemon(self):
        """A daemon that stops confirms no check-in: no peer would get it."""
        self.build()
        self.state.draining = True
        for method in ("PUT", "DELETE"):
            response = await self.call(method, "/v1/instances/i-1", CHECK_IN)
            self.assertEqual(response.status, 503)
        self.assertEqual(self.state.members.list_present(), [])

    async def test_removal(self):
        """A removed server is draining until its next boot."""
        self.build()
        path = "/v1/instances/i-1"
        await self.call("PUT", path, CHECK_IN)
        self.assertEqual((await self.call("DELETE", path)).status, 200)
        await self.call("PUT", path, CHECK_IN | {"seq": 99})
        (member,) = self.state.members.list_present()
        self.assertIs(member.load.draining, True)
        await self.call(
            "PUT", path, CHECK_IN | {"born": CHECK_IN["born"] + 1, "seq": 1}
        )
        (member,) = self.state.members.list_present()
        self.assertIs(member.load.draining, False)

    async def test_removal_of_unknown_server(self):
        """A daemon just started rejects removals of unknown servers."""
        for uptime_s, status in ((0.0, 503), (60.0, 200)):
            with self.subTest(uptime_s=uptime_s):
                self.build(uptime_s=uptime_s)
                response = await self.call("DELETE", "/v1/instances/i-1")
                self.assertEqual(response.status, status)

    async def test_check_in_behind_a_removal(self):
        """Guards against a server that is listed after its confirmed removal.

        Its first check-in comes late, when it has left already.
        """
        self.build()
        born = self.state.clock.read_wall_ms() - 500
        self.assertEqual((await self.call("DELETE", "/v1/instances/i-1")).status, 200)
        late = CHECK_IN | {"born": born, "seq": 1}
        self.assertEqual(
            (await self.call("PUT", "/v1/instances/i-1", late)).status, 200
        )
        self.assertEqual(self.state.members.list_present(), [])
        # It starts again once it has served what it had.
        again = CHECK_IN | {"born": born + 3000, "seq": 1}
        await self.call("PUT", "/v1/instances/i-1", again)
        self.assertEqual(len(self.state.members.list_present()), 1)

    async def test_removal_behind_a_restart(self):
        """A boot that nobody knew leaves too, if the one before is gone."""
        self.build()
        born = self.state.clock.read_wall_ms() - 500
        await self.call("PUT", "/v1/instances/i-1", CHECK_IN | {"born": born - 9000})
        (member,) = self.state.members.list_present()
        self.state.members.expire(member.lease_expires_at)
        await self.call("DELETE", "/v1/instances/i-1")
        await self.call("PUT", "/v1/instances/i-1", CHECK_IN | {"born": born})
        self.assertEqual(self.state.members.list_present(), [])

    async def test_removal_of_unknown_server_replicated(self):
        """It is confirmed only when all reachable replicas have it."""
        self.build()
        self.gossip.is_reachable = False
        with unittest.mock.patch.object(instance_api, "REPLICATION_TIMEOUT_S", 0.01):
            unknown = await self.call("DELETE", "/v1/instances/i-1")
        self.assertEqual(unknown.status, 503)
        self.assertGreater(self.state.members.find_local_change("i-1"), 0)

    async def test_many_removals(self):
        """What can't be remembered isn't confirmed; what is known still is."""
        self.build()
        await self.call("PUT", "/v1/instances/i-1", CHECK_IN)
        with unittest.mock.patch.object(withdrawals, "MAX_UNLISTED", 3):
            statuses = [
                (await self.call("DELETE", f"/v1/instances/foreign-{number}")).status
                for number in range(5)
            ]
            self.assertEqual(statuses, [200] * 3 + [503] * 2)
            repeated = await self.call("DELETE", "/v1/instances/foreign-0")
            known = await self.call("DELETE", "/v1/instances/i-1")
        self.assertEqual((repeated.status, known.status), (200, 200))

    async def test_removal_of_no_name(self):
        """An identifier that no check-in can have needs no record."""
        self.build()
        response = await self.call("DELETE", "/v1/instances/" + "x" * 100)
        self.assertEqual(response.status, 200)
        self.assertEqual(self.state.members.list_withdrawals(-1, 0.0), ())

    async def test_invalid_requests(self):
        """Malformed check-ins and unknown calls are rejected."""
        self.build()
        cases = [
            (("PUT", "/v1/instances/i-1", b"\xff"), 400),
            (("PUT", "/v1/instances/", CHECK_IN), 400),
            (("POST", "/v1/config", b""), 404),
            (("GET", "/", b""), 404),
        ]
        for call, status in cases:
            with self.subTest(call[:2]):
                self.assertEqual((await self.call(*call)).status, status)
