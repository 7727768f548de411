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
        """A generated key names its owner and matches only its own hash."""
        key, other = generate_key("acme"), generate_key("acme")
        self.assertTrue(key.startswith("acme."))
        stored = hash_key(key)
        self.assertIs(matches_key(key, stored), True)
        self.assertIs(matches_key(other, stored), False)
        self.assertNotIn(key.partition(".")[2], stored)
        self.assertNotEqual(stored, hash_key(key))

    def test_entries_read_the_same_form(self):
        """The entry finds a workspace by the stored form made here."""
        key = generate_key("acme")
        acme = Workspace(name="acme", default_class="chat", key_hashes=(hash_key(key),))
        directory = KeyDirectory(Settings(workspaces={"acme": acme}))
        self.assertEqual(directory.find_workspace(f"Bearer {key}"), acme)

    def test_fingerprint(self):
        """The fingerprint is the start of the salted digest."""
        self.assertEqual(get_fingerprint("00" * 8 + ":abcdef0123"), "abcdef01")

    def test_refusals(self):
        """A short key, and a key given in clear, are refused unseen."""
        with self.assertRaisesRegex(InvalidValueError, r"key: .*16 characters"):
            hash_key("short")
        with self.assertRaises(InvalidValueError) as caught:
            KeyAddition(workspace="acme", key_hash="my-secret-key")
        self.assertNotIn("my-secret-key", str(caught.exception))
