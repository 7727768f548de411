import unittest

from carobspring.gateway.relay import MAX_BUFFERED_BYTES, SHORT_BUFFERED_BYTES
from tests.gateway.fakes import (
    RESPONSE_HEADERS,
    FakeResponder,
    GatewayHarness,
    build_incomplete_error,
)

CHUNK = b"x" * 1024
SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])


class HoldingResponder(FakeResponder):
    """Tells whether memory is short, and records what is held back."""

    def __init__(self, *, may_hold_back):
        super().__init__()
        self.may_hold_back = may_hold_back
        self.held_sizes = []

    def hold_back(self, size):
        self.held_sizes.append(size)
        return self.may_hold_back


class HeldBackTests(unittest.IsolatedAsyncioTestCase):
    """Responses that are held back until they are complete."""

    async def test_limits(self):
        """Less is held back while memory is short."""
        cases = [
            (True, SHORT_BUFFERED_BYTES + len(CHUNK), 200),
            (True, MAX_BUFFERED_BYTES + len(CHUNK), None),
            (False, SHORT_BUFFERED_BYTES, 200),
            (False, SHORT_BUFFERED_BYTES + len(CHUNK), None),
        ]
        for may_hold_back, size, expected_status in cases:
            with self.subTest(may_hold_back=may_hold_back, size=size):
                chunks = [CHUNK] * (size // len(CHUNK))
                broken = (200, RESPONSE_HEADERS, [*chunks, build_incomplete_error()])
                gateway = GatewayHarness([broken], [SUCCESS])
                responder = HoldingResponder(may_hold_back=may_hold_back)
                await gateway.call(responder=responder)
                # Only what was held back can be asked for again elsewhere.
                is_retried = gateway.count_requests()["s2"] == 1
                self.assertIs(is_retried, expected_status is not None)
                ended = "complete" if is_retried else "aborted"
                self.assertEqual(responder.ended, ended)
                largest = MAX_BUFFERED_BYTES if may_hold_back else SHORT_BUFFERED_BYTES
                self.assertLessEqual(max(responder.held_sizes), largest + len(CHUNK))


if __name__ == "__main__":
    unittest.main()
