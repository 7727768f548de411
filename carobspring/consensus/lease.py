"""The leader's lease: evidence that a quorum still follows it."""

from carobspring.consensus.state import ReplicaState


class Lease:
    """Counts heartbeat rounds and tracks the last one a quorum replied to.

    A round that a quorum replied to proves that no other leader was elected
    before the round started. Followers grant no vote for the election timeout
    after they heard from the leader. A shorter lease, counted from the start
    of the round, therefore expires before another leader can be elected.
    """

    def __init__(self, *, state: ReplicaState, now: float) -> None:
        self._state = state
        self._round_started_at = {0: now}
        self._last_replied_round: dict[str, int] = {}
        self._last_reply_at: dict[str, float] = {}
        self.current_round = 0
        self.confirmed_round = 0
        self._confirmed_at = now
        self._created_at = now
        #: When each member was last heard from before this lease.
        self._heard_before = dict(state.heard_at)
        self.is_released = False

    def start_round(self, now: float) -> int:
        """Start a heartbeat round and return its number."""
        self.current_round += 1
        self._round_started_at[self.current_round] = now
        self.update_confirmed_round()
        return self.current_round

    def record_reply(self, identity: str, replied_round: int, now: float) -> None:
        """Record a member's reply to a round."""
        self._last_reply_at[identity] = now
        last = self._last_replied_round.get(identity, 0)
        self._last_replied_round[identity] = max(last, replied_round)
        self.update_confirmed_round()

    def update_confirmed_round(self) -> None:
        """Update the last round that a quorum of the voters replied to."""
        voters = self._state.log.configuration.find_voters()
        rounds = sorted(self._last_replied_round.get(voter, 0) for voter in voters)
        if self._state.identity in voters:
            rounds.remove(self._last_replied_round.get(self._state.identity, 0))
            rounds.append(self.current_round)
        confirmed = rounds[(len(rounds) - 1) // 2] if rounds else 0
        if confirmed > self.confirmed_round:
            self.confirmed_round = confirmed
            self._confirmed_at = self._round_started_at[confirmed]
            obsolete = [
                number for number in self._round_started_at if number < confirmed
            ]
            for number in obsolete:
                del self._round_started_at[number]

    def release(self) -> None:
        """End the lease because another replica was told to take over."""
        self.is_released = True

    def is_expired(self, now: float) -> bool:
        """Return whether the lease ran out; the leader must then step down."""
        return now - self._confirmed_at >= self._state.timing.lease_s

    def is_held(self, now: float) -> bool:
        """Return whether no other replica can be leader now."""
        is_confirmed = self.confirmed_round > 0 and not self.is_released
        return is_confirmed and not self.is_expired(now)

    def get_seconds_since_reply(self, identity: str, now: float) -> float:
        """Return the seconds since a member's last reply.

        Before its first reply, the time counts from when it was last heard
        before this lease, so that an election does not hide its silence.
        """
        heard_at = self._heard_before.get(identity, self._created_at)
        return now - self._last_reply_at.get(identity, heard_at)

    def start_member(self, identity: str, now: float) -> None:
        """Count the silence of a member that is added from now on."""
        self._heard_before[identity] = now

    def has_recent_reply(self, identity: str, now: float) -> bool:
        """Return whether a member replied within the election timeout."""
        replied_at = self._last_reply_at.get(identity)
        return (
            replied_at is not None
            and now - replied_at < self._state.timing.election_timeout_s
        )
