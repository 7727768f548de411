import unittest

from carobspring.domain import LoadReport
from carobspring.scheduling import CallPreempted, CallWithdrawn, ClassPriorityChanged
from tests.scheduling.support import Driver


class OrderTests(unittest.TestCase):
    def test_order_of_starts(self):
        """Tiers go first, then slack to the target, then workspaces."""
        cases = {
            "arrival within a class": ([("a", {}), ("b", {})], ["a", "b"]),
            "higher tier": (
                [("low", {"priority": 1}), ("high", {"priority": 9})],
                ["high", "low"],
            ),
            "less slack in a tier": (
                [
                    ("slow", {"service_class": "s", "target_s": 9.0}),
                    ("fast", {"service_class": "f", "target_s": 3.0}),
                ],
                ["fast", "slow"],
            ),
            "age counts against the slack": (
                [
                    ("new", {"service_class": "s", "target_s": 9.0}),
                    ("old", {"service_class": "f", "target_s": 9.0, "age_s": 2.0}),
                ],
                ["old", "new"],
            ),
            "workspaces in turn": (
                [
                    ("a1", {"workspace": "a"}),
                    ("a2", {"workspace": "a"}),
                    ("a3", {"workspace": "a"}),
                    ("b1", {"workspace": "b"}),
                ],
                ["a1", "b1", "a2", "a3"],
            ),
            "still on time before late": (
                [
                    ("late", {"target_s": 1.0, "age_s": 5.0}),
                    ("timely", {"target_s": 9.0}),
                ],
                ["timely", "late"],
            ),
        }
        for name, (arrivals, expected) in cases.items():
            with self.subTest(name):
                driver = Driver()
                driver.arrive("first")
                for call_id, fields in arrivals:
                    driver.arrive(call_id, **fields)
                self.assertEqual(driver.run_all(), ["first", *expected])

    def test_changed_priority_moves_waiting_calls(self):
        """A class that the operator raises goes first at once."""
        driver = Driver()
        driver.arrive("first")
        driver.arrive("a", 5)
        driver.arrive("b", 1)
        driver.send(ClassPriorityChanged(service_class="class-1", priority=9))
        self.assertEqual(driver.run_all(), ["first", "b", "a"])

    def test_withdrawn_call_does_not_start(self):
        """A call that was withdrawn while it waited never starts."""
        driver = Driver()
        driver.arrive("first")
        driver.arrive("a")
        driver.arrive("b")
        driver.send(CallWithdrawn(call_id="a"))
        self.assertEqual(driver.run_all(), ["first", "b"])

    def test_late_call_gets_a_turn(self):
        """A late call starts though calls that are on time keep coming."""
        driver = Driver()
        driver.arrive("first")
        driver.arrive("late", target_s=0.5)
        driver.now = 1.0
        for number in range(40):
            driver.arrive(f"new-{number}", target_s=1000.0)
        self.assertLess(driver.run_all().index("late"), 10)

    def test_starts_are_charged_before_they_end(self):
        """Two slots that come free at once go to two workspaces."""
        driver = Driver(slots=2)
        driver.arrive("first", 9, exclusive=True)
        for call_id, workspace in (("a1", "a"), ("a2", "a"), ("b1", "b")):
            driver.arrive(call_id, workspace=workspace)
        driver.end("first")
        self.assertEqual(driver.running, {"a1", "b1"})

    def test_true_work_is_charged(self):
        """A workspace whose calls take longer than expected starts fewer."""
        driver = Driver()
        for number in range(40):
            driver.arrive(f"long-{number}", workspace="a")
            driver.arrive(f"short-{number}", workspace="b")
        while len(driver.starts) < 40:
            (call_id,) = driver.running
            driver.end(call_id, after=4.0 if "long" in call_id else 1.0)
        longs = sum("long" in call_id for call_id in driver.starts)
        self.assertLessEqual(longs, 12)


class AloneTests(unittest.TestCase):
    def test_runs_while_nothing_else_does(self):
        """It waits until the others ended, and the next wait for its end."""
        driver = Driver(slots=4)
        driver.arrive("a")
        driver.arrive("b")
        driver.arrive("struck", 9, exclusive=True)
        driver.arrive("c")
        self.assertEqual(driver.running, {"a", "b"})
        driver.end("a")
        self.assertEqual(driver.running, {"b"})
        driver.end("b")
        self.assertEqual(driver.running, {"struck"})
        driver.end("struck")
        self.assertEqual(driver.running, {"c"})

    def test_waits_for_a_preempted_call_to_stop(self):
        """A run that was told to stop is still there until it says so."""
        driver = Driver()
        driver.arrive("low", 1, restartable=True)
        driver.now = 0.3
        driver.arrive("high", 9, streamed=True, target_s=0.5, age_s=0.3)
        self.assertEqual(driver.starts, ["low", "high"])
        driver.arrive("struck", 9, exclusive=True)
        driver.end("high")
        self.assertEqual(driver.starts, ["low", "high"])
        driver.running.discard("low")
        driver.send(CallPreempted(call_id="low"))
        self.assertEqual(driver.running, {"struck"})


