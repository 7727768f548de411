"""Knowledge of the software version that began each stream.

Does no input or output: everything takes the time as an argument. See
docs/design/stream-versions.md.
"""

from carobspring.resumption.history import VersionHistory
from carobspring.resumption.origins import (
    SeveralVersionsError,
    StreamOrigin,
    find_origin,
)
from carobspring.resumption.peers import PeerDirectory
from carobspring.resumption.records import (
    MAX_LIFETIME_S,
    StreamRecordTable,
    build_stream_key,
    compute_lifetime_s,
)
from carobspring.resumption.sequences import (
    EventPosition,
    EventSequence,
    RouteSteps,
)

__all__ = [
    "EventPosition",
    "EventSequence",
    "MAX_LIFETIME_S",
    "PeerDirectory",
    "RouteSteps",
    "SeveralVersionsError",
    "StreamOrigin",
    "StreamRecordTable",
    "VersionHistory",
    "build_stream_key",
    "compute_lifetime_s",
    "find_origin",
]
