"""Measures the scheduler alone: ``python -m bench.scheduling``.

Prints the microseconds per decision at several queue lengths, and compares
policies that reserve slots for the top class on one simulated backend server.
Each policy gets the same seeded arrivals at 1.5 times the server's capacity,
in simulated time.
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
#: Scheduling policies, with the share of slots reserved for bursts.
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
    """A service class of the simulated load."""

    name: str
    priority: int
    target_s: float
    service_s: float
    #: Share of the capacity that its calls use, and calls per burst.
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
    """Return (arrival time, call, service time) by arrival time."""
    generator = random.Random(seed)
    arrivals = []
    for load_class in SIMULATED_CLASSES:
        rate = (
            load_class.capacity_share * SLOTS / load_class.service_s / load_class.burst
        )
        now = generator.expovariate(rate)
        while now < seconds:
            for _ in range(load_class.burst):
                call = CallArrived(
                    call_id=f"c{len(arrivals)}",
                    workspace=f"w{generator.randrange(5)}",
                    service_class=load_class.name,
                    priority=load_class.priority,
                    target_s=load_class.target_s,
                    streamed=True,
                )
                arrivals.append(
                    (now, call, generator.expovariate(1 / load_class.service_s))
                )
            now += generator.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival[0])


class Simulation:
    """One backend server in simulated time, under one scheduling policy."""

    def __init__(self, policy, arrivals):
        self.policy = policy
        limits = SchedulerLimits(
            slots=SLOTS, queue_calls=256, headroom_share=POLICIES[policy]
        )
        self.scheduler = Scheduler(limits=limits, random=SystemRandom(seed=1))
        self.arrivals = arrivals
        self.calls = {
            call.call_id: (at, call, duration_s) for at, call, duration_s in arrivals
        }
        self.completions = []
        self.started = {}
        self.waiting = {}
        self.completed = Counter()
        self.met = Counter()
        self.offered = Counter()
        self.useful_s = self.wasted_s = 0.0

    def run(self, seconds):
        """Run the arrivals for the given time and return the metrics."""
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
                load_class.name: self.compute_met_share(load_class.name)
                for load_class in SIMULATED_CLASSES
            },
            "done": {
                load_class.name: self.completed[load_class.name]
                for load_class in SIMULATED_CLASSES
            },
            "useful_share": round(self.useful_s / (SLOTS * seconds), 4),
            "wasted_share": round(self.wasted_s / (SLOTS * seconds), 4),
        }

    def compute_met_share(self, service_class):
        """Return the share of calls that met the target, or None."""
        offered = self.offered[service_class]
        return round(self.met[service_class] / offered, 4) if offered else None

    def finish_due_calls(self, until):
        """End the calls whose service time is over."""
        while self.completions and self.completions[0][0] <= until:
            at, call_id, started_at = heapq.heappop(self.completions)
            if self.started.get(call_id) != started_at:
                continue
            del self.started[call_id]
            call, duration_s = self.calls[call_id][1:]
            self.completed[call.service_class] += 1
            self.useful_s += duration_s
            self.handle_event(CallEnded(call_id=call_id, complete=True), at)

    def handle_event(self, event, now):
        """Pass an event to the scheduler and carry out its actions."""
        for action in self.scheduler.handle(event, now):
            self.waiting.pop(action.call_id, None)
            if isinstance(action, StartCall):
                at, call, duration_s = self.calls[action.call_id]
                self.started[action.call_id] = now
                heapq.heappush(
                    self.completions, (now + duration_s, action.call_id, now)
                )
                met = now - at + PREFILL_S <= call.target_s or not call.target_s
                self.met[call.service_class] += met

    def adapt_call(self, call):
        """Return the call as the policy presents it to the scheduler.

        First come, first served hides class, priority and workspace.
        """
        if self.policy == "first come":
            return replace(call, service_class="all", priority=0, workspace="w")
        return call

    def preempt(self, call, now):
        """Cancel the newest call of a lower priority and requeue it.

        Only a call of the top class that has to wait does this.
        """
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
        started_at, preempted_id = max(lower)
        del self.started[preempted_id]
        self.wasted_s += now - started_at
        self.handle_event(CallEnded(call_id=preempted_id, complete=False), now)
        requeued = self.calls[preempted_id][1]
        first_token_s = started_at - self.calls[preempted_id][0] + PREFILL_S
        self.met[requeued.service_class] -= (
            not requeued.target_s or first_token_s <= requeued.target_s
        )
        self.waiting[preempted_id] = requeued
        self.handle_event(requeued, now)


def compare_policies(seconds, seed):
    """Return the result of each policy on the same arrivals."""
    arrivals = generate_arrivals(seconds, seed)
    return [Simulation(policy, arrivals).run(seconds) for policy in POLICIES]


def measure_decision_us(waiting, rounds=2000):
    """Return the microseconds per decision with calls waiting.

    Each round makes two decisions: one call arrives and one ends.
    """
    limits = SchedulerLimits(slots=SLOTS, queue_calls=waiting + 10)
    scheduler = Scheduler(limits=limits, random=SystemRandom(seed=1))
    running = []

    def handle_event(event, now):
        for action in scheduler.handle(event, now):
            if isinstance(action, StartCall):
                running.append(action.call_id)

    def arrive(number, now):
        load_class = SIMULATED_CLASSES[number % len(SIMULATED_CLASSES)]
        call = CallArrived(
            call_id=f"c{number}",
            workspace=f"w{number % 10}",
            service_class=load_class.name,
            priority=load_class.priority,
            target_s=load_class.target_s,
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
