"""An HTTP server on circuits.web, with limits on the requests of callers."""

import asyncio
import contextlib
import logging
import resource
import select
import socket
import struct
import sys
import time
from typing import Any

from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP

from carobspring.adapters.byte_budget import ByteBudget
from carobspring.adapters.eventloop import EventLoopRoot
from carobspring.adapters.http_connection import ConnectionState, HttpConnection
from carobspring.adapters.listeners import (
    BUFFER_OPTIONS,
    RECEIVE_BUFFER_BYTES,
    take_listener,
)
from carobspring.adapters.memory_plan import compute_max_connections
from carobspring.adapters.refusals import RefusalRecorder
from carobspring.adapters.tasks import start_service_task
from carobspring.ports import BodyLimiter, HttpHandler, HttpLimits, HttpServer

CHANNEL = "web"
#: Bytes of one read.
READ_SIZE_BYTES = 16 * 1024
#: Size of the receive buffer while a body arrives that has room.
BODY_RECEIVE_BUFFER_BYTES = 32 * 1024
TIMEOUT_CHECK_INTERVAL_S = 1.0
#: Values of SO_LINGER: on or off, and seconds.
RESET_LINGER = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)
DRAIN_POLL_INTERVAL_S = 0.02
#: Signs of a poll that the caller has closed the connection.
LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
#: Seconds that idle connections stay open in a drain, for requests in flight.
DRAIN_IDLE_TIMEOUT_S = 0.5
#: Seconds that a drain waits for callers to close, after all was sent.
DRAIN_LINGER_S = 0.3
#: Seconds that idle connections stay open after keep-alive was disabled. A
#: caller whose request crosses the close may send it again.
NO_KEEP_ALIVE_IDLE_TIMEOUT_S = 0.1

logger = logging.getLogger(__name__)


class ReportingTcpServer(TCPServer):
    """The TCP server of circuits, which also reports how much was sent."""

    channel = CHANNEL
    socket_options = [*TCPServer.socket_options, *BUFFER_OPTIONS]
    _sock: Any

    def __init__(self, bind: Any, *, on_read: Any, on_sent: Any, on_end: Any) -> None:
        super().__init__(bind, channel=CHANNEL, bufsize=READ_SIZE_BYTES)
        self._on_data = on_read
        self._on_sent = on_sent
        self._on_end = on_end
        #: Sockets whose write side is shut down once their buffer is sent.
        self._shutting_down: set[Any] = set()
        #: Sockets whose close resets the connection.
        self._resetting: set[Any] = set()

    @handler("write", override=True)
    def write(self, sock: Any, data: bytes) -> None:
        """Send bytes immediately; buffer what the socket does not accept."""
        if sock not in self._clients:
            return
        if self._buffers[sock]:
            self._buffers[sock].append(data)
            return
        self._write(sock, data)
        if self._buffers.get(sock):
            self._poller.addWriter(self, sock)

    def shutdown_write(self, sock: Any) -> None:
        """Shut down the write side once the buffered bytes are sent."""
        if sock not in self._clients:
            return
        if self._buffers.get(sock):
            self._shutting_down.add(sock)
        else:
            self._shutting_down.discard(sock)
            with contextlib.suppress(OSError):
                if sock in self._resetting:
                    self._resetting.discard(sock)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                sock.shutdown(socket.SHUT_WR)

    def stop_reading(self, sock: Any) -> None:
        """Leave what the caller still sends unread."""
        self._poller.removeReader(sock)

    def resume_reading(self, sock: Any) -> None:
        """Read again what the caller sends."""
        if sock in self._clients:
            self._poller.addReader(self, sock)

    def widen_receive_buffer(self, sock: Any) -> None:
        """Let a body arrive faster."""
        _set_receive_buffer(sock, BODY_RECEIVE_BUFFER_BYTES)

    def narrow_receive_buffer(self, sock: Any) -> None:
        """Undo the widening, after the body."""
        _set_receive_buffer(sock, RECEIVE_BUFFER_BYTES)

    def is_readable(self, sock: Any) -> bool:
        """Return whether bytes or the end of the caller's wait to be read."""
        return bool(_poll(sock) & select.POLLIN)

    def has_left(self, sock: Any) -> bool:
        """Return whether the caller has closed the connection."""
        return bool(_poll(sock) & LEFT_EVENTS)

    def reset_on_close(self, sock: Any) -> None:
        """Let any close reset the connection, also that of a killed process.

        This ends when the write side is shut down.
        """
        self._resetting.add(sock)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)

    @property
    def connection_count(self) -> int:
        """Number of accepted connections that are open."""
        return len(self._clients)

    def stop_listening(self) -> None:
        """Reject new connections and keep those that callers have opened.

        Closing the socket would reset the connections that wait to be
        accepted, so they are accepted before.
        """
        if self._sock is None:
            return
        with contextlib.suppress(OSError):
            while True:
                self._on_accept_done(self._sock.accept()[0])
        self._poller.discard(self._sock)
        self._sock.close()
        self._sock = None

    def close_all(self) -> None:
        """Close every connection at once."""
        for sock in list(self._clients):
            self._close(sock)

    def discard_closed_buffers(self) -> None:
        """Remove the empty buffers of closed connections."""
        open_sockets = set(self._clients)
        for sock in [key for key in self._buffers if key not in open_sockets]:
            del self._buffers[sock]
        self._shutting_down &= open_sockets
        self._resetting &= open_sockets

    @handler("close", override=True)
    def close(self, sock: Any = None) -> None:
        """Close once the buffered bytes are sent, as the caller has ended."""
        if sock is not None and self._buffers.get(sock):
            # The end of what the caller sends would stay readable.
            self._poller.removeReader(sock)
            self._on_end(sock)
        super().close(sock)

    def _close(self, sock: Any) -> None:
        if sock in self._resetting:
            # The component's own close would mark an end first.
            self._resetting.discard(sock)
            self._poller.discard(sock)
            sock.close()
        super()._close(sock)

    def _read(self, sock: Any) -> None:
        """Read once and handle the bytes at once.

        The component's own read queues them as an event. The reads of all
        connections would be in memory before the first is handled.
        """
        if sock not in self._clients or not self._poller.isReading(sock):
            return
        try:
            data = sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(sock)
            return
        if data:
            self._on_data(sock, data)
        else:
            self.close(sock)

    def _write(self, sock: Any, data: bytes) -> None:
        buffers_before = len(self._buffers[sock])
        super()._write(sock, data)
        unsent_buffers = self._buffers.get(sock)
        unsent = (
            len(unsent_buffers[0])
            if unsent_buffers and len(unsent_buffers) > buffers_before
            else 0
        )
        self._on_sent(sock, len(data) - unsent)
        if sock in self._shutting_down and not unsent_buffers:
            self.shutdown_write(sock)


