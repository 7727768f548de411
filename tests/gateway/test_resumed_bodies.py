"""Tests of what follows when a caller itself takes a stream up."""

import unittest

from carobspring.domain.routes import Repeatability
from tests.gateway.fakes import (
    REQUEST_ID,
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    GatewayHarness,
    build_event,
    build_incomplete_error,
)

LARGE_BODY = b"x" * 300_000
TEXT = (*RESPONSE_HEADERS, ("Content-Type", "text/plain"))


def build_events(*numbers):
    return b"".join(build_event(number) for number in numbers)


class ResumedBodyTests(unittest.IsolatedAsyncioTestCase):
    async def take_up(self, script):
        """Return the response to a caller that has three of five events.

        The server with the script is asked first, and one that goes on
        rightly next.
        """
        gateway = GatewayHarness(
            [(200, STREAM_HEADERS, [build_events(1, 2, 3, 4, 5)]), script],
            [(200, STREAM_HEADERS, [build_events(4, 5)])],
            repeatability=Repeatability.RESUMABLE_STREAM,
        )
        await gateway.call()
        headers = (("Last-Event-Id", "3"), ("Resumes", REQUEST_ID))
        return await gateway.call(headers=headers)

    async def test_large_body_that_breaks_off(self):
        """No events follow in a body that is no event stream."""
        script = (200, TEXT, [LARGE_BODY, build_incomplete_error()])
        response = await self.take_up(script)
        # A comparison as a whole would take minutes to print.
        self.assertIs(response.body == LARGE_BODY, True)
        self.assertEqual(response.ended, "aborted")

    async def test_only_old_events(self):
        """Only what the caller has is no end of its stream."""
        response = await self.take_up((200, STREAM_HEADERS, [build_events(2, 3)]))
        self.assertEqual(
            (response.body, response.ended), (build_events(4, 5), "complete")
        )

    async def test_no_event_at_all(self):
        """A whole answer without events ends the stream of its caller."""
        response = await self.take_up((200, STREAM_HEADERS, []))
        self.assertEqual(
            (response.status, response.body, response.ended), (200, b"", "complete")
        )
