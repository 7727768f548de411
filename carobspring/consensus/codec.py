"""Encoding of messages as a kind byte and msgpack, for any transport."""

import msgspec

from carobspring.consensus import messages

#: Message types by kind number. The numbers are part of the wire protocol: a
#: number must never be reused.
MESSAGE_TYPES: dict[int, type[messages.Message]] = {
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
_KIND_BY_TYPE = {message_type: kind for kind, message_type in MESSAGE_TYPES.items()}
_DECODERS = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in MESSAGE_TYPES.items()
}
_encode = msgspec.msgpack.Encoder().encode


def encode_message(message: messages.Message) -> bytes:
    """Return a message as bytes: one byte of kind, then the fields."""
    return bytes([_KIND_BY_TYPE[type(message)]]) + _encode(message)


def decode_message(data: bytes) -> messages.Message | None:
    """Return the message, or None if its kind is unknown.

    A newer release may send kinds that this one does not have.
    """
    decoder = _DECODERS.get(data[0]) if data else None
    return decoder.decode(memoryview(data)[1:]) if decoder else None
