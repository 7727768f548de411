import unittest

from carobspring.domain import LoadReport
from carobspring.scheduling import CallPreempted, CallWithdrawn, ClassPriorityChanged
from tests.scheduling.support import Driver


class OrderTests(unittest.TestCase):
    def test_start_order(self):
        """Order is by priority, then slack to the target, then workspace."""
        cases = {
            "arrival order within a class": ([("a", {}), ("b", {})], ["a", "b"]),
            "higher priority": (
                [("low", {"priority": 1}), ("high", {"priority": 9})],
                ["high", "low"],
            ),
            "less slack at equal priority": (
                [
                    ("slow", {"service_class": "s", "target_s": 9.0}),
                    ("fast", {"service_class": "f", "target_s": 3.0}),
                ],
                ["fast", "slow"],
            ),
            "age reduces the slack": (
                [
                    ("new", {"service_class": "s", "target_s": 9.0}),
                    ("old", {"service_class": "f", "target_s": 9.0, "age_s": 2.0}),
                ],
                ["old", "new"],
            ),
            "workspaces alternate": (
                [
                    ("a1", {"workspace": "a"}),
                    ("a2", {"workspace": "a"}),
                    ("a3", {"workspace": "a"}),
                    ("b1", {"workspace": "b"}),
                ],
                ["a1", "b1", "a2", "a3"],
            ),
            "on time before late": (
                [
                    ("late", {"target_s": 1.0, "age_s": 5.0}),
                    ("on-time", {"target_s": 9.0}),
                ],
                ["on-time", "late"],
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
        """A raised class priority applies to calls that already wait."""
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

    def test_late_call_does_not_starve(self):
        """A late call starts although on-time calls keep arriving."""
        driver = Driver()
        driver.arrive("first")
        driver.arrive("late", target_s=0.5)
        driver.now = 1.0
        for number in range(40):
            driver.arrive(f"new-{number}", target_s=1000.0)
        self.assertLess(driver.run_all().index("late"), 10)

    def test_workspaces_are_charged_at_start(self):
        """Two slots that become free at once go to two workspaces."""
        driver = Driver(slots=2)
        driver.arrive("first", 9, exclusive=True)
        for call_id, workspace in (("a1", "a"), ("a2", "a"), ("b1", "b")):
            driver.arrive(call_id, workspace=workspace)
        driver.end("first")
        self.assertEqual(driver.running, {"a1", "b1"})

    def test_charge_is_corrected_to_actual_time(self):
        """A workspace whose calls take longer than expected starts fewer."""
        driver = Driver()
        for number in range(40):
            driver.arrive(f"long-{number}", workspace="a")
            driver.arrive(f"short-{number}", workspace="b")
        while len(driver.starts) < 40:
            (call_id,) = driver.running
            driver.end(call_id, after=4.0 if "long" in call_id else 1.0)
        long_starts = sum("long" in call_id for call_id in driver.starts)
        self.assertLessEqual(long_starts, 12)


class ExclusiveTests(unittest.TestCase):
    def test_runs_alone(self):
        """It starts once no call runs, and later calls wait for its end."""
        driver = Driver(slots=4)
        driver.arrive("a")
        driver.arrive("b")
        driver.arrive("exclusive", 9, exclusive=True)
        driver.arrive("c")
        self.assertEqual(driver.running, {"a", "b"})
        driver.end("a")
        self.assertEqual(driver.running, {"b"})
        driver.end("b")
        self.assertEqual(driver.running, {"exclusive"})
        driver.end("exclusive")
        self.assertEqual(driver.running, {"c"})

    def test_waits_for_a_preempted_call_to_stop(self):
        """A preempted run counts as running until its stop is confirmed."""
        driver = Driver()
        driver.arrive("low", 1, restartable=True)
        driver.now = 0.3
        driver.arrive("high", 9, streamed=True, target_s=0.5, age_s=0.3)
        self.assertEqual(driver.starts, ["low", "high"])
        driver.arrive("exclusive", 9, exclusive=True)
        driver.end("high")
        self.assertEqual(driver.starts, ["low", "high"])
        driver.running.discard("low")
        driver.send(CallPreempted(call_id="low"))
        self.assertEqual(driver.running, {"exclusive"})


class RefusalTests(unittest.TestCase):
    def test_refusal_by_a_full_queue(self):
        """The victim has the lowest priority and the fullest workspace."""
        filled = [("x1", 5, "x"), ("x2", 5, "x"), ("x3", 5, "x")]
        cases = {
            "lower priority is evicted": (filled, ("new", 9, "x"), ["x3"]),
            "higher priority stays": (filled, ("new", 1, "x"), ["new"]),
            "same priority, same workspace": (filled, ("new", 5, "x"), ["new"]),
            "same priority, fullest workspace": (filled, ("new", 5, "y"), ["x3"]),
            "same priority, equal workspaces": (
                [("x1", 5, "x"), ("y1", 5, "y"), ("z1", 5, "z")],
                ("new", 5, "x"),
                ["new"],
            ),
        }
        for name, (queued, (call_id, priority, workspace), refused) in cases.items():
            with self.subTest(name):
                driver = Driver(queue_calls=3)
                driver.arrive("first")
                for queued_id, queued_priority, queued_workspace in queued:
                    driver.arrive(queued_id, queued_priority, "", queued_workspace)
                driver.arrive(call_id, priority, "", workspace)
                self.assertEqual(driver.refused, refused)

    def test_retry_after_from_completion_rate(self):
        """At 2 ends per second behind 4 calls, the retry is after 2.5 s."""
        driver = Driver(queue_calls=4)
        for number in range(200):
            driver.arrive(f"c{number}")
            if number >= 4:
                (running,) = driver.running
                driver.end(running, after=0.5, complete=False)
        driver.arrive("filler")
        driver.arrive("over")
        driver.arrive("over2")
        first, second = (
            driver.retry_after_ms_by_call[name] for name in ("over", "over2")
        )
        self.assertAlmostEqual(first, 2500, delta=100)
        self.assertAlmostEqual(second - first, 500, delta=50)


class StarvationTests(unittest.TestCase):
    def test_every_class_starts_within_its_window(self):
        """Each low class gets 1 of 20 starts during an endless burst."""
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

    def test_overdue_call_gets_the_highest_priority(self):
        """The engine gets the highest priority for an overdue call too."""
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
    def test_overcommit_is_for_higher_priorities(self):
        """Above the limit, a call needs a priority above a running one."""
        driver = Driver(slots=2, overcommit=1)
        for call_id, priority in (("a", 1), ("b", 1), ("c", 1), ("d", 9), ("e", 9)):
            driver.arrive(call_id, priority)
        self.assertEqual(driver.running, {"a", "b", "d"})

    def test_headroom_is_kept_for_recent_bursts(self):
        """After a burst of four, long low-priority calls leave slots free."""
        cases = {"half": (0.5, 5), "quarter": (0.25, 6), "none": (0.0, 8)}
        for name, (share, low) in cases.items():
            with self.subTest(name):
                driver = Driver(slots=8, headroom_share=share)
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
        """Calls are counted by priority and times are smoothed."""
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
