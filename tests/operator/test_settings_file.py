import tempfile
import unittest
from pathlib import Path

from carobspring.domain import (
    InvalidValueError,
    LatencyTarget,
    Service,
    ServiceClass,
    ServiceKind,
    Settings,
    UnrepeatableRoute,
    Workspace,
)
from carobspring.operator.settings_file import plan_changes, read_settings_file
from carobspring.settings import Change, WorkspaceSpec

CHAT = ServiceClass(name="chat", priority=90, target=LatencyTarget(first_token_ms=420))
OLD = ServiceClass(name="old", priority=1, target=LatencyTarget())
BOOKING = Service(
    name="booking",
    kind=ServiceKind.PLAIN,
    unrepeatable=(
        UnrepeatableRoute(method="POST", path="/bookings"),
        UnrepeatableRoute(method="PUT", path="/records"),
    ),
)
FILE = """
[classes.chat]
priority = 90
first_token_ms = 420
[workspaces.acme]
default_class = "chat"
[services.booking]
kind = "plain"
unrepeatable = ["POST /bookings", "PUT /records"]
"""


class SettingsFileTests(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def read(self, content: str, name: str = "settings.toml"):
        path = self.directory / name
        path.write_text(content)
        return read_settings_file(path)

    def test_planned_changes(self):
        """Only differences are planned; missing sections are unchanged."""
        acme = WorkspaceSpec(name="acme", default_class="chat")
        acme_with_key = Workspace(name="acme", default_class="chat", key_hashes=("x",))
        complete = Settings(
            classes={"chat": CHAT},
            workspaces={"acme": acme_with_key},
            services={"booking": BOOKING},
        )
        cases = {
            "empty settings": (
                FILE,
                Settings(),
                (
                    Change(set_class=CHAT),
                    Change(set_workspace=acme),
                    Change(set_service=BOOKING),
                ),
            ),
            "no difference": (FILE, complete, ()),
            "empty file": ("", complete, ()),
            "one section": (
                "[classes.chat]\npriority = 90\nfirst_token_ms = 420",
                Settings(classes={"old": OLD}, workspaces={"acme": acme_with_key}),
                (Change(set_class=CHAT), Change(remove_class="old")),
            ),
            "empty sections": (
                "[classes]\n[workspaces]\n[services]",
                complete,
                (
                    Change(remove_class="chat"),
                    Change(remove_workspace="acme"),
                    Change(remove_service="booking"),
                ),
            ),
        }
        for name, (content, settings, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(plan_changes(settings, self.read(content)), expected)

    def test_json(self):
        """A file named .json is read as JSON."""
        content = '{"base_revision": 3, "classes": {"chat": {"priority": 9}}}'
        file = self.read(content, "settings.json")
        self.assertEqual(file.base_revision, 3)
        self.assertEqual(file.classes["chat"].priority, 9)

    def test_invalid_files(self):
        """Each error contains the file name and the reason."""
        cases = {
            "unknown field": ("[classes.chat]\nprio = 9", "unknown field `prio`"),
            "unknown section": ("[class.chat]\npriority = 9", "unknown field `class`"),
            "wrong type": ('[classes.chat]\npriority = "9"', "Expected `int`"),
            "missing kind": ("[services.x]", "missing required field `kind`"),
            "invalid kind": ('[services.x]\nkind = "y"', "Invalid enum value 'y'"),
            "invalid syntax": ("[classes", "settings.toml.*Expected ']'"),
        }
        for name, (content, message) in cases.items():
            with self.subTest(name):
                with self.assertRaisesRegex(InvalidValueError, message):
                    self.read(content)
        with self.assertRaisesRegex(InvalidValueError, "none.toml.*No such file"):
            read_settings_file(self.directory / "none.toml")
