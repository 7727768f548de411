"""Exhaustive checks of the holder of duties, within the model's bounds."""

import unittest

from minicheck import check_safety
from minicheck._core import StateSpaceExceeded

from tests.modelcheck.duties_spec import Guard, build_model

MAX_STATES = 200_000


class DutiesModelTests(unittest.TestCase):
    def test_protocol_is_safe(self):
        """No call of an earlier holder and no second report arrive."""
        result = check_safety(build_model(), max_states=MAX_STATES)
        self.assertIs(result["exhaustive"], True)
        self.assertIs(result["properties"]["has_no_violation"]["holds"], True)
        self.assertGreater(result["reachable_states"], 100_000)

    def test_each_guard_is_needed(self):
        """Without any one guard, the search finds a counterexample."""
        for guard in Guard:
            with self.subTest(guard.value):
                model = build_model(frozenset({guard}))
                violations = []
                list_steps = model.transitions

                def list_steps_or_stop(
                    state, list_steps=list_steps, violations=violations
                ):
                    if state[0].violation:
                        violations.append(state[0].violation)
                        raise StateSpaceExceeded("a violation was found")
                    return list_steps(state)

                model.transitions = list_steps_or_stop
                check_safety(model, max_states=MAX_STATES)
                self.assertNotEqual(violations, [])


if __name__ == "__main__":
    unittest.main()
