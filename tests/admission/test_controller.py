import random
import unittest
from dataclasses import replace

from carobspring.admission import AdmissionController, AdmissionLimits
from carobspring.protocol import AdmissionRequest

#: Limits that keep the predictions of these cases simple: the engine reads
#: 10,000 tokens a second and holds two prompts of 1,000.
LIMITS = AdmissionLimits(
    engine_queue_tokens=2000,
    report_delay_s=0.0,
    initial_tokens_per_s=10_000.0,
    min_tokens_per_s=10_000.0,
    max_tokens_per_s=10_000.0,
    first_event_s=0.0,
    reserved_tokens=0,
)


def build_request(name, *, rank=0, tokens=1000, target_s=1.0, deadline_s=4.0):
    return AdmissionRequest(
        request_id=name,
        rank=rank,
        unread_tokens=tokens,
        target_left_ms=round(target_s * 1000),
        deadline_left_ms=round(deadline_s * 1000),
    )


def list_names(decisions, *, admitted=True):
    return [
        each.decision.request_id
        for each in decisions
        if each.decision.admitted is admitted
    ]


class AdmissionTests(unittest.TestCase):
    def setUp(self):
        self.admission = AdmissionController(limits=LIMITS)

    def test_reading_tokens_are_limited(self):
        """Requests wait at the limit; a released one admits the next."""
        self.assertEqual(
            list_names(self.admission.submit("e", build_request("a"), 0.0)), ["a"]
        )
        self.assertEqual(
            list_names(self.admission.submit("e", build_request("b"), 0.0)), ["b"]
        )
        self.assertEqual(self.admission.submit("e", build_request("c"), 0.0), [])
        self.assertEqual(list_names(self.admission.release("e", "a", 0.1)), ["c"])

    def test_long_prompt_is_admitted_alone(self):
        """A prompt longer than the limit is admitted when it is alone."""
        self.admission.submit("e", build_request("a"), 0.0)
        self.assertEqual(
            self.admission.submit("e", build_request("long", tokens=5000), 0.0), []
        )
        self.assertEqual(list_names(self.admission.release("e", "a", 0.1)), ["long"])

    def test_rank_before_time(self):
        """A higher rank goes first, then the earliest due time."""
        for name in ("a", "b"):
            self.admission.submit("e", build_request(name), 0.0)
        self.admission.submit("e", build_request("low", rank=2, target_s=0.9), 0.0)
        self.admission.submit("e", build_request("later", rank=1, target_s=0.95), 0.0)
        self.admission.submit("e", build_request("soon", rank=1, target_s=0.9), 0.0)
        order = []
        for name in ("a", "b", "soon", "later"):
            order += list_names(self.admission.release("e", name, 0.1))
        self.assertEqual(order, ["soon", "later", "low"])

    def test_lower_ranks_leave_reserved_tokens(self):
        """A lower rank leaves the reserved tokens while higher ones arrive."""
        limits = replace(LIMITS, engine_queue_tokens=3000, reserved_tokens=1000)
        controller = AdmissionController(limits=limits)
        for name in ("a", "b", "c"):
            controller.submit("e", build_request(name, rank=1), 0.0)
        self.assertEqual(controller.submit("e", build_request("low", rank=2), 0.0), [])
        self.assertEqual(controller.release("e", "a", 0.1), [])
        self.assertEqual(
            list_names(controller.submit("e", build_request("d", rank=1), 0.1)), ["d"]
        )
        controller.release("e", "b", 0.1)
        self.assertEqual(list_names(controller.release("e", "c", 0.1)), ["low"])

    def test_requests_are_keyed_by_entry(self):
        """The same identifier from two entries names two requests."""
        self.admission.submit("e", build_request("a"), 0.0)
        self.admission.submit("f", build_request("a"), 0.0)
        self.admission.submit("f", build_request("b"), 0.0)
        decisions = self.admission.release("e", "a", 0.1)
        self.assertEqual([each.entry for each in decisions], ["f"])

    def test_removed_entry(self):
        """Removing an entry frees the capacity that its requests took."""
        for name in ("a", "b"):
            self.admission.submit("e", build_request(name), 0.0)
        self.admission.submit("e", build_request("c"), 0.0)
        self.admission.submit("f", build_request("d"), 0.0)
        self.assertEqual(list_names(self.admission.remove_entry("e", 0.1)), ["d"])
        self.assertEqual(self.admission.waiting_count, 0)

    def test_unreported_requests_expire(self):
        """An admitted request without a report does not block others."""
        for name in ("a", "b"):
            self.admission.submit("e", build_request(name), 0.0)
        self.admission.submit("e", build_request("c", target_s=3.0), 0.0)
        self.assertEqual(list_names(self.admission.tick(2.1)), ["c"])


