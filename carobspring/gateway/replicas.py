"""Which control replicas there are, by the word of those that know."""

from carobspring.protocol import ViewUpdate


class KnownReplicas:
    """The names of all control replicas, as the followed ones tell them.

    A replica that was replaced while it was away goes on with the list of
    before. It never confirms what it tells, so its list counts only while
    there is no other.

    Example:
        ``if known.take(name, update): follow(known.names)``
    """

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()
        #: The last list of each followed replica; it is sent when it changes.
        self._told: dict[str, tuple[str, ...]] = {}

    def apply_update(self, replica: str, update: ViewUpdate) -> bool:
        """Take a replica's update, and say whether the names changed."""
        if update.replicas:
            self._told[replica] = update.replicas
        told = self._told.get(replica, ())
        if not told or told == self.names:
            return False
        if self.names and not update.confirmed:
            return False
        self.names = told
        return True

    def forget(self, replica: str) -> None:
        """Drop the list of a replica that is followed no more."""
        self._told.pop(replica, None)
