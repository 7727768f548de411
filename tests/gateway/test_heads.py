import unittest

from carobspring.domain.routes import Repeatability
from carobspring.gateway.heads import (
    COMMON_FIELDS,
    COMMON_HEAD_BYTES,
    is_head_rejected,
)
from tests.gateway.fakes import RESPONSE_HEADERS, GatewayHarness

SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
MANY_FIELDS = tuple((f"f{number}", "") for number in range(COMMON_FIELDS + 1))
#: More failures than set a server aside.
CALLS = 20


class RejectedHeadTests(unittest.IsolatedAsyncioTestCase):
    """Servers whose HTTP library rejects a long head without an identifier."""

    def test_rejections(self):
        """A client error says something of the head only if that is long."""
        long_value = "x" * COMMON_HEAD_BYTES
        cases = [
            ("many fields", 400, "/a", MANY_FIELDS, True),
            ("a long field", 431, "/a", (("f", long_value),), True),
            ("a long target", 414, f"/{long_value}", (), True),
            ("an ordinary head", 400, "/a", (("Host", "h"),), False),
            ("a success", 200, "/a", MANY_FIELDS, False),
            ("an error of the server", 500, "/a", MANY_FIELDS, False),
        ]
        for name, status, target, headers, expected in cases:
            with self.subTest(name):
                self.assertIs(is_head_rejected(status, target, headers), expected)

    async def check(self, headers, *, is_blamed):
        rejection = (400, (), [b"too many fields"])
        gateway = GatewayHarness(
            [rejection], [rejection], repeatability=Repeatability.IDEMPOTENT
        )
        for _ in range(CALLS):
            await gateway.call(headers=headers)
        for client in gateway.clients.values():
            client.scripts = [SUCCESS]
        response = await gateway.call()
        self.assertEqual(response.status, 503 if is_blamed else 200)
        return gateway

    async def test_caller_sets_no_server_aside(self):
        """A caller whose heads are rejected takes servers from nobody."""
        gateway = await self.check(MANY_FIELDS, is_blamed=False)
        # No retry either, which all callers share.
        self.assertEqual(gateway.count_requests(), {"s1": CALLS + 1, "s2": 0})

    async def test_faulty_servers(self):
        """Servers that reject ordinary heads are set aside."""
        await self.check((), is_blamed=True)


if __name__ == "__main__":
    unittest.main()
