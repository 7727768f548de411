import unittest

from carobspring.domain import InvalidValueError, Settings, Workspace
from carobspring.entry.authentication import KeyDirectory
from carobspring.settings import (
    KeyAddition,
    generate_key,
    get_fingerprint,
    hash_key,
    matches_key,
)


class KeyTests(unittest.TestCase):
    def test_generated_key(self):
        """A generated key starts with its owner and matches only its hash."""
        key, other = generate_key("acme"), generate_key("acme")
        self.assertTrue(key.startswith("acme."))
        stored = hash_key(key)
        self.assertIs(matches_key(key, stored), True)
        self.assertIs(matches_key(other, stored), False)
        self.assertNotIn(key.partition(".")[2], stored)
        self.assertNotEqual(stored, hash_key(key))

    def test_entry_reads_the_stored_form(self):
        """The entry authenticates a key by the hash that is stored here."""
        key = generate_key("acme")
        acme = Workspace(name="acme", default_class="chat", key_hashes=(hash_key(key),))
        directory = KeyDirectory(Settings(workspaces={"acme": acme}))
        self.assertEqual(directory.find_workspace(f"Bearer {key}"), acme)

    def test_fingerprint(self):
        """The fingerprint is the start of the salted digest."""
        self.assertEqual(get_fingerprint("00" * 8 + ":abcdef0123"), "abcdef01")

    def test_rejected_keys(self):
        """A short key and a plain text key are rejected but not shown."""
        with self.assertRaisesRegex(InvalidValueError, r"key: .*16 characters"):
            hash_key("short")
        with self.assertRaises(InvalidValueError) as caught:
            KeyAddition(workspace="acme", key_hash="my-secret-key")
        self.assertNotIn("my-secret-key", str(caught.exception))
