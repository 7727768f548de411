import unittest

from hypothesis import example, given, settings, strategies

from carobspring.domain import ServerLoad
from carobspring.platform import (
    RequestMetadata,
    ResponseMetadata,
    build_backend_headers,
    build_error_headers,
    parse_request_headers,
    parse_response_headers,
)
from carobspring.platform.headers import PromptPart

REQUEST = (
    ("Host", "h.example"),
    ("Carobspring-Attempt-Id", "9c41"),
    ("Last-Event-Id", "12"),
    ("Carobspring-Model", "m"),
    ("Carobspring-Token-Usage", "1460,80"),
    ("Carobspring-Prefix-Hash", "5c1e:800,91bd:410,e440:250"),
    ("Resumes", "8b30"),
    ("Carobspring-Output-Length-Hint", "60"),
    ("Carobspring-Deadline-Ms", "5000"),
    ("Authorization", "Bearer key-1"),
)


#: Names that are parsed, and values that a faulty peer may give them.
NAMES = (
    *(name for name, _ in REQUEST),
    "Carobspring-Upstream-Load",
    "Server-Limit",
    "Server-Leaving",
    "Retry-After",
    "Content-Type",
    "Connection",
)
HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES),
        strategies.sampled_from(
            ("9" * 5000, "1" * 20, "\xb2", "nan", "inf", "-1", "1e999", ",", ":")
            + ("3,0,8", "x:" + "9" * 5000, "a:1,b:\xb9")
        )
        | strategies.text(strategies.characters(max_codepoint=255), max_size=10),
    )
)


class RequestTests(unittest.TestCase):
    def test_metadata(self):
        """Headers are parsed whatever the case of their names."""
        headers = tuple((name.upper(), value) for name, value in REQUEST)
        self.assertEqual(
            parse_request_headers(headers),
            RequestMetadata(
                request_id="9c41",
                host="h.example",
                api_key="key-1",
                timeout_ms=5000,
                prompt_tokens=1460,
                max_output_tokens=80,
                expected_output_tokens=60,
                prompt_parts=(
                    PromptPart(part_id="5c1e", tokens=800),
                    PromptPart(part_id="91bd", tokens=410),
                    PromptPart(part_id="e440", tokens=250),
                ),
                last_event_id="12",
                resumed_request_id="8b30",
            ),
        )

    def test_malformed_values_are_ignored(self):
        """Malformed values count as not given."""
        cases = {
            "Carobspring-Deadline-Ms": ("-1", "x", "nan", "inf"),
            "Carobspring-Token-Usage": ("a,b", "", "-1,2"),
            "Carobspring-Prefix-Hash": ("5c1e", "5c1e:x", ":"),
            "Authorization": ("Basic abc", "key-1"),
        }
        for name, values in cases.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    metadata = parse_request_headers(((name, value),))
                    self.assertEqual(metadata, RequestMetadata())

    def test_backend_headers(self):
        """Headers that only the system may set replace those of the caller."""
        forged = (
            ("carobspring-tenant", "other"),
            ("CAROBSPRING-EXPECTED-INSTANCE", "i-9"),
            ("Carobspring-Request-Priority", "0"),
            ("Carobspring-Expected-Version", "1"),
            ("Carobspring-Cache-Pin-Ms", "9"),
            ("Carobspring-Cache-Retention", "x"),
            ("Carobspring-Kv-Replica", "10.0.0.1:1"),
            ("kv-from", "10.0.0.1:1/x"),
            ("Kv-Fetch", "10.0.0.1:1"),
            ("X-Own", "kept"),
        )
        backend_headers = build_backend_headers(
            REQUEST[:7] + forged + REQUEST[8:],
            server_id="i-1",
            workspace="acme",
            remaining_ms=4321.9,
            priority=12,
        )
        self.assertEqual(
            backend_headers,
            REQUEST[:7]
            + (
                ("X-Own", "kept"),
                ("Carobspring-Deadline-Ms", "4321"),
                ("Carobspring-Expected-Instance", "i-1"),
                ("Carobspring-Tenant", "acme"),
                ("Carobspring-Request-Priority", "9"),
            ),
        )

    def test_resumed_stream(self):
        """The gateway's last event identifier replaces that of the caller."""
        backend_headers = build_backend_headers(
            REQUEST,
            server_id="i-1",
            workspace="",
            remaining_ms=0.2,
            priority=None,
            last_event_id="30",
            prompt_source="10.0.0.1:80",
        )
        self.assertEqual(
            backend_headers[-4:],
            (
                ("Carobspring-Deadline-Ms", "1"),
                ("Carobspring-Expected-Instance", "i-1"),
                ("Last-Event-Id", "30"),
                ("Kv-Fetch", "10.0.0.1:80"),
            ),
        )
        self.assertEqual(
            [v for k, v in backend_headers if k == "Last-Event-Id"], ["30"]
        )


