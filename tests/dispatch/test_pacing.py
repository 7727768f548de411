import unittest

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch.pacing import LocalPace


class LocalPaceTests(unittest.TestCase):
    def count_sent(self, *, entries, demand_from=0.0, seconds=60.0, rate=1.8):
        """Return the send times of entries that want to send all the time."""
        paces = [LocalPace(random=SystemRandom(seed=n)) for n in range(entries)]
        sent = []
        for step in range(int(seconds * 20)):
            now = step / 20
            for pace in paces:
                if now >= demand_from or now == 0.0:
                    if pace.take(rate, entries, now) == 0.0:
                        sent.append(now)
        return sent

    def test_many_entries_without_a_host(self):
        """All entries together keep the rate, also after a quiet time."""
        for entries in (1, 4, 8, 70, 400):
            for demand_from in (0.0, 50.0):
                with self.subTest(entries=entries, demand_from=demand_from):
                    sent = self.count_sent(entries=entries, demand_from=demand_from)
                    for start in sent:
                        count = sum(start <= at < start + 4.0 for at in sent)
                        self.assertLessEqual(count, 1.5 * 1.8 * 4 + 5)

    def test_part_is_used(self):
        """An entry that always has requests uses its whole part."""
        sent = self.count_sent(entries=4)
        self.assertGreater(len(sent), 0.8 * 1.8 * 60)

    def test_wait(self):
        """The time until the next part is exact."""
        pace = LocalPace(random=SystemRandom(seed=1))
        wait_s = pace.take(2.0, 4, 10.0)
        self.assertTrue(0.0 < wait_s < 2.0)
        self.assertEqual(pace.take(2.0, 4, 10.0 + wait_s), 0.0)
        self.assertAlmostEqual(pace.take(2.0, 4, 10.0 + wait_s), 2.0)
