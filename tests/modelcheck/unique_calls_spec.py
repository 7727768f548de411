"""A small model of the unique-call protocol, for one idempotency key.

Bounds: two agents with two boots each, three claim numbers, one call. The
search within them is exhaustive. Messages are never removed: a granted claim
may reach its agent at any later time and any number of times, and so may every
claim request and every outcome. The crash of an entry needs no step of its
own: a message that it would have sent is one that is never delivered, and a
resend through another entry is always possible.

Not modelled are the retention of records (no message is assumed to arrive
after 24 hours) and the quorum, which ``test_consensus`` covers.

The model's agent is more permissive than the real one: when it is asked to
fence a claim of an earlier boot, it reports "not run" under its own boot
number.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

AGENTS = (0, 1)
LAST_BOOT = 2
LAST_NUMBER = 3


class Guard(str, Enum):
    """A rule of the protocol, which a mutant omits."""

    #: Ledger: a claim in progress is not granted again.
    ONE_GRANT = "one grant"
    #: Ledger: another attempt is granted only after "not run".
    AFTER_NOT_RUN = "after not run"
    #: Ledger: another attempt names the claim number that it replaces.
    NAMES_NUMBER = "names number"
    #: Ledger: only the boot that holds the claim reports what ran.
    OWN_BOOT = "own boot"
    #: Ledger: a final state does not change.
    FINAL_STATE = "final state"
    #: Agent: runs a claim only under the boot number in the claim.
    SAME_BOOT = "same boot"
    #: Agent: runs each claim number once.
    RUNS_ONCE = "runs once"
    #: Agent: never runs a claim that it fenced.
    FENCE = "fence"
    #: Agent: rejects numbers at or below its watermark.
    WATERMARK = "watermark"


class Ledger(NamedTuple):
    """The ledger's record of the call: claim state, number and holder."""

    state: str = "none"
    number: int = 0
    agent: int = 0
    boot: int = 0


class Agent(NamedTuple):
    """An agent: its boot, the status of each claim, and its watermark."""

    boot: int = 1
    claims: tuple[str, ...] = ("",) * LAST_NUMBER
    watermark: int = 0


class ClaimStep(NamedTuple):
    """A claim request: the number that it replaces and the chosen agent."""

    replaces: int
    agent: int
    boot: int


class OutcomeStep(NamedTuple):
    """An outcome report, and whether membership says the holder is gone."""

    number: int
    boot: int
    status: str
    gone: bool = False


LedgerStep = ClaimStep | OutcomeStep


class SystemState(NamedTuple):
    """The system; requests, grants and outcomes are never removed."""

    ledger: Ledger = Ledger()
    agents: tuple[Agent, ...] = (Agent(),) * len(AGENTS)
    #: Numbers that claim requests name as the one they replace.
    requests: frozenset[int] = frozenset({0})
    #: Agent and boot that hold each claim, by claim number.
    grants: tuple[tuple[int, int], ...] = ()
    outcomes: frozenset[OutcomeStep] = frozenset()
    #: Runs at a backend server, by claim number.
    runs: tuple[int, ...] = (0,) * LAST_NUMBER
    was_done: bool = False
    #: Claim number whose "not run" a caller got as its final response.
    reported_not_run: int = 0


STATES = {"ran": "done", "not_run": "not_run", "unknown": "unknown"}


def step_ledger(ledger: Ledger, step: LedgerStep, omitted: frozenset[Guard]) -> Ledger:
    """Return the ledger after a claim request or an outcome report."""
    if isinstance(step, ClaimStep):
        if can_grant(ledger, step, omitted) and ledger.number < LAST_NUMBER:
            return Ledger("claimed", ledger.number + 1, step.agent, step.boot)
        return ledger
    if step.number != ledger.number:
        return ledger
    if step.boot != ledger.boot and Guard.OWN_BOOT not in omitted:
        if step.status != "unknown" or not step.gone:
            return ledger
    is_final = ledger.state not in ("claimed", "none")
    is_late_result = (ledger.state, step.status) == ("unknown", "ran")
    if is_final and not is_late_result and Guard.FINAL_STATE not in omitted:
        return ledger
    return Ledger(STATES[step.status], ledger.number, ledger.agent, ledger.boot)


