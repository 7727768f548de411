"""Tests of lines in a stream that are no event, as they hold no data."""

import unittest

from carobspring.domain.routes import Repeatability
from tests.gateway.fakes import (
    STREAM_HEADERS,
    GatewayHarness,
    build_event,
    build_incomplete_error,
)

RETRY_FIELD = b"retry: 1000\n\n"


def build_events(*numbers):
    return b"".join(build_event(number) for number in numbers)


class EventsWithoutDataTests(unittest.IsolatedAsyncioTestCase):
    async def test_streams_that_go_on(self):
        """They neither break a sound stream off nor keep it from going on."""
        cases = {
            # name: (what the first server writes, what the second adds)
            "before a continuation": (
                build_events(1, 2, 3),
                RETRY_FIELD + build_events(4, 5),
            ),
            "within a continuation": (
                build_events(1, 2, 3),
                build_events(4) + RETRY_FIELD + build_events(5),
            ),
            "before a break": (build_events(1, 2, 3) + RETRY_FIELD, build_events(4, 5)),
        }
        for name, (first, second) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness(
                    [(200, STREAM_HEADERS, [first, build_incomplete_error()])],
                    [(200, STREAM_HEADERS, [second])],
                    repeatability=Repeatability.RESUMABLE_STREAM,
                )
                response = await gateway.call()
                events = bytes(response.body).replace(RETRY_FIELD, b"")
                self.assertEqual(
                    (events, response.ended), (build_events(1, 2, 3, 4, 5), "complete")
                )
