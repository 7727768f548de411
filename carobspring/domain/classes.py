"""Service classes: priorities and latency targets set by the operator."""

from dataclasses import dataclass

from carobspring.domain.errors import check_name, check_range

MAX_PRIORITY = 100
MAX_TARGET_MS = 24 * 60 * 60 * 1000


@dataclass(frozen=True, kw_only=True)
class LatencyTarget:
    """The target latency of a class, measured at the entry.

    A streamed call meets its target if its first token arrives within
    ``first_token_ms`` and the mean gap between tokens is at most
    ``token_gap_ms``. A call that isn't streamed, and any call to a plain
    service, meets its target if the complete response arrives within
    ``total_ms``. Zero means that there is no target for that part.

    Example:
        ``LatencyTarget(first_token_ms=420, token_gap_ms=45)``
    """

    first_token_ms: int = 0
    token_gap_ms: int = 0
    total_ms: int = 0

    def __post_init__(self) -> None:
        check_range("first_token_ms", self.first_token_ms, 0, MAX_TARGET_MS, "ms")
        check_range("token_gap_ms", self.token_gap_ms, 0, MAX_TARGET_MS, "ms")
        check_range("total_ms", self.total_ms, 0, MAX_TARGET_MS, "ms")


@dataclass(frozen=True, kw_only=True)
class ServiceClass:
    """A named class of calls with a priority and a latency target.

    A larger priority is served first. Classes of equal priority form one
    tier, in which the call closest to missing its target is served first.

    Example:
        ``ServiceClass(name="chat", priority=90,
        target=LatencyTarget(first_token_ms=420))``
    """

    name: str
    priority: int
    target: LatencyTarget

    def __post_init__(self) -> None:
        check_name("class", self.name)
        check_range("priority", self.priority, 0, MAX_PRIORITY, "")
