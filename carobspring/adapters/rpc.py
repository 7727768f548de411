"""gRPC between the system's processes: codec, methods, shared secret.

Services are written by hand over grpclib, with data classes as messages, so
no generator is needed. Every call carries the shared secret in its metadata,
and a server refuses one without it.
"""

import asyncio
import functools
import hmac
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import msgspec
from grpclib import GRPCError, Status
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

SECRET_METADATA_KEY = "carob-secret"
KEEPALIVE_INTERVAL_S = 5.0
KEEPALIVE_TIMEOUT_S = 3.0
#: Unread bytes of one stream; a hundred stalled ones leave room for others.
STREAM_WINDOW_BYTES = 64 * 1024
CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024

#: What a call or stream may raise when its connection or peer fails.
STREAM_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)

Message = TypeVar("Message")
#: Takes a host and a port.
ChannelOpener = Callable[[str, int], Channel]


class MessagePackCodec(CodecBase):
    """Encodes data classes as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of this type that the bytes hold."""
        try:
            return get_decoder(message_type).decode(data)
        except msgspec.MsgspecError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error


@functools.cache
def get_decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    """Return the decoder of a message type, built once."""
    return msgspec.msgpack.Decoder(message_type)


def open_channel(*, host: str, port: int, secret: str) -> Channel:
    """Return a channel whose calls carry the shared secret."""
    config = Configuration(
        _keepalive_time=KEEPALIVE_INTERVAL_S,
        _keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        _keepalive_permit_without_calls=True,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
    )
    channel = Channel(host, port, codec=MessagePackCodec(), config=config)

    async def attach_secret(event: SendRequest) -> None:
        event.metadata[SECRET_METADATA_KEY] = secret

    listen(channel, SendRequest, attach_secret)
    return channel


async def connect(channel: Channel, timeout_s: float) -> float | None:
    """Make sure that a connection stands, before anything is sent on it.

    Returns the seconds that a new one took, which is one round trip, or None
    when it stood already.

    Raises:
        OSError: The address refuses, or doesn't answer in time.
    """
    if channel._connected:
        return None
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        async with asyncio.timeout(timeout_s):
            await channel.__connect__()
    except TimeoutError as error:
        raise ConnectionError("no connection in time") from error
    return loop.time() - began


def build_server(*, services: list[Any], secret: str) -> Server:
    """Return a server that refuses calls without the shared secret."""
    server = Server(services, codec=MessagePackCodec())

    async def check_secret(event: RecvRequest) -> None:
        given = str(event.metadata.get(SECRET_METADATA_KEY, ""))
        if not hmac.compare_digest(given.encode(), secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "the shared secret is wrong")

    listen(server, RecvRequest, check_secret)
    return server


class RpcService:
    """A gRPC service assembled from its handlers.

    Example:
        ``RpcService([make_unary_method("/carob.Agent/Cancel", cancel,
        CancelCall, CancelReply)])``
    """

    def __init__(self, methods: list[tuple[str, Handler]]) -> None:
        self._methods = dict(methods)

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by path, as grpclib asks for them."""
        return self._methods


def make_unary_method(
    path: str,
    answer: Callable[[Any], Awaitable[Any]],
    request_type: type,
    reply_type: type,
) -> tuple[str, Handler]:
    """Return a method that answers one message with one message."""

    async def handle(stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await answer(request))

    return path, Handler(handle, Cardinality.UNARY_UNARY, request_type, reply_type)


def make_server_streaming_method(
    path: str,
    answer: Callable[[Any, Stream[Any, Any]], Awaitable[None]],
    request_type: type,
    reply_type: type,
) -> tuple[str, Handler]:
    """Return a method that answers one message with a stream."""

    async def handle(stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await answer(request, stream)

    return path, Handler(handle, Cardinality.UNARY_STREAM, request_type, reply_type)


def make_bidirectional_method(
    path: str,
    handle: Callable[[Stream[Any, Any]], Awaitable[None]],
    request_type: type,
    reply_type: type,
) -> tuple[str, Handler]:
    """Return a method with streams both ways."""
    return path, Handler(handle, Cardinality.STREAM_STREAM, request_type, reply_type)
