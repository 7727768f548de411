import unittest

import msgspec

from carobspring.control.commands import Command, CommandResult
from carobspring.control.machine import ControlMachine
from carobspring.control.routing import RoutingChange, RoutingResult
from carobspring.protocol import RoutingConfiguration


def apply(machine, version, body=b"x"):
    content = RoutingConfiguration(version=version, body=body)
    command = Command(routing=RoutingChange(content=content, at_ms=5))
    result = machine.apply(1, msgspec.msgpack.encode(command))
    return msgspec.msgpack.decode(result, type=CommandResult).routing


class RoutingStoreTests(unittest.TestCase):
    def setUp(self):
        self.machine = ControlMachine()

    def test_highest_version_is_kept(self):
        """A version that isn't higher changes nothing and is not an error."""
        cases = [(3, True, 3), (3, False, 3), (2, False, 3), (9, True, 9)]
        for version, taken, current in cases:
            with self.subTest(version=version):
                result = apply(self.machine, version)
                self.assertEqual(result, RoutingResult(taken=taken, version=current))

    def test_content_is_fixed(self):
        """Different content under the current version is never stored."""
        apply(self.machine, 3, b"first")
        apply(self.machine, 3, b"second")
        self.assertEqual(self.machine.routing.content.body, b"first")

    def test_snapshot(self):
        """A snapshot contains the routes; a reset clears them."""
        apply(self.machine, 3, b"first")
        other = ControlMachine()
        other.restore(self.machine.take_snapshot())
        self.assertEqual(other.routing.content, self.machine.routing.content)
        other.reset()
        self.assertEqual(other.routing.content, RoutingConfiguration())

    def test_audit(self):
        """Each stored version is in the audit trail, newest first."""
        for version in (3, 3, 5):
            apply(self.machine, version)
        subjects = [
            (subject.subject, subject.before, subject.after)
            for entry in self.machine.settings.list_audit()
            for subject in entry.subjects
        ]
        self.assertEqual(
            subjects,
            [
                ("routes", "version 3", "version 5"),
                ("routes", "version 0", "version 3"),
            ],
        )
