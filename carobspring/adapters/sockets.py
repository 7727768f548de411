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
