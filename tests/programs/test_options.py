import unittest
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from carobspring.programs.options import OptionError, load_options


@dataclass(frozen=True, kw_only=True)
class ExampleOptions:
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: str = "a"
    secret: Annotated[str, Meta(min_length=8)] = "not given"
    fast: bool = False


class LoadOptionsTests(unittest.TestCase):
    def test_precedence(self):
        """A flag overrides a variable, and a variable the default."""
        cases = {
            "flag": ({"port": 5}, {"CAROB_PORT": "6"}, ExampleOptions(port=5)),
            "variable": ({}, {"CAROB_PORT": "6"}, ExampleOptions(port=6)),
            "bare flag": (
                {"port": 5, "fast": True},
                {},
                ExampleOptions(port=5, fast=True),
            ),
            "digits for text": (
                {"port": 5, "zone": 7},
                {},
                ExampleOptions(port=5, zone="7"),
            ),
        }
        for name, (flags, environ, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(load_options(ExampleOptions, flags, environ), expected)

    def test_errors_name_the_flag_or_variable(self):
        """Each error names the flag or variable and the reason."""
        cases = {
            "missing": ({}, {}, "--port: is needed .*CAROB_PORT"),
            "range": ({"port": 70000}, {}, "--port: got 70000: .*<= 65535"),
            "type": ({}, {"CAROB_PORT": "x"}, "CAROB_PORT: got 'x'"),
            "secret": (
                {"port": 1, "secret": "short"},
                {},
                r"--secret: got \(hidden\): .*length >= 8",
            ),
            "unknown": ({"prt": 1}, {}, "--prt: no such flag; there are --port"),
        }
        for name, (flags, environ, message) in cases.items():
            with self.subTest(name):
                with self.assertRaisesRegex(OptionError, message):
                    load_options(ExampleOptions, flags, environ)
