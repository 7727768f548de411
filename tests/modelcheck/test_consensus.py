"""Exhaustive checks of consensus, and the implementation on the same steps.

Bounds: three voters and one new member, or four voters of which some are
removed. Each case limits terms, log length, restarts and candidates. Time,
snapshots and reordered messages are not in the specification.
"""

import random
import unittest

from minicheck import Protocol, check_safety
from minicheck._core import StateSpaceExceeded

from tests.modelcheck.consensus_spec import (
    NO_REPLICA,
    Bounds,
    Guards,
    Specification,
    State,
)
from tests.modelcheck.node_run import NodeRun

FOUR_VOTERS = frozenset({0, 1, 2, 3})
TWO_CANDIDATES = frozenset({0, 1})

RESTART = Bounds(terms=3, entries=2, restarts=1)
MANY_TERMS = Bounds(terms=5, entries=2, candidates=TWO_CANDIDATES)
DISK_LOSS = Bounds(terms=2, entries=4, changes=("-0", "+3"), can_lose_disk=True)
REMOVALS = Bounds(
    terms=3,
    entries=3,
    voters=FOUR_VOTERS,
    changes=("-0", "-3"),
    candidates=TWO_CANDIDATES,
)
MANY_REMOVALS = Bounds(
    terms=2, entries=4, voters=FOUR_VOTERS, changes=("-0", "-1", "-2", "-3")
)


def stop_at_violation(protocol: Protocol) -> Protocol:
    """Make the search of a protocol stop at the first violation."""
    list_steps = protocol.transitions

    def list_steps_or_stop(state: State) -> list[tuple[str, State]]:
        if state.violation:
            raise StateSpaceExceeded("a violation was found")
        return list_steps(state)

    protocol.transitions = list_steps_or_stop
    return protocol


class ConsensusModelTest(unittest.TestCase):
    def test_agreement(self) -> None:
        """Within the bounds, replicas never lead or commit in conflict."""
        cases = [
            ("restart and loss", RESTART, 54_089),
            ("many terms", MANY_TERMS, 42_272),
            ("a replaced disk", DISK_LOSS, 63_576),
            ("members removed", REMOVALS, 35_770),
        ]
        for name, bounds, states in cases:
            with self.subTest(name=name):
                protocol = Specification(bounds, Guards()).build_protocol()
                report = check_safety(protocol, max_states=100_000)
                self.assertIs(report["exhaustive"], True)
                self.assertIs(report["properties"]["agreement"]["holds"], True)
                self.assertEqual(report["reachable_states"], states)

    def test_mutants(self) -> None:
        """Without any one of the guards the search finds a violation."""
        completeness = "a leader lacks a committed entry"
        cases = [
            (Guards(keeps_vote=False), RESTART, "two leaders in a term"),
            (Guards(keeps_entries=False), RESTART, completeness),
            (Guards(compares_logs=False), RESTART, completeness),
            (Guards(commits_own_term=False), MANY_TERMS, completeness),
            (Guards(one_change=False), MANY_REMOVALS, completeness),
            (Guards(commits_before_change=False), REMOVALS, completeness),
            (Guards(new_identity=False), DISK_LOSS, "two leaders in a term"),
        ]
        for guards, bounds, violation in cases:
            with self.subTest(guards=guards):
                protocol = Specification(bounds, guards).build_protocol()
                report = check_safety(stop_at_violation(protocol), max_states=100_000)
                found = report["properties"]["agreement"]
                self.assertIs(found["holds"], False)
                last = found["counterexample"][-1]["state"]
                self.assertEqual(last["violation"], violation)


class ImplementationTest(unittest.TestCase):
    def test_same_states_on_random_walks(self) -> None:
        """The nodes match the specification's state after each step.

        At the end of a walk they also reject every step that a guard forbids.
        """
        for name, bounds in (
            ("restart", RESTART),
            ("long", MANY_TERMS),
            ("repair", DISK_LOSS),
            ("changes", REMOVALS),
        ):
            specification = Specification(bounds, Guards())
            for seed in range(150):
                with self.subTest(name=name, seed=seed):
                    self._walk(specification, bounds, random.Random(f"{name}{seed}"))

    def _walk(
        self, specification: Specification, bounds: Bounds, source: random.Random
    ) -> None:
        state = specification.build_protocol().initial
        nodes = NodeRun(bounds.voters)
        self.assertEqual(nodes.describe(state), list(state.replicas))
        labels: list[str] = []
        length = source.randint(1, 25)
        while len(labels) < length and (steps := specification.list_steps(state)):
            label, state = source.choice(steps)
            labels.append(label)
            nodes.apply(label)
            self.assertEqual(nodes.describe(state), list(state.replicas), labels)
            self.assertLessEqual(
                nodes.find_highest_commit(), len(state.committed), labels
            )
        for label in specification.list_forbidden(state):
            nodes.apply(label)
            described = nodes.describe(state)
            for before, after in zip(state.replicas, described):
                assert after is not None
                self.assertEqual(after.log, before.log, (labels, label))
                self.assertIn(after.vote, (before.vote, NO_REPLICA), (labels, label))
                self.assertIn(after.role, (before.role, "F"), (labels, label))
