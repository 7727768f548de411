"""Tests of answers whose head, or the rest of it, does not come."""

import unittest

from carobspring.adapters.backend_http import HttpBackend
from carobspring.domain.routes import Repeatability
from carobspring.gateway.outcomes import encode_error
from tests.gateway.fakes import (
    REQUEST_ID,
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    GatewayHarness,
    build_event,
)
from tests.gateway.test_close_delimited import ClosingServer

ONCE = Repeatability.ONCE
IDEMPOTENT = Repeatability.IDEMPOTENT
STREAM_ONCE = Repeatability.STREAM_ONCE
RESUMABLE = Repeatability.RESUMABLE_STREAM

#: Connections that are open at once.
MAX_OPEN = 40

IDENTIFIER = f"Carobspring-Attempt-Id: {REQUEST_ID}\r\n".encode()
RECEIPT = b"Carobspring-Upstream-Signature: s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + IDENTIFIER + RECEIPT
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = build_event(1) + build_event(2) + build_event(3)
#: Ends inside the second event.
CUT_EVENTS = EVENTS[:20]
COMMENT = b": hello\n\n"

OTHER = (200, RESPONSE_HEADERS, [b"other"])
OTHER_STREAM = (200, STREAM_HEADERS, [build_event(number) for number in (1, 2, 3)])


def build_length(body):
    return b"Content-Length: %d\r\n" % len(body)


def build_chunks(body):
    """Return a body in two chunks, with the mark of its end."""
    parts = filter(None, (body[:7], body[7:]))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return chunks + b"0\r\n\r\n"


async def call(data, *, kind, resets=False, headers=()):
    """Send a request to a server that sends data and ends the connection.

    Return the response, and how many requests another server got.
    """
    other = OTHER_STREAM if kind.is_stream else OTHER
    gateway = GatewayHarness([other], [other], repeatability=kind)
    async with ClosingServer(data, resets=resets) as server:
        backend = HttpBackend(
            url=server.url, health_path="/", allow_close_delimited=True
        )
        gateway.clients["s1"] = backend
        try:
            response = await gateway.call(headers=headers)
        finally:
            await backend.close()
    return response, len(gateway.clients["s2"].requests)


class UnmarkedStreamTests(unittest.IsolatedAsyncioTestCase):
    """Answers on streaming routes, most of them without a marked end."""

    async def check(self, answers, *, kind, expected):
        for name, data in answers.items():
            with self.subTest(name, kind=kind):
                response, _ = await call(data, kind=kind)
                got = response.status, response.ended, bytes(response.body)
                self.assertEqual(got, expected)

    async def test_close_before_the_first_event(self):
        """A stream that ends with its connection must have an event."""
        answers = {
            "nothing": HEAD + STREAM_TYPE + b"\r\n",
            "a comment": HEAD + STREAM_TYPE + b"\r\n" + COMMENT,
            "a blank line": HEAD + STREAM_TYPE + b"\r\n\n\n",
            "no type": HEAD + b"\r\n",
            "a type without its end": HEAD + b"Content-Type: text/eve\r\n\r\n",
        }
        error = encode_error("the stream ended before its first event")
        await self.check(answers, kind=STREAM_ONCE, expected=(502, "complete", error))
        await self.check(answers, kind=RESUMABLE, expected=(200, "complete", EVENTS))

    async def test_close_inside_an_event_of_an_answer_without_its_type(self):
        """An answer that ends inside an event is not whole."""
        answers = {
            "no type": HEAD + b"\r\n" + CUT_EVENTS,
            "a type without its end": (
                HEAD + b"Content-Type: text/eve\r\n\r\n" + CUT_EVENTS
            ),
        }
        begun = (200, "aborted", build_event(1))
        await self.check(answers, kind=STREAM_ONCE, expected=begun)
        await self.check(answers, kind=RESUMABLE, expected=(200, "complete", EVENTS))

    async def test_whole_answers(self):
        """An answer that ends where it should is passed on."""
        answers = {
            "till close": HEAD + STREAM_TYPE + b"\r\n" + EVENTS,
            "no type, till close": HEAD + b"\r\n" + EVENTS,
            "no type, with a length": (HEAD + build_length(EVENTS) + b"\r\n" + EVENTS),
            "no type, in chunks": HEAD + CHUNKED + b"\r\n" + build_chunks(EVENTS),
        }
        await self.check(answers, kind=STREAM_ONCE, expected=(200, "complete", EVENTS))

    async def test_answers_that_mark_their_end(self):
        """A server may say that there are no events."""
        stream = HEAD + STREAM_TYPE
        answers = {
            "with a length": stream + b"Content-Length: 0\r\n\r\n",
            "in chunks": stream + CHUNKED + b"\r\n0\r\n\r\n",
        }
        await self.check(answers, kind=STREAM_ONCE, expected=(200, "complete", b""))
        no_content = {"no content": HEAD.replace(b"200", b"204") + b"\r\n"}
        await self.check(no_content, kind=STREAM_ONCE, expected=(204, "complete", b""))


class JoinedHeadTests(unittest.IsolatedAsyncioTestCase):
    """Heads of other answers that break off where the request's own begins."""

    async def test_heads_that_join(self):
        """What two heads say together is no answer, nor a refusal."""
        body = build_length(b"hello") + b"\r\nhello"
        own = HEAD + body
        failure = b"HTTP/1.1 500 Failed\r\n" + IDENTIFIER + RECEIPT + body
        other = b"Carobspring-Attempt-Id: other\r\n"
        answers = {
            "another's failure, inside a header": (
                b"HTTP/1.1 500 Failed\r\n" + other + b"Content-Type: te" + own
            ),
            "another's success, inside a header": (
                b"HTTP/1.1 200 OK\r\n" + other + RECEIPT + b"Content-Type: te" + failure
            ),
            "behind a colon": b"HTTP/1.1 200 OK\r\nX-A:" + failure,
            "behind a colon and a space": b"HTTP/1.1 200 OK\r\nX-A: " + failure,
            "inside the reason": b"HTTP/1.1 200 O" + failure,
            "behind the status": b"HTTP/1.1 200 " + failure,
            "a refusal": (
                b"HTTP/1.1 503 Full\r\nCarobspring-Not-Executed: 1\r\nX-A: 1" + own
            ),
            "an interim response": b"HTTP/1.1 103 Early\r\nLink: <x>" + own,
            "two identifiers, the own one last": (
                b"HTTP/1.1 200 OK\r\n" + other + IDENTIFIER + RECEIPT + body
            ),
            "two identifiers, the own one first": (
                b"HTTP/1.1 200 OK\r\n" + IDENTIFIER + other + RECEIPT + body
            ),
            "a refusal with two identifiers": (
                b"HTTP/1.1 503 Full\r\nCarobspring-Not-Executed: 1\r\n"
                + other
                + IDENTIFIER
                + body
            ),
        }
        for name, data in answers.items():
            with self.subTest(name):
                response, other_count = await call(data, kind=ONCE)
                got = response.status, response.ended, other_count
                self.assertEqual(got, (502, "complete", 0))
                response, other_count = await call(data, kind=IDEMPOTENT)
                got = response.status, bytes(response.body), other_count
                self.assertEqual(got, (200, b"other", 1))

    async def test_identifier_that_is_written_twice(self):
        """The same identifier twice names one request."""
        data = HEAD + IDENTIFIER + build_length(b"hello") + b"\r\nhello"
        response, other_count = await call(data, kind=ONCE)
        got = response.status, bytes(response.body), other_count
        self.assertEqual(got, (200, b"hello", 0))
