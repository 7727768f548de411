"""Tests of answers whose head, or the rest of it, does not come."""

import asyncio
import contextlib
import http.client
import io
import itertools
import unittest

from hypothesis import given, settings, strategies as st

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

#: Bytes between two places at which an answer is cut.
CUT_STEP = 4
#: Connections that are open at once.
MAX_OPEN = 20
#: Longer than an answer takes on a busy machine.
TIMEOUT_MS = 30_000

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


def list_cuts(data):
    """Return sizes of parts: some of all, and each near the end of a head."""
    head_end = data.index(b"\r\n\r\n", data.index(RECEIPT)) + 4
    near = {*range(head_end - 4, head_end + 3), *range(len(data) - 6, len(data))}
    return sorted(
        near.intersection(range(len(data))).union(range(0, len(data), CUT_STEP))
    )


def build_chunks(body):
    """Return a body in two chunks, with the mark of its end."""
    parts = filter(None, (body[:7], body[7:]))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return chunks + b"0\r\n\r\n"


BODY = b"0123456789abcdefghij"
#: Name, bytes, and whether the end is marked.
ANSWERS = (
    ("a length", HEAD + build_length(BODY) + b"\r\n" + BODY, True),
    ("chunks", HEAD + CHUNKED + b"\r\n" + build_chunks(BODY), True),
    ("till close", HEAD + b"\r\n" + BODY, False),
    (
        "events with a length",
        HEAD + STREAM_TYPE + build_length(EVENTS) + b"\r\n" + EVENTS,
        True,
    ),
    (
        "events in chunks",
        HEAD + STREAM_TYPE + CHUNKED + b"\r\n" + build_chunks(EVENTS),
        True,
    ),
    ("events till close", HEAD + STREAM_TYPE + b"\r\n" + EVENTS, False),
)
#: What a server may send before the answer to a request.
BEFORE = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    "a late answer": (
        b"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: other\r\n"
        b"Carobspring-Upstream-Signature: o\r\nContent-Length: 3\r\n\r\nabc"
    ),
    "a refusal": (
        b"HTTP/1.1 503 Full\r\nCarobspring-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
}


async def call(data, *, kind, resets=False, headers=()):
    """Send a request to a server that sends data and ends the connection.

    Return the response, and how many requests another server got.
    """
    other = OTHER_STREAM if kind.is_stream else OTHER
    gateway = GatewayHarness(
        [other], [other], repeatability=kind, timeout_ms=TIMEOUT_MS
    )
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


