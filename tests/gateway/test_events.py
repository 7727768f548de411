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
