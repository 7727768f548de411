import tracemalloc
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
        events = list(splitter.feed(b"\n" * 100_001))
        self.assertEqual(len(events), 50_000)
        self.assertEqual(splitter.buffered_bytes, 1)

    def test_memory_of_many_lines(self):
        """An event takes no more memory for its lines than for its bytes."""
        data = b"x\n" * 500_000 + b"\n"
        splitter = EventSplitter()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        (event,) = splitter.feed(data)
        facts = (event.event_id, event.is_comment, event.holds_head)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(facts, ("", True, False))
        # The buffer, which has some room to grow, and the event.
        self.assertLess(peak_bytes, 3 * len(data))


class StreamEventTests(unittest.TestCase):
    def test_fields(self):
        """A field begins a line, whatever ended the line before."""
        cases = {
            "data": (b"data: x\n\n", "", False),
            "data without a colon": (b"data\n\n", "", False),
            "data behind a carriage return": (b": x\rdata: x\n\n", "", False),
            "a longer name": (b"data2: x\n\n", "", True),
            "data inside a line": (b": data: x\n\n", "", True),
            "an identifier alone": (b"id: 7\r\n\r\n", "7", False),
            "an identifier inside a line": (b": id: 7\n\n", "", True),
            "two identifiers": (b"id:1\nid:2\ndata: x\n\n", "1", False),
            "nothing": (b"\n\n", "", True),
        }
        for name, (data, event_id, is_comment) in cases.items():
            with self.subTest(name):
                (event,) = EventSplitter().feed(data)
                self.assertEqual(event.event_id, event_id)
                self.assertIs(event.is_comment, is_comment)

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
