import unittest
from collections import deque

from minicheck import check_safety

from carobspring.domain import RunStatus
from carobspring.ledger import ClaimCommand, OutcomeCommand, UniqueCallLedger
from carobspring.protocol import ClaimRequest, OutcomeReport
from tests.modelcheck.unique_calls_spec import (
    LAST_NUMBER,
    ClaimStep,
    Guard,
    Ledger,
    LedgerStep,
    OutcomeStep,
    Steps,
    SystemState,
    build_model,
    can_grant,
    step_ledger,
)

MAX_STATES = 100_000
#: A counterexample counts even if the search stops at this limit.
MAX_MUTANT_STATES = 4_000
CALL = ("w", "booking", "k")


class ModelTests(unittest.TestCase):
    def test_protocol_is_safe(self):
        """Every invariant holds in every state within the bounds."""
        result = check_safety(build_model(), max_states=MAX_STATES)
        self.assertIs(result["exhaustive"], True)
        holds = {name: check["holds"] for name, check in result["properties"].items()}
        self.assertEqual(holds, dict.fromkeys(holds, True))
        self.assertGreater(result["reachable_states"], 20_000)

    def test_each_guard_is_needed(self):
        """Without any one guard, the search finds a counterexample."""
        for guard in Guard:
            with self.subTest(guard.value):
                model = build_model(frozenset({guard}))
                result = check_safety(model, max_states=MAX_MUTANT_STATES)
                refuted = [
                    name
                    for name, check in result["properties"].items()
                    if check["holds"] is False
                ]
                self.assertNotEqual(refuted, [])


def apply_step(ledger: UniqueCallLedger, step: LedgerStep, request_id: str) -> None:
    """Apply a step of the model to the real ledger."""
    if isinstance(step, ClaimStep):
        request = ClaimRequest(
            workspace=CALL[0],
            service=CALL[1],
            key=CALL[2],
            request_hash="h",
            server_id=str(step.agent),
            boot=step.boot,
            replaces=step.replaces,
            request_id=request_id,
        )
        ledger.apply_claim(ClaimCommand(request=request, at_ms=1))
    else:
        report = OutcomeReport(
            number=step.number, run_status=RunStatus(step.status), boot=step.boot
        )
        ledger.apply_outcome(
            OutcomeCommand(report=report, at_ms=1, agent_gone=step.gone)
        )


def describe_record(ledger: UniqueCallLedger) -> Ledger:
    """Return the real ledger's record in the form of the model."""
    claim = ledger.find_claim(*CALL)
    if claim is None:
        return Ledger()
    return Ledger(claim.state.value, claim.number, int(claim.server_id), claim.boot)


def find_ledger_steps() -> dict[Ledger, set[LedgerStep]]:
    """Return the ledger steps of the model in each state of its ledger."""
    steps_by_ledger: dict[Ledger, set[LedgerStep]] = {}
    steps = Steps()
    seen = {SystemState()}
    pending = deque(seen)
    while pending:
        system = pending.popleft()
        for label, after in steps.find_steps(system):
            if isinstance(label, ClaimStep | OutcomeStep):
                steps_by_ledger.setdefault(system.ledger, set()).add(label)
            if after not in seen:
                seen.add(after)
                pending.append(after)
    return steps_by_ledger


class RealLedgerTests(unittest.TestCase):
    def test_real_ledger_takes_the_same_steps(self):
        """The ledger and the model agree after every step."""
        steps_by_ledger = find_ledger_steps()
        compared = 0
        reached = {Ledger(): UniqueCallLedger().take_snapshot()}
        pending = deque(reached)
        while pending:
            state = pending.popleft()
            for step in sorted(steps_by_ledger.get(state, ()), key=repr):
                if state.number == LAST_NUMBER and isinstance(step, ClaimStep):
                    if can_grant(state, step, frozenset()):
                        continue
                # The same message again, and one from another process.
                for request_id in (repr(step), "another"):
                    ledger = UniqueCallLedger()
                    ledger.restore(reached[state])
                    apply_step(ledger, step, request_id)
                    expected = step_ledger(state, step, frozenset())
                    self.assertEqual(describe_record(ledger), expected, (state, step))
                    compared += 1
                    if expected not in reached:
                        reached[expected] = ledger.take_snapshot()
                        pending.append(expected)
        self.assertEqual(set(steps_by_ledger) - set(reached), set())
        self.assertGreater(compared, 1_000)
