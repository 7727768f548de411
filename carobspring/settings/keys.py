"""Workspace keys and operator tokens as salted hashes.

Keys are long random texts, so a fast hash is safe, and one call costs the
entry two short hashes. The stored form is ``fingerprint$salt$digest``. The
fingerprint, 32 bits, finds the candidates without trying every workspace.
"""

import hashlib
import hmac
import secrets
from collections import defaultdict

from carobspring.domain import Settings, Workspace
from carobspring.domain.errors import InvalidValueError

KEY_PREFIX = "ck_"
MIN_KEY_LENGTH = 16


def generate_key() -> str:
    """Return a new random key of 192 bits."""
    return KEY_PREFIX + secrets.token_urlsafe(24)


def fingerprint_key(key: str) -> str:
    """Return the short name of a key, which does not give it away."""
    return hashlib.blake2b(key.encode(), digest_size=4, person=b"carob-key").hexdigest()


def hash_key(key: str, salt: str | None = None) -> str:
    """Return the stored form of a key, with a new salt unless one is given.

    Raises:
        InvalidValueError: The key is too short to be safe under a fast hash.
    """
    if len(key) < MIN_KEY_LENGTH:
        expected = f"at least {MIN_KEY_LENGTH} characters; leave it out to get one made"
        raise InvalidValueError(field="key", value="(hidden)", expected=expected)
    if salt is None:
        salt = secrets.token_hex(8)
    return f"{fingerprint_key(key)}${salt}${_digest(key, salt)}"


def matches_key(key: str, key_hash: str) -> bool:
    """Say, in constant time, whether a stored form is of this key."""
    _, salt, digest = key_hash.split("$")
    return hmac.compare_digest(_digest(key, salt), digest)


class KeyIndex:
    """Finds the workspace of a key; built anew for each revision."""

    def __init__(self, settings: Settings) -> None:
        self._candidates: dict[str, list[tuple[str, Workspace]]] = defaultdict(list)
        for workspace in settings.workspaces.values():
            for key_hash in workspace.key_hashes:
                fingerprint = key_hash.split("$")[0]
                self._candidates[fingerprint].append((key_hash, workspace))

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that the key is of, or None."""
        for key_hash, workspace in self._candidates.get(fingerprint_key(key), ()):
            if matches_key(key, key_hash):
                return workspace
        return None


def _digest(key: str, salt: str) -> str:
    return hashlib.blake2b(
        key.encode(), digest_size=16, salt=bytes.fromhex(salt)
    ).hexdigest()
