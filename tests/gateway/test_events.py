import unittest

from carobspring.gateway.events import EventSplitter, StreamEvent


class EventSplitterTests(unittest.TestCase):
    def test_chunk_sizes(self):
        """Events are complete for every size of the chunks."""
        stream = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4"
        expected = [
            StreamEvent(data=b"id: 1\ndata: a\n\n", event_id="1"),
            StreamEvent(data=b"id:2\r\ndata: b\r\n\r\n", event_id="2"),
            StreamEvent(data=b"data: c\n\n", event_id=""),
        ]
        for chunk_size in range(1, len(stream) + 1):
            with self.subTest(chunk_size=chunk_size):
                splitter = EventSplitter()
                events = []
                for start in range(0, len(stream), chunk_size):
                    events += splitter.feed(stream[start : start + chunk_size])
                self.assertEqual(events, expected)
                self.assertEqual(splitter.buffered_bytes, len(b"id: 4"))

    def test_many_small_events(self):
        """A buffer full of line feeds is split in one pass over it."""
        splitter = EventSplitter()
        events = splitter.feed(b"\n" * 100_001)
        self.assertEqual(len(events), 50_000)
        self.assertEqual(splitter.buffered_bytes, 1)


class StreamEventTests(unittest.TestCase):
    def test_heads_inside_events(self):
        """The head of a response is found outside of an event's data."""
        head = b"HTTP/1.1 500 Failed\r\n\r\n"
        cases = {
            "a head": (head, True),
            "inside a name": (b"id: 1\nda" + head, True),
            "inside an identifier": (b"id: 1" + head, True),
            "in a comment": (b": x" + head, True),
            "data": (b"id: 1\ndata: " + head, False),
            "data without a space": (b"data:" + head, False),
            "several lines of data": (b"data: a\ndata: " + head, False),
            "another version": (b"HTTP/2 500\n\n", False),
            "no status": (b"x: HTTP/1.1\n\n", False),
        }
        for name, (data, expected) in cases.items():
            with self.subTest(name):
                event = StreamEvent(data=data, event_id="")
                self.assertIs(event.holds_head, expected)
