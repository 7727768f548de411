"""The shared objects that call drivers depend on."""

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
    """Shared objects for the drivers; one instance for all calls."""

    router: Router
    pool: ChannelPool
    stream_reader: CallStreamReader
    canceller: CallCanceller
    control: ControlClient
    state: EntryState
    metrics: EntryMetrics
    clock: Clock
    random: RandomSource
    #: Timeout for a commit in the ledger of unique calls.
    claim_timeout_s: float = 6.0
    #: Secret key for deriving call identifiers that can't be guessed.
    secret: bytes = b""
