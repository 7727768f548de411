"""Routing configurations in the replicated log; the highest version wins."""

from dataclasses import dataclass

from carobspring.protocol import RoutingConfiguration


@dataclass(frozen=True, kw_only=True)
class RoutingChange:
    """A validated configuration to be committed."""

    content: RoutingConfiguration
    at_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class RoutingResult:
    """The result of a routing change.

    ``taken`` is false when the stored version is the same or higher. This is
    not an error, since an operator whose response was lost sends the
    configuration again. ``version`` is the version stored afterwards.
    """

    taken: bool
    version: int


class RoutingStore:
    """Holds the configuration with the highest version.

    The content of a version never changes: the first content committed under
    it stays, even when another operator sends different content.
    """

    def __init__(self) -> None:
        self.content = RoutingConfiguration()

    def apply(self, change: RoutingChange) -> RoutingResult:
        """Store a configuration if its version is higher."""
        taken = change.content.version > self.content.version
        if taken:
            self.content = change.content
        return RoutingResult(taken=taken, version=self.content.version)

    def restore(self, content: RoutingConfiguration) -> None:
        """Replace the configuration by that of a snapshot."""
        self.content = content
