"""The unique-call protocol as a small model, for one idempotency key.

Bounds: two agents with two boots each, three claim numbers, one call. Within
them the model is explored whole. Messages never vanish: once granted, a claim
may reach its agent at any later time and any number of times; so may every
claim request and every outcome. An entry's death needs no step of its own: a
message that it would have sent is one that is never delivered, and a resend
through another entry is a step that is always open.

Not modelled: the retention of records (a message is taken to be dead within
24 hours) and the quorum, which ``tests/modelcheck`` of consensus checks.

The environment is made worse than the agent really is: one that is asked to
fence a claim of an earlier boot says "not run" under its own boot number.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

AGENTS = (0, 1)
LAST_BOOT = 2
LAST_NUMBER = 3


class Guard(str, Enum):
    """A rule of the protocol, which a mutant leaves out."""

    #: Ledger: a claim that stands is not granted anew.
    ONE_GRANT = "one grant"
    #: Ledger: a next attempt follows "not run" only.
    AFTER_NOT_RUN = "after not run"
    #: Ledger: a next attempt names the number that it follows.
    NAMES_NUMBER = "names number"
    #: Ledger: only the claim's own boot says what ran.
    OWN_BOOT = "own boot"
    #: Ledger: a final state stays.
    FINAL_STATE = "final state"
    #: Agent: runs a claim under the boot number in it only.
    SAME_BOOT = "same boot"
    #: Agent: runs a claim number once.
    RUNS_ONCE = "runs once"
    #: Agent: never runs a claim that it fenced.
    FENCE = "fence"
    #: Agent: refuses numbers that it has forgotten.
    WATERMARK = "watermark"


class Ledger(NamedTuple):
    """The ledger's record of the call: a claim's state, number, holder."""

    state: str = "none"
    number: int = 0
    agent: int = 0
    boot: int = 0


class Agent(NamedTuple):
    """An agent: its boot, what it knows of each claim, its watermark."""

    boot: int = 1
    claims: tuple[str, ...] = ("",) * LAST_NUMBER
    watermark: int = 0


class ClaimStep(NamedTuple):
    """A claim request: the number that it follows, and the agent chosen."""

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


class World(NamedTuple):
    """Everything; requests, grants and outcomes are never taken out."""

    ledger: Ledger = Ledger()
    agents: tuple[Agent, ...] = (Agent(),) * len(AGENTS)
    #: Numbers that a request names as the one it follows.
    requests: frozenset[int] = frozenset({0})
    #: By claim number: agent and boot that it was granted to.
    grants: tuple[tuple[int, int], ...] = ()
    outcomes: frozenset[OutcomeStep] = frozenset()
    #: Runs at a backend server, by claim number.
    runs: tuple[int, ...] = (0,) * LAST_NUMBER
    was_done: bool = False
    #: Number whose "not run" a caller got as its final answer.
    told: int = 0


STATES = {"ran": "done", "not_run": "not_run", "unknown": "unknown"}


def step_ledger(ledger: Ledger, step: LedgerStep, without: frozenset[Guard]) -> Ledger:
    """Return the ledger after a claim request or an outcome report."""
    if isinstance(step, ClaimStep):
        if may_grant(ledger, step, without) and ledger.number < LAST_NUMBER:
            return Ledger("claimed", ledger.number + 1, step.agent, step.boot)
        return ledger
    if step.number != ledger.number:
        return ledger
    if step.boot != ledger.boot and Guard.OWN_BOOT not in without:
        if step.status != "unknown" or not step.gone:
            return ledger
    final = ledger.state not in ("claimed", "none")
    late_answer = (ledger.state, step.status) == ("unknown", "ran")
    if final and not late_answer and Guard.FINAL_STATE not in without:
        return ledger
    return Ledger(STATES[step.status], ledger.number, ledger.agent, ledger.boot)


def may_grant(ledger: Ledger, step: ClaimStep, without: frozenset[Guard]) -> bool:
    """Say whether a claim request gets a new number."""
    if ledger.state == "none":
        return step.replaces == 0
    if ledger.state == "claimed" and Guard.ONE_GRANT in without:
        return True
    named = step.replaces == ledger.number or Guard.NAMES_NUMBER in without
    if ledger.state == "unknown" and Guard.AFTER_NOT_RUN in without:
        return named
    return ledger.state == "not_run" and named and step.replaces > 0


def replace_at(values: tuple, index: int, value: object) -> tuple:
    """Return a tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])


