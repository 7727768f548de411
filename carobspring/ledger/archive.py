"""Archive of completed unique calls, of which only a digest is kept."""

import hashlib
import struct

#: Largest number of archived calls; each takes about 200 bytes of memory.
MAX_ARCHIVED_CALLS = 100_000
DIGEST_BYTES = 16
ENTRY_STRUCT = struct.Struct(f"<{DIGEST_BYTES}sQ")


class CallArchive:
    """Digests of calls that ran, by order of claim, without their responses.

    A full ledger moves its oldest completed calls here, so that a late resend
    is still recognised and never runs again, although its response is lost.
    """

    def __init__(self) -> None:
        self._changed_ms: dict[bytes, int] = {}

    def __len__(self) -> int:
        return len(self._changed_ms)

    @property
    def is_full(self) -> bool:
        """Whether the archive holds as many calls as it may."""
        return len(self._changed_ms) >= MAX_ARCHIVED_CALLS

    def add(self, key: tuple[str, str, str], changed_ms: int) -> None:
        """Add a call that ran, by workspace, service and idempotency key."""
        self._changed_ms[_hash_call_key(key)] = changed_ms

    def find_changed_ms(self, key: tuple[str, str, str]) -> int | None:
        """Return the wall-clock time of a call's last change, if archived.

        The time is in milliseconds.
        """
        return self._changed_ms.get(_hash_call_key(key))

    def has_expired(self, cutoff_ms: int) -> bool:
        """Return whether any call changed at or before the cutoff.

        Calls are archived in the order of their claims, and a call that was
        claimed first may have ended last.
        """
        return min(self._changed_ms.values(), default=cutoff_ms + 1) <= cutoff_ms

    def remove_expired(self, cutoff_ms: int) -> int:
        """Remove calls changed at or before the cutoff; return how many."""
        if not self.has_expired(cutoff_ms):
            return 0
        count = len(self._changed_ms)
        self._changed_ms = {
            digest: changed_ms
            for digest, changed_ms in self._changed_ms.items()
            if changed_ms > cutoff_ms
        }
        return count - len(self._changed_ms)

    def encode(self) -> bytes:
        """Return the encoded archive."""
        return b"".join(ENTRY_STRUCT.pack(*item) for item in self._changed_ms.items())

    def restore(self, data: bytes) -> None:
        """Replace the content by an encoded archive."""
        self._changed_ms = dict(ENTRY_STRUCT.iter_unpack(data))


def _hash_call_key(key: tuple[str, str, str]) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in key:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()
