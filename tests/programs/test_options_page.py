import dataclasses
import unittest
from pathlib import Path

from carobspring.programs.options_page import (
    PROGRAMS,
    parse_field_descriptions,
    render_page,
)

PAGE = Path(__file__).resolve().parent.parent.parent / "docs" / "OPTIONS.md"


class OptionsPageTests(unittest.TestCase):
    def test_page_is_current(self):
        """docs/OPTIONS.md equals the page generated from the options."""
        self.assertEqual(PAGE.read_text(), render_page())

    def test_every_option_is_described(self):
        """The doc comment of each options class describes all its fields."""
        for name, options_type in PROGRAMS.items():
            with self.subTest(name):
                fields = {field.name for field in dataclasses.fields(options_type)}
                self.assertEqual(set(parse_field_descriptions(options_type)), fields)
