"""The port of backend servers: one request, one answer in pieces."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from carobspring.domain import CallHeaders


class BackendError(Exception):
    """The root of the errors that a backend server's adapter raises.

    Args:
        reason: What was seen, for logs.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the backend server failed: {reason}")
        self.reason = reason


class BackendUnreachableError(BackendError):
    """No connection could be opened, so nothing of the request was sent."""


class IncompleteResponseError(BackendError):
    """The request was sent and the answer's whole end was not seen."""


@dataclass(frozen=True, kw_only=True)
class BackendRequest:
    """A request as it goes to the backend server."""

    method: str
    #: Path with its query.
    path: str
    headers: CallHeaders = ()
    body: bytes = b""
    #: True when it may run again, so that a kept connection may be used,
    #: which the server might close as the request is on its way.
    repeatable: bool = False


class BackendResponse(ABC):
    """An answer that is being received."""

    status: int
    headers: CallHeaders

    @abstractmethod
    async def read(self) -> bytes:
        """Return the next piece, or nothing once the answer is whole.

        Raises:
            IncompleteResponseError: The connection ended before the end of
                the response.
        """

    async def read_next_response(self) -> bool:
        """Pass over an answer that belongs to an earlier request.

        Returns False when no other answer can come; otherwise ``status`` and
        ``headers`` are those of the next one.
        """
        return False

    @abstractmethod
    def close(self) -> None:
        """End the exchange, which cancels work that goes on."""


class Backend(ABC):
    """A backend server, as the agent's gate uses it."""

    @abstractmethod
    async def send(self, request: BackendRequest) -> BackendResponse:
        """Send a request and return once status and headers are there.

        Cancelling the caller closes the connection.

        Raises:
            BackendUnreachableError: Nothing was sent.
            IncompleteResponseError: The request was sent and no answer came.
        """

    @abstractmethod
    async def probe(self, timeout_s: float) -> bool:
        """Say whether the backend server answers its health path in time."""

    @abstractmethod
    async def is_listening(self) -> bool:
        """Say whether the backend server accepts connections at present."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""