def find_max_connections() -> int:
    """Return how many connections the descriptors of the process allow."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return sys.maxsize
    return compute_max_connections(limit)


def _set_receive_buffer(sock: Any, size: int) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def _poll(sock: Any) -> int:
    if sock.fileno() < 0:
        # It was closed in this turn of the loop, and its connection does not
        # know yet.
        return 0
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    return events[0][1] if events else 0


class BoundedHttp(HTTP):
    """The HTTP protocol of circuits, which receives only checked requests."""

    def __init__(
        self,
        server: Any,
        *,
        handle: HttpHandler,
        limits: HttpLimits,
        budget: ByteBudget,
        find_max_body: BodyLimiter,
        refusals: RefusalRecorder,
    ) -> None:
        super().__init__(server)
        self.refusals = refusals
        self._handle = handle
        self._limits = limits
        self._budget = budget
        self._find_max_body = find_max_body
        self.connections: dict[Any, HttpConnection] = {}
        self.draining = False

    @handler("connect")
    def _on_connect(self, sock: Any, *peer: Any) -> None:
        max_connections = min(
            self._limits.max_connections,
            self._budget.max_connections,
            find_max_connections(),
        )
        if len(self.connections) >= max_connections and not self._close_one():
            peer_ip = str(peer[0]) if peer else ""
            self.refusals.record("too_many_connections", peer_ip, time.monotonic())
            self.fire(close(sock))
            return
        self.connections[sock] = HttpConnection(
            sock=sock,
            peer=str(peer[0]) if peer else "",
            protocol=self,
            handle=self._handle,
            limits=self._limits,
            budget=self._budget,
            find_max_body=self._find_max_body,
        )

    def _close_one(self) -> bool:
        """Close a connection to make room; return whether there is one.

        It is the first that has its response and does not close. Else it is
        the one that has had no request for the longest time: callers may
        repeat a request that crosses the close. Then come those whose head,
        body or reading has stalled, and the one that began last to wait for
        room.
        """
        waiting = sorted(self.connections.values(), key=lambda each: each.waiting_since)
        now = time.monotonic()
        return (
            any(each.close_if_lingering(now) for each in waiting)
            or any(each.close_if_unused() for each in waiting)
            or any(each.close_if_slow(now) for each in waiting)
            or any(each.close_if_stalled(now) for each in waiting)
            or any(each.refuse_if_waiting() for each in reversed(waiting))
        )

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock: Any) -> None:
        connection = self.connections.pop(sock, None)
        if connection is not None:
            connection.handle_close()

    def receive(self, sock: Any, data: bytes) -> None:
        """Process bytes from a caller."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.receive(data)

    @handler("exception", channel="*")
    def _on_any_exception(self, *args: Any, **details: Any) -> None:
        logger.error("circuits handler failed: %r", args[1:2])

    def record_sent(self, sock: Any, size: int) -> None:
        """Record bytes that were passed to the operating system."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.record_sent(size)

    def update_limits(self, limits: HttpLimits) -> None:
        """Replace the limits of open and of later connections."""
        self._limits = limits
        for connection in self.connections.values():
            connection.limits = limits

    def handle_end(self, sock: Any) -> None:
        """Handle that a caller sends nothing more while bytes are unsent."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.handle_end()

    def check_timeouts(self, now: float) -> None:
        """Check the timeouts of every connection."""
        for connection in list(self.connections.values()):
            connection.check_timeouts(now)
        self._budget.refuse_stalled(now)
        self.refusals.check(now)


