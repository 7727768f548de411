"""Workspace keys and operator tokens as salted hashes.

Keys are long random texts, so a fast hash is safe, and a call costs the entry
a microsecond. The stored form is ``salt:digest``, both in hexadecimal; the
start of the digest is the key's fingerprint, by which people name it.
"""

import hashlib
import hmac
import re
import secrets

from carobspring.domain.errors import InvalidValueError

MIN_KEY_LENGTH = 16
KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{16}:[0-9a-f]{64}")
FINGERPRINT_LENGTH = 8


def generate_key(owner: str = "key") -> str:
    """Return a new random key of 192 bits that names its owner.

    A workspace's name lets an entry find the hash without trying them all.
    """
    secret = secrets.token_urlsafe(24)
    return f"{owner}.{secret}"


def hash_key(key: str, salt: str | None = None) -> str:
    """Return the stored form of a key, with a new salt unless one is given.

    Raises:
        InvalidValueError: The key is too short to be safe under a fast hash.
    """
    if len(key) < MIN_KEY_LENGTH:
        expected = f"at least {MIN_KEY_LENGTH} characters, or `new` to get one made"
        raise InvalidValueError(field="key", value="(hidden)", expected=expected)
    if salt is None:
        salt = secrets.token_hex(8)
    digest = _digest(key, salt)
    return f"{salt}:{digest}"


def matches_key(key: str, key_hash: str) -> bool:
    """Say, in constant time, whether a stored form is of this key."""
    salt, _, digest = key_hash.partition(":")
    return hmac.compare_digest(_digest(key, salt), digest)


def get_fingerprint(key_hash: str) -> str:
    """Return the short name of a key by its stored form."""
    return key_hash.partition(":")[2][:FINGERPRINT_LENGTH]


def _digest(key: str, salt: str) -> str:
    encoded = key.encode("utf-8", "surrogateescape")
    salt_bytes = bytes.fromhex(salt)
    return hashlib.blake2b(encoded, salt=salt_bytes, digest_size=32).hexdigest()