class RejectionTests(unittest.TestCase):
    def setUp(self):
        self.admission = AdmissionController(limits=LIMITS)

    def fill(self, count, **values):
        rejected = []
        for number in range(count):
            decisions = self.admission.submit(
                "e", build_request(f"f{number}", **values), 0.0
            )
            rejected += list_names(decisions, admitted=False)
        return rejected

    def test_no_rejection_below_limit(self):
        """No request is rejected while the engine is below its limit."""
        decisions = self.admission.submit(
            "e", build_request("a", target_s=0.0, deadline_s=1.0), 0.0
        )
        self.assertEqual(list_names(decisions), ["a"])

    def test_rejection_at_once_when_too_late(self):
        """A request that can't start in half its time gets a wait estimate."""
        self.assertEqual(self.fill(40, deadline_s=2.0)[:1], ["f10"])
        decisions = self.admission.submit("e", build_request("x", deadline_s=2.0), 0.0)
        decision = decisions[0].decision
        self.assertIs(decision.admitted, False)
        self.assertGreaterEqual(decision.wait_ms, 1000)

    def test_late_waits_behind_those_in_time(self):
        """A late request waits for its caller, behind those in time."""
        self.fill(6)
        self.assertEqual(
            self.admission.submit("e", build_request("late", target_s=0.1), 0.0), []
        )
        self.assertEqual(
            self.admission.submit("e", build_request("new", target_s=2.0), 0.0), []
        )
        order = []
        for name in [f"f{number}" for number in range(6)] + ["new"]:
            order += list_names(self.admission.release("e", name, 0.1))
        self.assertEqual(order[-2:], ["new", "late"])

    def test_higher_rank_is_not_rejected_for_lower(self):
        """A higher rank is admitted however much of a lower one waits."""
        self.fill(40, rank=3)
        self.assertEqual(
            self.admission.submit("e", build_request("high", rank=1), 0.0), []
        )
        self.assertEqual(list_names(self.admission.release("e", "f0", 0.1)), ["high"])

    def test_waiting_request_becomes_too_late(self):
        """A waiting request is rejected once others made it too late."""
        self.fill(2, rank=1)
        self.admission.submit("e", build_request("low", rank=2, deadline_s=1.2), 0.0)
        at_engine, rejected = ["f0", "f1"], []
        for tick in range(1, 20):
            now = tick * 0.1
            decisions = self.admission.submit(
                "e", build_request(f"h{tick}", rank=1), now
            )
            decisions += self.admission.release("e", at_engine.pop(0), now)
            decisions += self.admission.tick(now)
            at_engine += list_names(decisions)
            rejected += [(now, name) for name in list_names(decisions, admitted=False)]
        self.assertEqual([name for _, name in rejected], ["low"])
        self.assertLess(rejected[0][0], 1.2)


class SharedEngine:
    """Reads all prompts that it has at the same time, as engines do."""

    rate = 50_000.0

    def __init__(self):
        self.left = {}

    def run(self, seconds, now):
        """Return (time, name) of the prompts read in the given time."""
        done, end = [], now + seconds
        while self.left and now < end:
            share = self.rate / len(self.left)
            name = min(self.left, key=self.left.get)
            needed = self.left[name] / share
            step = min(needed, end - now)
            for key in self.left:
                self.left[key] -= share * step
            now += step
            if step == needed:
                del self.left[name]
                done.append((now, name))
        return done


def simulate_overload(controller, *, load, seconds=10.0, tokens=3000, target_s=1.2):
    """Simulate long prompts at a multiple of the engine's reading rate.

    Returns the share of the engine's capacity that went into first events in
    time, and the number of rejected requests.
    """
    generator = random.Random(7)
    engine, first_event_at, submitted_at = SharedEngine(), {}, {}
    arrivals, now = [], 0.0
    while now < seconds:
        now += generator.expovariate(load * SharedEngine.rate / tokens)
        arrivals.append(now)
    now, rejected_count = 0.0, 0

    def apply(decisions):
        nonlocal rejected_count
        for each in decisions:
            if each.decision.admitted:
                engine.left[each.decision.request_id] = tokens
            else:
                rejected_count += 1

    for number, at in enumerate([*arrivals, seconds + 4.0]):
        while now < at:
            step = min(0.02, at - now)
            for done_at, name in engine.run(step, now):
                first_event_at[name] = done_at
                apply(controller.release("e", name, done_at))
            now += step
            apply(controller.tick(now))
        if number < len(arrivals):
            name = f"q{number}"
            submitted_at[name] = now
            request = build_request(name, tokens=tokens, target_s=target_s)
            apply(controller.submit("e", request, now))
    in_time = sum(
        first_event_at[name] - submitted_at[name] <= target_s for name in first_event_at
    )
    return in_time * tokens / (SharedEngine.rate * seconds), rejected_count


class OverloadTests(unittest.TestCase):
    def test_long_prompts_beyond_capacity(self):
        """A burst of long prompts: most of the capacity serves some in time.

        Guards against a controller that admits all of them: they then share
        the engine and hardly any is in time.
        """
        in_time, _ = simulate_overload(AdmissionController(), load=1.5)
        self.assertGreater(in_time, 0.8)
        unlimited = AdmissionController(
            limits=AdmissionLimits(engine_queue_tokens=10**9)
        )
        in_time, _ = simulate_overload(unlimited, load=1.5)
        self.assertLess(in_time, 0.3)

    def test_nothing_is_rejected_below_capacity(self):
        """At two thirds of the capacity all requests are served in time."""
        in_time, rejected_count = simulate_overload(AdmissionController(), load=0.66)
        self.assertEqual(rejected_count, 0)
        self.assertGreater(in_time, 0.6)


if __name__ == "__main__":
    unittest.main()
