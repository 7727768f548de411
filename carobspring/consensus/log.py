"""The log in memory: entries after the last snapshot."""

import msgspec

from carobspring.consensus.entries import Configuration, Entry, EntryKind, Snapshot

_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the data of a configuration entry."""
    return msgspec.msgpack.encode(configuration)


class Log:
    """Entries by index, on top of a snapshot.

    It also knows which entries are not synced yet and which configuration
    is in force: the last one in the log, committed or not.
    """

    def __init__(self, *, snapshot: Snapshot, entries: tuple[Entry, ...] = ()) -> None:
        self.snapshot = snapshot
        #: Entries from ``first_index`` on.
        self._entries = list(entries)
        #: Index and term of the entry before the first one.
        self._before = (snapshot.index, snapshot.term)
        self._configurations = [(snapshot.index, snapshot.configuration)]
        for entry in entries:
            self._note_configuration(entry)
        #: The last index that is on disk.
        self.synced_index = self.last_index
        #: The first index to be kept with the next sync.
        self.unsynced_index = self.last_index + 1

    @property
    def first_index(self) -> int:
        """The smallest index whose entry is held."""
        return self._before[0] + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._before[0] + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._before[1]

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the configuration in force."""
        return self._configurations[-1][0]

    def find_term(self, index: int) -> int | None:
        """Return the term at an index, or none when it is not held."""
        if index == self._before[0]:
            return self._before[1]
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def get_range(
        self, start: int, end: int, max_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Return entries from start up to and including end, bounded."""
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
        """Add an entry at the end, or in place of a conflicting rest."""
        if entry.index <= self.last_index:
            self._cut_after(entry.index - 1)
        self._entries.append(entry)
        self._note_configuration(entry)

    def take_unsynced(self) -> tuple[Entry, ...]:
        """Return the entries to keep next; a later call won't again."""
        entries = self.get_range(self.unsynced_index, self.last_index)
        self.unsynced_index = self.last_index + 1
        return entries

    def mark_synced(self) -> None:
        """Remember that all that was taken is on disk."""
        self.synced_index = self.unsynced_index - 1

    def find_configuration(self, index: int) -> Configuration:
        """Return the configuration that was in force at an index."""
        found = self._configurations[0][1]
        for position, configuration in self._configurations:
            if position <= index:
                found = configuration
        return found

    def compact(self, snapshot: Snapshot, *, keep: int) -> None:
        """Drop entries that a snapshot covers, but for the last few."""
        self.snapshot = snapshot
        before = snapshot.index - keep
        term = self.find_term(before)
        if term is not None and before > self._before[0]:
            configuration = self.find_configuration(before)
            del self._entries[: before - self._before[0]]
            self._before = (before, term)
            later = [pair for pair in self._configurations if pair[0] > before]
            self._configurations = [(before, configuration), *later]

    def restore(self, snapshot: Snapshot) -> None:
        """Replace everything by a snapshot."""
        self.snapshot = snapshot
        self._entries = []
        self._before = (snapshot.index, snapshot.term)
        self._configurations = [(snapshot.index, snapshot.configuration)]
        self.synced_index = snapshot.index
        self.unsynced_index = snapshot.index + 1

    def _cut_after(self, index: int) -> None:
        del self._entries[index - self._before[0] :]
        while self._configurations[-1][0] > index:
            self._configurations.pop()
        self.unsynced_index = min(self.unsynced_index, index + 1)
        self.synced_index = min(self.synced_index, index)

    def _note_configuration(self, entry: Entry) -> None:
        if entry.kind is EntryKind.CONFIGURATION:
            self._configurations.append((entry.index, _decoder.decode(entry.data)))
