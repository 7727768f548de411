"""The log in memory."""

import msgspec

from carobspring.consensus.entries import Configuration, Entry, EntryKind, Snapshot

_configuration_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the data of a configuration entry."""
    return msgspec.msgpack.encode(configuration)


class Log:
    """Log entries by index, on top of a snapshot.

    The log also tracks which entries are not synced yet, and the configuration
    in force: the last one in the log, whether committed or not.
    """

    def __init__(self, *, snapshot: Snapshot, entries: tuple[Entry, ...] = ()) -> None:
        self.snapshot = snapshot
        #: The entries from ``first_index`` on.
        self._entries = list(entries)
        #: Index and term of the entry before the first one held.
        self._base = (snapshot.index, snapshot.term)
        self._configurations = [(snapshot.index, snapshot.configuration)]
        for entry in entries:
            self._track_configuration(entry)
        #: The last index that is synced to disk.
        self.synced_index = self.last_index
        #: The first index that the next sync has to persist.
        self.unsynced_index = self.last_index + 1

    @property
    def first_index(self) -> int:
        """The index of the first entry held in memory."""
        return self._base[0] + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._base[0] + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._base[1]

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the configuration in force."""
        return self._configurations[-1][0]

    def find_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not held."""
        if index == self._base[0]:
            return self._base[1]
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def get_range(
        self, start: int, end: int, max_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Return the entries from start to end, both included.

        With max_bytes, the result ends before the entry that exceeds it, but
        has at least one entry.
        """
        position = start - self.first_index
        found = self._entries[position : end - self.first_index + 1]
        if max_bytes is None:
            return tuple(found)
        size = 0
        for count, entry in enumerate(found):
            size += len(entry.data)
            if size > max_bytes and count:
                return tuple(found[:count])
        return tuple(found)

    def append(self, entry: Entry) -> None:
        """Append an entry after truncating the log from its index on."""
        if entry.index <= self.last_index:
            self._truncate_after(entry.index - 1)
        self._entries.append(entry)
        self._track_configuration(entry)

    def take_unsynced(self) -> tuple[Entry, ...]:
        """Return the entries to persist next and mark them as taken."""
        entries = self.get_range(self.unsynced_index, self.last_index)
        self.unsynced_index = self.last_index + 1
        return entries

    def mark_synced(self) -> None:
        """Mark all entries that were taken as synced to disk."""
        self.synced_index = self.unsynced_index - 1

    def find_configuration(self, index: int) -> Configuration:
        """Return the configuration that was in force at an index."""
        found = self._configurations[0][1]
        for position, configuration in self._configurations:
            if position <= index:
                found = configuration
        return found

    def compact(self, snapshot: Snapshot, *, keep: int) -> None:
        """Drop entries that a snapshot covers, except for the last ones."""
        self.snapshot = snapshot
        base = snapshot.index - keep
        term = self.find_term(base)
        if term is not None and base > self._base[0]:
            configuration = self.find_configuration(base)
            del self._entries[: base - self._base[0]]
            self._base = (base, term)
            later = [pair for pair in self._configurations if pair[0] > base]
            self._configurations = [(base, configuration), *later]

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self._entries = []
        self._base = (snapshot.index, snapshot.term)
        self._configurations = [(snapshot.index, snapshot.configuration)]
        self.synced_index = snapshot.index
        self.unsynced_index = snapshot.index + 1

    def _truncate_after(self, index: int) -> None:
        del self._entries[index - self._base[0] :]
        while self._configurations[-1][0] > index:
            self._configurations.pop()
        self.unsynced_index = min(self.unsynced_index, index + 1)
        self.synced_index = min(self.synced_index, index)

    def _track_configuration(self, entry: Entry) -> None:
        if entry.kind is EntryKind.CONFIGURATION:
            self._configurations.append(
                (entry.index, _configuration_decoder.decode(entry.data))
            )
