"""Measures the scheduler alone: ``python -m bench.scheduling``.

Prints microseconds a decision at several queue lengths, and compares ways of
keeping slots for the top class on one simulated backend server: the same
seeded arrivals at 1.5 times its capacity, in simulated time.
"""

import argparse
import heapq
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, replace

from carobspring.adapters.clock import SystemRandom
from carobspring.scheduling import (
    CallArrived,
    CallEnded,
    Scheduler,
    SchedulerLimits,
    StartCall,
)

SLOTS = 8
PREFILL_S = 0.03
#: Ways, with the part of the slots that is kept free for bursts.
POLICIES = {
    "first come": 0.0,
    "tiers only": 0.0,
    "headroom 1/8": 0.13,
    "headroom 1/4": 0.25,
    "headroom 1/2": 0.5,
    "preemption": 0.0,
}


@dataclass(frozen=True, kw_only=True)
class SimulatedClass:
    """A class of the simulated load."""

    name: str
    priority: int
    target_s: float
    service_s: float
    #: Share of the capacity that its calls ask for, and calls a burst.
    capacity_share: float
    burst: int


SIMULATED_CLASSES = (
    SimulatedClass(
        name="chat",
        priority=90,
        target_s=0.42,
        service_s=0.8,
        capacity_share=0.3,
        burst=3,
    ),
    SimulatedClass(
        name="blurb",
        priority=50,
        target_s=5.0,
        service_s=1.5,
        capacity_share=0.4,
        burst=8,
    ),
    SimulatedClass(
        name="appraisal",
        priority=10,
        target_s=0.0,
        service_s=8.0,
        capacity_share=0.8,
        burst=1,
    ),
)


def generate_arrivals(seconds, seed):
    """Return the times and calls of the load, with their service times."""
    generator = random.Random(seed)
    arrivals = []
    for work in SIMULATED_CLASSES:
        rate = work.capacity_share * SLOTS / work.service_s / work.burst
        now = generator.expovariate(rate)
        while now < seconds:
            for _ in range(work.burst):
                call = CallArrived(
                    call_id=f"c{len(arrivals)}",
                    workspace=f"w{generator.randrange(5)}",
                    service_class=work.name,
                    priority=work.priority,
                    target_s=work.target_s,
                    streamed=True,
                )
                arrivals.append((now, call, generator.expovariate(1 / work.service_s)))
            now += generator.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival[0])


class Simulation:
    """One backend server in simulated time, under one way of scheduling."""

    def __init__(self, policy, arrivals):
        self.policy = policy
        limits = SchedulerLimits(
            slots=SLOTS, queue_calls=256, headroom_share=POLICIES[policy]
        )
        self.scheduler = Scheduler(limits=limits, random=SystemRandom(seed=1))
        self.arrivals = arrivals
        self.calls = {call.call_id: (at, call, took) for at, call, took in arrivals}
        self.completions = []
        self.started = {}
        self.waiting = {}
        self.completed = Counter()
        self.met = Counter()
        self.offered = Counter()
        self.useful_s = self.wasted_s = 0.0

    def run(self, seconds):
        """Return what came of the arrivals within the time."""
        for at, call, _ in self.arrivals:
            self.finish_due_calls(at)
            self.offered[call.service_class] += 1
            self.waiting[call.call_id] = call
            self.handle_event(self.adapt_call(call), at)
            if self.policy == "preemption":
                self.preempt(call, at)
        self.finish_due_calls(seconds)
        return {
            "way": self.policy,
            "met": {
                work.name: round(self.met[work.name] / self.offered[work.name], 4)
                for work in SIMULATED_CLASSES
            },
            "done": {
                work.name: self.completed[work.name] for work in SIMULATED_CLASSES
            },
            "useful_share": round(self.useful_s / (SLOTS * seconds), 4),
            "wasted_share": round(self.wasted_s / (SLOTS * seconds), 4),
        }

    def finish_due_calls(self, until):
        """End the calls whose time has come."""
        while self.completions and self.completions[0][0] <= until:
            at, call_id, started_at = heapq.heappop(self.completions)
            if self.started.get(call_id) != started_at:
                continue
            del self.started[call_id]
            call, took = self.calls[call_id][1:]
            self.completed[call.service_class] += 1
            self.useful_s += took
            self.handle_event(CallEnded(call_id=call_id, complete=True), at)

    def handle_event(self, event, now):
        """Tell the scheduler and do what it says."""
        for action in self.scheduler.handle(event, now):
            self.waiting.pop(action.call_id, None)
            if isinstance(action, StartCall):
                at, call, took = self.calls[action.call_id]
                self.started[action.call_id] = now
                heapq.heappush(self.completions, (now + took, action.call_id, now))
                met = now - at + PREFILL_S <= call.target_s or not call.target_s
                self.met[call.service_class] += met

    def adapt_call(self, call):
        """Return the call as the way of scheduling sees it."""
        if self.policy == "first come":
            return replace(call, service_class="all", priority=0, workspace="w")
        return call

    def preempt(self, call, now):
        """Cancel the newest call of a lower tier and queue it anew."""
        if (
            call.call_id not in self.waiting
            or call.priority < SIMULATED_CLASSES[0].priority
        ):
            return
        lower = [
            (started_at, call_id)
            for call_id, started_at in self.started.items()
            if self.calls[call_id][1].priority < call.priority
        ]
        if not lower:
            return
        started_at, victim = max(lower)
        del self.started[victim]
        self.wasted_s += now - started_at
        self.handle_event(CallEnded(call_id=victim, complete=False), now)
        again = self.calls[victim][1]
        started_on_time = started_at - self.calls[victim][0] + PREFILL_S
        self.met[again.service_class] -= (
            not again.target_s or started_on_time <= again.target_s
        )
        self.waiting[victim] = again
        self.handle_event(again, now)


def compare_policies(seconds, seed):
    """Return the result of each way on the same arrivals."""
    arrivals = generate_arrivals(seconds, seed)
    return [Simulation(policy, arrivals).run(seconds) for policy in POLICIES]


def measure_decision_us(waiting, rounds=2000):
    """Return the microseconds of an arrival with a start and an end."""
    limits = SchedulerLimits(slots=SLOTS, queue_calls=waiting + 10)
    scheduler = Scheduler(limits=limits, random=SystemRandom(seed=1))
    running = []

    def handle_event(event, now):
        for action in scheduler.handle(event, now):
            if isinstance(action, StartCall):
                running.append(action.call_id)

    def arrive(number, now):
        work = SIMULATED_CLASSES[number % len(SIMULATED_CLASSES)]
        call = CallArrived(
            call_id=f"c{number}",
            workspace=f"w{number % 10}",
            service_class=work.name,
            priority=work.priority,
            target_s=work.target_s,
        )
        handle_event(call, now)

    for number in range(waiting + SLOTS):
        arrive(number, number / 1000)
    start = time.perf_counter()
    for number in range(rounds):
        arrive(waiting + SLOTS + number, 10 + number / 1000)
        ended = CallEnded(call_id=running.pop(0), complete=True)
        handle_event(ended, 10 + number / 1000)
    return (time.perf_counter() - start) / rounds / 2 * 1e6


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for waiting in (10, 100, 1000):
        cost = measure_decision_us(waiting)
        print(json.dumps({"waiting": waiting, "us_a_decision": round(cost, 1)}))
    for result in compare_policies(options.seconds, options.seed):
        print(json.dumps(result))


if __name__ == "__main__":
    main()
