"""The list of control replicas, as reported by the replicas."""

from carobspring.protocol import ViewUpdate


class KnownReplicas:
    """The names of all control replicas, as the followed replicas report them.

    A replica that was removed from the cluster while it was unreachable keeps
    reporting an outdated list. It can't confirm its updates with the quorum,
    so an unconfirmed list is used only while no other is known.

    Example:
        ``if known.apply_update(name, update): follow(known.names)``
    """

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()
        #: The last list of each followed replica, which sends it only when it
        #: changes.
        self._reported: dict[str, tuple[str, ...]] = {}

    def apply_update(self, replica: str, update: ViewUpdate) -> bool:
        """Apply a replica's update, and return whether the names changed."""
        if update.replicas:
            self._reported[replica] = update.replicas
        names = self._reported.get(replica, ())
        if not names or names == self.names:
            return False
        if self.names and not update.confirmed:
            return False
        self.names = names
        return True

    def remove_replica(self, replica: str) -> None:
        """Drop the list of a replica that is no longer followed."""
        self._reported.pop(replica, None)
