"""Socket options that detect a peer that no longer responds."""

import asyncio
import contextlib
import socket
from typing import Final

#: Seconds without traffic before the operating system sends the first
#: keepalive probe.
KEEPALIVE_IDLE_S: Final = 1
#: Seconds between two keepalive probes.
KEEPALIVE_INTERVAL_S: Final = 1
#: Unanswered keepalive probes after which the connection is closed.
KEEPALIVE_MAX_PROBES: Final = 3
#: Milliseconds that sent bytes may remain unacknowledged.
USER_TIMEOUT_MS: Final = 3000


#: Size of the receive buffer of a connection to a backend server; the system
#: takes twice as much. What arrives unread counts as memory.
BACKEND_RECEIVE_BUFFER_BYTES: Final = 16 * 1024
#: Size of its send buffer. What the server does not read of a long request
#: stays in the process, which can tell that the request was not sent.
BACKEND_SEND_BUFFER_BYTES: Final = 64 * 1024


async def connect_with_small_buffers(address: tuple[str, int]) -> socket.socket:
    """Return a connection whose buffers do not grow.

    Raises:
        OSError: The connection cannot be opened.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        # The sizes must be set before the connection is opened, when the other
        # side learns how much it may send.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BACKEND_SEND_BUFFER_BYTES)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BACKEND_RECEIVE_BUFFER_BYTES
        )
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Let the operating system close a connection whose peer is gone."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_MAX_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        # Without an option, the system's own, longer timeouts apply.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