class ResponseTests(unittest.TestCase):
    def test_metadata(self):
        """The headers show whether the request ran, and which one it was."""
        stream = ("Content-Type", "text/event-stream; charset=utf-8")
        cases = {
            "success": (
                200,
                (
                    ("Carobspring-Attempt-Id", "9c41"),
                    ("Carobspring-Upstream-Signature", "3e1b"),
                    ("Carobspring-Upstream-Load", "3,0,8"),
                    stream,
                ),
                ResponseMetadata(
                    request_id="9c41",
                    signature="3e1b",
                    load=ServerLoad(running=3, waiting=0, slots=8),
                    is_event_stream=True,
                ),
            ),
            "shed": (
                503,
                (("Carobspring-Not-Executed", "1"),),
                ResponseMetadata(not_run=True),
            ),
            "misdirected": (421, (), ResponseMetadata(not_run=True)),
            "an identifier twice": (
                200,
                (
                    ("Carobspring-Attempt-Id", "9c41"),
                    ("carobspring-attempt-id", "9c41"),
                ),
                ResponseMetadata(request_id="9c41"),
            ),
            "two identifiers": (
                200,
                (("Carobspring-Attempt-Id", "9c41"), ("Carobspring-Attempt-Id", "77")),
                ResponseMetadata(request_id="77,9c41"),
            ),
            "not executed, but a success": (
                200,
                (("Carobspring-Not-Executed", "1"),),
                ResponseMetadata(),
            ),
            "an error after running": (503, (), ResponseMetadata()),
            "closes the connection": (
                200,
                (("Connection", "Close"),),
                ResponseMetadata(closes_connection=True),
            ),
        }
        for name, (status, headers, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(parse_response_headers(status, headers), expected)

    def test_load(self):
        """Servers that report more than three figures keep their load.

        Dropping it would leave placement without any load of the servers that
        report most.
        """
        cases = {
            "3,0,8": None,
            " 3 , 0 , 8 ": None,
            "3,0,8,100": 1.0,
            "3,0,8, 250 ": 2.5,
            "3,0,8,62.5": 0.625,
            "3,0,8,120,7": 1.2,
            "3,0,8,120,x,,\u00e9": 1.2,
            "3,0,8,": None,
            "3,0,8,x,5": None,
            "3,0,8,-5": None,
            "3,0,8,0": None,
            "3,0,8,nan": None,
            "3,0,8,inf": None,
            "3,0,8,1e400": None,
        }
        for text, slowdown in cases.items():
            with self.subTest(text):
                metadata = parse_response_headers(
                    200, (("Carobspring-Upstream-Load", text),)
                )
                expected = ServerLoad(running=3, waiting=0, slots=8, slowdown=slowdown)
                self.assertEqual(metadata.load, expected)

    def test_malformed_load(self):
        """A load without its first three figures is ignored."""
        for text in ("", "3,0", "3,,8", "x,0,8", "3,-1,8,100", "3,0,8.5,100"):
            with self.subTest(text):
                metadata = parse_response_headers(
                    200, (("Carobspring-Upstream-Load", text),)
                )
                self.assertIsNone(metadata.load)

    def test_rate_limit(self):
        """A limit is a number that is not negative; others are ignored."""
        cases = {
            "1.8": 1.8,
            "0": 0.0,
            " 20 ": 20.0,
            "": None,
            "-1": None,
            "nan": None,
            "inf": None,
            "many": None,
        }
        for value, expected in cases.items():
            with self.subTest(value):
                metadata = parse_response_headers(200, (("Server-Limit", value),))
                self.assertEqual(metadata.rate_limit, expected)
        self.assertIsNone(parse_response_headers(200, ()).rate_limit)

    def test_requested_rest(self):
        """Only a rejection asks for rest; what is no number is told apart."""
        cases = {
            # name: (status, value or None, expected flag and seconds)
            "whole seconds": (503, "3", (True, 3.0)),
            "a fraction": (503, " 0.25 ", (True, 0.25)),
            "negative": (503, "-1", (True, -1.0)),
            "not a number": (503, "soon", (True, None)),
            "nan": (503, "nan", (True, None)),
            "without end": (503, "inf", (True, None)),
            "a date": (503, "Fri, 31 Dec 1999 23:59:59 GMT", (True, None)),
            "empty": (503, "", (True, None)),
            "none": (503, None, (False, None)),
            "a success": (200, "3", (False, 3.0)),
            "too many requests": (429, "3", (False, 3.0)),
        }
        for name, (status, value, expected) in cases.items():
            with self.subTest(name):
                headers = () if value is None else (("retry-after", value),)
                metadata = parse_response_headers(status, headers)
                self.assertEqual((metadata.asks_for_rest, metadata.rest_s), expected)

    def test_leaving(self):
        """Any response may say that its server leaves."""
        cases = (("1", True), (" 1 ", True), ("0", False), ("", False), ("yes", False))
        for status in (200, 404, 500, 503):
            for value, expected in cases:
                with self.subTest(status=status, value=value):
                    headers = (("SERVER-LEAVING", value),)
                    metadata = parse_response_headers(status, headers)
                    self.assertIs(metadata.is_leaving, expected)

    def test_error_headers(self):
        """An error has the request's identifier and Retry-After."""
        self.assertEqual(
            build_error_headers(request_id="9c41", retry_after_s=0.25),
            (
                ("Content-Type", "application/json"),
                ("Carobspring-Attempt-Id", "9c41"),
                ("Retry-After", "0.250"),
            ),
        )
        self.assertEqual(
            build_error_headers(request_id="", retry_after_s=None),
            (("Content-Type", "application/json"),),
        )


class OtherValueTests(unittest.TestCase):
    """Values of headers that no sound peer sends."""

    @settings(derandomize=True, deadline=None)
    @given(HEADERS)
    @example([("Carobspring-Token-Usage", "9" * 5000)])
    def test_any_request(self, headers):
        """Malformed values of callers are ignored; numbers are bounded."""
        metadata = parse_request_headers(tuple(headers))
        numbers = (
            metadata.prompt_tokens,
            metadata.max_output_tokens,
            metadata.expected_output_tokens,
            metadata.timeout_ms,
            *(part.tokens for part in metadata.prompt_parts),
        )
        self.assertTrue(all(0 <= float(each) < 1e15 for each in numbers))

    @settings(derandomize=True, deadline=None)
    @given(strategies.sampled_from((200, 421, 500, 503)), HEADERS)
    @example(200, [("Carobspring-Upstream-Load", "9" * 5000 + ",0,8")])
    @example(200, [("Carobspring-Upstream-Load", "3,0,8," + "9" * 5000)])
    def test_any_response(self, status, headers):
        """The same for a backend server's."""
        metadata = parse_response_headers(status, tuple(headers))
        load = metadata.load
        if load is not None:
            figures = (load.running, load.waiting, load.slots, load.slowdown or 0.0)
            self.assertTrue(all(0 <= each < 1e15 for each in figures))
