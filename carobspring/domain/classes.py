"""Service classes: what an operator steers by."""

from dataclasses import dataclass

from carobspring.domain.errors import check_name, check_range

MAX_PRIORITY = 100
MAX_TARGET_MS = 24 * 60 * 60 * 1000


@dataclass(frozen=True, kw_only=True)
class LatencyTarget:
    """The latency that a class promises, measured at the entry.

    A streamed call meets its target when its first token comes within
    ``first_token_ms`` and the mean gap between tokens stays within
    ``token_gap_ms``. A call that isn't streamed, and one to a plain service,
    meets it when the whole answer comes within ``total_ms``. Zero leaves a
    part without a target.

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
    """A named class of work with a latency target and a priority.

    A larger priority goes first. Classes of equal priority form one tier, in
    which the call nearest to missing its target goes first.

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
