import unittest

from hypothesis import given, settings, strategies as st

from carobspring.scheduling import CallWithdrawn, RefuseCall, StartCall
from tests.scheduling.support import Driver

WINDOW_STARTS = 20

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
    # The derandomized examples depend on the source text of this test.
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        steps=steps,
        slots=st.integers(1, 4),
        queue_calls=st.integers(1, 6),
        overcommit=st.integers(0, 2),
    )
    def test_no_higher_priority_call_is_refused(
        self, steps, slots, queue_calls, overcommit
    ):
        """At a refusal, no lower-priority call keeps waiting or starts.

        This is stricter than the requirement, since it holds no matter when
        the lower-priority call was admitted. The test also checks that each
        call is either started or refused, and only once, that an exclusive
        call runs alone, and that no waiting class misses its start window.
        """
        driver = Driver(slots=slots, queue_calls=queue_calls, overcommit=overcommit)
        starts_since = {}
        decided = set()
        for number, step in enumerate(steps):
            waiting = {driver.calls[call].service_class for call in driver.waiting}
            actions = self.take_step(driver, f"c{number}", step)
            self.check_refusals(driver, actions)
            ids = [action.call_id for action in actions]
            self.assertEqual(len(ids), len(set(ids) - decided))
            decided.update(ids)
            exclusive = [
                call for call in driver.running if driver.calls[call].exclusive
            ]
            self.assertTrue(not exclusive or len(driver.running) == 1)
            for action in actions:
                if isinstance(action, StartCall):
                    started = driver.calls[action.call_id].service_class
                    for name in waiting:
                        starts_since[name] = starts_since.get(name, 0) + 1
                        self.assertLessEqual(starts_since[name], WINDOW_STARTS)
                    starts_since[started] = 0
            still_waiting = {
                driver.calls[call].service_class for call in driver.waiting
            }
            starts_since = {
                name: count
                for name, count in starts_since.items()
                if name in still_waiting
            }

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


class StartWindowTests(unittest.TestCase):
    def test_windows_hold_under_an_endless_burst(self):
        """With four classes, none waits for more starts than its window."""
        driver = Driver(slots=2)
        starts_since = dict.fromkeys(range(4), 0)
        for number in range(2000):
            priority = 3 if number % 4 else number // 4 % 4
            driver.arrive(f"c{number}", priority)
            if number > 20:
                running = sorted(driver.running)
                for action in driver.end(running[0], complete=False):
                    started = driver.calls[action.call_id].priority
                    still_waiting = {
                        driver.calls[call].priority for call in driver.waiting
                    }
                    starts_since = {
                        tier: starts_since[tier] + 1 if tier in still_waiting else 0
                        for tier in starts_since
                    }
                    starts_since[started] = 0
                    self.assertLessEqual(max(starts_since.values()), WINDOW_STARTS)
