"""Signed datagrams between processes of the system.

They cost a tenth of a message on a gRPC stream and need no connection, so
that any of hundreds of processes can send to any other. They may be lost,
repeated or overtaken.
"""

import asyncio
import hashlib
import hmac
import logging
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from carobspring.adapters.metrics import Metrics
from carobspring.domain import InvalidValueError, parse_address
from carobspring.protocol import DECODE_ERRORS, decode_soft_state, encode_soft_state

#: Bytes of the signature that begins each datagram.
SIGNATURE_BYTES: Final = 16
#: Seconds between two log lines on datagrams that can't be used.
LOG_INTERVAL_S: Final = 10.0

Message = TypeVar("Message")

logger = logging.getLogger(__name__)


class DatagramSocket(Generic[Message]):
    """Sends messages of one type to other processes, and receives theirs.

    Example:
        ``socket = DatagramSocket(message_type=StreamMessage, secret=secret,
        on_message=handle, metrics=metrics)``, then
        ``await socket.open("10.1.0.40", 7341)`` and
        ``socket.send("10.1.0.41:7341", message)``.
    """

    def __init__(
        self,
        *,
        message_type: type[Message],
        secret: str,
        on_message: Callable[[str, Message], None],
        metrics: Metrics,
    ) -> None:
        self._message_type = message_type
        self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._logged_at = float("-inf")
        self._sent = metrics.add_counter(
            "carob_datagrams_sent_total", "Datagrams sent to other entries."
        )
        self._received = metrics.add_counter(
            "carob_datagrams_received_total",
            "Datagrams received, by whether they could be used.",
        )

    async def open(self, host: str, port: int) -> None:
        """Receive datagrams at an address.

        Raises:
            OSError: The address is in use or not of this instance.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._handle_datagram, self._handle_error),
            local_addr=(host, port),
        )

    def close(self) -> None:
        """Stop receiving."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: str, message: Message) -> None:
        """Send a message to ``host:port``; whether it arrives is not known."""
        if self._transport is None:
            return
        try:
            target = parse_address("peer", address)
        except InvalidValueError as error:
            self._reject(address, str(error))
            return
        content = encode_soft_state(message)
        self._transport.sendto(
            self._sign(content) + content, (target.host, target.port)
        )
        self._sent.inc({})

    def _sign(self, content: bytes) -> bytes:
        return hashlib.blake2b(
            content, key=self._key, digest_size=SIGNATURE_BYTES
        ).digest()

    def _handle_datagram(self, data: bytes, sender: str) -> None:
        signature, content = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(content)):
            self._reject(sender, "not signed with the shared secret")
            return
        try:
            message = decode_soft_state(content, self._message_type)
        except DECODE_ERRORS as error:
            # A process of a later release may send what this one can't read.
            self._reject(sender, str(error))
            return
        self._received.inc({"used": "true"})
        self._on_message(sender, message)

    def _handle_error(self, error: Exception) -> None:
        # The system reports that a former datagram did not arrive.
        self._reject("", repr(error))

    def _reject(self, sender: str, reason: str) -> None:
        self._received.inc({"used": "false"})
        now = asyncio.get_running_loop().time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            extra = {"sender": sender, "reason": reason}
            logger.warning("datagram not used", extra=extra)


class _Receiver(asyncio.DatagramProtocol):
    """Passes on what the event loop receives."""

    def __init__(
        self,
        on_datagram: Callable[[bytes, str], None],
        on_error: Callable[[Exception], None],
    ) -> None:
        self._on_datagram = on_datagram
        self._on_error = on_error

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram from ``addr``."""
        self._on_datagram(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Handle an error of a former send."""
        self._on_error(exc)
