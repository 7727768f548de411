import tempfile
import unittest
from pathlib import Path

from tests.known_red import read_known_red


class ReadKnownRedTests(unittest.TestCase):
    def test_entries_by_test_id(self):
        """Comments and blank lines are passed over, entries kept whole."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "list"
            path.write_text("# note\n\na.b.c | nose2, seed 1 | lost | 4\n")
            entries = read_known_red(path)
        self.assertEqual(entries, {"a.b.c": "nose2, seed 1 | lost | 4"})
