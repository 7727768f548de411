"""Messages on the streams between control replicas."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PeerBatch:
    """What one replica has for another at a time; empty as a heartbeat."""

    #: Name of the sender; the first batch of a stream must have it.
    name: str = ""
    #: Messages of consensus, encoded by its codec.
    messages: tuple[bytes, ...] = ()
    #: Soft state of other components, which gives it a meaning.
    gossip: tuple[bytes, ...] = ()