def can_grant(ledger: Ledger, step: ClaimStep, omitted: frozenset[Guard]) -> bool:
    """Return whether a claim request gets a new number."""
    if ledger.state == "none":
        return step.replaces == 0
    if ledger.state == "claimed" and Guard.ONE_GRANT in omitted:
        return True
    names_number = step.replaces == ledger.number or Guard.NAMES_NUMBER in omitted
    if ledger.state == "unknown" and Guard.AFTER_NOT_RUN in omitted:
        return names_number
    return ledger.state == "not_run" and names_number and step.replaces > 0


def replace_at(values: tuple, index: int, value: object) -> tuple:
    """Return a tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])


class Steps:
    """The steps that are possible in a state, with the guards in force."""

    def __init__(self, omitted: frozenset[Guard] = frozenset()) -> None:
        self.omitted = omitted

    def list_steps(self, state: tuple) -> list[tuple[object, tuple]]:
        """Return each step's label and the state after it."""
        system: SystemState = state[0]
        return [
            (label, (after,))
            for label, after in self.find_steps(system)
            if after != system
        ]

    def find_steps(self, system: SystemState) -> Iterator[tuple[object, SystemState]]:
        """Yield each step, including those that change nothing."""
        yield from self.find_ledger_steps(system)
        for number in range(1, len(system.grants) + 1):
            yield from self.find_agent_steps(system, number)
        for index, agent in enumerate(system.agents):
            if agent.boot < LAST_BOOT:
                restarted = Agent(boot=agent.boot + 1)
                yield f"restart {index}", replace_agent(system, index, restarted)
        ledger = system.ledger
        if ledger.number and system.reported_not_run != ledger.number:
            # In any state, because the view of an entry may be wrong.
            requests = system.requests | {ledger.number}
            yield "retry", replace_fields(system, requests=requests)
        if ledger.state == "not_run" and ledger.number not in system.requests:
            yield "give up", replace_fields(system, reported_not_run=ledger.number)

    def find_ledger_steps(
        self, system: SystemState
    ) -> Iterator[tuple[object, SystemState]]:
        """Yield the delivery of each claim request and each outcome."""
        for replaces in sorted(system.requests):
            for index, agent in enumerate(system.agents):
                for boot in range(1, agent.boot + 1):
                    step = ClaimStep(replaces, index, boot)
                    yield step, self.deliver(system, step)
        for step in sorted(system.outcomes):
            yield step, self.deliver(system, step)
        ledger = system.ledger
        if ledger.number:
            gone = system.agents[ledger.agent].boot > ledger.boot
            unknown_outcome = OutcomeStep(ledger.number, 0, "unknown", gone)
            yield unknown_outcome, self.deliver(system, unknown_outcome)

    def deliver(self, system: SystemState, step: LedgerStep) -> SystemState:
        """Return the state after the ledger has applied a step."""
        ledger = step_ledger(system.ledger, step, self.omitted)
        grants = system.grants
        if ledger.number > len(grants):
            grants = (*grants, (ledger.agent, ledger.boot))
        was_done = system.was_done or ledger.state == "done"
        return replace_fields(system, ledger=ledger, grants=grants, was_done=was_done)

    def find_agent_steps(
        self, system: SystemState, number: int
    ) -> Iterator[tuple[object, SystemState]]:
        """Yield the steps of the agent that holds a claim."""
        index, boot = system.grants[number - 1]
        agent = system.agents[index]
        status = agent.claims[number - 1]
        is_forgotten = number <= agent.watermark and Guard.WATERMARK not in self.omitted
        if boot == agent.boot or Guard.SAME_BOOT in self.omitted:
            if not is_forgotten and self.can_run(status):
                running = self.set_claim_status(system, index, number, "running")
                runs = replace_at(system.runs, number - 1, system.runs[number - 1] + 1)
                yield f"run {number}", replace_fields(running, runs=runs)
            if not is_forgotten and not status:
                # A rejection by a full queue has the same effect as a fence.
                rejected = self.set_claim_status(system, index, number, "fenced")
                yield f"reject {number}", add_outcome(
                    rejected, number, agent.boot, "not_run"
                )
        elif not status and not is_forgotten:
            # More permissive than the real agent; see the module's docstring.
            fenced = self.set_claim_status(system, index, number, "fenced")
            yield f"fence late {number}", add_outcome(
                fenced, number, agent.boot, "not_run"
            )
        if status == "running":
            ended = self.set_claim_status(system, index, number, "ran")
            yield f"end {number}", add_outcome(ended, number, agent.boot, "ran")
            yield f"crash {number}", add_outcome(ended, number, agent.boot, "unknown")
        if status in ("ran", "fenced") and number > agent.watermark:
            after = Agent(
                boot=agent.boot,
                claims=("",) * number + agent.claims[number:],
                watermark=number,
            )
            if "running" not in agent.claims[:number]:
                yield f"forget {number}", replace_agent(system, index, after)

    def can_run(self, status: str) -> bool:
        """Return whether an agent runs a claim with this status."""
        if status == "fenced":
            return Guard.FENCE in self.omitted
        return not status or Guard.RUNS_ONCE in self.omitted

    def set_claim_status(
        self, system: SystemState, index: int, number: int, status: str
    ) -> SystemState:
        """Return the state after an agent sets the status of a claim."""
        agent = system.agents[index]
        claims = replace_at(agent.claims, number - 1, status)
        return replace_agent(system, index, agent._replace(claims=claims))


