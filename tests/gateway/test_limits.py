import unittest

from carobspring.domain.routes import Repeatability
from carobspring.ports import IncompleteResponseError
from tests.gateway.fakes import (
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    GatewayHarness,
    build_event,
)

LIMITED_HEADERS = (*RESPONSE_HEADERS, ("Server-Limit", "2"))
LIMITED = (200, LIMITED_HEADERS, [b"limited"])
SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
SHED = (503, (("Carobspring-Not-Executed", "1"), ("Server-Limit", "2")), [])
ENDED = IncompleteResponseError(reason="reset")
RESUMABLE = Repeatability.RESUMABLE_STREAM


class AnnouncedLimitTests(unittest.IsolatedAsyncioTestCase):
    def build(self, *scripts, waits=None, **options):
        gateway = GatewayHarness(*scripts, **options)
        gateway.admission_client.permit_waits = waits or {}
        return gateway

    async def test_permits(self):
        """Requests to a limited server need a permit, from then on."""
        cases = {
            # name: (wait by server, status of the second call, sends)
            "granted": ({"s1": 0.0}, 200, (2, 0)),
            "refused, another server": ({"s1": 5.0}, 200, (1, 1)),
        }
        for name, (waits, status, sends) in cases.items():
            with self.subTest(name):
                gateway = self.build([LIMITED], [SUCCESS], waits=waits)
                await gateway.call()
                self.assertEqual(gateway.admission_client.permit_requests, [])
                response = await gateway.call()
                self.assertEqual(response.status, status)
                self.assertEqual(tuple(gateway.count_requests().values()), sends)
                asked = gateway.admission_client.permit_requests
                self.assertEqual(asked, [("s1", False)])

    async def test_blocked_server_is_left_out(self):
        """A server without a permit is not asked again before its time."""
        gateway = self.build([LIMITED], [SUCCESS], waits={"s1": 5.0})
        for _ in range(5):
            await gateway.call()
        self.assertEqual(len(gateway.admission_client.permit_requests), 1)
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 4})

    async def test_only_limited_servers(self):
        """With no other server, a request waits for a permit or is refused."""
        gateway = self.build([LIMITED], waits={"s1": 3.0})
        await gateway.call()
        response = await gateway.call()
        self.assertEqual(
            (response.status, response.body), (503, b'{"error":"overload"}')
        )
        self.assertGreater(float(response.retry_after), 0.0)
        asked = gateway.admission_client.permit_requests
        self.assertEqual(asked, [("s1", False), ("s1", True)])
        self.assertEqual(gateway.count_requests(), {"s1": 1})

    async def test_end_of_limit(self):
        """A response without the header ends the limit, also an error."""
        for last in (SUCCESS, (500, RESPONSE_HEADERS, [b"failed"])):
            gateway = self.build([LIMITED, last, SUCCESS], waits={"s1": 0.0})
            for _ in range(4):
                await gateway.call()
            self.assertEqual(len(gateway.admission_client.permit_requests), 1)

    async def test_responses_that_announce(self):
        """Rejections announce a limit, and other servers' answers don't."""
        foreign = (421, (("Server-Limit", "2"),), [])
        for script, expected in ((SHED, 2.0), (foreign, None)):
            with self.subTest(status=script[0]):
                gateway = self.build([script], [SUCCESS])
                await gateway.call()
                limit = gateway.dispatcher.find_rate_limit("s1")
                self.assertEqual(limit, expected)

    async def test_retries_and_resumed_streams(self):
        """A retry and a resumed stream need a permit as well."""
        limited_stream = (200, (*STREAM_HEADERS, ("Server-Limit", "2")), [])
        broken = (200, STREAM_HEADERS, [build_event(1), ENDED])
        cases = {
            "retry": ([ENDED], Repeatability.IDEMPOTENT, "failed"),
            "resumed": ([broken], RESUMABLE, "aborted"),
        }
        for name, (script, kind, ended) in cases.items():
            with self.subTest(name):
                gateway = self.build(
                    script, [limited_stream], repeatability=kind, waits={"s2": 9.0}
                )
                gateway.dispatcher.record_rate_limit(gateway.servers["s2"], 2.0)
                response = await gateway.call()
                self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 0})
                if ended == "aborted":
                    self.assertEqual(response.ended, "aborted")
                else:
                    self.assertEqual(response.status, 502)

    async def test_no_host(self):
        """Without an admission host an entry uses its own part only."""
        gateway = self.build([LIMITED], [SUCCESS])
        for _ in range(20):
            await gateway.call()
        self.assertLessEqual(gateway.count_requests()["s1"], 2)

    async def test_later_start_is_not_limited(self):
        """The limit belongs to one start of the server."""
        gateway = self.build([LIMITED], [SUCCESS], waits={"s1": 9.0})
        await gateway.call()
        later = gateway.build_server("s1", boot=2)
        earlier = gateway.servers["s1"]
        gateway.dispatcher.add_server(later, draining=False)
        self.assertIsNone(gateway.dispatcher.find_rate_limit("s1"))
        gateway.dispatcher.record_rate_limit(earlier, 2.0)
        self.assertIsNone(gateway.dispatcher.find_rate_limit("s1"))