class CutAnswerTests(unittest.TestCase):
    """Answers that end at any byte, by a close or by a reset."""

    def setUp(self):
        # Unlike that of an asynchronous test case it has no slow debug mode.
        runner = self.enterContext(asyncio.Runner())
        self.run_in_loop = runner.run
        self.slots = asyncio.Semaphore(MAX_OPEN)

    def run_all(self, checks):
        """Run checks side by side."""

        async def gather():
            await asyncio.gather(*checks)

        self.run_in_loop(gather())

    async def check_cut(self, name, data, size, *, kind, resets, marked=True):
        """Check that an answer that ends after ``size`` bytes isn't whole.

        Nothing but its end can tell of an answer without a marked end whether
        it is whole, and of a stream only whether it ends behind an event.
        """
        async with self.slots:
            response, other_count = await call(data[:size], kind=kind, resets=resets)
        body = bytes(response.body)
        got = response.status, response.ended
        head_size = data.index(b"\r\n\r\n") + 4
        whole = data[head_size:]
        case = (name, size, kind, resets, got, body)
        if kind in (ONCE, STREAM_ONCE):
            self.assertEqual(other_count, 0, case)
        if not marked and not resets and size >= head_size:
            so_far = data[head_size:size]
            if not kind.is_stream:
                self.assertEqual((*got, body), (200, "complete", so_far), case)
                return
            if so_far and so_far.endswith(b"\n\n"):
                self.assertEqual((*got, body), (200, "complete", so_far), case)
                return
        if kind is ONCE:
            self.assertEqual(got, (502, "complete"), case)
        elif kind is IDEMPOTENT:
            self.assertEqual((*got, body), (200, "complete", b"other"), case)
        elif kind is RESUMABLE:
            # Behind the last event nobody can tell whether more is missing.
            last_event_end = data.rindex(EVENTS[-3:]) + 3
            if size < last_event_end:
                self.assertEqual(response.ended, "complete", case)
            self.assertEqual((response.status, body), (200, EVENTS), case)
        elif body.startswith(b"id"):
            self.assertEqual(got, (200, "aborted"), case)
            self.assertTrue(EVENTS.startswith(body) and body.endswith(b"\n\n"), case)
            self.assertTrue(marked or resets or len(body) < len(whole), case)
        else:
            self.assertEqual(got, (502, "complete"), case)

    def test_answers(self):
        """An answer that ends too soon is never framed as whole."""
        checks = []
        for name, data, marked in ANSWERS:
            is_stream = data.startswith(HEAD + STREAM_TYPE)
            kinds = (STREAM_ONCE, RESUMABLE) if is_stream else (ONCE, IDEMPOTENT)
            for kind, resets in itertools.product(kinds, (False, True)):
                # The first kind shows what is sent when nobody else answers.
                sizes = list_cuts(data) if kind is kinds[0] else range(0, len(data), 20)
                for size in sizes:
                    check = self.check_cut(
                        name, data, size, kind=kind, resets=resets, marked=marked
                    )
                    checks.append(check)
        self.run_all(checks)

    def test_answers_behind_something_else(self):
        """What comes before an answer that is cut doesn't make it whole."""
        answer = HEAD + build_length(BODY) + b"\r\n" + BODY
        checks = []
        for name, before in BEFORE.items():
            data = before + answer
            for size in list_cuts(data):
                check = self.check_cut(name, data, size, kind=ONCE, resets=False)
                checks.append(check)
        self.run_all(checks)

    def test_whole_answers(self):
        """An answer that ends where it should is passed on."""
        answer = HEAD + build_length(BODY) + b"\r\n" + BODY
        cases = [(name, data) for name, data, _ in ANSWERS]
        cases += [(name, before + answer) for name, before in BEFORE.items()]
        for name, data in cases:
            with self.subTest(name):
                is_stream = STREAM_TYPE in data
                kind = STREAM_ONCE if is_stream else ONCE
                response, _ = self.run_in_loop(call(data, kind=kind))
                got = response.status, response.ended, bytes(response.body)
                whole = EVENTS if is_stream else BODY
                self.assertEqual(got, (200, "complete", whole))

    def test_kept_connection(self):
        """An answer on a used connection is no more believed than others."""
        answer = HEAD + build_length(BODY) + b"\r\n" + BODY

        async def check(size):
            async with self.slots:
                got = await self.call_twice(answer, answer[:size])
            expected = [(200, "complete", BODY), (200, "complete", b"other")]
            self.assertEqual(got, expected, size)

        self.run_all(map(check, list_cuts(answer)))
        got = self.run_in_loop(self.call_twice(answer, answer))
        self.assertEqual(got, [(200, "complete", BODY)] * 2)

    async def call_twice(self, *answers):
        """Return both responses to two requests on one connection."""
        ports = []

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                for answer in answers:
                    await reader.readuntil(b"\r\n\r\nbody")
                    ports.append(writer.get_extra_info("peername")[1])
                    writer.write(answer)
                    await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        gateway = GatewayHarness(
            [OTHER], [OTHER], repeatability=IDEMPOTENT, timeout_ms=TIMEOUT_MS
        )
        backend = gateway.clients["s1"] = HttpBackend(
            url=f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}",
            health_path="/",
            allow_close_delimited=True,
            idle_timeout_s=5.0,
        )
        responses = []
        for _ in answers:
            response = await gateway.call()
            responses.append((response.status, response.ended, bytes(response.body)))
        await backend.close()
        server.close()
        self.assertEqual(ports, [ports[0]] * len(answers))
        return responses


