"""What the drivers of calls work with."""

from dataclasses import dataclass

from carobspring.entry.call_stream import CallStreamReader
from carobspring.entry.canceller import CallCanceller
from carobspring.entry.channels import ChannelPool
from carobspring.entry.control_client import ControlClient
from carobspring.entry.metrics import EntryMetrics
from carobspring.entry.state import EntryState
from carobspring.ports import Clock, RandomSource
from carobspring.routing import Router


@dataclass(kw_only=True)
class DriverDependencies:
    """One set for all calls of an entry."""

    router: Router
    pool: ChannelPool
    stream_reader: CallStreamReader
    canceller: CallCanceller
    control: ControlClient
    state: EntryState
    metrics: EntryMetrics
    clock: Clock
    random: RandomSource
    #: Seconds that a commit of the ledger is waited for.
    claim_timeout_s: float = 6.0
    #: Secret from which identifiers are made that nobody can guess.
    secret: bytes = b""
