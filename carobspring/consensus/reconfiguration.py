"""Membership changes: one at a time, and new members as learners first."""

from collections.abc import Mapping, Sequence, Set

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
        learner = Member(
            identity=change.identity,
            name=change.name,
            voter=False,
            replaces=change.replaces,
        )
        return members.with_member(learner)
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
    running: Set[str],
    lags: Mapping[str, int],
    silent: Set[str] = frozenset(),
) -> MembershipChange | None:
    """Return the next step of replacing a lost replica, or None.

    A replica that lost its disk sends a hello with the name of a member and an
    identity that is not listed. It is added as a learner. Once it has caught
    up, the old identity, which can't return, is removed and the learner is
    promoted. A voter that has been silent for long is replaced in the same
    steps by a spare, whose name no member has. If the voter is heard from
    again before it is removed, it stays and the spare leaves. A voter that is
    about to stop counts as silent.

    Args:
        state: The leader's state.
        hellos: The last hello from each name.
        running: The names whose last hello is recent.
        lags: The number of entries that each member lacks, for the members
            that replied recently.
        silent: The members that have been silent for long or are about to
            stop.
    """
    step = _choose_spare_step(state, hellos, running, lags, silent)
    if step is not None:
        return step
    configuration = state.log.configuration
    in_progress = _find_members_in_replacement(configuration)
    for member in configuration.members:
        if member.identity == state.identity or member.replaces:
            continue
        hello = hellos.get(member.name)
        if hello is None:
            continue
        caught_up = _is_caught_up(hello.sender, lags)
        if hello.sender == member.identity:
            if (
                not member.voter
                and caught_up
                and not _has_duplicate_name(configuration, member)
            ):
                return PromoteLearner(token=0, identity=member.identity)
        elif member.identity in lags:
            continue
        elif configuration.find_member(hello.sender) is None:
            is_usable = hello.cluster in ("", configuration.cluster)
            is_needed = member.identity not in in_progress
            if hello.name in running and is_usable and is_needed:
                return AddLearner(token=0, identity=hello.sender, name=hello.name)
        elif caught_up:
            return RemoveMember(token=0, identity=member.identity)
    return None


def find_spares(
    configuration: Configuration, hellos: Mapping[str, Hello], running: Set[str]
) -> tuple[Hello, ...]:
    """Return the last hello of each replica that could replace a voter.

    Such a replica runs, is no member and has no data, or only data of this
    cluster from the time when it was a member.
    """
    names = {member.name for member in configuration.members}
    return tuple(
        hello
        for name, hello in sorted(hellos.items())
        if name in running
        and name not in names
        and not hello.leaving
        and (
            not hello.cluster
            or (hello.rejoins and hello.cluster == configuration.cluster)
        )
    )


def _choose_spare_step(
    state: ReplicaState,
    hellos: Mapping[str, Hello],
    running: Set[str],
    lags: Mapping[str, int],
    silent: Set[str],
) -> MembershipChange | None:
    """Return the next step of replacing a silent voter by a spare, or None."""
    configuration = state.log.configuration
    spares = find_spares(configuration, hellos, running)
    for learner in configuration.members:
        if learner.replaces:
            step = _choose_learner_step(configuration, learner, lags, silent, spares)
            if step is not None:
                return step
    in_progress = _find_members_in_replacement(configuration)
    for member in configuration.members:
        if member.identity not in silent or member.identity in in_progress:
            continue
        if _has_duplicate_name(configuration, member):
            # The learner with the new identity goes first if it is lost too.
            if spares and not member.voter:
                return RemoveMember(token=0, identity=member.identity)
        elif spares and (member.voter or member.replaces):
            return AddLearner(
                token=0,
                identity=spares[0].sender,
                name=spares[0].name,
                replaces=member.identity,
            )
    return None


def _choose_learner_step(
    configuration: Configuration,
    learner: Member,
    lags: Mapping[str, int],
    silent: Set[str],
    spares: Sequence[Hello],
) -> MembershipChange | None:
    """Return the next step with a learner that replaces a silent member."""
    lost = configuration.find_member(learner.replaces)
    if lost is not None and lost.identity not in silent:
        return RemoveMember(token=0, identity=learner.identity)
    if _is_caught_up(learner.identity, lags):
        if lost is not None:
            return RemoveMember(token=0, identity=lost.identity)
        return PromoteLearner(token=0, identity=learner.identity)
    if lost is not None and learner.identity in silent and spares:
        # Another spare is tried.
        return RemoveMember(token=0, identity=learner.identity)
    return None


def _find_members_in_replacement(configuration: Configuration) -> frozenset[str]:
    """Return the identities for which a spare is a learner already."""
    members = configuration.members
    return frozenset(member.replaces for member in members if member.replaces)


def _is_caught_up(identity: str, lags: Mapping[str, int]) -> bool:
    return lags.get(identity, MAX_LAG_ENTRIES + 1) <= MAX_LAG_ENTRIES


def _has_duplicate_name(configuration: Configuration, member: Member) -> bool:
    members = configuration.members
    return sum(other.name == member.name for other in members) > 1
