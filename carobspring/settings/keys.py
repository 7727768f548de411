"""Generation and salted hashing of workspace keys and operator tokens.

Keys are long random strings, so a fast hash is secure; verifying a key takes
the entry about a microsecond per call. The stored form is ``salt:digest``,
both in hexadecimal. The first digits of the digest are the fingerprint, by
which operators refer to a key.
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
    """Return a new key of 192 random bits, with its owner as a prefix.

    The name of the workspace in a key lets an entry look up the hash instead
    of trying the hashes of all workspaces.
    """
    secret = secrets.token_urlsafe(24)
    return f"{owner}.{secret}"


def hash_key(key: str, salt: str | None = None) -> str:
    """Return the stored form of a key; the default is a random salt.

    Raises:
        InvalidValueError: The key is too short to be secure with a fast hash.
    """
    if len(key) < MIN_KEY_LENGTH:
        expected = f"at least {MIN_KEY_LENGTH} characters, or `new` to get one made"
        raise InvalidValueError(field="key", value="(hidden)", expected=expected)
    if salt is None:
        salt = secrets.token_hex(8)
    digest = _compute_digest(key, salt)
    return f"{salt}:{digest}"


def matches_key(key: str, key_hash: str) -> bool:
    """Return whether a key matches a stored form, in constant time."""
    salt, _, digest = key_hash.partition(":")
    return hmac.compare_digest(_compute_digest(key, salt), digest)


def get_fingerprint(key_hash: str) -> str:
    """Return the fingerprint of a key from its stored form."""
    return key_hash.partition(":")[2][:FINGERPRINT_LENGTH]


def _compute_digest(key: str, salt: str) -> str:
    encoded = key.encode("utf-8", "surrogateescape")
    salt_bytes = bytes.fromhex(salt)
    return hashlib.blake2b(encoded, salt=salt_bytes, digest_size=32).hexdigest()
