"""What the drivers of calls work with."""

from dataclasses import dataclass

from carobspring.entry.cancelling import CallCanceller
from carobspring.entry.channels import ChannelPool
from carobspring.entry.control import ControlClient
from carobspring.entry.following import CallFollower
from carobspring.entry.measures import EntryMeasures
from carobspring.entry.state import EntryState
from carobspring.ports import Clock, RandomSource
from carobspring.routing import Router


@dataclass(kw_only=True)
class DriverParts:
    """One set for all calls of an entry."""

    router: Router
    pool: ChannelPool
    follower: CallFollower
    canceller: CallCanceller
    control: ControlClient
    state: EntryState
    measures: EntryMeasures
    clock: Clock
    random: RandomSource
    #: Seconds that a commit of the ledger is waited for.
    claim_timeout_s: float = 6.0
    #: Secret from which identifiers are made that nobody can guess.
    secret: bytes = b""
