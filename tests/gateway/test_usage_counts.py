"""Tests of which requests count as run by a backend server."""

import unittest

from carobspring.domain.routes import Repeatability
from carobspring.ports import BackendUnreachableError
from tests.gateway.fakes import (
    REQUEST_ID,
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    GatewayHarness,
    build_event,
    build_incomplete_error,
)

IDEMPOTENT = Repeatability.IDEMPOTENT
RESUMABLE = Repeatability.RESUMABLE_STREAM
STREAM_ONCE = Repeatability.STREAM_ONCE

SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
SHED = (503, (("Carobspring-Not-Executed", "1"),), [])
FAILED = (500, RESPONSE_HEADERS, [b"failed"])
NOT_FOUND = (404, RESPONSE_HEADERS, [b"unknown"])
UNREACHABLE = BackendUnreachableError(reason="refused")
STREAM = (200, STREAM_HEADERS, [build_event(1), build_event(2)])
BROKEN_STREAM = (200, STREAM_HEADERS, [build_event(1), build_incomplete_error()])
REST_OF_STREAM = (200, STREAM_HEADERS, [build_event(2)])
EMPTY_STREAM = (200, STREAM_HEADERS, [build_incomplete_error()])


class UsageCountTests(unittest.IsolatedAsyncioTestCase):
    async def test_counts(self):
        """A request counts once if a server ran it, and else not at all."""
        cases = {
            # name: (kind, scripts of the servers, count)
            "answered": (IDEMPOTENT, (SUCCESS,), 1),
            "failed": (IDEMPOTENT, (FAILED,), 1),
            "refused": (IDEMPOTENT, (SHED,), 0),
            "not sent": (IDEMPOTENT, (UNREACHABLE,), 0),
            "refused, then answered": (IDEMPOTENT, (SHED, SUCCESS), 1),
            "failed, then answered": (IDEMPOTENT, (FAILED, SUCCESS), 1),
            "stream": (RESUMABLE, (STREAM,), 1),
            "stream that goes on": (RESUMABLE, (BROKEN_STREAM, REST_OF_STREAM), 1),
            "stream without events": (STREAM_ONCE, (EMPTY_STREAM,), 0),
            "stream, failed": (STREAM_ONCE, (FAILED,), 1),
            "stream, client's error": (STREAM_ONCE, (NOT_FOUND,), 1),
            "stream, a plain body": (STREAM_ONCE, (SUCCESS,), 1),
            "stream, refused": (STREAM_ONCE, (SHED,), 0),
        }
        for name, (kind, scripts, count) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness(
                    *([script] for script in scripts), repeatability=kind
                )
                await gateway.call()
                self.assertEqual(len(gateway.recorded_runs), count)

    async def test_resumed_by_its_caller(self):
        """A stream that its caller resumes counted with its first event."""
        gateway = GatewayHarness([STREAM, REST_OF_STREAM], repeatability=RESUMABLE)
        await gateway.call()
        headers = (("Last-Event-Id", "1"), ("Resumes", REQUEST_ID))
        response = await gateway.call(headers=headers)
        self.assertEqual(response.body, build_event(2))
        self.assertEqual(len(gateway.recorded_runs), 1)


if __name__ == "__main__":
    unittest.main()
