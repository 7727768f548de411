import unittest

from standins.events import StreamEvent, format_event, parse_event, parse_stream
from standins.odd_continuations import build_odd_continuations, is_odd_text

EVENT = StreamEvent(number=3, version="v2")


class EventTests(unittest.TestCase):
    def test_formats(self):
        """An event is read as it was written, and nothing else is one."""
        text = format_event(EVENT)
        self.assertEqual(text, b"id: 3\ndata: 3 v2\n\n")
        self.assertEqual(parse_event(text[:-2]), EVENT)
        cases = (b"", b"data: 3 v2", b"id: 3", b"id: 3\ndata: 4 v2", text)
        for other in cases:
            with self.subTest(other):
                self.assertIsNone(parse_event(other))

    def test_streams(self):
        """What a caller got is split into events, foreign texts and a rest."""
        event = format_event(EVENT)
        cases = {
            "events": (event * 2, [3, 3], (), b""),
            "a foreign event": (event + b"x\n\n" + event, [3, 3], (b"x",), b""),
            "part of an event": (event + b"id: 4\nda", [3], (), b"id: 4\nda"),
            "part of a text": (event + b"HT", [3], (b"HT",), b"HT"),
        }
        for name, (body, numbers, foreign, rest) in cases.items():
            with self.subTest(name):
                text = parse_stream(body)
                self.assertEqual(
                    (text.numbers, text.foreign, text.rest), (numbers, foreign, rest)
                )


class OddContinuationTests(unittest.TestCase):
    def test_responses(self):
        """Each response differs from a right one in what its name says."""
        rights = []
        for name, odd in build_odd_continuations(2, "v2").items():
            text = parse_stream(odd.body)
            if (
                (odd.status, odd.content_type) == (200, "text/event-stream")
                and (odd.is_signed, odd.is_endless) == (True, False)
                and (text.numbers, text.foreign, text.rest) == ([3], (), b"")
            ):
                rights.append(name)
        self.assertEqual(rights, [])

    def test_texts(self):
        """A text of one response is told from a joint one."""
        event = format_event(EVENT)
        cases = {
            "filler": (b"xxx", True),
            "event": (event, True),
            "filler and event": (b"xxx" + event, False),
            "two events": (event + event, False),
        }
        for name, (body, expected) in cases.items():
            with self.subTest(name):
                self.assertIs(is_odd_text(body), expected)
