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
BLURB = {"priority": 1, "target_s": 8.0, "restartable": True}


def build_item(call_id="c", *, due=0.4, preempted=False, **fields):
    call = CallArrived(
        call_id=call_id, workspace="w", service_class="s", **(CHAT | fields)
    )
    return WaitingCall(call=call, order=0, due=due, work_s=1.0, preempted=preempted)


def build_run(call_id, started_at, *, preempted=False, **fields):
    item = build_item(call_id, preempted=preempted, **(BLURB | fields))
    return RunningCall(
        item=item,
        priority=item.call.priority,
        started_at=started_at,
        over_limit=False,
    )


class FindVictimTests(unittest.TestCase):
    def test_which_run_gives_way(self):
        """The youngest restartable run of a lower tier does, in time."""
        old = build_run("old", 0.0)
        young = build_run("young", 0.1)
        cases = {
            "youngest": ({}, [old, young], 0.3, "young"),
            "patience is left": ({}, [old], 0.1, None),
            "already late": ({}, [old], 0.5, None),
            "no first-token target": ({"streamed": False}, [old], 0.3, None),
            "has to run alone": ({"exclusive": True}, [old], 0.3, None),
            "own tier": ({"priority": 1}, [old], 0.3, None),
            "answer may have begun": (
                {},
                [build_run("s", 0.0, restartable=False)],
                0.3,
                None,
            ),
            "stopped before": (
                {},
                [old, build_run("twice", 0.1, preempted=True)],
                0.3,
                "old",
            ),
            "more than the budget": ({}, [build_run("long", -9.0)], 0.3, None),
        }
        for name, (fields, runs, now, expected) in cases.items():
            with self.subTest(name):
                preemption = PreemptionPolicy(slots=4)
                victim = preemption.find_victim(build_item(**fields), runs, now)
                self.assertEqual(victim.item.call.call_id if victim else None, expected)

    def test_budget_is_a_share_of_all_runs(self):
        """Stops spend what ended runs saved: a hundredth of their time."""
        preemption = PreemptionPolicy(slots=1)
        run = build_run("r", 0.3)
        preemption.charge(run, 0.8)
        waiting = build_item(due=0.9)
        self.assertIsNone(preemption.find_victim(waiting, [run], 0.8))
        preemption.record_run(100.0)
        self.assertIs(preemption.find_victim(waiting, [run], 0.8), run)
        self.assertEqual((preemption.preempted_runs, preemption.wasted_s), (1, 0.5))


class PreemptTests(unittest.TestCase):
    def fill(self):
        driver = Driver(slots=2, share=0.0)
        driver.arrive("old", **BLURB)
        driver.now = 0.1
        driver.arrive("young", **BLURB)
        return driver

    def test_higher_call_takes_the_slot(self):
        """It starts after half its target; the stopped call is next."""
        driver = self.fill()
        driver.arrive("later", **BLURB)
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

    def test_run_that_ends_first_is_not_put_back(self):
        """A stop that comes too late leaves the call ended, once."""
        driver = self.fill()
        driver.arrive("chat", **CHAT)
        driver.now = 0.31
        driver.send(TimerExpired())
        driver.end("young")
        self.assertEqual(driver.send(CallPreempted(call_id="young")), [])
        driver.end("chat")
        driver.end("old")
        self.assertEqual(driver.starts, ["old", "young", "chat"])

    def test_call_is_stopped_once(self):
        """A call that was put back keeps its slot against the next one."""
        driver = self.fill()
        driver.arrive("chat", **CHAT)
        driver.now = 0.31
        driver.send(TimerExpired())
        driver.send(CallPreempted(call_id="young"))
        driver.end("old")
        driver.arrive("chat-2", **CHAT)
        driver.now = 0.55
        self.assertEqual(driver.send(TimerExpired()), [])
