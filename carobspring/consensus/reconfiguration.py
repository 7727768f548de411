"""Membership changes: one at a time, and new members as learners first."""

from collections.abc import Mapping, Set

from carobspring.consensus.entries import Configuration, Member
from carobspring.consensus.errors import MembershipChangeRefusedError
from carobspring.consensus.events import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from carobspring.consensus.messages import Hello
from carobspring.consensus.state import ReplicaState

#: A learner that lacks at most this many entries counts as caught up.
MAX_LAG_ENTRIES = 64


def change_configuration(
    *, state: ReplicaState, change: MembershipChange, lag: int | None
) -> Configuration:
    """Return the configuration after a membership change.

    Args:
        state: The leader's state.
        change: The requested change.
        lag: The number of entries that the learner to promote lacks, or None
            if it has not replied recently.

    Raises:
        MembershipChangeRefusedError: The change can't start now.
    """
    log = state.log
    if log.find_term(state.commit_index) != state.term:
        raise MembershipChangeRefusedError(reason="the reign has committed nothing yet")
    if log.configuration_index > state.commit_index:
        raise MembershipChangeRefusedError(
            reason="the change before is not committed yet"
        )
    members = log.configuration
    if isinstance(change, AddLearner):
        if members.find_member(change.identity):
            raise MembershipChangeRefusedError(reason=f"{change.identity} is a member")
        return members.with_member(
            Member(identity=change.identity, name=change.name, voter=False)
        )
    member = members.find_member(change.identity)
    if member is None:
        raise MembershipChangeRefusedError(reason=f"{change.identity} is no member")
    if isinstance(change, PromoteLearner):
        if lag is None or lag > MAX_LAG_ENTRIES:
            raise MembershipChangeRefusedError(
                reason=f"{member.name} has not caught up"
            )
        return members.with_member(
            Member(identity=member.identity, name=member.name, voter=True)
        )
    if change.identity == state.identity:
        raise MembershipChangeRefusedError(reason="the leader must hand over first")
    return members.without_member(change.identity)


def choose_replacement_step(
    *,
    state: ReplicaState,
    hellos: Mapping[str, Hello],
    lags: Mapping[str, int],
    silent: Set[str] = frozenset(),
) -> MembershipChange | None:
    """Return the next step of replacing a lost replica, or None.

    A replica that lost its disk sends a hello with the name of a member and an
    identity that is not listed. It is added as a learner. Once it has caught
    up, the old identity, which can't return, is removed and the learner is
    promoted. A voter that has been silent for long is replaced in the same
    steps by a spare: an empty replica whose name no member has.

    Args:
        state: The leader's state.
        hellos: The last hello from each name.
        lags: The number of entries that each member lacks, for the members
            that replied recently.
        silent: The voters that have been silent for long.
    """
    configuration = state.log.configuration
    replacement = _choose_spare_step(state, hellos, lags, silent)
    if replacement is not None:
        return replacement
    for member in configuration.members:
        if member.identity == state.identity:
            continue
        hello = hellos.get(member.name)
        if hello is None:
            continue
        caught_up = lags.get(hello.sender, MAX_LAG_ENTRIES + 1) <= MAX_LAG_ENTRIES
        if hello.sender == member.identity:
            if (
                not member.voter
                and caught_up
                and not _has_duplicate_name(state, member)
            ):
                return PromoteLearner(token=0, identity=member.identity)
        elif member.identity in lags:
            continue
        elif configuration.find_member(hello.sender) is None:
            if not hello.cluster:
                return AddLearner(token=0, identity=hello.sender, name=hello.name)
        elif caught_up:
            return RemoveMember(token=0, identity=member.identity)
    return None


def find_spares(
    configuration: Configuration, hellos: Mapping[str, Hello]
) -> tuple[Hello, ...]:
    """Return the last hello of each replica that could replace a voter."""
    names = {member.name for member in configuration.members}
    return tuple(
        hello
        for name, hello in sorted(hellos.items())
        if name not in names and not hello.cluster
    )


def _choose_spare_step(
    state: ReplicaState,
    hellos: Mapping[str, Hello],
    lags: Mapping[str, int],
    silent: Set[str],
) -> MembershipChange | None:
    """Return the next step of replacing a silent voter by a spare, or None."""
    members = state.log.configuration.members
    # A voter whose name already has a new identity is replaced by that one.
    lost_voters = [
        member
        for member in members
        if member.identity in silent and not _has_duplicate_name(state, member)
    ]
    if not lost_voters:
        return None
    learners = [
        member
        for member in members
        if not member.voter and not _has_duplicate_name(state, member)
    ]
    for learner in learners:
        if lags.get(learner.identity, MAX_LAG_ENTRIES + 1) <= MAX_LAG_ENTRIES:
            return RemoveMember(token=0, identity=lost_voters[0].identity)
    spares = find_spares(state.log.configuration, hellos)
    if learners or not spares:
        return None
    spare = spares[0]
    return AddLearner(token=0, identity=spare.sender, name=spare.name)


def _has_duplicate_name(state: ReplicaState, member: Member) -> bool:
    members = state.log.configuration.members
    return sum(other.name == member.name for other in members) > 1
