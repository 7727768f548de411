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
    World,
    build_model,
    may_grant,
    step_ledger,
)

MAX_STATES = 100_000
#: A counterexample is one also when the search ends early.
MAX_MUTANT_STATES = 4_000
CALL = ("w", "booking", "k")


class ModelTests(unittest.TestCase):
    def test_protocol_is_safe(self):
        """Every property holds in every state within the bounds."""
        result = check_safety(build_model(), max_states=MAX_STATES)
        self.assertIs(result["exhaustive"], True)
        holds = {name: each["holds"] for name, each in result["properties"].items()}
        self.assertEqual(holds, dict.fromkeys(holds, True))
        self.assertGreater(result["reachable_states"], 20_000)

    def test_each_guard_is_needed(self):
        """Without any one guard, a counterexample is found."""
        for guard in Guard:
            with self.subTest(guard.value):
                model = build_model(frozenset({guard}))
                result = check_safety(model, max_states=MAX_MUTANT_STATES)
                refuted = [
                    name
                    for name, each in result["properties"].items()
                    if each["holds"] is False
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


def read_ledger(ledger: UniqueCallLedger) -> Ledger:
    """Return the real ledger's record as the model writes it."""
    claim = ledger.find_claim(*CALL)
    if claim is None:
        return Ledger()
    return Ledger(claim.state.value, claim.number, int(claim.server_id), claim.boot)


def find_ledger_steps() -> dict[Ledger, set[LedgerStep]]:
    """Return every step that the model takes in each state of the ledger."""
    found: dict[Ledger, set[LedgerStep]] = {}
    steps = Steps()
    seen = {World()}
    waiting = deque(seen)
    while waiting:
        world = waiting.popleft()
        for label, after in steps.find_steps(world):
            if isinstance(label, ClaimStep | OutcomeStep):
                found.setdefault(world.ledger, set()).add(label)
            if after not in seen:
                seen.add(after)
                waiting.append(after)
    return found


class RealLedgerTests(unittest.TestCase):
    def test_real_ledger_takes_the_same_steps(self):
        """From the start, along every step, ledger and model stay equal."""
        all_steps = find_ledger_steps()
        compared = 0
        reached = {Ledger(): UniqueCallLedger().take_snapshot()}
        waiting = deque(reached)
        while waiting:
            state = waiting.popleft()
            for step in sorted(all_steps.get(state, ()), key=repr):
                if state.number == LAST_NUMBER and isinstance(step, ClaimStep):
                    if may_grant(state, step, frozenset()):
                        continue
                # A copy of one message, and one of another process.
                for request_id in (repr(step), "another"):
                    ledger = UniqueCallLedger()
                    ledger.restore(reached[state])
                    apply_step(ledger, step, request_id)
                    expected = step_ledger(state, step, frozenset())
                    self.assertEqual(read_ledger(ledger), expected, (state, step))
                    compared += 1
                    if expected not in reached:
                        reached[expected] = ledger.take_snapshot()
                        waiting.append(expected)
        self.assertEqual(set(all_steps) - set(reached), set())
        self.assertGreater(compared, 1_000)