class OddHeadTests(unittest.IsolatedAsyncioTestCase):
    """Heads that name no length, several, or one that can't be read."""

    async def test_framing(self):
        """An answer whose end can't be told is refused."""
        length = build_length(BODY)
        chunks = build_chunks(BODY)
        cases = {
            # name: (lines of the head, what follows, whether it is whole)
            "one length twice": (length + length, BODY, True),
            "one length as a list": (b"Content-Length: 20, 20\r\n", BODY, True),
            "zeros before a length": (b"Content-Length: 0020\r\n", BODY, True),
            "two lengths": (length + b"Content-Length: 3\r\n", BODY, False),
            "two lengths as a list": (b"Content-Length: 20, 3\r\n", BODY, False),
            "no figure": (b"Content-Length: \r\n", BODY, False),
            "no number": (b"Content-Length: twenty\r\n", BODY, False),
            "plus": (b"Content-Length: +20\r\n", BODY, False),
            "minus": (b"Content-Length: -1\r\n", BODY, False),
            "hexadecimal": (b"Content-Length: 0x14\r\n", BODY, False),
            "space inside": (b"Content-Length: 2 0\r\n", BODY, False),
            "folded": (b"Content-Length: 2\r\n 0\r\n", BODY, False),
            "other digits": ("Content-Length: \u0662\u0660\r\n".encode(), BODY, False),
            "huge": (b"Content-Length: " + b"9" * 30 + b"\r\n", BODY, False),
            "very huge": (b"Content-Length: " + b"9" * 5000 + b"\r\n", BODY, False),
            "chunks and their length": (length + CHUNKED, chunks, True),
            "chunks and a length, cut": (length + CHUNKED, chunks[:-2], False),
            "no chunks but a length": (length + CHUNKED, BODY, False),
            "chunks twice": (CHUNKED + CHUNKED, chunks, False),
            "another coding": (b"Transfer-Encoding: gzip\r\n", BODY, False),
            "two codings": (b"Transfer-Encoding: gzip, chunked\r\n", chunks, False),
            "a coding without its end": (
                b"Transfer-Encoding: chu\r\n",
                chunks,
                False,
            ),
            "no coding": (b"Transfer-Encoding: \r\n", chunks, False),
            "a name without a colon": (b"Content-Len\r\n", BODY, False),
            "the last chunk without its end": (CHUNKED, chunks[:-2], False),
            "trailers without their end": (
                CHUNKED,
                chunks[:-2] + b"X-A: b\r\n",
                False,
            ),
            "a chunk of no size": (CHUNKED, b"z\r\n" + chunks, False),
            "a chunk without its end": (CHUNKED, b"5\r\nhelloXX0\r\n\r\n", False),
        }
        answers = {
            name: (HEAD + lines + b"\r\n" + rest, is_whole)
            for name, (lines, rest, is_whole) in cases.items()
        }
        await self.check(answers)

    async def test_heads(self):
        """A head that isn't one, or that lacks what it needs, is refused."""
        rest = build_length(BODY) + b"\r\n" + BODY
        own = IDENTIFIER + RECEIPT + rest
        cases = {
            "no reason": (b"HTTP/1.1 200\r\n" + own, True),
            "bare line feeds": ((HEAD + rest).replace(b"\r\n", b"\n"), True),
            "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n" + own, True),
            "a blank line first": (b"\r\n" + HEAD + rest, False),
            "bare carriage returns": ((HEAD + rest).replace(b"\r\n", b"\r"), False),
            "a status of one digit": (b"HTTP/1.1 2\r\n" + own, False),
            "a status of two digits": (b"HTTP/1.1 20\r\n" + own, False),
            "no version": (b"200 OK\r\n" + own, False),
            "only a status line": (b"HTTP/1.1 200 OK\r\n\r\n", False),
            "a folded line first": (b"HTTP/1.1 200 OK\r\n x\r\n" + own, False),
            "a folded identifier": (
                HEAD.replace(b"9c41", b"9c\r\n 41") + rest,
                False,
            ),
            "no identifier": (b"HTTP/1.1 200 OK\r\n" + RECEIPT + rest, False),
            "part of the identifier": (
                HEAD.replace(b"9c41", b"9c4") + rest,
                False,
            ),
            "no receipt": (b"HTTP/1.1 200 OK\r\n" + IDENTIFIER + rest, False),
            "an empty receipt": (
                HEAD.replace(b"Signature: s", b"Signature:") + rest,
                False,
            ),
            "another protocol": (b"HTTP/1.1 101 Switching\r\n" + own, False),
            "only interim": (b"HTTP/1.1 199 Soon\r\n" + own, False),
            "no content without a receipt": (
                b"HTTP/1.1 204 No Content\r\n" + IDENTIFIER + b"\r\n",
                False,
            ),
        }
        await self.check(cases)

    async def check(self, answers):
        """Check which answers are whole, before a close and before a reset."""
        for resets in (False, True):
            calls = [
                call(data, kind=ONCE, resets=resets) for data, _ in answers.values()
            ]
            results = await asyncio.gather(*calls)
            for (name, (_, is_whole)), result in zip(
                answers.items(), results, strict=True
            ):
                with self.subTest(name, resets=resets):
                    response, other_count = result
                    self.assertEqual((response.ended, other_count), ("complete", 0))
                    body = bytes(response.body) if is_whole else None
                    got = (response.status, body)
                    self.assertEqual(got, (200, BODY) if is_whole else (502, None))


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

    async def test_another_answer_in_a_stream(self):
        """A stream breaks off where the head of an answer begins."""
        head = b"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\n"
        stream = HEAD + STREAM_TYPE + b"\r\n" + build_event(1)
        answers = {
            "behind an event": stream + head + b"error",
            "inside an identifier": stream + b"id: 2" + head + b"error",
            "inside a name": stream + b"id: 2\nda" + head + b"error",
            "behind a line": stream + b"id: 2\ndata: y\n" + head + b"error",
            "with another length": (
                HEAD
                + STREAM_TYPE
                + build_length(build_event(1) + head)
                + b"\r\n"
                + build_event(1)
                + head
            ),
        }
        begun = (200, "aborted", build_event(1))
        await self.check(answers, kind=STREAM_ONCE, expected=begun)
        await self.check(answers, kind=RESUMABLE, expected=(200, "complete", EVENTS))
        first = {"before an event": HEAD + STREAM_TYPE + b"\r\n" + head + b"error"}
        error = encode_error("another answer inside the stream")
        await self.check(first, kind=STREAM_ONCE, expected=(502, "complete", error))

    async def test_events_that_speak_of_answers(self):
        """The data of an event may be anything."""
        events = b"id: 1\ndata: HTTP/1.1 500 Failed\n\nid: 2\ndata:HTTP/1.1 200\n\n"
        answers = {"till close": HEAD + STREAM_TYPE + b"\r\n" + events}
        await self.check(answers, kind=STREAM_ONCE, expected=(200, "complete", events))

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


