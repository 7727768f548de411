import unittest

from hypothesis import given, settings, strategies as st

from carobspring.scheduling import CallWithdrawn, RefuseCall, StartCall
from tests.scheduling.support import Driver

WINDOW = 20

arrivals = st.tuples(
    st.just("arrive"),
    st.integers(0, 3),
    st.sampled_from("wxyz"),
    st.sampled_from([0.0, 0.3, 5.0]),
    st.booleans(),
)
ends = st.tuples(st.just("end"), st.integers(0, 7), st.floats(0.0, 2.0))
withdrawals = st.tuples(st.just("withdraw"), st.integers(0, 63))
steps = st.lists(st.one_of(arrivals, arrivals, ends, ends, withdrawals), max_size=150)


class RecordedDecisionsTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        steps=steps,
        slots=st.integers(1, 4),
        queue_calls=st.integers(1, 6),
        overcommit=st.integers(0, 2),
    )
    def test_higher_never_gives_way(self, steps, slots, queue_calls, overcommit):
        """At a refusal no lower call waits on, or starts at that instant.

        Stronger than what is asked: it does not matter when the lower one was
        admitted. Beside it: each call ends one way, a call that runs alone is
        alone, and no class that waits misses its window of starts.
        """
        driver = Driver(slots=slots, queue_calls=queue_calls, overcommit=overcommit)
        passed = {}
        settled = set()
        for number, step in enumerate(steps):
            waiting = {driver.calls[call].service_class for call in driver.waiting}
            actions = self.take_step(driver, f"c{number}", step)
            self.check_refusals(driver, actions)
            ids = [action.call_id for action in actions]
            self.assertEqual(len(ids), len(set(ids) - settled))
            settled.update(ids)
            exclusive = [
                call for call in driver.running if driver.calls[call].exclusive
            ]
            self.assertTrue(not exclusive or len(driver.running) == 1)
            for action in actions:
                if isinstance(action, StartCall):
                    started = driver.calls[action.call_id].service_class
                    for name in waiting:
                        passed[name] = passed.get(name, 0) + 1
                        self.assertLessEqual(passed[name], WINDOW)
                    passed[started] = 0
            waits = {driver.calls[call].service_class for call in driver.waiting}
            passed = {name: count for name, count in passed.items() if name in waits}

    def take_step(self, driver, call_id, step):
        match step:
            case ("arrive", priority, workspace, target_s, exclusive):
                return driver.arrive(
                    call_id,
                    priority,
                    workspace=workspace,
                    target_s=target_s,
                    exclusive=exclusive and priority == 3,
                )
            case ("end", index, after):
                if driver.running:
                    running = sorted(driver.running)
                    return driver.end(
                        running[index % len(running)], after=after, complete=False
                    )
            case ("withdraw", index):
                if driver.waiting:
                    waiting = sorted(driver.waiting)
                    chosen = waiting[index % len(waiting)]
                    driver.waiting.discard(chosen)
                    return driver.send(CallWithdrawn(call_id=chosen))
        return []

    def check_refusals(self, driver, actions):
        refused = [
            driver.calls[action.call_id].priority
            for action in actions
            if isinstance(action, RefuseCall)
        ]
        if not refused:
            return
        kept = set(driver.waiting)
        kept.update(a.call_id for a in actions if isinstance(a, StartCall))
        lowest = min((driver.calls[call].priority for call in kept), default=99)
        self.assertGreaterEqual(lowest, max(refused))


class WindowTests(unittest.TestCase):
    def test_windows_hold_under_an_endless_burst(self):
        """With four classes at once, none waits longer than its window."""
        driver = Driver(slots=2)
        passed = dict.fromkeys(range(4), 0)
        for number in range(2000):
            priority = 3 if number % 4 else number // 4 % 4
            driver.arrive(f"c{number}", priority)
            if number > 20:
                running = sorted(driver.running)
                for action in driver.end(running[0], complete=False):
                    started = driver.calls[action.call_id].priority
                    waits = {driver.calls[call].priority for call in driver.waiting}
                    passed = {
                        tier: passed[tier] + 1 if tier in waits else 0
                        for tier in passed
                    }
                    passed[started] = 0
                    self.assertLessEqual(max(passed.values()), WINDOW)
