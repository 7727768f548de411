import unittest

from carobspring.domain import InvalidValueError
from carobspring.entry.authentication import is_key_of
from carobspring.settings import (
    KeyAddition,
    find_fingerprint,
    generate_key,
    hash_key,
    matches_key,
)


class KeyTests(unittest.TestCase):
    def test_generated_key(self):
        """A generated key names its owner and matches only its own hash."""
        key, other = generate_key("acme"), generate_key("acme")
        self.assertTrue(key.startswith("acme."))
        stored = hash_key(key)
        self.assertIs(matches_key(key, stored), True)
        self.assertIs(matches_key(other, stored), False)
        self.assertNotIn(key.partition(".")[2], stored)
        self.assertNotEqual(stored, hash_key(key))

    def test_entries_read_the_same_form(self):
        """The entry's check takes the stored form that is made here."""
        self.assertIs(is_key_of(hash_key("k" * 16), b"k" * 16), True)

    def test_fingerprint(self):
        """The fingerprint is the start of the salted digest."""
        self.assertEqual(find_fingerprint("00" * 8 + ":abcdef0123"), "abcdef01")

    def test_refusals(self):
        """A short key, and a key given in clear, are refused unseen."""
        with self.assertRaisesRegex(InvalidValueError, r"key: .*16 characters"):
            hash_key("short")
        with self.assertRaises(InvalidValueError) as caught:
            KeyAddition(workspace="acme", key_hash="my-secret-key")
        self.assertNotIn("my-secret-key", str(caught.exception))