FIELDS = st.sampled_from(
    [
        b"X-A: b",
        b"X-Fold: a\r\n b",
        b"Connection: close",
        b"Keep-Alive: timeout=1",
        b"Content-Encoding: gzip",
        b"Content-Type: text/plain",
        b"Content-Length: 3",
        b"Content-Length: +3",
        b"Content-Length:",
        b"Transfer-Encoding: gzip",
        b"Transfer-Encoding: chunked",
        b"Trailer: X-A",
        b"no colon",
        b"X-Utf: \xff\xfe\xc3",
    ]
)
INTERIM = st.sampled_from([b"", BEFORE["100"], BEFORE["103"] * 2])
BODIES = st.binary(min_size=1, max_size=40)


class SocketOfBytes:
    """What the HTTP client of the standard library reads an answer from."""

    def __init__(self, data):
        self._data = data

    def makefile(self, mode):
        return io.BytesIO(self._data)


def read_with_other_parser(data):
    """Return the body of an answer; raise an error if it has no whole one."""
    response = http.client.HTTPResponse(SocketOfBytes(data), method="POST")
    response.begin()
    return response.read()


class FuzzTests(unittest.TestCase):
    """Answers drawn at random, and parts of them."""

    def setUp(self):
        self.run_in_loop = self.enterContext(asyncio.Runner()).run

    async def call_all(self, answers, resets):
        """Return the result of each answer on both kinds of route."""
        pairs = list(itertools.product(answers, (ONCE, STREAM_ONCE)))
        calls = [call(data, kind=kind, resets=resets) for data, kind in pairs]
        return list(zip(pairs, await asyncio.gather(*calls), strict=True))

    # The derandomized examples depend on the source text of these tests.
    @settings(max_examples=40, deadline=None, derandomize=True, database=None)
    @given(
        st.booleans(),
        st.lists(FIELDS, max_size=3),
        INTERIM,
        BODIES,
        st.sets(st.integers(0, 400), min_size=4, max_size=8),
        st.booleans(),
    )
    def test_parts_of_answers(self, is_chunked, fields, interim, body, cuts, resets):
        """No part of an answer that marks its end is framed as whole."""
        lines = b"".join(field + b"\r\n" for field in fields)
        lines += CHUNKED if is_chunked else build_length(body)
        rest = build_chunks(body) if is_chunked else body
        whole = interim + HEAD + lines + b"\r\n" + rest
        sizes = {len(whole), *(cut % len(whole) for cut in cuts)}
        answers = [whole[:size] for size in sizes]
        results = self.run_in_loop(self.call_all(answers, resets))
        for (data, kind), (response, other_count) in results:
            case = (data, kind, response.status, bytes(response.body))
            self.assertEqual((response.ended, other_count), ("complete", 0), case)
            if response.status == 200:
                # It may be refused for one of its lines.
                self.assertEqual((data, bytes(response.body)), (whole, body), case)
            else:
                self.assertEqual(response.status, 502, case)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(st.one_of(FIELDS, st.binary(max_size=30)), max_size=3),
        st.one_of(st.binary(max_size=60), BODIES.map(build_chunks)),
        st.booleans(),
    )
    def test_any_bytes(self, fields, rest, resets):
        """What is framed as whole is so for another parser, too."""
        data = b"\r\n".join([HEAD.rstrip(), *fields, b"", rest])
        results = self.run_in_loop(self.call_all([data], resets))
        for (_, kind), (response, other_count) in results:
            case = (data, kind, response.status, bytes(response.body))
            self.assertEqual(other_count, 0, case)
            self.assertIn(response.status, (200, 502), case)
            if response.status == 200 and response.ended == "complete":
                body = read_with_other_parser(data)
                self.assertEqual(bytes(response.body), body, case)
