import unittest

from carobspring.metering import UsageCollection
from carobspring.protocol import EntryUsage, WindowUsage


def build(entry, complete_ms, *windows, since_ms=0, boot_ms=1):
    return EntryUsage(
        entry_id=entry,
        boot_ms=boot_ms,
        since_ms=since_ms,
        complete_ms=complete_ms,
        windows=tuple(
            WindowUsage(window=window, counts=counts) for window, counts in windows
        ),
    )


class UsageCollectionTests(unittest.TestCase):
    """Usage that entries report, at one replica."""

    def setUp(self):
        self.collection = UsageCollection(window_s=5.0)

    def test_sum(self):
        """Entries add up, and so do the starts of an entry; repeats do not."""
        for usage in (
            build("e1", 6_000, (0, {"a": 3, "b": 1})),
            build("e1", 6_000, (0, {"a": 3, "b": 1})),
            build("e1", 5_500, (0, {"a": 2})),
            build("e2", 6_000, (0, {"a": 5})),
            build("e2", 7_000, (0, {"a": 1}), boot_ms=2),
        ):
            self.collection.merge(usage)
        self.assertEqual(
            self.collection.sum_window(0),
            WindowUsage(window=0, counts={"a": 9, "b": 1}),
        )

    def test_incomplete(self):
        """An entry is complete up to where no report of it was missed."""
        cases = [
            ("never heard", (), ["e1"]),
            ("all reported", (build("e1", 10_000),), []),
            ("too early", (build("e1", 9_999),), ["e1"]),
            (
                "overlapping reports",
                (build("e1", 9_000), build("e1", 12_000, since_ms=9_000)),
                [],
            ),
            (
                "a report was missed",
                (build("e1", 8_000), build("e1", 12_000, since_ms=9_000)),
                ["e1"],
            ),
            (
                "made up for by a complete one",
                (build("e1", 12_000, since_ms=9_000), build("e1", 12_500)),
                [],
            ),
        ]
        for name, usages, incomplete in cases:
            with self.subTest(name):
                collection = UsageCollection(window_s=5.0)
                for usage in usages:
                    collection.merge(usage)
                self.assertEqual(collection.list_incomplete(["e1"], 10_000), incomplete)

    def test_changes(self):
        """Each change is passed on once, and the end of a window too."""
        self.collection.merge(build("e1", 6_000, (0, {"a": 3}), (1, {"a": 1})))
        self.assertEqual(
            self.collection.take_changes(),
            (build("e1", 6_000, (0, {"a": 3}), (1, {"a": 1})),),
        )
        self.assertEqual(self.collection.take_changes(), ())
        self.collection.merge(build("e1", 7_000, (1, {"a": 1}), since_ms=4_000))
        self.assertEqual(self.collection.take_changes(), ())
        self.collection.merge(build("e1", 10_000, (1, {"a": 2}), since_ms=7_000))
        self.assertEqual(
            self.collection.take_changes(),
            (build("e1", 10_000, (1, {"a": 2}), since_ms=6_000),),
        )
        self.collection.merge(build("e1", 15_000, since_ms=9_000))
        self.assertEqual(
            self.collection.take_changes(), (build("e1", 15_000, since_ms=10_000),)
        )

    def test_a_new_leader_gets_everything(self):
        """What an earlier leader was told is passed on to the next one."""
        self.collection.merge(build("e1", 6_000, (0, {"a": 3})))
        self.collection.take_changes()
        self.collection.forget_forwarded()
        self.assertEqual(
            self.collection.take_changes(), (build("e1", 6_000, (0, {"a": 3})),)
        )

    def test_expiry(self):
        """Old windows and entries that are gone are forgotten."""
        self.collection.merge(build("e1", 6_000, (0, {"a": 3}), (1, {"a": 1})))
        self.collection.expire(65_000)
        self.assertEqual(self.collection.list_windows(), [1])
        self.collection.expire(70_000)
        self.assertEqual(self.collection.list_windows(), [])
        self.assertEqual(self.collection.list_incomplete(["e1"], 1), ["e1"])

    def test_clock_ahead(self):
        """An entry whose clock was far ahead is not held for complete."""
        self.collection.merge(build("e1", 9_000_000, (1_700, {"a": 3})))
        self.collection.expire(10_000)
        self.assertEqual(self.collection.list_windows(), [])
        self.assertEqual(self.collection.list_incomplete(["e1"], 10_000), ["e1"])
        self.collection.merge(build("e1", 12_000, (1, {"a": 2})))
        self.assertEqual(self.collection.list_windows(), [1])
        self.collection.expire(100_000)
        self.assertEqual(self.collection.take_changes(), ())

    def test_unusable_counts(self):
        """Counts that no entry can have reached make no sum or window."""
        self.collection.merge(build("e1", 6_000, (0, {"a": 2**64 - 1, "b": 1})))
        self.collection.merge(build("e2", 6_000, (0, {"a": -4}), (1, {})))
        self.assertEqual(self.collection.list_windows(), [0])
        self.assertEqual(self.collection.sum_window(0).counts, {"b": 1})

    def test_bounded(self):
        """Names that never end do not fill the memory."""
        for number in range(5_000):
            self.collection.merge(build(f"e{number}", 6_000, (0, {"a": 1})))
        self.assertEqual(self.collection.sum_window(0).counts, {"a": 4_096})


if __name__ == "__main__":
    unittest.main()
