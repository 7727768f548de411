"""A small specification of consensus, for exhaustive search within bounds.

Replicas are identified by the numbers 0 to 3. A message is one step that reads
the sender and changes the receiver atomically; a lost or delayed message is a
step that is not taken or taken later. The reply to an append may be lost
separately. The specification omits timers, pre-vote and lease, which only make
elections rarer, and reordered messages, which the simulation covers.

A log is a tuple of entries, and an entry is (term, kind): ``N`` is the no-op
at the start of a term, ``+3`` makes replica 3 a voter, and ``-0`` removes
replica 0.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

LogEntry = tuple[int, str]
IDENTITIES = (0, 1, 2, 3)
NO_REPLICA = -1


class Replica(NamedTuple):
    """Term, vote and log survive a restart; the other fields do not."""

    term: int
    vote: int
    log: tuple[LogEntry, ...]
    #: ``F``ollower, ``C``andidate, ``L``eader, or ``X`` for a lost disk.
    role: str = "F"
    votes: frozenset[int] = frozenset()
    match_index: tuple[int, ...] = ()
    #: Number of entries that a leader knows to be committed.
    commit: int = 0


class State(NamedTuple):
    """All replicas, with the committed entries and any violation."""

    replicas: tuple[Replica, ...]
    committed: tuple[LogEntry, ...]
    #: Term of the leader that committed the last of them.
    committed_term: int
    #: Leader of each term, to detect a second one.
    leaders: tuple[int, ...]
    restarts: int
    violation: str


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Bounds of the search."""

    voters: frozenset[int] = frozenset({0, 1, 2})
    changes: tuple[str, ...] = ()
    terms: int = 3
    entries: int = 3
    restarts: int = 0
    #: Replicas that may become candidates.
    candidates: frozenset[int] = frozenset(IDENTITIES)
    #: Whether replica 0 may lose its disk.
    can_lose_disk: bool = False


@dataclass(frozen=True, kw_only=True)
class Guards:
    """Safety rules of the protocol; each mutant omits one."""

    keeps_vote: bool = True
    keeps_entries: bool = True
    compares_logs: bool = True
    commits_own_term: bool = True
    one_change: bool = True
    commits_before_change: bool = True
    new_identity: bool = True


def find_voters(voters: frozenset[int], log: tuple[LogEntry, ...]) -> frozenset[int]:
    """Apply the configuration entries of a log to a set of voters."""
    for _, kind in log:
        if kind[0] == "+":
            voters = voters | {int(kind[1])}
        elif kind[0] == "-":
            voters = voters - {int(kind[1])}
    return voters


