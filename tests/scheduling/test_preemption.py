import unittest

from carobspring.scheduling import (
    CallArrived,
    CallPreempted,
    PreemptCall,
    PreemptionPolicy,
    StartCall,
    TimerExpired,
)
from carobspring.scheduling.preemption import RunningCall
from carobspring.scheduling.queues import WaitingCall
from tests.scheduling.support import Driver

CHAT = {"priority": 9, "streamed": True, "target_s": 0.4}
BATCH = {"priority": 1, "target_s": 8.0, "restartable": True}


def build_item(call_id="c", *, latest_start=0.4, preempted=False, **fields):
    call = CallArrived(
        call_id=call_id, workspace="w", service_class="s", **(CHAT | fields)
    )
    return WaitingCall(
        call=call,
        sequence=0,
        latest_start=latest_start,
        expected_s=1.0,
        preempted=preempted,
    )


def build_run(call_id, started_at, *, preempted=False, **fields):
    item = build_item(call_id, preempted=preempted, **(BATCH | fields))
    return RunningCall(
        item=item,
        priority=item.call.priority,
        started_at=started_at,
        over_limit=False,
    )


class FindVictimTests(unittest.TestCase):
    def test_victim_selection(self):
        """The victim is the youngest restartable run of lower priority.

        None is chosen before half the target has passed or after the target.
        """
        old = build_run("old", 0.0)
        young = build_run("young", 0.1)
        cases = {
            "youngest": ({}, [old, young], 0.3, "young"),
            "too early": ({}, [old], 0.1, None),
            "target already missed": ({}, [old], 0.5, None),
            "no first-token target": ({"streamed": False}, [old], 0.3, None),
            "exclusive": ({"exclusive": True}, [old], 0.3, None),
            "same priority": ({"priority": 1}, [old], 0.3, None),
            "response may have begun": (
                {},
                [build_run("s", 0.0, restartable=False)],
                0.3,
                None,
            ),
            "preempted before": (
                {},
                [old, build_run("requeued", 0.1, preempted=True)],
                0.3,
                "old",
            ),
            "over budget": ({}, [build_run("long", -9.0)], 0.3, None),
        }
        for name, (fields, runs, now, expected) in cases.items():
            with self.subTest(name):
                preemption = PreemptionPolicy(slots=4)
                victim = preemption.find_victim(build_item(**fields), runs, now)
                self.assertEqual(victim.item.call.call_id if victim else None, expected)

    def test_budget_is_a_fraction_of_run_time(self):
        """Ended runs add 1% of their time to the preemption budget."""
        preemption = PreemptionPolicy(slots=1)
        run = build_run("r", 0.3)
        preemption.charge(run, 0.8)
        waiting = build_item(latest_start=0.9)
        self.assertIsNone(preemption.find_victim(waiting, [run], 0.8))
        preemption.record_run(100.0)
        self.assertIs(preemption.find_victim(waiting, [run], 0.8), run)
        self.assertEqual((preemption.preempted_runs, preemption.wasted_s), (1, 0.5))


class PreemptionTests(unittest.TestCase):
    def fill_slots(self):
        driver = Driver(slots=2, headroom_share=0.0)
        driver.arrive("old", **BATCH)
        driver.now = 0.1
        driver.arrive("young", **BATCH)
        return driver

    def test_higher_priority_call_takes_the_slot(self):
        """It starts after half its target; the preempted call is next."""
        driver = self.fill_slots()
        driver.arrive("later", **BATCH)
        self.assertEqual(driver.arrive("chat", **CHAT), [])
        driver.now = 0.31
        actions = driver.send(TimerExpired())
        self.assertEqual(
            actions,
            [
                PreemptCall(call_id="young"),
                StartCall(call_id="chat", engine_priority=91),
            ],
        )
        self.assertEqual(driver.send(CallPreempted(call_id="young")), [])
        driver.end("chat", after=0.5)
        driver.end("old")
        self.assertEqual(driver.starts, ["old", "young", "chat", "young", "later"])

    def test_run_that_ends_first_is_not_requeued(self):
        """A preemption confirmed after the call's end has no effect."""
        driver = self.fill_slots()
        driver.arrive("chat", **CHAT)
        driver.now = 0.31
        driver.send(TimerExpired())
        driver.end("young")
        self.assertEqual(driver.send(CallPreempted(call_id="young")), [])
        driver.end("chat")
        driver.end("old")
        self.assertEqual(driver.starts, ["old", "young", "chat"])

    def test_call_is_preempted_once(self):
        """A requeued call is not preempted a second time."""
        driver = self.fill_slots()
        driver.arrive("chat", **CHAT)
        driver.now = 0.31
        driver.send(TimerExpired())
        driver.send(CallPreempted(call_id="young"))
        driver.end("old")
        driver.arrive("chat-2", **CHAT)
        driver.now = 0.55
        self.assertEqual(driver.send(TimerExpired()), [])
