"""Values that other writers may send, for the tests of decoders."""

import json

from hypothesis import strategies

#: Numbers at and beyond the bounds of common encodings.
NUMBERS = strategies.sampled_from(
    (0, -1, 1, 2**31, 2**53, 2**63, 2**64, 10**300, 10**400, 1.5, -0.0, 1e999)
)
TEXTS = strategies.sampled_from(
    ("", "a", "v1", "10.0.0.1:80", "[::1]:80", "[::1:80", "::1:80", "x" * 300)
    + ("10.0.0.1:99999", "10.0.0.1:" + "9" * 5000, "\x00", "\u00b2", "a/b", "..")
)
VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | NUMBERS | TEXTS,
    lambda each: strategies.lists(each, max_size=2)
    | strategies.dictionaries(TEXTS, each, max_size=2),
    max_leaves=4,
)
#: JSON that is nested too deeply for any reader.
DEEP_TEXTS = (b"[" * 100_000, b'{"x":' * 100_000, b'{"models":' + b"[" * 100_000)


def build_variants(document):
    """Return bodies like a document, with other values in some fields."""
    changes = strategies.dictionaries(
        strategies.sampled_from((*document, "unknown")), VALUES, max_size=3
    )
    return changes.map(lambda each: json.dumps({**document, **each}).encode())
