import unittest

from carobspring.scheduling.limit import ConcurrencyLimit
from carobspring.scheduling.predictor import ServiceTimePredictor
from carobspring.scheduling.starvation import compute_start_window


class ConcurrencyLimitTests(unittest.TestCase):
    def run_samples(self, observed_by_limit, *, seconds=60):
        """Return the limits seen while one sample comes every 100 ms."""
        limit = ConcurrencyLimit(slots=8)
        seen = []
        for step in range(seconds * 10):
            now = step / 10
            limit.add_sample(observed_by_limit(limit.value), 0.05, now=now)
            limit.note_full(now=now)
            seen.append(limit.value)
        return seen

    def test_where_it_settles(self):
        """It follows what the server can do within what the class allows."""
        cases = {
            "room": (lambda value: 0.01, 8, 8),
            "too crowded": (lambda value: 0.012 * value, 3, 5),
            "just right": (lambda value: 0.045, 8, 8),
        }
        for name, (observed, low, high) in cases.items():
            with self.subTest(name):
                settled = self.run_samples(observed)[-100:]
                self.assertGreaterEqual(min(settled), low)
                self.assertLessEqual(max(settled), high)

    def test_grows_back(self):
        """After the crowding it returns to the slots, one at a time."""
        limit = ConcurrencyLimit(slots=8)
        for step in range(100):
            limit.add_sample(0.012 * limit.value, 0.05, now=step / 10)
        cut = limit.value
        self.assertLess(cut, 8)
        seen = []
        for step in range(200):
            now = 10 + step / 10
            limit.add_sample(0.01, 0.05, now=now)
            limit.note_full(now=now)
            seen.append(limit.value)
        self.assertEqual(sorted(set(seen)), list(range(cut, 9)))

    def test_useless_cuts_are_taken_back(self):
        """A server that is slow by itself keeps its slots."""
        seen = self.run_samples(lambda value: 0.2, seconds=30)
        self.assertLess(min(seen), 8)
        self.assertEqual(seen[-1], 8)

    def test_never_below_one(self):
        """However bad the times are, one call runs."""
        limit = ConcurrencyLimit(slots=1)
        for step in range(100):
            limit.add_sample(9.0, 0.05, now=step * 3.0)
            self.assertEqual(limit.value, 1)


class ServicePredictorTests(unittest.TestCase):
    def test_one_odd_sample_moves_little(self):
        """A workspace's first sample counts a fifth against its class."""
        predictor = ServiceTimePredictor()
        for _ in range(50):
            predictor.add("chat", "usual", 1.0)
        before = predictor.predict("chat", "odd")
        predictor.add("chat", "odd", 101.0)
        moved = predictor.predict("chat", "odd") - before
        self.assertAlmostEqual(before, 1.0)
        self.assertLess(moved, 24.0)
        self.assertGreater(moved, 18.0)

    def test_unknown(self):
        """Nothing seen, nothing said; an unknown class goes by all calls."""
        predictor = ServiceTimePredictor()
        self.assertEqual(predictor.predict("chat", "w"), 0.0)
        predictor.add("other", "w", 2.0)
        self.assertEqual(predictor.predict("chat", "w"), 2.0)


class WindowTests(unittest.TestCase):
    def test_window_grows_with_the_work(self):
        """Long calls get a larger window, within bounds."""
        cases = {
            "equal": (1.0, [1.0, 1.0], 2, 20),
            "five times": (5.0, [1.0, 5.0], 2, 100),
            "bounded": (500.0, [1.0, 500.0], 2, 200),
            "unknown": (0.0, [0.0], 1, 20),
            "many classes": (1.0, [1.0], 10, 40),
        }
        for name, (work_s, others, classes, window) in cases.items():
            with self.subTest(name):
                self.assertEqual(
                    compute_start_window(work_s, others, classes=classes), window
                )