class _WebServer(BaseComponent):
    """The server component that circuits.web expects above its protocol."""

    channel = CHANNEL
    secure = False
    display_banner = False

    def __init__(
        self,
        *,
        bind: Any,
        handle: HttpHandler,
        limits: HttpLimits,
        budget: ByteBudget,
        find_max_body: BodyLimiter,
        refusals: RefusalRecorder,
    ) -> None:
        super().__init__()
        self.http = BoundedHttp(
            self,
            handle=handle,
            limits=limits,
            budget=budget,
            find_max_body=find_max_body,
            refusals=refusals,
        ).register(self)
        self.server = ReportingTcpServer(
            bind,
            on_read=self.http.receive,
            on_sent=self.http.record_sent,
            on_end=self.http.handle_end,
        ).register(self)

    @property
    def host(self) -> str:
        return self.server.host or ""

    @property
    def port(self) -> int:
        return self.server.port or 0


class CircuitsHttpServer(HttpServer):
    """Implements the HTTP server port with circuits.web.

    Example:
        ``server = CircuitsHttpServer(host="127.0.0.1", port=0,
        handler=handle)``, then ``await server.start()`` in a running loop.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: HttpHandler,
        limits: HttpLimits | None = None,
        budget: ByteBudget | None = None,
        find_max_body: BodyLimiter = lambda request: None,
    ) -> None:
        """Create the server.

        Args:
            host: IP address to listen on.
            port: Port to listen on, or 0 for any.
            handler: Handles each request.
            limits: Limits on requests and connections.
            budget: Room for bodies, shared with other servers of the process.
            find_max_body: Returns how much of a body is wanted, by its head.
        """
        self.host = host
        self.port = port
        self._handle = handler
        self._limits = limits or HttpLimits()
        self._budget = budget or ByteBudget()
        self._find_max_body = find_max_body
        #: What was refused since the start.
        self.refusals = RefusalRecorder()
        self._root: EventLoopRoot | None = None
        self._web: _WebServer | None = None
        self._timeout_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._root = EventLoopRoot(loop=loop)
        listener = take_listener(self.host, self.port)
        bind = listener or (self.host, self.port)
        self._web = _WebServer(
            bind=bind,
            handle=self._handle,
            limits=self._limits,
            budget=self._budget,
            find_max_body=self._find_max_body,
            refusals=self.refusals,
        )
        self.port = self.refusals.port = self._web.port
        self._web.register(self._root)
        self._timeout_task = start_service_task(
            self._check_timeouts, name="connection timeouts"
        )

    def list_connection_states(self) -> list[ConnectionState]:
        """Return what each open connection does."""
        if self._web is None:
            return []
        return [each.state for each in self._web.http.connections.values()]

    @property
    def limits(self) -> HttpLimits:
        """The limits in force."""
        return self._limits

    def update_limits(self, limits: HttpLimits) -> None:
        """Replace the limits; a request that has begun may be past the old."""
        self._limits = limits
        if self._web is not None:
            self._web.http.update_limits(limits)

    async def disable_keep_alive(self, duration_s: float) -> None:
        """Close each connection after its response, for a while.

        New connections are still accepted. Callers that reuse connections are
        thus sent to other servers before this one stops accepting.
        """
        if self._web is None:
            return
        self._web.http.draining = True
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            self._close_idle(NO_KEEP_ALIVE_IDLE_TIMEOUT_S)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def drain(self, timeout_s: float) -> bool:
        """Accept no new requests; return whether the open ones end in time.

        A request that is still incomplete shortly before is refused.
        """
        if self._web is None:
            return True
        self._web.http.draining = True
        self._web.server.stop_listening()
        deadline = time.monotonic() + timeout_s
        while not self._is_drained(time.monotonic()):
            now = time.monotonic()
            if now > deadline:
                return False
            if now > deadline - DRAIN_LINGER_S:
                for connection in list(self._web.http.connections.values()):
                    connection.refuse_incomplete()
            self._close_idle(DRAIN_IDLE_TIMEOUT_S)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return True

    async def close(self) -> None:
        """Close every connection."""
        if self._web is None or self._root is None:
            return
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        self._web.server.stop_listening()
        for connection in list(self._web.http.connections.values()):
            connection.close_now()
        self._web.server.close_all()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self._root.close()
        self._web = None

    def _is_drained(self, now: float) -> bool:
        """Return whether no caller has to be waited for any more."""
        if self._web is None:
            return True
        connections = self._web.http.connections.values()
        if self._web.server.connection_count > len(connections):
            # An accepted connection is not handled yet.
            return False
        return all(each.has_lingered(now, DRAIN_LINGER_S) for each in connections)

    def _close_idle(self, idle_s: float) -> None:
        if self._web is None:
            return
        now = time.monotonic()
        for connection in list(self._web.http.connections.values()):
            connection.close_if_left()
            connection.close_when_idle(now, idle_s)

    async def _check_timeouts(self) -> None:
        while self._web is not None:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self._web.http.check_timeouts(time.monotonic())
            self._web.server.discard_closed_buffers()
