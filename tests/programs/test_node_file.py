import unittest

from carobspring.platform import NodeFileError
from carobspring.programs.node_file import NodeFileWatcher

LOGGER = "carobspring.programs.node_file"


class NodeFileWatcherTests(unittest.TestCase):
    def setUp(self):
        self.content = "first"
        self.applied = []
        self.watcher = NodeFileWatcher(read=self.read, apply=self.applied.append)
        self.watcher.check()

    def read(self):
        if isinstance(self.content, Exception):
            raise self.content
        return self.content

    def test_changes(self):
        """A change is applied once, with or without a signal."""
        self.watcher.check()
        self.content = "second"
        self.watcher.check(log_unchanged=True)
        self.watcher.check()
        self.assertEqual(self.applied, ["first", "second"])

    def test_reload_without_a_change(self):
        """A reload that finds no change is logged."""
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.watcher.check(log_unchanged=True)
        self.assertIn("unchanged", logs.output[0])
        self.assertEqual(self.applied, ["first"])

    def test_unreadable_file(self):
        """An unreadable file changes nothing and is logged once."""
        self.content = NodeFileError(path="p", reason="cut short")
        with self.assertLogs(LOGGER, "WARNING") as logs:
            self.watcher.check()
            self.watcher.check()
        self.assertEqual(len(logs.output), 1)
        self.content = "second"
        self.watcher.check()
        self.assertEqual(self.applied, ["first", "second"])
