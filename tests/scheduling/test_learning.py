import unittest

from carobspring.scheduling.limit import ConcurrencyLimit
from carobspring.scheduling.predictor import ServiceTimePredictor
from carobspring.scheduling.starvation import compute_start_window


class ConcurrencyLimitTests(unittest.TestCase):
    def collect_limits(self, observed_by_limit, *, seconds=60):
        """Return the limit after each sample, with one every 100 ms."""
        limit = ConcurrencyLimit(slots=8)
        limits = []
        for step in range(seconds * 10):
            now = step / 10
            limit.add_sample(observed_by_limit(limit.value), 0.05, now=now)
            limit.record_saturation(now=now)
            limits.append(limit.value)
        return limits

    def test_converges_to_server_capacity(self):
        """The limit settles where latencies meet what the class allows."""
        cases = {
            "fast server": (lambda value: 0.01, 8, 8),
            "overloaded": (lambda value: 0.012 * value, 3, 5),
            "near the allowed time": (lambda value: 0.045, 8, 8),
        }
        for name, (observed, low, high) in cases.items():
            with self.subTest(name):
                settled = self.collect_limits(observed)[-100:]
                self.assertGreaterEqual(min(settled), low)
                self.assertLessEqual(max(settled), high)

    def test_recovers_after_overload(self):
        """After an overload the limit grows back to the slots one by one."""
        limit = ConcurrencyLimit(slots=8)
        for step in range(100):
            limit.add_sample(0.012 * limit.value, 0.05, now=step / 10)
        lowest = limit.value
        self.assertLess(lowest, 8)
        limits = []
        for step in range(200):
            now = 10 + step / 10
            limit.add_sample(0.01, 0.05, now=now)
            limit.record_saturation(now=now)
            limits.append(limit.value)
        self.assertEqual(sorted(set(limits)), list(range(lowest, 9)))

    def test_ineffective_decreases_are_reverted(self):
        """Slots are kept if decreases don't lower a server's latency."""
        limits = self.collect_limits(lambda value: 0.2, seconds=30)
        self.assertLess(min(limits), 8)
        self.assertEqual(limits[-1], 8)

    def test_never_below_one(self):
        """The limit is at least 1, however high the latencies are."""
        limit = ConcurrencyLimit(slots=1)
        for step in range(100):
            limit.add_sample(9.0, 0.05, now=step * 3.0)
            self.assertEqual(limit.value, 1)


class ServiceTimePredictorTests(unittest.TestCase):
    def test_outlier_has_bounded_effect(self):
        """A workspace's first sample moves its prediction by a fifth."""
        predictor = ServiceTimePredictor()
        for _ in range(50):
            predictor.add("chat", "typical", 1.0)
        before = predictor.predict("chat", "outlier")
        predictor.add("chat", "outlier", 101.0)
        moved = predictor.predict("chat", "outlier") - before
        self.assertAlmostEqual(before, 1.0)
        self.assertLess(moved, 24.0)
        self.assertGreater(moved, 18.0)

    def test_without_samples(self):
        """It is zero at first; a new class gets the mean of all calls."""
        predictor = ServiceTimePredictor()
        self.assertEqual(predictor.predict("chat", "w"), 0.0)
        predictor.add("other", "w", 2.0)
        self.assertEqual(predictor.predict("chat", "w"), 2.0)


class StartWindowTests(unittest.TestCase):
    def test_window_grows_with_expected_time(self):
        """Classes of long calls get a larger window, within bounds."""
        cases = {
            "equal": (1.0, [1.0, 1.0], 2, 20),
            "five times longer": (5.0, [1.0, 5.0], 2, 100),
            "bounded": (500.0, [1.0, 500.0], 2, 200),
            "no samples": (0.0, [0.0], 1, 20),
            "many classes": (1.0, [1.0], 10, 40),
        }
        for name, (expected_s, others, classes, window) in cases.items():
            with self.subTest(name):
                self.assertEqual(
                    compute_start_window(expected_s, others, classes=classes), window
                )
