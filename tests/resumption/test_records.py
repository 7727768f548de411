import unittest
from dataclasses import replace

from carobspring.protocol import StreamRecord
from carobspring.resumption import (
    StreamRecordTable,
    build_stream_key,
    compute_lifetime_s,
)
from carobspring.resumption.records import MAX_LIFETIME_S, MAX_STREAMS

RECORD = StreamRecord(stream=b"s1", service="svc", version="v1", left_ms=5000)
OTHER_SERVICE = replace(RECORD, service="other", version="v7")
OTHER_VERSION = replace(RECORD, version="v2")


class StreamKeyTests(unittest.TestCase):
    def test_keys_differ_by_workspace(self):
        """A request names a stream of its own workspace only."""
        pairs = [("acme", "r1"), ("acm", "er1"), ("", "acmer1"), ("acme", "r2")]
        keys = {build_stream_key(*pair) for pair in pairs}
        self.assertEqual(len(keys), len(pairs))
        self.assertEqual(build_stream_key("a", "r"), build_stream_key("a", "r"))


class StreamRecordTableTests(unittest.TestCase):
    def test_found_records(self):
        """Records are found by stream until they expire, the latest last."""
        cases = {
            # name: (records added at 0, time, found versions by service)
            "one": ((RECORD,), 1.0, {"svc": "v1"}),
            "repeated": ((RECORD, RECORD), 1.0, {"svc": "v1"}),
            "expired": ((RECORD,), 5.0, {}),
            "just before it expires": ((RECORD,), 4.99, {"svc": "v1"}),
            "of another stream": ((replace(RECORD, stream=b"s2"),), 1.0, {}),
            "of two services": (
                (RECORD, OTHER_SERVICE),
                1.0,
                {"svc": "v1", "other": "v7"},
            ),
            "the first service again": (
                (RECORD, OTHER_SERVICE, RECORD),
                1.0,
                {"other": "v7", "svc": "v1"},
            ),
            "of two versions": ((RECORD, OTHER_VERSION), 1.0, {"svc": None}),
            "of two versions, and one again": (
                (RECORD, OTHER_VERSION, RECORD),
                1.0,
                {"svc": None},
            ),
            "with a later end": (
                (replace(RECORD, left_ms=9000), RECORD),
                8.0,
                {"svc": "v1"},
            ),
            "longer than allowed": (
                (replace(RECORD, left_ms=10**9),),
                MAX_LIFETIME_S,
                {},
            ),
            "without time left": ((replace(RECORD, left_ms=-1),), 0.0, {}),
        }
        for name, (records, now, expected) in cases.items():
            with self.subTest(name):
                table = StreamRecordTable()
                for record in records:
                    table.add(record, 0.0)
                found = {each.service: each.version for each in table.find(b"s1", now)}
                self.assertEqual(list(found.items()), list(expected.items()))

    def test_time_left(self):
        """A record that is found tells what is left of its time."""
        table = StreamRecordTable()
        table.add(RECORD, 10.0)
        self.assertEqual(table.find(b"s1", 13.0), (replace(RECORD, left_ms=2000),))

    def test_unsent_records(self):
        """Each record that this entry has not sent is returned once."""
        table = StreamRecordTable()
        table.add(RECORD, 0.0, is_unsent=True)
        table.add(replace(RECORD, stream=b"s2"), 0.0)
        table.add(replace(OTHER_SERVICE, stream=b"s3"), 0.0, is_unsent=True)
        table.add(replace(RECORD, stream=b"s4", left_ms=100), 0.0, is_unsent=True)
        unsent = [each.stream for each in table.take_unsent("svc", 1.0)]
        self.assertEqual(unsent, [b"s1"])
        self.assertEqual(table.take_unsent("svc", 1.0), ())

    def test_bound(self):
        """The oldest streams are given up first."""
        table = StreamRecordTable()
        for number in range(MAX_STREAMS + 1):
            table.add(replace(RECORD, stream=number.to_bytes(4)), 0.0)
        found = [bool(table.find(n.to_bytes(4), 1.0)) for n in (0, 1, MAX_STREAMS)]
        self.assertEqual(found, [False, True, True])

    def test_lifetime(self):
        """A stream may be taken up until the later of two deadlines."""
        for timeouts, expected in (
            ((5000.0, 3000.0), 5.0),
            ((400.0, 12_000.0), 12.0),
            ((400.0, 1e11), MAX_LIFETIME_S),
        ):
            with self.subTest(timeouts=timeouts):
                self.assertEqual(compute_lifetime_s(*timeouts), expected)