class RefusalTests(unittest.TestCase):
    def test_who_is_refused_by_a_full_queue(self):
        """The lowest tier gives way, then the workspace that holds most."""
        filled = [("x1", 5, "x"), ("x2", 5, "x"), ("x3", 5, "x")]
        cases = {
            "lower gives way": (filled, ("new", 9, "x"), ["x3"]),
            "higher stays": (filled, ("new", 1, "x"), ["new"]),
            "own tier, same workspace": (filled, ("new", 5, "x"), ["new"]),
            "own tier, largest share": (filled, ("new", 5, "y"), ["x3"]),
            "own tier, equal shares": (
                [("x1", 5, "x"), ("y1", 5, "y"), ("z1", 5, "z")],
                ("new", 5, "x"),
                ["new"],
            ),
        }
        for name, (before, (call_id, priority, workspace), refused) in cases.items():
            with self.subTest(name):
                driver = Driver(queue_calls=3)
                driver.arrive("first")
                for filled_id, filled_priority, filled_workspace in before:
                    driver.arrive(filled_id, filled_priority, "", filled_workspace)
                driver.arrive(call_id, priority, "", workspace)
                self.assertEqual(driver.refused, refused)

    def test_retry_after_from_drain_rate(self):
        """At 2 ends a second behind 4 calls, the next place is 2.5 s off."""
        driver = Driver(queue_calls=4)
        for number in range(200):
            driver.arrive(f"c{number}")
            if number >= 4:
                (running,) = driver.running
                driver.end(running, after=0.5, complete=False)
        driver.arrive("filling")
        driver.arrive("over")
        driver.arrive("over2")
        first, second = (driver.advices[name] for name in ("over", "over2"))
        self.assertAlmostEqual(first, 2500, delta=100)
        self.assertAlmostEqual(second - first, 500, delta=50)


class FloorTests(unittest.TestCase):
    def test_every_class_starts_within_its_window(self):
        """Low classes get 1 of 20 starts during an endless burst above."""
        driver = Driver()
        for priority in (0, 1, 2):
            for number in range(10):
                driver.arrive(f"low-{priority}-{number}", priority)
        for number in range(120):
            driver.arrive(f"high-{number}", 9)
            if driver.running:
                (running,) = driver.running
                driver.end(running, after=0.0, complete=False)
        for priority in (0, 1, 2):
            for begin in range(1, 100):
                window = driver.starts[begin : begin + 20]
                with self.subTest(priority=priority, begin=begin):
                    served = [call for call in window if f"low-{priority}" in call]
                    self.assertNotEqual(served, [])

    def test_floor_call_goes_by_the_highest_priority(self):
        """The engine is told not to hold a floor call back either."""
        driver = Driver()
        driver.arrive("first", 9)
        driver.arrive("low", 0)
        priorities = {}
        for number in range(30):
            driver.arrive(f"high-{number}", 9)
            (running,) = driver.running
            for action in driver.end(running, complete=False):
                priorities[action.call_id] = action.engine_priority
        self.assertEqual(priorities["low"], 91)


class SlotTests(unittest.TestCase):
    def test_overcommit_is_for_higher_tiers(self):
        """Above the limit only calls of a tier above a running one start."""
        driver = Driver(slots=2, overcommit=1)
        for call_id, priority in (("a", 1), ("b", 1), ("c", 1), ("d", 9), ("e", 9)):
            driver.arrive(call_id, priority)
        self.assertEqual(driver.running, {"a", "b", "d"})

    def test_headroom_is_kept_for_bursts_seen_before(self):
        """After bursts of four, long low calls leave slots free for one."""
        cases = {"half": (0.5, 5), "quarter": (0.25, 6), "none": (0.0, 8)}
        for name, (share, low) in cases.items():
            with self.subTest(name):
                driver = Driver(slots=8, share=share)
                for number in range(4):
                    driver.arrive(f"seen-{number}", 9, target_s=0.4, streamed=True)
                for number in range(4):
                    driver.end(f"seen-{number}", after=1.0)
                for number in range(20):
                    driver.arrive(f"low-{number}", 0)
                self.assertEqual(len(driver.running), low)
                for number in range(3):
                    driver.arrive(f"high-{number}", 9, target_s=0.4, streamed=True)
                self.assertEqual(len(driver.running), 8)


class ReportTests(unittest.TestCase):
    def test_report(self):
        """Counts are by priority; times are smoothed."""
        driver = Driver(slots=2)
        driver.arrive("done", 5)
        driver.end("done", after=0.5)
        for call_id, priority in (("a", 5), ("b", 1), ("c", 1), ("d", 9)):
            driver.arrive(call_id, priority)
        report = driver.scheduler.build_load_report(
            sequence=3, draining=False, unhealthy=True
        )
        expected = LoadReport(
            sequence=3,
            running=2,
            limit=2,
            waiting_by_priority={1: 1, 9: 1},
            running_by_priority={5: 1, 1: 1},
            service_ms=500.0,
            unhealthy=True,
        )
        self.assertEqual(report, expected)
