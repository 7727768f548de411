"""What a replica knows in every role."""

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
    #: A candidate that the leader itself asked to stand.
    SUCCESSOR = "successor"
    LEADER = "leader"


@dataclass(frozen=True, kw_only=True)
class Timing:
    """Intervals in seconds; the lease must be shorter than the election."""

    heartbeat_interval_s: float = 0.25
    #: A follower stands for election after one to two of these in silence.
    election_timeout_s: float = 1.0
    #: A leader that hasn't heard a quorum for this long steps down.
    lease_s: float = 0.8
    #: A voter that is silent for this long is replaced by a spare replica, if
    #: there is one. Longer than instances freeze, are cut off or start again;
    #: one that comes back later finds itself replaced.
    replace_after_s: float = 12.0

    def __post_init__(self) -> None:
        """Refuse a lease that could outlast the promise not to vote."""
        if not 0 < self.heartbeat_interval_s < self.lease_s < self.election_timeout_s:
            raise ValueError(
                "needed: 0 < heartbeat_interval_s < lease_s < election_timeout_s"
            )


class ReplicaState:
    """Term, vote, log and commit index, and what goes out next.

    The roles change it; ``Node`` turns it into actions.
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
        self.persisted = hard_state
        self.leader = ""
        self.commit_index = log.snapshot.index
        #: A replica that restarts may have promised a leader not to vote.
        self.leader_heard_at = now
        self.election_deadline = now
        self.messages: list[Message] = []
        self.outcomes: list[Outcome] = []
        self.reset_election_timer(now)

    @property
    def cluster(self) -> str:
        """The cluster that the log belongs to; empty while there is none."""
        return self.log.configuration.cluster

    @property
    def hard_state(self) -> HardState:
        """Term and vote as they are to be kept."""
        return HardState(term=self.term, vote=self.vote)

    def advance_term(self, term: int) -> None:
        """Enter a later term, in which nobody has this replica's vote."""
        self.term = term
        self.vote = ""
        self.leader = ""

    def reset_election_timer(self, now: float) -> None:
        """Start the wait for a sign of a leader anew, with a random length."""
        length = self.timing.election_timeout_s * (1.0 + self.random.draw_uniform())
        self.election_deadline = now + length

    def has_recent_leader(self, now: float) -> bool:
        """Say whether a leader was heard so lately that no vote is given."""
        return now - self.leader_heard_at < self.timing.election_timeout_s

    def can_become_candidate(self) -> bool:
        """Say whether this replica may stand for election."""
        return self.log.configuration.is_voter(self.identity)

    def queue_message(self, message: Message) -> None:
        """Let a message go out after the next sync."""
        self.messages.append(message)
