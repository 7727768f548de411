"""Messages as kind and bytes, for any transport."""

import msgspec

from carobspring.consensus import messages

#: The kind numbers are part of the protocol: never reuse one.
KINDS: dict[int, type[messages.Message]] = {
    1: messages.VoteRequest,
    2: messages.VoteReply,
    3: messages.AppendRequest,
    4: messages.AppendReply,
    5: messages.SnapshotRequest,
    6: messages.SnapshotReply,
    7: messages.ReadRequest,
    8: messages.ReadReply,
    9: messages.TransferRequest,
    10: messages.BootstrapRequest,
    11: messages.Hello,
}
_KIND_OF = {known: kind for kind, known in KINDS.items()}
_DECODERS = {kind: msgspec.msgpack.Decoder(known) for kind, known in KINDS.items()}
_encode = msgspec.msgpack.Encoder().encode


def encode_message(message: messages.Message) -> bytes:
    """Return the bytes of a message: one of its kind, then its fields."""
    return bytes([_KIND_OF[type(message)]]) + _encode(message)


def decode_message(data: bytes) -> messages.Message | None:
    """Return the message, or none when a newer release sent its kind."""
    decoder = _DECODERS.get(data[0]) if data else None
    return decoder.decode(memoryview(data)[1:]) if decoder else None
