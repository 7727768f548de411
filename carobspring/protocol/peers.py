"""Messages on the streams between control replicas."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PeerBatch:
    """Messages that one replica sends to another; empty as a heartbeat."""

    #: Name of the sender; required in the first batch of a stream.
    name: str = ""
    #: Consensus messages, encoded by the consensus codec.
    messages: tuple[bytes, ...] = ()
    #: Soft state of other components, which encode and decode it themselves.
    gossip: tuple[bytes, ...] = ()
