"""Sockets that listen before the rest of a program is loaded.

Loading the libraries takes several tenths of a second. A caller that connects
meanwhile waits in the queue of the socket instead of being refused.
"""

import socket
from typing import Final

BACKLOG: Final = 512

_early: dict[tuple[str, int], socket.socket] = {}


def open_listener(host: str, port: int) -> None:
    """Listen at an address until a server takes the socket over."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    _early[(host, port)] = listener


def take_listener(host: str, port: int) -> socket.socket | None:
    """Return the socket that listens at an address already, if one does."""
    return _early.pop((host, port), None)
