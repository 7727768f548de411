"""Votes: who gets one, and standing for election."""

from carobspring.consensus.messages import Message, VoteReply, VoteRequest
from carobspring.consensus.state import ReplicaState, RoleName


def is_up_to_date(state: ReplicaState, request: VoteRequest) -> bool:
    """Say whether the asker's log holds all that this one may have helped."""
    asked = (request.last_term, request.last_index)
    return asked >= (state.log.last_term, state.log.last_index)


def answer_vote_request(state: ReplicaState, request: VoteRequest, now: float) -> None:
    """Grant or refuse a vote.

    ``Node`` has left out the requests that come while a leader is heard, and
    has entered the request's term unless it is a pre-vote.
    """
    if request.pre_vote:
        granted = request.term > state.term and is_up_to_date(state, request)
    else:
        free = state.vote in ("", request.sender)
        granted = request.term == state.term and free and is_up_to_date(state, request)
        if granted:
            state.vote = request.sender
            state.reset_election_timer(now)
    state.queue_message(
        VoteReply(
            sender=state.identity,
            receiver=request.sender,
            cluster=request.cluster,
            term=request.term if granted else state.term,
            granted=granted,
            pre_vote=request.pre_vote,
        )
    )


class Candidate:
    """Stands for election, first in a pre-vote that changes no term.

    A replica that was cut off thus can't force the others into a new term.
    """

    def __init__(self, *, state: ReplicaState, name: RoleName, now: float) -> None:
        self.name = name
        self._state = state
        self._pre_vote = name is RoleName.PRE_CANDIDATE
        self._granted = {state.identity}
        state.leader = ""
        state.reset_election_timer(now)
        if not self._pre_vote:
            state.advance_term(state.term + 1)
            state.vote = state.identity
        for voter in state.log.configuration.find_voters():
            if voter != state.identity:
                self._ask(voter)

    def tick(self, now: float) -> RoleName | None:
        """Go on with the next role when the votes already suffice or lack."""
        if self._has_won():
            return RoleName.CANDIDATE if self._pre_vote else RoleName.LEADER
        if now >= self._state.election_deadline:
            return RoleName.PRE_CANDIDATE
        return None

    def handle(self, message: Message, now: float) -> RoleName | None:
        """Count a vote."""
        if isinstance(message, VoteReply) and message.pre_vote == self._pre_vote:
            asked = self._state.term + (1 if self._pre_vote else 0)
            if message.granted and message.term == asked:
                self._granted.add(message.sender)
        return self.tick(now)

    def _has_won(self) -> bool:
        voters = self._state.log.configuration.find_voters()
        return sum(voter in self._granted for voter in voters) > len(voters) // 2

    def _ask(self, voter: str) -> None:
        state = self._state
        state.queue_message(
            VoteRequest(
                sender=state.identity,
                receiver=voter,
                cluster=state.cluster,
                term=state.term + (1 if self._pre_vote else 0),
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                pre_vote=self._pre_vote,
                transfer=self.name is RoleName.SUCCESSOR,
            )
        )
