"""A small model of the holder of duties, its calls and the reported usage.

Bounds: two replicas that may lead, three terms, one freeze, one window of
usage. Time passes in ticks for both replicas; the clock of a frozen one stands
still. Every call may arrive at any tick until it is dropped. The quorum is not
modelled: an election needs only that the lease of the other leader has ended,
which the election timeout of the followers ensures. ``test_consensus`` covers
that a term has one leader.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

REPLICAS = (0, 1)
LAST_TERM = 3
MAX_FREEZES = 1
#: Ticks of a leader's lease, of a call, and within which holders must not act
#: by turns.
LEADER_LEASE = 2
CALL_TIMEOUT = 1
DUTY_LEASE = 2
QUIET = DUTY_LEASE + LEADER_LEASE + CALL_TIMEOUT
NOT_CLOSED = -1


class Guard(str, Enum):
    """A rule of the protocol, which a mutant omits."""

    #: A leader calls only while its lease holds by its own clock.
    LEASE = "lease"
    #: A new leader waits before its first call.
    QUIET = "quiet"
    #: A freeze begins the wait anew.
    FREEZE = "freeze"
    #: A freeze ends the call that is open.
    FREEZE_ENDS_CALL = "freeze ends call"
    #: A call that takes too long is reset.
    TIMEOUT = "timeout"
    #: Only committed counts are sent.
    COMMITTED = "committed"
    #: The first committed counts of a window are final.
    FIRST_FINAL = "first final"


class Call(NamedTuple):
    """A call on its way: its token, its age in ticks and the counts."""

    token: int
    age: int
    counts: int


class Replica(NamedTuple):
    """A replica; ``term`` is zero while it does not think that it leads."""

    term: int = 0
    #: Ticks of its own clock since it leads, and since its lease was renewed.
    held: int = 0
    unrenewed: int = 0
    #: Ticks since then that have really passed.
    really_unrenewed: int = LEADER_LEASE
    is_frozen: bool = False
    #: True in the tick in which it goes on after a freeze.
    is_thawing: bool = False
    call: Call | None = None


class Arrival(NamedTuple):
    """The last call of a holder before another one called."""

    holder: int
    age: int


class SystemState(NamedTuple):
    """The replicas and what the provider has seen."""

    replicas: tuple[Replica, ...] = (Replica(),) * len(REPLICAS)
    #: The newest term, and its leader.
    term: int = 0
    leader: int = -1
    freezes: int = 0
    #: The replica whose counts were committed for the window.
    closed: int = NOT_CLOSED
    accepted: frozenset[int] = frozenset()
    highest_token: int = 0
    #: Holder of each token that the provider has seen.
    holders: tuple[int, ...] = (-1,) * LAST_TERM
    last: Arrival | None = None
    previous: Arrival | None = None
    violation: str = ""


class Steps:
    """The steps that are possible in a state, with the guards in force."""

    def __init__(self, omitted: frozenset[Guard] = frozenset()) -> None:
        self.omitted = omitted

    def list_steps(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return each step's label and the state after it."""
        system: SystemState = state[0]
        if system.violation:
            return []
        steps = self.find_steps(system)
        return [(label, (after,)) for label, after in steps if after != system]

    def find_steps(self, system: SystemState) -> Iterator[tuple[str, SystemState]]:
        """Yield each step."""
        yield "tick", self.tick(system)
        for index, replica in enumerate(system.replicas):
            if replica.is_frozen:
                yield f"thaw {index}", self.thaw(system, index)
                continue
            yield from self.find_leadership_steps(system, index)
            if replica.call is not None:
                yield f"arrive {index}", self.arrive(system, index)
            elif self.may_call(system, replica):
                yield f"call {index}", self.call(system, index)
            if system.freezes < MAX_FREEZES and replica.term:
                frozen = set_replica(system, index, is_frozen=True)
                yield f"freeze {index}", frozen._replace(freezes=system.freezes + 1)

    def find_leadership_steps(
        self, system: SystemState, index: int
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield elections, renewals, the end of a term, and a closing."""
        replica = system.replicas[index]
        others = [r for other, r in enumerate(system.replicas) if other != index]
        is_free = all(r.really_unrenewed >= LEADER_LEASE for r in others)
        if not replica.term and is_free and system.term < LAST_TERM:
            term = system.term + 1
            elected = set_replica(
                system, index, term=term, held=0, unrenewed=0, really_unrenewed=0
            )
            yield f"elect {index}", elected._replace(term=term, leader=index)
        if replica.term and replica.term == system.term:
            renewed = set_replica(system, index, unrenewed=0, really_unrenewed=0)
            yield f"renew {index}", renewed
            if system.closed == NOT_CLOSED or Guard.FIRST_FINAL in self.omitted:
                yield f"close {index}", system._replace(closed=index)
        if replica.term:
            yield f"step down {index}", set_replica(system, index, term=0)

    def tick(self, system: SystemState) -> SystemState:
        """Return the state one tick later."""
        replicas = tuple(self.tick_replica(each) for each in system.replicas)
        return system._replace(
            replicas=replicas,
            last=_grow_older(system.last),
            previous=_grow_older(system.previous),
        )

    def tick_replica(self, replica: Replica) -> Replica:
        """Return a replica one tick later."""
        really_unrenewed = min(replica.really_unrenewed + 1, LEADER_LEASE)
        if replica.is_frozen:
            return replica._replace(really_unrenewed=really_unrenewed)
        call = replica.call
        if call is not None:
            is_ended = replica.is_thawing and Guard.FREEZE_ENDS_CALL not in self.omitted
            is_late = call.age >= CALL_TIMEOUT and Guard.TIMEOUT not in self.omitted
            age = min(call.age + 1, CALL_TIMEOUT)
            call = None if is_ended or is_late else call._replace(age=age)
        return replica._replace(
            held=min(replica.held + 1, QUIET),
            unrenewed=min(replica.unrenewed + 1, LEADER_LEASE),
            really_unrenewed=really_unrenewed,
            is_thawing=False,
            call=call,
        )

    def thaw(self, system: SystemState, index: int) -> SystemState:
        """Return the state after a frozen replica goes on."""
        held = system.replicas[index].held if Guard.FREEZE in self.omitted else 0
        return set_replica(system, index, is_frozen=False, is_thawing=True, held=held)

    def may_call(self, system: SystemState, replica: Replica) -> bool:
        """Return whether a replica begins a call as the holder."""
        has_lease = replica.unrenewed < LEADER_LEASE or Guard.LEASE in self.omitted
        is_quiet_over = replica.held >= QUIET or Guard.QUIET in self.omitted
        has_counts = system.closed != NOT_CLOSED or Guard.COMMITTED in self.omitted
        return bool(replica.term) and has_lease and is_quiet_over and has_counts

    def call(self, system: SystemState, index: int) -> SystemState:
        """Return the state after a call was sent."""
        counts = index if Guard.COMMITTED in self.omitted else system.closed
        call = Call(token=system.replicas[index].term, age=0, counts=counts)
        return set_replica(system, index, call=call)

    def arrive(self, system: SystemState, index: int) -> SystemState:
        """Return the state after the provider has got a call."""
        replica = system.replicas[index]
        assert replica.call is not None
        token, _, counts = replica.call
        accepted = system.accepted | {counts}
        system = set_replica(system, index, call=None)._replace(accepted=accepted)
        if len(accepted) > 1:
            return system._replace(violation="two reports of one window")
        if replica.is_thawing:
            # The provider's rules excuse what arrives right after a freeze.
            return system
        if token < system.highest_token:
            return system._replace(violation="an older token")
        if system.holders[token - 1] not in (-1, index):
            return system._replace(violation="two holders of one token")
        last, previous = system.last, system.previous
        if last is not None and last.holder != index:
            previous = last
        if (
            previous is not None
            and last is not None
            and last.holder != index
            and system.previous is not None
            and system.previous.holder == index
            and system.previous.age < DUTY_LEASE
        ):
            return system._replace(violation="holders by turns")
        holders = (*system.holders[: token - 1], index, *system.holders[token:])
        return system._replace(
            highest_token=token,
            holders=holders,
            last=Arrival(index, 0),
            previous=previous,
        )


def set_replica(system: SystemState, index: int, **changes: object) -> SystemState:
    """Return a copy of a state with some fields of a replica replaced."""
    replica = system.replicas[index]._replace(**changes)
    replicas = (*system.replicas[:index], replica, *system.replicas[index + 1 :])
    return system._replace(replicas=replicas)


def _grow_older(arrival: Arrival | None) -> Arrival | None:
    if arrival is None:
        return None
    return arrival._replace(age=min(arrival.age + 1, DUTY_LEASE))


def has_no_violation(state: dict) -> bool:
    """Return whether the provider has seen nothing that it must not see."""
    return not state["system"].violation


def build_model(omitted: frozenset[Guard] = frozenset()) -> Protocol:
    """Return the protocol, with some guards omitted."""
    return Protocol(
        name="duties",
        candidate=False,
        fields=("system",),
        initial=(SystemState(),),
        transitions=Steps(omitted).list_steps,
        invariants={has_no_violation.__name__: has_no_violation},
    )
