"""The operator's routes in the replicated log: the highest version stands."""

from dataclasses import dataclass

from carobspring.protocol import RoutingConfiguration


@dataclass(frozen=True, kw_only=True)
class RoutingChange:
    """A configuration that was checked, on its way through the log."""

    content: RoutingConfiguration
    at_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class RoutingResult:
    """What became of a configuration.

    ``taken`` is false when a version as high or higher stood already; that
    changes nothing and is no error, since an operator sends again what lost
    its answer.
    """

    taken: bool
    version: int


class RoutingStore:
    """Holds the configuration with the highest version, for good.

    The content under a version never changes: the first one committed under
    it stays, also when another operator sends a different one.
    """

    def __init__(self) -> None:
        self.content = RoutingConfiguration()

    def apply(self, change: RoutingChange) -> RoutingResult:
        """Take a configuration over if its version is higher."""
        taken = change.content.version > self.content.version
        if taken:
            self.content = change.content
        return RoutingResult(taken=taken, version=self.content.version)

    def restore(self, content: RoutingConfiguration) -> None:
        """Take over the content of a snapshot."""
        self.content = content
