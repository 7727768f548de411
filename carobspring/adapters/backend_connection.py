"""One connection to a backend server, with h11 for the protocol."""

import asyncio
from typing import Any, Final

import h11

from carobspring.adapters.sockets import enable_dead_peer_detection
from carobspring.ports import IncompleteResponseError

MAX_HEAD_BYTES: Final = 64 * 1024
#: Unread bytes of an answer at which the server is made to wait.
READ_BUFFER_BYTES: Final = 256 * 1024


class BackendConnection(asyncio.Protocol):
    """Sends one request at a time and gives the answer's parts as they come.

    After an answer that is whole, the connection may be used again, unless
    bytes came that belong to no request or the server is about to close it.
    """

    def __init__(self) -> None:
        self._parser = _make_parser()
        self._request: h11.Request | None = None
        self._transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._unread = 0
        self._lost: str = ""
        #: Time at which the last answer ended.
        self.idle_since = 0.0
        #: Seconds that the server keeps an idle connection; None if not told.
        self.kept_s: float | None = None
        #: True once any byte of the present answer has come.
        self.answered = False

    @property
    def is_lost(self) -> bool:
        """Say whether the connection can't be used any more."""
        return bool(self._lost) or self._transport is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_dead_peer_detection(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer; bytes without a request end it all."""
        if self._request is None:
            self.close("bytes came without a request")
            return
        self.answered = True
        self._feed(data)
        self._unread += len(data)
        if self._unread > READ_BUFFER_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take the end of the server's bytes."""
        if self._request is None:
            self.close("the server closed an idle connection")
        else:
            self._feed(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note how the connection ended."""
        if not self._lost:
            self._lost = f"{type(error).__name__} {error}" if error else "closed"
        self._arrived.set()

    def send(self, *, method: str, target: str, headers: Any, body: bytes) -> None:
        """Send a whole request."""
        assert self._transport is not None
        self.answered = False
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._request = request
        self._transport.write(data)

    async def read_event(self) -> Any:
        """Return the next part of the answer as h11 gives it.

        Raises:
            IncompleteResponseError: The connection ended or the bytes are
                no answer.
        """
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                reason = self._lost or str(error)
                self.close(reason)
                raise IncompleteResponseError(reason=reason) from error
            if isinstance(event, h11.InformationalResponse):
                continue
            if event is not h11.NEED_DATA:
                return event
            if self._lost:
                raise IncompleteResponseError(reason=self._lost)
            self._arrived.clear()
            self._resume()
            await self._arrived.wait()

    def skip_answer(self) -> bool:
        """Make ready for another answer to the same request.

        Used when a whole answer turned out to belong to an earlier request.
        Returns False when no other can come on this connection.
        """
        rest, is_eof = self._parser.trailing_data
        is_done = self._parser.their_state is h11.DONE
        if not is_done or is_eof or self._request is None or self.is_lost:
            return False
        self._parser = _make_parser()
        # The method decides how an answer is framed; the body was sent before.
        asked = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=[("Host", "x")],
        )
        self._parser.send(asked)
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._feed(rest)
        return True

    def finish(self, now: float) -> bool:
        """End an exchange whose answer is whole; say if it can be kept."""
        parser = self._parser
        rest, is_eof = parser.trailing_data
        states = (parser.our_state, parser.their_state)
        unsent = self._transport.get_write_buffer_size() if self._transport else 1
        if states != (h11.DONE, h11.DONE) or rest or is_eof or unsent or self._lost:
            self.close("not kept")
            return False
        parser.start_next_cycle()
        self._request = None
        self.idle_since = now
        self._resume()
        return True

    def close(self, reason: str = "closed here") -> None:
        """Close at once, which makes the server stop its work."""
        if not self._lost:
            self._lost = reason
        if self._transport is not None:
            self._transport.abort()
        self._arrived.set()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except RuntimeError:
            # Bytes after the end of the connection.
            self.close("bytes came after the end")
        self._arrived.set()

    def _resume(self) -> None:
        if self._unread > READ_BUFFER_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._unread = 0


def _make_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
