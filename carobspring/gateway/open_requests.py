"""The requests that an entry has read and not answered yet."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class OpenRequest:
    """A request that was read and has no complete response yet."""

    request_id: str
    #: Monotonic time at which it was read.
    arrived_at: float


class OpenRequests:
    """The open requests of an entry, the oldest first.

    Identifiers come from callers and may occur twice, so each request has a
    number of its own here.

    Example:
        ``number = requests.add("a1", now)``, and ``requests.remove(number)``
        when the response is complete.
    """

    def __init__(self) -> None:
        self._requests: dict[int, OpenRequest] = {}
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request_id: str, now: float) -> int:
        """Record a request and return its number."""
        self._next_number += 1
        request = OpenRequest(request_id=request_id, arrived_at=now)
        self._requests[self._next_number] = request
        return self._next_number

    def remove(self, number: int) -> None:
        """Remove a request whose response is complete, or never will be."""
        del self._requests[number]

    def list_oldest(self, count: int) -> tuple[OpenRequest, ...]:
        """Return the oldest requests, at most ``count`` of them."""
        return tuple(self._requests.values())[:count]
