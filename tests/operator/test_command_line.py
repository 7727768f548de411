import unittest

from carobspring.operator.command_line import parse_common_flags, quote_argument


class CommandLineTests(unittest.TestCase):
    def test_words_stay_text(self):
        """Names and keys that look like numbers reach commands as text."""
        cases = {
            "chat": "chat",
            "class": "class",
            "1_000": "'1_000'",
            "--key=1e5": "--key='1e5'",
            "--key=True": "--key='True'",
            "--priority=90": "--priority='90'",
            "--json": "--json",
            "--help": "--help",
        }
        for word, expected in cases.items():
            with self.subTest(word):
                self.assertEqual(quote_argument(word), expected)

    def test_common_flags(self):
        """Flags of every command are taken from wherever they stand."""
        words = ["class", "--wait", "set", "chat", "--priority=9", "--dry-run"]
        session, rest = parse_common_flags(words, {})
        self.assertIs(session.wait, True)
        self.assertEqual(rest, ["class", "set", "chat", "--priority='9'"])
