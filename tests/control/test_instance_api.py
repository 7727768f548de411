import json
import unittest

from carobspring.adapters.clock import SystemClock
from carobspring.control import CommandProposer, ControlState, LocalLog
from carobspring.control.instance_api import InstanceApi, RedirectFinder
from carobspring.ports import HttpRequest, NotLeaderError, ReplicatedLog
from tests.gateway.fakes import FakeResponder
from tests.platform.test_checkins import BODY as CHECK_IN
from tests.platform.test_configuration import BODY as CONFIGURATION


class Finder(RedirectFinder):
    def __init__(self, redirect=None):
        self.redirect = redirect

    def find_redirect(self):
        return self.redirect


class LeaderlessLog(ReplicatedLog):
    """A log that nobody leads."""

    async def propose(self, command):
        raise NotLeaderError(leader="")

    async def confirm_read(self):
        raise NotLeaderError(leader="")

    def find_leader(self):
        return ""

    def is_leader(self):
        return False


class InstanceApiTests(unittest.IsolatedAsyncioTestCase):
    def build(self, *, log=None, redirect=None, started_s_ago=60.0):
        clock = SystemClock()
        self.state = ControlState(replica_id="r", clock=clock)
        log = log or LocalLog(replica_id="r", machine=self.state.machine)
        self.news = 0
        self.api = InstanceApi(
            state=self.state,
            proposer=CommandProposer(log=log, peers={}, clock=clock),
            finder=Finder(redirect),
            started_at=clock.read_monotonic() - started_s_ago,
            learning_period_s=2.4,
            on_member_change=self.note_news,
        )

    def note_news(self):
        self.news += 1

    async def call(self, method, path, body=b""):
        responder = FakeResponder()
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        request = HttpRequest(method=method, path=path, body=body)
        await self.api.handle(request, responder)
        return responder

    async def put(self, version, **changes):
        body = CONFIGURATION | {"version": version} | changes
        return (await self.call("PUT", "/v1/config", body)).status

    async def read(self):
        got = await self.call("GET", "/v1/config")
        return got.status, json.loads(got.body).get("version")

    async def test_configuration(self):
        """The highest version stands; lower ones are confirmed again."""
        self.build()
        self.assertEqual((await self.read())[0], 503)
        found = [await self.put(version) for version in (3, 3, 2, 9)]
        self.assertEqual(found, [200] * 4)
        self.assertEqual(await self.read(), (200, 9))

    async def test_read_back_as_sent(self):
        """A read returns the very bytes that were sent."""
        self.build()
        body = json.dumps(CONFIGURATION, indent=3).encode()
        await self.call("PUT", "/v1/config", body)
        self.assertEqual((await self.call("GET", "/v1/config")).body, body)

    async def test_invalid_configuration(self):
        """An invalid configuration is refused and never stands."""
        self.build()
        await self.put(3)
        self.assertEqual(await self.put(4, routes=[{"name": "r"}]), 400)
        got = await self.call("PUT", "/v1/config", b'{"version": 5')
        self.assertEqual(got.status, 400)
        self.assertEqual(await self.read(), (200, 3))

    async def test_same_version_other_content(self):
        """Other content under a standing version is not taken over."""
        self.build()
        await self.put(3)
        self.assertEqual(await self.put(3, tenants=[]), 200)
        got = json.loads((await self.call("GET", "/v1/config")).body)
        self.assertEqual(got["tenants"], CONFIGURATION["tenants"])

    async def test_no_quorum(self):
        """A daemon that can't know the newest confirms nothing."""
        self.build(log=LeaderlessLog())
        self.assertEqual(await self.put(3), 503)
        self.assertEqual((await self.read())[0], 503)

    async def test_read_without_quorum(self):
        """What a daemon holds is not shown once it may be overtaken."""
        self.build()
        await self.put(3)
        self.api._proposer = CommandProposer(
            log=LeaderlessLog(), peers={}, clock=SystemClock()
        )
        self.assertEqual((await self.read())[0], 503)

    async def test_redirect(self):
        """A daemon without the log points to one that has it."""
        self.build(redirect="http://10.0.0.4:8080")
        got = await self.call("PUT", "/v1/config", CONFIGURATION)
        self.assertEqual(got.status, 307)
        self.assertEqual(
            dict(got.headers)["Location"], "http://10.0.0.4:8080/v1/config"
        )

    async def test_check_ins(self):
        """Newer words on a server are taken over, older ones are not."""
        self.build()
        path = "/v1/instances/i-1"
        await self.call("PUT", path, CHECK_IN)
        draining = CHECK_IN | {"state": "draining", "seq": 9}
        await self.call("PUT", path, draining)
        late = await self.call("PUT", path, CHECK_IN | {"seq": 5})
        self.assertEqual(late.status, 200)
        (member,) = self.state.members.list_present()
        self.assertEqual((member.sequence, member.load.draining), (9, True))
        self.assertEqual(self.news, 2)

    async def test_leave(self):
        """A server that leaves gets no work again in its present start."""
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

    async def test_leave_of_an_unknown_server(self):
        """A daemon that has just started confirms no leave it can't tell."""
        for started_s_ago, status in ((0.0, 503), (60.0, 200)):
            with self.subTest(started_s_ago=started_s_ago):
                self.build(started_s_ago=started_s_ago)
                got = await self.call("DELETE", "/v1/instances/i-1")
                self.assertEqual(got.status, status)

    async def test_other_calls(self):
        """Foreign check-ins and unknown calls are refused."""
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
