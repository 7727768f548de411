"""The leader's lease: proof that a quorum follows it still."""

from carobspring.consensus.state import ReplicaState


class Lease:
    """Counts rounds of heartbeats and knows the last one a quorum answered.

    A round answered by a quorum shows that no other leader was elected before
    the round began. Followers give no vote for the election interval after
    they heard the leader, so a lease shorter than that, counted from the
    start of the round, ends before another leader can reign.
    """

    def __init__(self, *, state: ReplicaState, now: float) -> None:
        self._state = state
        self._started = {0: now}
        self._answered: dict[str, int] = {}
        self._heard_at: dict[str, float] = {}
        self.current_round = 0
        self.confirmed_round = 0
        self._confirmed_at = now
        self._began_at = now
        self.is_released = False

    def start_round(self, now: float) -> int:
        """Begin a round and return its number."""
        self.current_round += 1
        self._started[self.current_round] = now
        self.update_confirmed_round()
        return self.current_round

    def record_reply(self, identity: str, answered_round: int, now: float) -> None:
        """Count the answer of a member."""
        self._heard_at[identity] = now
        last = self._answered.get(identity, 0)
        self._answered[identity] = max(last, answered_round)
        self.update_confirmed_round()

    def update_confirmed_round(self) -> None:
        """Find the last round that a quorum of the voters answered."""
        voters = self._state.log.configuration.find_voters()
        rounds = sorted(self._answered.get(voter, 0) for voter in voters)
        if self._state.identity in voters:
            rounds.remove(self._answered.get(self._state.identity, 0))
            rounds.append(self.current_round)
        confirmed = rounds[(len(rounds) - 1) // 2] if rounds else 0
        if confirmed > self.confirmed_round:
            self.confirmed_round = confirmed
            self._confirmed_at = self._started[confirmed]
            old = [number for number in self._started if number < confirmed]
            for number in old:
                del self._started[number]

    def release(self) -> None:
        """End the lease, since another replica was asked to take over."""
        self.is_released = True

    def is_expired(self, now: float) -> bool:
        """Say whether the leader must step down."""
        return now - self._confirmed_at >= self._state.timing.lease_s

    def is_held(self, now: float) -> bool:
        """Say whether no other replica can lead at present."""
        proved = self.confirmed_round > 0 and not self.is_released
        return proved and not self.is_expired(now)

    def get_seconds_since_reply(self, identity: str, now: float) -> float:
        """Return the seconds since a member answered, or the reign began."""
        return now - self._heard_at.get(identity, self._began_at)

    def has_recent_reply(self, identity: str, now: float) -> bool:
        """Say whether a member answered within the election interval."""
        heard = self._heard_at.get(identity)
        return heard is not None and now - heard < self._state.timing.election_timeout_s
