"""Exhaustive checks of consensus, and the real core on the same steps.

Bounds: three voters and one newcomer, or four voters of which some leave;
terms, length of the logs, restarts and candidates as each case says. Time,
snapshots and messages that overtake each other are not in the specification.
"""

import random
import unittest

from minicheck import Protocol, check_safety
from minicheck._core import StateSpaceExceeded

from tests.modelcheck.consensus_spec import (
    NOBODY,
    Bounds,
    Guards,
    Specification,
    State,
)
from tests.modelcheck.core_run import CoreRun

ALL_FOUR = frozenset({0, 1, 2, 3})
TWO = frozenset({0, 1})

RESTART = Bounds(terms=3, entries=2, restarts=1)
LONG = Bounds(terms=5, entries=2, candidates=TWO)
REPAIR = Bounds(terms=2, entries=4, changes=("-0", "+3"), loses_disk=True)
CHANGES = Bounds(
    terms=3, entries=3, voters=ALL_FOUR, changes=("-0", "-3"), candidates=TWO
)
LEAVING = Bounds(terms=2, entries=4, voters=ALL_FOUR, changes=("-0", "-1", "-2", "-3"))


def stop_when_broken(protocol: Protocol) -> Protocol:
    """Return a protocol whose search ends at the first violation."""
    list_steps = protocol.transitions

    def list_steps_or_stop(state: State) -> list[tuple[str, State]]:
        if state.broken:
            raise StateSpaceExceeded("a violation was found")
        return list_steps(state)

    protocol.transitions = list_steps_or_stop
    return protocol


class ConsensusModelTest(unittest.TestCase):
    def test_agreement(self) -> None:
        """Within the bounds no two replicas commit or lead against another."""
        cases = [
            ("restart and loss", RESTART, 54_089),
            ("many terms", LONG, 42_272),
            ("a lost disk replaced", REPAIR, 63_576),
            ("members leave", CHANGES, 35_770),
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
        completeness = "a leader lacks what is committed"
        cases = [
            (Guards(keeps_vote=False), RESTART, "two leaders in a term"),
            (Guards(keeps_entries=False), RESTART, completeness),
            (Guards(compares_logs=False), RESTART, completeness),
            (Guards(commits_own_term=False), LONG, completeness),
            (Guards(one_change=False), LEAVING, completeness),
            (Guards(commits_before_change=False), CHANGES, completeness),
            (Guards(new_identity=False), REPAIR, "two leaders in a term"),
        ]
        for guards, bounds, broken in cases:
            with self.subTest(guards=guards):
                protocol = Specification(bounds, guards).build_protocol()
                report = check_safety(stop_when_broken(protocol), max_states=100_000)
                found = report["properties"]["agreement"]
                self.assertIs(found["holds"], False)
                last = found["counterexample"][-1]["state"]
                self.assertEqual(last["broken"], broken)


class CoreOnModelTest(unittest.TestCase):
    def test_same_states_on_random_walks(self) -> None:
        """The core shows the specification's state after each step.

        At the end of a walk it also refuses whatever a guard refuses there.
        """
        for name, bounds in (
            ("restart", RESTART),
            ("long", LONG),
            ("repair", REPAIR),
            ("changes", CHANGES),
        ):
            specification = Specification(bounds, Guards())
            for seed in range(150):
                with self.subTest(name=name, seed=seed):
                    self._walk(specification, bounds, random.Random(f"{name}{seed}"))

    def _walk(
        self, specification: Specification, bounds: Bounds, source: random.Random
    ) -> None:
        state = specification.build_protocol().initial
        cores = CoreRun(bounds.voters)
        self.assertEqual(cores.describe(state), list(state.replicas))
        taken: list[str] = []
        length = source.randint(1, 25)
        while len(taken) < length and (steps := specification.list_steps(state)):
            label, state = source.choice(steps)
            taken.append(label)
            cores.take(label)
            self.assertEqual(cores.describe(state), list(state.replicas), taken)
            self.assertLessEqual(cores.measure_commit(), len(state.committed), taken)
        for label in specification.list_refused(state):
            cores.take(label)
            shown = cores.describe(state)
            for before, after in zip(state.replicas, shown):
                assert after is not None
                self.assertEqual(after.log, before.log, (taken, label))
                self.assertIn(after.vote, (before.vote, NOBODY), (taken, label))
                self.assertIn(after.role, (before.role, "F"), (taken, label))