class Specification:
    """The steps of the protocol, within bounds and with some guards."""

    def __init__(self, bounds: Bounds, guards: Guards) -> None:
        self._bounds = bounds
        self._guards = guards

    def build_protocol(self) -> Protocol:
        """Return the protocol in the form that minicheck expects."""
        initial_log = ((1, "N"),)
        replicas = [
            (
                Replica(term=1, vote=0, log=initial_log)
                if i in self._bounds.voters
                else Replica(term=1, vote=NO_REPLICA, log=())
            )
            for i in IDENTITIES
        ]
        match_index = tuple(len(replica.log) for replica in replicas)
        replicas[0] = replicas[0]._replace(role="L", match_index=match_index, commit=1)
        leaders = (0,) + (NO_REPLICA,) * (self._bounds.terms - 1)
        return Protocol(
            name="consensus",
            candidate=False,
            fields=State._fields,
            initial=State(tuple(replicas), initial_log, 1, leaders, 0, ""),
            transitions=self.list_steps,
            invariants={"agreement": lambda state: not state["violation"]},
        )

    def list_steps(self, state: State) -> list[tuple[str, State]]:
        """Return the label and the next state of every enabled step."""
        if state.violation:
            return []
        return list(self._find_steps(state))

    def list_forbidden(self, state: State) -> list[str]:
        """Return the labels of changes and votes that a guard forbids.

        It omits steps that only the bounds forbid, and the promotion of a
        learner that lacks a few entries, which the implementation allows.
        """
        forbidden = []
        enabled = {label for label, _ in self.list_steps(state)}
        for i in IDENTITIES:
            replica = state.replicas[i]
            voters = find_voters(self._bounds.voters, replica.log)
            if replica.role == "L" and len(replica.log) < self._bounds.entries:
                for kind in self._bounds.changes:
                    member = int(kind[1])
                    behind = replica.match_index[member] < replica.commit
                    if member in voters and kind[0] == "-":
                        forbidden.append(f"change {i} {kind}")
                    elif member not in voters and kind[0] == "+" and not behind:
                        forbidden.append(f"change {i} {kind}")
            if replica.role == "C":
                for j in voters - {i} - replica.votes:
                    if state.replicas[j].role != "X":
                        forbidden.append(f"vote {i} {j}")
        return sorted(set(forbidden) - enabled)

    def _find_steps(self, state: State) -> Iterator[tuple[str, State]]:
        for i in IDENTITIES:
            replica = state.replicas[i]
            if replica.role == "X":
                continue
            if state.restarts < self._bounds.restarts and replica.log:
                yield f"restart {i}", self._restart(state, i)
            voters = find_voters(self._bounds.voters, replica.log)
            if i in voters & self._bounds.candidates and replica.role != "L":
                if replica.log and replica.term < self._bounds.terms:
                    yield f"campaign {i}", self._campaign(state, i)
            for j in IDENTITIES:
                other = state.replicas[j]
                if i == j or other.role == "X":
                    continue
                if (
                    replica.role == "C"
                    and j in voters
                    and self._can_grant_vote(other, i, replica)
                ):
                    yield f"vote {i} {j}", self._vote(state, i, j)
                if replica.role == "L" and other.term <= replica.term:
                    yield from self._replicate(state, i, j)
            if replica.role == "L":
                yield from self._change(state, i)
        first = state.replicas[0]
        if self._bounds.can_lose_disk and first.role != "X":
            if self._guards.new_identity:
                yield "lose 0", _replace_replica(state, 0, first._replace(role="X"))
            elif first.log:
                yield "lose 0", _replace_replica(
                    state, 0, Replica(term=0, vote=NO_REPLICA, log=())
                )

    def _restart(self, state: State, i: int) -> State:
        replica = state.replicas[i]
        log = replica.log if self._guards.keeps_entries else replica.log[:-1]
        vote = replica.vote if self._guards.keeps_vote else NO_REPLICA
        fresh = Replica(term=replica.term, vote=vote, log=log)
        return _replace_replica(state, i, fresh)._replace(restarts=state.restarts + 1)

    def _campaign(self, state: State, i: int) -> State:
        replica = state.replicas[i]
        candidate = replica._replace(
            term=replica.term + 1,
            vote=i,
            role="C",
            votes=frozenset({i}),
            match_index=(),
            commit=0,
        )
        return self._count_votes(_replace_replica(state, i, candidate), i)

    def _can_grant_vote(self, voter: Replica, i: int, candidate: Replica) -> bool:
        can_vote = voter.term < candidate.term or (
            voter.term == candidate.term and voter.vote in (NO_REPLICA, i)
        )
        if (
            not can_vote
            or i in voter.votes
            or not (voter.log or self._allows_empty_voter())
        ):
            return False
        if not self._guards.compares_logs:
            return True
        voter_position = (voter.log[-1][0] if voter.log else 0, len(voter.log))
        return (candidate.log[-1][0], len(candidate.log)) >= voter_position

    def _allows_empty_voter(self) -> bool:
        return not self._guards.new_identity

    def _vote(self, state: State, i: int, j: int) -> State:
        candidate, voter = state.replicas[i], state.replicas[j]
        if voter.term < candidate.term:
            voter = Replica(term=voter.term, vote=voter.vote, log=voter.log)
        voter = voter._replace(term=candidate.term, vote=i)
        candidate = candidate._replace(votes=candidate.votes | {j})
        return self._count_votes(
            _replace_replica(_replace_replica(state, j, voter), i, candidate), i
        )

    def _count_votes(self, state: State, i: int) -> State:
        replica = state.replicas[i]
        voters = find_voters(self._bounds.voters, replica.log)
        if len(replica.votes & voters) <= len(voters) // 2:
            return state
        leaders = list(state.leaders)
        if leaders[replica.term - 1] not in (NO_REPLICA, i):
            return state._replace(violation="two leaders in a term")
        leaders[replica.term - 1] = i
        log = replica.log + ((replica.term, "N"),)
        match_index = [-1] * len(IDENTITIES)
        match_index[i] = len(log)
        leader = replica._replace(
            role="L", votes=frozenset(), log=log, match_index=tuple(match_index)
        )
        state = _replace_replica(state, i, leader)._replace(leaders=tuple(leaders))
        has_committed = log[: len(state.committed)] == state.committed
        if not has_committed and state.committed_term < replica.term:
            return state._replace(violation="a leader lacks a committed entry")
        return self._advance_commit(state, i)

    def _replicate(self, state: State, i: int, j: int) -> Iterator[tuple[str, State]]:
        leader, other = state.replicas[i], state.replicas[j]
        matching = 0
        for ours, theirs in zip(leader.log, other.log):
            if ours != theirs:
                break
            matching += 1
        for size in range(max(matching, 1), len(leader.log) + 1):
            if size > len(self._truncate_to_bound(leader.log)):
                break
            log = leader.log[:size] if size > matching else other.log
            follower = other._replace(
                term=leader.term,
                vote=other.vote if other.term == leader.term else NO_REPLICA,
                role="F",
                votes=frozenset(),
                match_index=(),
                log=log,
                commit=0,
            )
            received = _replace_replica(state, j, follower)
            if received != state:
                yield f"append {i} {j} {size} lost", received
            match_index = list(leader.match_index)
            match_index[j] = max(match_index[j], size)
            replied = _replace_replica(
                received, i, leader._replace(match_index=tuple(match_index))
            )
            replied = self._advance_commit(replied, i)
            if replied != state:
                yield f"append {i} {j} {size} answered", replied

    def _truncate_to_bound(self, log: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        return log[: self._bounds.entries]

    def _advance_commit(self, state: State, i: int) -> State:
        leader = state.replicas[i]
        voters = find_voters(self._bounds.voters, leader.log)
        matched = sorted(leader.match_index[voter] for voter in voters)
        size = matched[(len(matched) - 1) // 2]
        is_own_term = size > 0 and leader.log[size - 1][0] == leader.term
        if size <= leader.commit or not (
            is_own_term or not self._guards.commits_own_term
        ):
            return state
        state = _replace_replica(state, i, leader._replace(commit=size))
        committed_prefix = leader.log[:size]
        previously_committed = state.committed[:size]
        if committed_prefix[: len(previously_committed)] != previously_committed:
            return state._replace(violation="two entries committed at an index")
        if size > len(previously_committed):
            state = state._replace(
                committed=committed_prefix, committed_term=leader.term
            )
        return state

    def _change(self, state: State, i: int) -> Iterator[tuple[str, State]]:
        leader = state.replicas[i]
        if len(leader.log) >= self._bounds.entries:
            return
        committed = leader.log[: leader.commit]
        has_own_commit = bool(committed) and committed[-1][0] == leader.term
        if self._guards.commits_before_change and not has_own_commit:
            return
        has_pending_change = any(kind != "N" for _, kind in leader.log[leader.commit :])
        if self._guards.one_change and has_pending_change:
            return
        voters = find_voters(self._bounds.voters, leader.log)
        for kind in self._bounds.changes:
            member = int(kind[1])
            if (member in voters) == (kind[0] == "+") or member == i:
                continue
            if kind[0] == "+" and leader.match_index[member] < leader.commit:
                continue
            log = leader.log + ((leader.term, kind),)
            match_index = list(leader.match_index)
            match_index[i] = len(log)
            changed = leader._replace(log=log, match_index=tuple(match_index))
            changed_state = self._advance_commit(_replace_replica(state, i, changed), i)
            yield f"change {i} {kind}", changed_state


def _replace_replica(state: State, i: int, replica: Replica) -> State:
    replicas = state.replicas[:i] + (replica,) + state.replicas[i + 1 :]
    return state._replace(replicas=replicas)
