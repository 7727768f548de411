import unittest

from carobspring.domain.routes import Repeatability
from carobspring.gateway.relay import (
    MAX_BUFFERED_BYTES,
    MAX_EVENT_BYTES,
    SHORT_BUFFERED_BYTES,
    SHORT_HELD_BYTES,
)
from tests.gateway.fakes import (
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    FakeResponder,
    GatewayHarness,
    build_event,
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

    async def test_kept_error(self):
        """An error response counts for as long as another server is asked."""
        error = (503, RESPONSE_HEADERS, [CHUNK] * 8)
        answer = (200, RESPONSE_HEADERS, [b"an", b"swer"])
        gateway = GatewayHarness([error], [answer])
        responder = HoldingResponder(may_hold_back=True)
        await gateway.call(responder=responder)
        self.assertEqual((responder.status, responder.body), (200, b"answer"))
        kept_bytes = 8 * len(CHUNK)
        self.assertEqual(responder.held_sizes[-2:], [kept_bytes + 2, kept_bytes + 6])


class HeldStreamTests(unittest.IsolatedAsyncioTestCase):
    """Guards against events and comments that nobody counts as held."""

    async def call(self, chunks, *, may_hold_back):
        gateway = GatewayHarness(
            [(200, STREAM_HEADERS, chunks)],
            [(200, STREAM_HEADERS, [build_event(1)])],
            repeatability=Repeatability.RESUMABLE_STREAM,
        )
        responder = HoldingResponder(may_hold_back=may_hold_back)
        await gateway.call(responder=responder)
        return gateway, responder

    async def test_events(self):
        """Only while memory is short, a large event is broken off."""
        ordinary = b"id: 1\ndata: " + b"x" * (SHORT_HELD_BYTES // 2)
        large = b"id: 1\ndata: " + b"x" * (MAX_EVENT_BYTES - 100)
        cases = [
            (True, ordinary, False),
            (True, large, False),
            (False, ordinary, False),
            (False, large, True),
        ]
        for may_hold_back, event, is_broken_off in cases:
            with self.subTest(may_hold_back=may_hold_back, size=len(event)):
                gateway, responder = await self.call(
                    [event, b"\n\n"], may_hold_back=may_hold_back
                )
                expected = build_event(1) if is_broken_off else event + b"\n\n"
                self.assertEqual(responder.body, expected)
                self.assertEqual(responder.ended, "complete")
                self.assertEqual(max(responder.held_sizes), len(event))
                # The other server's response, or the end, gave it back.
                self.assertEqual(responder.held_sizes[-1], 0)

    async def test_comments(self):
        """Comments before the first event are held back like an event."""
        comments = b": x\n\n" * (2 * SHORT_HELD_BYTES // 5)
        for may_hold_back in (True, False):
            with self.subTest(may_hold_back=may_hold_back):
                _, responder = await self.call(
                    [comments, build_event(1)], may_hold_back=may_hold_back
                )
                is_kept = responder.body.startswith(comments)
                self.assertIs(is_kept, may_hold_back)
                self.assertEqual(responder.ended, "complete")
                self.assertEqual(max(responder.held_sizes), len(comments))
                self.assertEqual(responder.held_sizes[-1], 0)


if __name__ == "__main__":
    unittest.main()