class Steps:
    """Every step that is open in a world, with the guards in force."""

    def __init__(self, without: frozenset[Guard] = frozenset()) -> None:
        self.without = without

    def list_steps(self, state: tuple) -> list[tuple[object, tuple]]:
        """Return each step's label and the state after it."""
        world: World = state[0]
        return [
            (label, (after,))
            for label, after in self.find_steps(world)
            if after != world
        ]

    def find_steps(self, world: World) -> Iterator[tuple[object, World]]:
        """Yield each step, also those that change nothing."""
        yield from self.find_ledger_steps(world)
        for number in range(1, len(world.grants) + 1):
            yield from self.find_agent_steps(world, number)
        for index, agent in enumerate(world.agents):
            if agent.boot < LAST_BOOT:
                restarted = Agent(boot=agent.boot + 1)
                yield f"restart {index}", change_agent(world, index, restarted)
        ledger = world.ledger
        if ledger.number and world.told != ledger.number:
            # Also while it does not stand at "not run": an entry may be wrong.
            known = world.requests | {ledger.number}
            yield "ask again", change(world, requests=known)
        if ledger.state == "not_run" and ledger.number not in world.requests:
            yield "give up", change(world, told=ledger.number)

    def find_ledger_steps(self, world: World) -> Iterator[tuple[object, World]]:
        """Yield the delivery of each claim request and each outcome."""
        for replaces in sorted(world.requests):
            for index, agent in enumerate(world.agents):
                for boot in range(1, agent.boot + 1):
                    step = ClaimStep(replaces, index, boot)
                    yield step, self.deliver(world, step)
        for step in sorted(world.outcomes):
            yield step, self.deliver(world, step)
        ledger = world.ledger
        if ledger.number:
            gone = world.agents[ledger.agent].boot > ledger.boot
            suspicion = OutcomeStep(ledger.number, 0, "unknown", gone)
            yield suspicion, self.deliver(world, suspicion)

    def deliver(self, world: World, step: LedgerStep) -> World:
        """Return the world after the ledger applied a step."""
        ledger = step_ledger(world.ledger, step, self.without)
        grants = world.grants
        if ledger.number > len(grants):
            grants = (*grants, (ledger.agent, ledger.boot))
        was_done = world.was_done or ledger.state == "done"
        return change(world, ledger=ledger, grants=grants, was_done=was_done)

    def find_agent_steps(
        self, world: World, number: int
    ) -> Iterator[tuple[object, World]]:
        """Yield what the agent of a claim may do with it."""
        index, boot = world.grants[number - 1]
        agent = world.agents[index]
        known = agent.claims[number - 1]
        forgotten = number <= agent.watermark and Guard.WATERMARK not in self.without
        if boot == agent.boot or Guard.SAME_BOOT in self.without:
            if not forgotten and self.may_run(known):
                running = self.note_claim(world, index, number, "running")
                runs = replace_at(world.runs, number - 1, world.runs[number - 1] + 1)
                yield f"run {number}", change(running, runs=runs)
            if not forgotten and not known:
                # Refused from a full queue: the same as being fenced.
                refused = self.note_claim(world, index, number, "fenced")
                yield f"refuse {number}", say(refused, number, agent.boot, "not_run")
        elif not known and not forgotten:
            # The worse environment: see the module's text.
            fenced = self.note_claim(world, index, number, "fenced")
            yield f"fence late {number}", say(fenced, number, agent.boot, "not_run")
        if known == "running":
            ended = self.note_claim(world, index, number, "ran")
            yield f"end {number}", say(ended, number, agent.boot, "ran")
            yield f"crash {number}", say(ended, number, agent.boot, "unknown")
        if known in ("ran", "fenced") and number > agent.watermark:
            forgetful = Agent(
                boot=agent.boot,
                claims=("",) * number + agent.claims[number:],
                watermark=number,
            )
            if "running" not in agent.claims[:number]:
                yield f"forget {number}", change_agent(world, index, forgetful)

    def may_run(self, known: str) -> bool:
        """Say whether an agent that knows this of a claim runs it."""
        if known == "fenced":
            return Guard.FENCE in self.without
        return not known or Guard.RUNS_ONCE in self.without

    def note_claim(self, world: World, index: int, number: int, word: str) -> World:
        """Return the world where an agent knows this of a claim."""
        agent = world.agents[index]
        claims = replace_at(agent.claims, number - 1, word)
        return change_agent(world, index, agent._replace(claims=claims))


def change(world: World, **changes: object) -> World:
    """Return a world with these parts changed."""
    return world._replace(**changes)


def change_agent(world: World, index: int, agent: Agent) -> World:
    """Return a world with one agent changed."""
    return change(world, agents=replace_at(world.agents, index, agent))


def say(world: World, number: int, boot: int, status: str) -> World:
    """Return a world where an agent has sent an outcome report."""
    report = OutcomeStep(number, boot, status)
    return change(world, outcomes=world.outcomes | {report})


def runs_at_most_once(state: dict) -> bool:
    """Say whether the call ran once at most, over all its attempts."""
    return sum(state["world"].runs) <= 1


def not_run_is_a_fact(state: dict) -> bool:
    """Say whether what the ledger calls "not run" has not run."""
    world = state["world"]
    ledger = world.ledger
    return ledger.state != "not_run" or not world.runs[ledger.number - 1]


def an_answer_stays(state: dict) -> bool:
    """Say whether a committed answer is still there."""
    return not state["world"].was_done or state["world"].ledger.state == "done"


def done_has_run(state: dict) -> bool:
    """Say whether a stored answer is that of a run."""
    world = state["world"]
    ledger = world.ledger
    return ledger.state != "done" or world.runs[ledger.number - 1] > 0


def a_final_answer_holds(state: dict) -> bool:
    """Say whether nothing ran after a caller was told "not run" for good."""
    world = state["world"]
    if not world.told or world.told in world.requests:
        return True
    return not any(world.runs[world.told :])


def build_model(without: frozenset[Guard] = frozenset()) -> Protocol:
    """Return the protocol without some guards."""
    checks = (
        runs_at_most_once,
        not_run_is_a_fact,
        an_answer_stays,
        done_has_run,
        a_final_answer_holds,
    )
    return Protocol(
        name="unique calls",
        candidate=False,
        fields=("world",),
        initial=(World(),),
        transitions=Steps(without).list_steps,
        invariants={check.__name__: check for check in checks},
    )
