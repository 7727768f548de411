"""Sockets that listen before the rest of a program is loaded.

Loading the libraries takes several tenths of a second. A caller that connects
during that time waits in the backlog instead of being refused.
"""

import socket
from typing import Final

#: Connections that may wait to be accepted.
BACKLOG: Final = 512
#: Size of the receive buffer of a connection; the system takes twice as much.
#: What has arrived unread counts as memory of the instance, and a buffer that
#: the system sizes by itself grows to megabytes.
RECEIVE_BUFFER_BYTES: Final = 8 * 1024
#: Size of the send buffer, of which the system takes twice as much too.
SEND_BUFFER_BYTES: Final = 64 * 1024
#: Options of a listener, which the sockets that it accepts inherit.
BUFFER_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES),
)

_listeners: dict[tuple[str, int], socket.socket] = {}


def open_listener(host: str, port: int) -> None:
    """Listen on an address until a server takes over the socket."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option in BUFFER_OPTIONS:
        listener.setsockopt(*option)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    _listeners[(host, port)] = listener


def take_listener(host: str, port: int) -> socket.socket | None:
    """Remove and return the socket listening on an address, if any."""
    return _listeners.pop((host, port), None)
