import unittest

from carobspring.gateway.events import EventSplitter, StreamEvent


class EventSplitterTests(unittest.TestCase):
    def test_any_cut(self):
        """Events come out whole, wherever the bytes were cut."""
        stream = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4"
        expected = [
            StreamEvent(data=b"id: 1\ndata: a\n\n", event_id="1"),
            StreamEvent(data=b"id:2\r\ndata: b\r\n\r\n", event_id="2"),
            StreamEvent(data=b"data: c\n\n", event_id=""),
        ]
        for step in range(1, len(stream) + 1):
            with self.subTest(step=step):
                splitter = EventSplitter()
                found = []
                for start in range(0, len(stream), step):
                    found += splitter.feed(stream[start : start + step])
                self.assertEqual(found, expected)
                self.assertEqual(splitter.buffered_bytes, len(b"id: 4"))
