import unittest

from standins.deployment import format_flags


class FormatFlagsTests(unittest.TestCase):
    def test_values(self):
        """Zero is a value; None, False and empty strings omit a flag."""
        flags = {"http_port": 0, "fast": True, "slow": False, "zone": "", "id": None}
        self.assertEqual(format_flags(flags), ["--http-port=0", "--fast=true"])