def replace_fields(system: SystemState, **changes: object) -> SystemState:
    """Return a copy of a state with some fields replaced."""
    return system._replace(**changes)


def replace_agent(system: SystemState, index: int, agent: Agent) -> SystemState:
    """Return a copy of a state with one agent replaced."""
    return replace_fields(system, agents=replace_at(system.agents, index, agent))


def add_outcome(
    system: SystemState, number: int, boot: int, status: str
) -> SystemState:
    """Return the state after an agent has sent an outcome report."""
    report = OutcomeStep(number, boot, status)
    return replace_fields(system, outcomes=system.outcomes | {report})


def runs_at_most_once(state: dict) -> bool:
    """Return whether the call ran at most once over all its attempts."""
    return sum(state["system"].runs) <= 1


def not_run_never_ran(state: dict) -> bool:
    """Return whether a claim that the ledger calls "not run" never ran."""
    system = state["system"]
    ledger = system.ledger
    return ledger.state != "not_run" or not system.runs[ledger.number - 1]


def result_is_kept(state: dict) -> bool:
    """Return whether a committed result is still stored."""
    return not state["system"].was_done or state["system"].ledger.state == "done"


def done_claim_ran(state: dict) -> bool:
    """Return whether a claim that is done has run."""
    system = state["system"]
    ledger = system.ledger
    return ledger.state != "done" or system.runs[ledger.number - 1] > 0


def final_not_run_holds(state: dict) -> bool:
    """Return whether nothing ran after a caller got a final "not run"."""
    system = state["system"]
    if not system.reported_not_run or system.reported_not_run in system.requests:
        return True
    return not any(system.runs[system.reported_not_run :])


def build_model(omitted: frozenset[Guard] = frozenset()) -> Protocol:
    """Return the protocol, with some guards omitted."""
    invariants = (
        runs_at_most_once,
        not_run_never_ran,
        result_is_kept,
        done_claim_ran,
        final_not_run_holds,
    )
    return Protocol(
        name="unique calls",
        candidate=False,
        fields=("system",),
        initial=(SystemState(),),
        transitions=Steps(omitted).list_steps,
        invariants={check.__name__: check for check in invariants},
    )
