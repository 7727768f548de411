import unittest

from carobspring.operator.command_line import parse_common_flags, quote_argument


class CommandLineTests(unittest.TestCase):
    def test_values_stay_text(self):
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
        for argument, expected in cases.items():
            with self.subTest(argument):
                self.assertEqual(quote_argument(argument), expected)

    def test_common_flags(self):
        """Common flags are parsed at any position."""
        arguments = ["class", "--wait", "set", "chat", "--priority=9", "--dry-run"]
        session, command_arguments = parse_common_flags(arguments, {})
        self.assertIs(session.wait, True)
        self.assertEqual(command_arguments, ["class", "set", "chat", "--priority='9'"])
