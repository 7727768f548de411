"""Revisioned views of the table, and the deltas between them."""

from dataclasses import dataclass, field

from carobspring.domain import BackendServer, LoadReport


@dataclass(frozen=True, kw_only=True)
class ViewDelta:
    """What changed after a view, up to ``view``.

    When ``complete``, it is everything, and what it doesn't name is gone.
    """

    view: int
    complete: bool = False
    servers: tuple[BackendServer, ...] = ()
    loads: dict[str, LoadReport] = field(default_factory=dict)
    removed: tuple[str, ...] = ()

    def is_empty(self) -> bool:
        """Say whether there is nothing to tell."""
        return not (self.complete or self.servers or self.loads or self.removed)
