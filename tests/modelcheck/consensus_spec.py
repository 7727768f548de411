"""A small specification of consensus, for exhaustive search within bounds.

Replicas 0 to 3 are identities. A message is one step that reads the sender
and changes the receiver at once; a message that is lost or late is a step not
taken or taken later. A reply to entries may be lost by itself. Left out: the
timers, pre-vote and lease, which only make elections rarer, and messages that
overtake each other, which the simulation covers.

A log is a tuple of entries, an entry is (term, kind): ``N`` starts a reign,
``+3`` gives identity 3 its vote, ``-0`` takes identity 0 out.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

LogEntry = tuple[int, str]
IDENTITIES = (0, 1, 2, 3)
NOBODY = -1


class Replica(NamedTuple):
    """Term, vote and log last; role, votes and matches do not."""

    term: int
    vote: int
    log: tuple[LogEntry, ...]
    #: ``F``ollower, ``C``andidate, ``L``eader, or ``X`` for a lost disk.
    role: str = "F"
    votes: frozenset[int] = frozenset()
    match: tuple[int, ...] = ()
    #: Entries that a leader knows to be committed.
    commit: int = 0


class State(NamedTuple):
    """All replicas, and what was ever committed or went wrong."""

    replicas: tuple[Replica, ...]
    committed: tuple[LogEntry, ...]
    #: Term of the leader that committed the last of these.
    committed_in: int
    #: Leader by term, to see a second one.
    leaders: tuple[int, ...]
    restarts: int
    broken: str


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """How far the search goes."""

    voters: frozenset[int] = frozenset({0, 1, 2})
    changes: tuple[str, ...] = ()
    terms: int = 3
    entries: int = 3
    restarts: int = 0
    #: Identities that stand for election.
    candidates: frozenset[int] = frozenset(IDENTITIES)
    #: Whether the disk of identity 0 may be lost.
    loses_disk: bool = False


@dataclass(frozen=True, kw_only=True)
class Guards:
    """The guards, each of which a mutant leaves out."""

    keeps_vote: bool = True
    keeps_entries: bool = True
    compares_logs: bool = True
    commits_own_term: bool = True
    one_change: bool = True
    commits_before_change: bool = True
    new_identity: bool = True


def find_voters(voters: frozenset[int], log: tuple[LogEntry, ...]) -> frozenset[int]:
    """Return the voters by the last configuration in a log."""
    for _, kind in log:
        if kind[0] == "+":
            voters = voters | {int(kind[1])}
        elif kind[0] == "-":
            voters = voters - {int(kind[1])}
    return voters


class Specification:
    """The steps of the protocol within bounds, with some guards."""

    def __init__(self, bounds: Bounds, guards: Guards) -> None:
        self._bounds = bounds
        self._guards = guards

    def build_protocol(self) -> Protocol:
        """Return the protocol as minicheck takes it."""
        founded = ((1, "N"),)
        replicas = [
            (
                Replica(term=1, vote=0, log=founded)
                if i in self._bounds.voters
                else Replica(term=1, vote=NOBODY, log=())
            )
            for i in IDENTITIES
        ]
        match = tuple(len(replica.log) for replica in replicas)
        replicas[0] = replicas[0]._replace(role="L", match=match, commit=1)
        leaders = (0,) + (NOBODY,) * (self._bounds.terms - 1)
        return Protocol(
            name="consensus",
            candidate=False,
            fields=State._fields,
            initial=State(tuple(replicas), founded, 1, leaders, 0, ""),
            transitions=self.list_steps,
            invariants={"agreement": lambda state: not state["broken"]},
        )

    def list_steps(self, state: State) -> list[tuple[str, State]]:
        """Return every step that is possible, with its label."""
        if state.broken:
            return []
        return list(self._generate_steps(state))

    def list_refused(self, state: State) -> list[str]:
        """Return changes and votes that a guard refuses in a state.

        Left out is what only the bounds refuse, and the promotion of a
        learner that lacks a few entries, which the core allows.
        """
        refused = []
        possible = {label for label, _ in self.list_steps(state)}
        for i in IDENTITIES:
            replica = state.replicas[i]
            voters = find_voters(self._bounds.voters, replica.log)
            if replica.role == "L" and len(replica.log) < self._bounds.entries:
                for kind in self._bounds.changes:
                    member = int(kind[1])
                    behind = replica.match[member] < replica.commit
                    if member in voters and kind[0] == "-":
                        refused.append(f"change {i} {kind}")
                    elif member not in voters and kind[0] == "+" and not behind:
                        refused.append(f"change {i} {kind}")
            if replica.role == "C":
                for j in voters - {i} - replica.votes:
                    if state.replicas[j].role != "X":
                        refused.append(f"vote {i} {j}")
        return sorted(set(refused) - possible)

    def _generate_steps(self, state: State) -> Iterator[tuple[str, State]]:
        for i in IDENTITIES:
            replica = state.replicas[i]
            if replica.role == "X":
                continue
            if state.restarts < self._bounds.restarts and replica.log:
                yield f"restart {i}", self._restart(state, i)
            voters = find_voters(self._bounds.voters, replica.log)
            if i in voters & self._bounds.candidates and replica.role != "L":
                if replica.log and replica.term < self._bounds.terms:
                    yield f"stand {i}", self._stand(state, i)
            for j in IDENTITIES:
                other = state.replicas[j]
                if i == j or other.role == "X":
                    continue
                if (
                    replica.role == "C"
                    and j in voters
                    and self._grants(other, i, replica)
                ):
                    yield f"vote {i} {j}", self._vote(state, i, j)
                if replica.role == "L" and other.term <= replica.term:
                    yield from self._replicate(state, i, j)
            if replica.role == "L":
                yield from self._change(state, i)
        zero = state.replicas[0]
        if self._bounds.loses_disk and zero.role != "X":
            if self._guards.new_identity:
                yield "lose 0", _put(state, 0, zero._replace(role="X"))
            elif zero.log:
                yield "lose 0", _put(state, 0, Replica(term=0, vote=NOBODY, log=()))

    def _restart(self, state: State, i: int) -> State:
        replica = state.replicas[i]
        log = replica.log if self._guards.keeps_entries else replica.log[:-1]
        vote = replica.vote if self._guards.keeps_vote else NOBODY
        fresh = Replica(term=replica.term, vote=vote, log=log)
        return _put(state, i, fresh)._replace(restarts=state.restarts + 1)

    def _stand(self, state: State, i: int) -> State:
        replica = state.replicas[i]
        stood = replica._replace(
            term=replica.term + 1,
            vote=i,
            role="C",
            votes=frozenset({i}),
            match=(),
            commit=0,
        )
        return self._review_votes(_put(state, i, stood), i)

    def _grants(self, voter: Replica, i: int, asker: Replica) -> bool:
        free = voter.term < asker.term or (
            voter.term == asker.term and voter.vote in (NOBODY, i)
        )
        if not free or i in voter.votes or not (voter.log or self._may_vote_empty()):
            return False
        if not self._guards.compares_logs:
            return True
        mine = (voter.log[-1][0] if voter.log else 0, len(voter.log))
        return (asker.log[-1][0], len(asker.log)) >= mine

    def _may_vote_empty(self) -> bool:
        return not self._guards.new_identity

    def _vote(self, state: State, i: int, j: int) -> State:
        asker, voter = state.replicas[i], state.replicas[j]
        if voter.term < asker.term:
            voter = Replica(term=voter.term, vote=voter.vote, log=voter.log)
        voter = voter._replace(term=asker.term, vote=i)
        asker = asker._replace(votes=asker.votes | {j})
        return self._review_votes(_put(_put(state, j, voter), i, asker), i)

    def _review_votes(self, state: State, i: int) -> State:
        replica = state.replicas[i]
        voters = find_voters(self._bounds.voters, replica.log)
        if len(replica.votes & voters) <= len(voters) // 2:
            return state
        leaders = list(state.leaders)
        if leaders[replica.term - 1] not in (NOBODY, i):
            return state._replace(broken="two leaders in a term")
        leaders[replica.term - 1] = i
        log = replica.log + ((replica.term, "N"),)
        match = [-1] * len(IDENTITIES)
        match[i] = len(log)
        reign = replica._replace(
            role="L", votes=frozenset(), log=log, match=tuple(match)
        )
        state = _put(state, i, reign)._replace(leaders=tuple(leaders))
        held = log[: len(state.committed)] == state.committed
        if not held and state.committed_in < replica.term:
            return state._replace(broken="a leader lacks what is committed")
        return self._advance_commit(state, i)

    def _replicate(self, state: State, i: int, j: int) -> Iterator[tuple[str, State]]:
        leader, other = state.replicas[i], state.replicas[j]
        same = 0
        for mine, theirs in zip(leader.log, other.log):
            if mine != theirs:
                break
            same += 1
        for size in range(max(same, 1), len(leader.log) + 1):
            if size > len(self._limit(leader.log)):
                break
            log = leader.log[:size] if size > same else other.log
            taken = other._replace(
                term=leader.term,
                vote=other.vote if other.term == leader.term else NOBODY,
                role="F",
                votes=frozenset(),
                match=(),
                log=log,
                commit=0,
            )
            arrived = _put(state, j, taken)
            if arrived != state:
                yield f"append {i} {j} {size} lost", arrived
            match = list(leader.match)
            match[j] = max(match[j], size)
            told = _put(arrived, i, leader._replace(match=tuple(match)))
            told = self._advance_commit(told, i)
            if told != state:
                yield f"append {i} {j} {size} answered", told

    def _limit(self, log: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        return log[: self._bounds.entries]

    def _advance_commit(self, state: State, i: int) -> State:
        leader = state.replicas[i]
        voters = find_voters(self._bounds.voters, leader.log)
        matched = sorted(leader.match[voter] for voter in voters)
        size = matched[(len(matched) - 1) // 2]
        own = size > 0 and leader.log[size - 1][0] == leader.term
        if size <= leader.commit or not (own or not self._guards.commits_own_term):
            return state
        state = _put(state, i, leader._replace(commit=size))
        prefix = leader.log[:size]
        known = state.committed[:size]
        if prefix[: len(known)] != known:
            return state._replace(broken="two entries committed at an index")
        if size > len(known):
            state = state._replace(committed=prefix, committed_in=leader.term)
        return state

    def _change(self, state: State, i: int) -> Iterator[tuple[str, State]]:
        leader = state.replicas[i]
        if len(leader.log) >= self._bounds.entries:
            return
        committed = leader.log[: leader.commit]
        own = bool(committed) and committed[-1][0] == leader.term
        if self._guards.commits_before_change and not own:
            return
        pending = any(kind != "N" for _, kind in leader.log[leader.commit :])
        if self._guards.one_change and pending:
            return
        voters = find_voters(self._bounds.voters, leader.log)
        for kind in self._bounds.changes:
            member = int(kind[1])
            if (member in voters) == (kind[0] == "+") or member == i:
                continue
            if kind[0] == "+" and leader.match[member] < leader.commit:
                continue
            log = leader.log + ((leader.term, kind),)
            match = list(leader.match)
            match[i] = len(log)
            changed = leader._replace(log=log, match=tuple(match))
            changed_state = self._advance_commit(_put(state, i, changed), i)
            yield f"change {i} {kind}", changed_state


def _put(state: State, i: int, replica: Replica) -> State:
    replicas = state.replicas[:i] + (replica,) + state.replicas[i + 1 :]
    return state._replace(replicas=replicas)
