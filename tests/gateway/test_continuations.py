"""Tests of what a second server may add to a stream that broke off."""

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

RESUMABLE = Repeatability.RESUMABLE_STREAM
UNSIGNED = (
    ("Carobspring-Attempt-Id", REQUEST_ID),
    ("Content-Type", "text/event-stream"),
)
TEXT = (*RESPONSE_HEADERS, ("Content-Type", "text/plain"))
ERROR_EVENT = b"data: error: no such run\n\n"
HEAD_AS_TEXT = b"HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nfailed\n\n"


def build_events(*numbers):
    return b"".join(build_event(number) for number in numbers)


FIRST_PART = build_events(1, 2, 3)
WHOLE = build_events(1, 2, 3, 4, 5)


class ContinuationTests(unittest.IsolatedAsyncioTestCase):
    async def take_up(self, *scripts, first=(FIRST_PART,)):
        """Break a stream off; return the response with what others add."""
        broken = (200, STREAM_HEADERS, [*first, build_incomplete_error()])
        gateway = GatewayHarness(
            [broken],
            *[[script] for script in scripts],
            repeatability=RESUMABLE,
            attempts=1 + len(scripts),
        )
        return await gateway.call()

    async def test_what_does_not_continue(self):
        """A response that proves no continuation adds nothing, and no end."""
        cases = {
            "no event at all": (200, STREAM_HEADERS, []),
            "only what the caller has": (200, STREAM_HEADERS, [build_event(3)]),
            "a gap": (200, STREAM_HEADERS, [build_event(9)]),
            "an event without an identifier": (200, STREAM_HEADERS, [ERROR_EVENT]),
            "a head as text": (200, STREAM_HEADERS, [HEAD_AS_TEXT]),
            "a comment": (200, STREAM_HEADERS, [b": error\n\n"]),
            "part of an event": (200, STREAM_HEADERS, [build_event(4)[:5]]),
            "another success": (206, STREAM_HEADERS, [build_event(4)]),
            "no receipt": (200, UNSIGNED, [build_event(4)]),
            "another type": (200, TEXT, [build_event(4)]),
            "a large body": (200, TEXT, [b"x" * 300_000]),
            "a body without end": (200, TEXT, [b"x" * 100_000] * 1000),
            "no content": (204, RESPONSE_HEADERS, []),
            "a redirect": (302, RESPONSE_HEADERS, [b"moved"]),
            "a denial": (400, STREAM_HEADERS, [ERROR_EVENT]),
            "an error": (500, STREAM_HEADERS, [build_event(4)]),
        }
        for name, script in cases.items():
            with self.subTest(name):
                response = await self.take_up(script)
                self.assertEqual(
                    (response.status, response.body, response.ended),
                    (200, FIRST_PART, "aborted"),
                )
                # A third server that goes on rightly completes the stream.
                good = (200, STREAM_HEADERS, [build_events(4, 5)])
                response = await self.take_up(script, good)
                self.assertEqual((response.body, response.ended), (WHOLE, "complete"))

    async def test_what_comes_after_a_continuation(self):
        """What a second server adds later must follow as well."""
        part = build_events(1, 2, 3, 4)
        cases = {
            "a gap": build_event(6),
            "an event without an identifier": ERROR_EVENT,
        }
        for name, event in cases.items():
            with self.subTest(name):
                response = await self.take_up(
                    (200, STREAM_HEADERS, [build_event(4), event])
                )
                self.assertEqual((response.body, response.ended), (part, "aborted"))

    async def test_what_continues(self):
        """The next event, by the numbering of the stream, goes on with it."""
        cases = {
            "next": (FIRST_PART, [build_events(4, 5)], WHOLE),
            "repeated first": (FIRST_PART, [build_events(2, 3, 4, 5)], WHOLE),
            "other numbering": (
                build_events(10, 20),
                [build_event(30)],
                build_events(10, 20, 30),
            ),
        }
        for name, (first, chunks, expected) in cases.items():
            with self.subTest(name):
                response = await self.take_up(
                    (200, STREAM_HEADERS, chunks), first=(first,)
                )
                self.assertEqual(
                    (response.body, response.ended), (expected, "complete")
                )

    async def test_stream_without_identifiers(self):
        """A stream that can't be told where to go on is broken off."""
        for first in (ERROR_EVENT, build_event(1) + ERROR_EVENT):
            with self.subTest(first):
                response = await self.take_up(
                    (200, STREAM_HEADERS, [build_events(1, 2)]), first=(first,)
                )
                self.assertEqual((response.body, response.ended), (first, "aborted"))

    async def test_comments(self):
        """Comments of the first server pass, and begin no response alone."""
        comment = b": wait\n\n"
        good = (200, STREAM_HEADERS, [build_events(1, 2)])
        response = await self.take_up(good, first=(comment,))
        self.assertEqual(
            (response.body, response.ended), (build_events(1, 2), "complete")
        )
        gateway = GatewayHarness(
            [(200, STREAM_HEADERS, [comment, build_event(1), comment])],
            repeatability=RESUMABLE,
        )
        response = await gateway.call()
        self.assertEqual(response.body, comment + build_event(1) + comment)

    async def test_stream_that_its_caller_takes_up(self):
        """A gap behind the caller's last event is not passed on."""
        gap = (200, STREAM_HEADERS, [build_event(9)])
        good = (200, STREAM_HEADERS, [build_events(4, 5)])
        gateway = GatewayHarness(
            [(200, STREAM_HEADERS, [WHOLE]), gap], [good], repeatability=RESUMABLE
        )
        self.assertEqual((await gateway.call()).body, WHOLE)
        headers = (("Last-Event-Id", "3"), ("Resumes", REQUEST_ID))
        response = await gateway.call(headers=headers)
        self.assertEqual(
            (response.body, response.ended), (build_events(4, 5), "complete")
        )


class ReceiptTests(unittest.IsolatedAsyncioTestCase):
    async def test_success_without_a_receipt(self):
        """A success that no server signed is not passed on as one."""
        cases = {
            "a body": (Repeatability.ONCE, RESPONSE_HEADERS[:1], b"answer"),
            "a stream": (Repeatability.STREAM_ONCE, UNSIGNED, build_event(1)),
        }
        for name, (kind, headers, body) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([(200, headers, [body])], repeatability=kind)
                self.assertEqual((await gateway.call()).status, 502)
