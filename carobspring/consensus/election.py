"""Elections: granting votes and being a candidate."""

from carobspring.consensus.messages import Message, VoteReply, VoteRequest
from carobspring.consensus.state import ReplicaState, RoleName


def is_up_to_date(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether the candidate's log is at least as up to date.

    It then has every entry that this replica helped to commit.
    """
    candidate_log = (request.last_term, request.last_index)
    return candidate_log >= (state.log.last_term, state.log.last_index)


def answer_vote_request(state: ReplicaState, request: VoteRequest, now: float) -> None:
    """Grant or refuse a vote.

    ``Node`` ignores requests if it recently heard from a leader, except in a
    leadership transfer. It enters the request's term first unless the request
    is a pre-vote.
    """
    if request.pre_vote:
        granted = request.term > state.term and is_up_to_date(state, request)
    else:
        can_vote = state.vote in ("", request.sender)
        granted = (
            request.term == state.term and can_vote and is_up_to_date(state, request)
        )
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
    """Runs an election, preceded by a pre-vote that changes no term.

    The pre-vote keeps a replica that was partitioned from forcing the others
    into a new term.
    """

    def __init__(self, *, state: ReplicaState, name: RoleName, now: float) -> None:
        self.name = name
        self._state = state
        self._pre_vote = name is RoleName.PRE_CANDIDATE
        self._votes_from = {state.identity}
        state.leader = ""
        state.reset_election_timer(now)
        if not self._pre_vote:
            state.advance_term(state.term + 1)
            state.vote = state.identity
        for voter in state.log.configuration.find_voters():
            if voter != state.identity:
                self._request_vote(voter)

    def tick(self, now: float) -> RoleName | None:
        """Return the next role on a majority or a timeout, otherwise None."""
        if self._has_majority():
            return RoleName.CANDIDATE if self._pre_vote else RoleName.LEADER
        if now >= self._state.election_deadline:
            return RoleName.PRE_CANDIDATE
        return None

    def handle(self, message: Message, now: float) -> RoleName | None:
        """Count a granted vote and return the next role, if any."""
        if isinstance(message, VoteReply) and message.pre_vote == self._pre_vote:
            expected_term = self._state.term + (1 if self._pre_vote else 0)
            if message.granted and message.term == expected_term:
                self._votes_from.add(message.sender)
        return self.tick(now)

    def _has_majority(self) -> bool:
        voters = self._state.log.configuration.find_voters()
        return sum(voter in self._votes_from for voter in voters) > len(voters) // 2

    def _request_vote(self, voter: str) -> None:
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
