"""Socket options that make silent connections end."""

import asyncio
import contextlib
import socket
from typing import Final

#: Seconds without traffic after which the system looks whether the other end
#: is still there, between two looks, and looks that may fail.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_MAX_PROBES: Final = 3
#: Milliseconds that sent bytes may stay without an acknowledgement.
USER_TIMEOUT_MS: Final = 3000


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Have the system end a connection whose other end has gone silently."""
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
        # A system without an option keeps its own, longer bounds.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
