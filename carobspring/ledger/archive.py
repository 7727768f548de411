"""Calls that ran long enough ago to be known by a digest alone."""

import hashlib
import struct
from itertools import takewhile

#: Calls in the archive at once; each takes some 200 bytes of memory.
MAX_ARCHIVED = 100_000
DIGEST_BYTES = 16
ENTRY = struct.Struct(f"<{DIGEST_BYTES}sQ")


class CallArchive:
    """Digests of calls that ran, oldest first, without their answers.

    A ledger that is full moves its oldest answered calls here, so that a late
    resend is still known and never runs again, though its answer is gone.
    """

    def __init__(self) -> None:
        self._changed_ms: dict[bytes, int] = {}

    def __len__(self) -> int:
        return len(self._changed_ms)

    @property
    def is_full(self) -> bool:
        """Whether nothing more can be added."""
        return len(self._changed_ms) >= MAX_ARCHIVED

    def add(self, name: tuple[str, str, str], changed_ms: int) -> None:
        """Keep a call that ran, by workspace, service and key."""
        self._changed_ms[_hash_name(name)] = changed_ms

    def find_changed_ms(self, name: tuple[str, str, str]) -> int | None:
        """Return when a call ran, in wall-clock ms, if it is kept."""
        return self._changed_ms.get(_hash_name(name))

    def has_older(self, than_ms: int) -> bool:
        """Say whether the oldest call changed at this time or before."""
        oldest = next(iter(self._changed_ms.values()), None)
        return oldest is not None and oldest <= than_ms

    def forget_older(self, than_ms: int) -> int:
        """Forget the oldest calls up to this time; return how many."""
        if not self.has_older(than_ms):
            return 0
        items = self._changed_ms.items()
        old = [digest for digest, _ in takewhile(lambda i: i[1] <= than_ms, items)]
        for digest in old:
            del self._changed_ms[digest]
        # A copy leaves out the gap, so that the oldest is found at once.
        self._changed_ms = dict(self._changed_ms)
        return len(old)

    def encode(self) -> bytes:
        """Return the whole archive."""
        return b"".join(ENTRY.pack(*item) for item in self._changed_ms.items())

    def restore(self, data: bytes) -> None:
        """Take over an encoded archive."""
        self._changed_ms = dict(ENTRY.iter_unpack(data))


def _hash_name(name: tuple[str, str, str]) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in name:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()
