"""The port of backend servers: a request and its streamed response."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from carobspring.domain import CallHeaders


class BackendError(Exception):
    """The base class of the errors of requests to a backend server.

    Args:
        reason: What went wrong. The agent logs it; the gateway also returns
            it to callers and uses it as a metric label.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the backend server failed: {reason}")
        self.reason = reason


class BackendUnreachableError(BackendError):
    """No connection could be opened, so no part of the request was sent."""


class RequestWithheldError(BackendError):
    """The request was no longer wanted when it could have been sent."""


class IncompleteResponseError(BackendError):
    """The request was sent, but no complete response was received.

    Args:
        reason: As of every backend error.
        peer_ended: True if the server's side ended the connection, and not
            this side because of a timeout or of invalid bytes.
    """

    def __init__(self, *, reason: str, peer_ended: bool = False) -> None:
        super().__init__(reason=reason)
        self.peer_ended = peer_ended


@dataclass(frozen=True, kw_only=True)
class BackendRequest:
    """A request to a backend server."""

    method: str
    #: Path and query string.
    path: str
    headers: CallHeaders = ()
    body: bytes = b""
    #: True if the request may run again. Only then is an idle connection
    #: reused, because the server may close it while the request is in flight.
    repeatable: bool = False
    #: Asked once a connection is open, which takes time: whether to send the
    #: request still. None if it is sent in any case.
    may_send: Callable[[], bool] | None = None


class BackendResponse(ABC):
    """A response that is being received."""

    status: int
    headers: CallHeaders
    #: Whether the response itself marks its end. Otherwise the end of its
    #: connection is the only sign of it, and of a server that stopped.
    is_end_marked: bool = True

    @abstractmethod
    async def read(self) -> bytes:
        """Return the next chunk of the body, or no bytes at its end.

        Raises:
            IncompleteResponseError: The connection ended before the end of
                the response.
        """

    async def read_next_response(self) -> bool:
        """Skip a response that belongs to an earlier request.

        Returns False if no further response can arrive. Otherwise ``status``
        and ``headers`` are those of the next response.
        """
        return False

    async def read_follow_up(self) -> bool:
        """Find out whether this response is the last one to the request.

        A faulty server may write a response of another request before the
        request's own. Another request is sent behind it, which asks for
        nothing. A server responds in order, so the next response is the
        request's own, if there is one, or that to the other request.

        Returns True with ``status`` and ``headers`` of that response, or False
        if the server ended the connection behind this one.

        Raises:
            IncompleteResponseError: Neither can be found out.
        """
        raise IncompleteResponseError(reason="the connection carries no check")

    @abstractmethod
    def close(self) -> None:
        """Close the connection, which cancels a request that still runs."""


class Backend(ABC):
    """A client of one backend server."""

    @abstractmethod
    async def send(self, request: BackendRequest) -> BackendResponse:
        """Send a request and return when status and headers have arrived.

        Cancelling this coroutine closes the connection.

        Raises:
            BackendUnreachableError: No part of the request was sent.
            RequestWithheldError: No part of it was sent, as ``may_send`` says.
            IncompleteResponseError: The request was sent, but no response
                was received.
        """

    @abstractmethod
    async def probe(self, timeout_s: float) -> bool:
        """Return whether the health path is answered within the timeout."""

    @abstractmethod
    async def is_listening(self) -> bool:
        """Return whether the backend server accepts connections."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
