"""Differences between numbered views of the membership table."""

from dataclasses import dataclass, field

from carobspring.domain import BackendServer, LoadReport


@dataclass(frozen=True, kw_only=True)
class ViewDelta:
    """Changes after an earlier view, up to and including ``view``.

    If ``complete`` is set, it holds the whole state: servers that it doesn't
    list are gone.
    """

    view: int
    complete: bool = False
    servers: tuple[BackendServer, ...] = ()
    loads: dict[str, LoadReport] = field(default_factory=dict)
    removed: tuple[str, ...] = ()

    def is_empty(self) -> bool:
        """Return whether the delta holds no change."""
        return not (self.complete or self.servers or self.loads or self.removed)
