"""State that a replica has in every role."""

import enum
from dataclasses import dataclass

from carobspring.consensus.entries import HardState
from carobspring.consensus.events import Outcome
from carobspring.consensus.log import Log
from carobspring.consensus.messages import Message
from carobspring.ports import RandomSource


class RoleName(enum.Enum):
    """The roles of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    #: A candidate whose election was requested by a leadership transfer.
    SUCCESSOR = "successor"
    LEADER = "leader"


@dataclass(frozen=True, kw_only=True)
class Timing:
    """Timeouts; the lease must be shorter than the election timeout."""

    heartbeat_interval_s: float = 0.25
    #: A follower starts an election after hearing nothing from a leader for a
    #: random time between one and two of these.
    election_timeout_s: float = 1.0
    #: A leader that has not heard from a quorum for this long steps down.
    lease_s: float = 0.8
    #: A voter that is silent for this long is replaced by a spare replica, if
    #: there is one. The voter may become a spare itself when it returns.
    replace_after_s: float = 12.0
    #: Interval between two hellos to each peer.
    hello_interval_s: float = 1.0
    #: Time after its last hello for which a replica counts as running.
    hello_lifetime_s: float = 3.0

    def __post_init__(self) -> None:
        """Reject a lease longer than the time followers refuse to vote."""
        if not 0 < self.heartbeat_interval_s < self.lease_s < self.election_timeout_s:
            raise ValueError(
                "needed: 0 < heartbeat_interval_s < lease_s < election_timeout_s"
            )
        if self.replace_after_s < self.election_timeout_s:
            raise ValueError("needed: election_timeout_s <= replace_after_s")


class ReplicaState:
    """Term, vote, log, commit index, and the pending messages and outcomes.

    The roles change the state; ``Node`` turns it into actions.
    """

    def __init__(
        self,
        *,
        identity: str,
        timing: Timing,
        random: RandomSource,
        log: Log,
        hard_state: HardState,
        now: float,
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.random = random
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        #: The hard state that the last actions had to persist.
        self.persisted = hard_state
        self.leader = ""
        self.commit_index = log.snapshot.index
        #: The highest commit index of a leader that was heard of.
        self.known_commit_index = log.snapshot.index
        #: When each member was last heard from, in whatever role this replica
        #: was. Those that it never heard count from its start.
        self.heard_at = {member.identity: now for member in log.configuration.members}
        #: When a leader was last heard from. It starts at the current time
        #: because the replica may have replied to a leader before it
        #: restarted. The leader's lease relies on such a replica granting no
        #: vote for the election timeout.
        self.leader_heard_at = now
        self.election_deadline = now
        self.messages: list[Message] = []
        self.outcomes: list[Outcome] = []
        self.reset_election_timer(now)

    @property
    def cluster(self) -> str:
        """The identifier of the log's cluster; empty before the bootstrap."""
        return self.log.configuration.cluster

    @property
    def hard_state(self) -> HardState:
        """The current term and vote, which have to be persisted."""
        return HardState(term=self.term, vote=self.vote)

    def advance_term(self, term: int) -> None:
        """Enter a later term, in which this replica has not voted yet."""
        self.term = term
        self.vote = ""
        self.leader = ""

    def reset_election_timer(self, now: float) -> None:
        """Restart the election timer with a random duration."""
        duration_s = self.timing.election_timeout_s * (1.0 + self.random.draw_uniform())
        self.election_deadline = now + duration_s

    def has_recent_leader(self, now: float) -> bool:
        """Return whether a leader was heard from within the election timeout.

        No vote is granted while it was.
        """
        return now - self.leader_heard_at < self.timing.election_timeout_s

    def can_become_candidate(self) -> bool:
        """Return whether this replica may start an election."""
        return self.log.configuration.is_voter(self.identity)

    def queue_message(self, message: Message) -> None:
        """Queue a message to be sent after the next sync."""
        self.messages.append(message)
