"""gRPC between the processes: codec, method builders and authentication.

Services are written by hand on grpclib with data classes as messages, so no
code generator is needed. Every call carries the shared secret in its metadata;
a server rejects a call without it.
"""

import asyncio
import functools
import hmac
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import MISSING, fields
from typing import Any, TypeVar

import msgspec
from grpclib import GRPCError, Status
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from carobspring.protocol import (
    DECODE_ERRORS,
    SoftState,
    decode_soft_state,
    encode_soft_state,
    get_decoder,
)

SECRET_METADATA_KEY = "carob-secret"
KEEPALIVE_INTERVAL_S = 5.0
KEEPALIVE_TIMEOUT_S = 3.0
#: Flow-control window of one stream. It is small enough that a hundred
#: stalled streams do not exhaust the window of their connection.
STREAM_WINDOW_BYTES = 64 * 1024
CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024

#: Errors that a call or stream may raise when its connection or peer fails.
#: grpclib raises ProtocolError if a peer ends a stream before this side does,
#: as a replica does at a planned stop.
STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
)

Message = TypeVar("Message")
#: Opens a channel to a host and port.
ChannelOpener = Callable[[str, int], Channel]


class MessagePackCodec(CodecBase):
    """Encodes data classes as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message, without fields at their default.

        Most messages are heartbeats or carry one of many fields.
        """
        message_class: Any = type(message)
        defaults = get_defaults(message_class)
        content = {
            name: value
            for name in defaults
            if (value := getattr(message, name)) != defaults[name]
        }
        if isinstance(message, SoftState):
            return encode_soft_state(content)
        return msgspec.msgpack.encode(content)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message that the bytes encode.

        Raises:
            GRPCError: The bytes are not a message of this type.
        """
        try:
            if issubclass(message_type, SoftState):
                return decode_soft_state(data, message_type)
            return get_decoder(message_type).decode(data)
        except DECODE_ERRORS as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error


@functools.cache
def get_defaults(message_type: Any) -> Mapping[str, Any]:
    """Return the default of each field of a data class, cached.

    A field without a default has a value that no message has.
    """
    defaults: dict[str, Any] = {}
    for each in fields(message_type):
        if each.default_factory is not MISSING:
            defaults[each.name] = each.default_factory()
        else:
            defaults[each.name] = each.default
    return defaults


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
    """Connect a channel, so that nothing is sent before it is connected.

    Returns the seconds that connecting took, which is one round trip, or None
    if the channel was already connected.

    Raises:
        OSError: The address refuses the connection or doesn't respond in time.
    """
    if channel._connected:
        return None
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        async with asyncio.timeout(timeout_s):
            await channel.__connect__()
    except TimeoutError as error:
        raise ConnectionError("timed out while connecting") from error
    return loop.time() - started_at


def build_server(*, services: list[Any], secret: str) -> Server:
    """Return a server that rejects calls without the shared secret."""
    server = Server(services, codec=MessagePackCodec())

    async def check_secret(event: RecvRequest) -> None:
        given = str(event.metadata.get(SECRET_METADATA_KEY, ""))
        if not hmac.compare_digest(given.encode(), secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "the shared secret is wrong")

    listen(server, RecvRequest, check_secret)
    return server


class RpcService:
    """A gRPC service built from a list of methods.

    Example:
        ``RpcService([make_unary_method("/carob.Agent/Cancel", cancel,
        CancelCall, CancelReply)])``
    """

    def __init__(self, methods: list[tuple[str, Handler]]) -> None:
        self._methods = dict(methods)

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by path, for grpclib."""
        return self._methods


def make_unary_method(
    path: str,
    respond: Callable[[Any], Awaitable[Any]],
    request_type: type,
    reply_type: type,
) -> tuple[str, Handler]:
    """Return a method that replies to one message with one message."""

    async def handle(stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await respond(request))

    return path, Handler(handle, Cardinality.UNARY_UNARY, request_type, reply_type)


def make_server_streaming_method(
    path: str,
    respond: Callable[[Any, Stream[Any, Any]], Awaitable[None]],
    request_type: type,
    reply_type: type,
) -> tuple[str, Handler]:
    """Return a method that replies to one message with a stream."""

    async def handle(stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await respond(request, stream)

    return path, Handler(handle, Cardinality.UNARY_STREAM, request_type, reply_type)


def make_bidirectional_method(
    path: str,
    handle: Callable[[Stream[Any, Any]], Awaitable[None]],
    request_type: type,
    reply_type: type,
) -> tuple[str, Handler]:
    """Return a method with a stream in each direction."""
    return path, Handler(handle, Cardinality.STREAM_STREAM, request_type, reply_type)
