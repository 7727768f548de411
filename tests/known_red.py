"""A nose2 plugin that reports the tests named in KNOWN-RED.txt apart.

A failure of a listed test is printed and does not fail the run. A listed
test that passes fails the run, so that the list can't go stale unseen.
"""

from pathlib import Path
from typing import Any

from nose2 import events, result

LIST_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_known_red(path: Path) -> dict[str, str]:
    """Return each listed test id with the rest of its entry."""
    entries: dict[str, str] = {}
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test_id, _, rest = line.partition("|")
        entries[test_id.strip()] = rest.strip()
    return entries


class KnownRed(events.Plugin):
    """Passes over failures of just the tests that KNOWN-RED.txt names."""

    configSection = "known-red"

    def __init__(self) -> None:
        self.entries = read_known_red(LIST_PATH)
        self.seen: dict[str, str] = {}

    def setTestOutcome(self, event: Any) -> None:
        """Mark a listed failure as expected and a listed pass as failure."""
        entry = self.entries.get(event.test.id())
        if entry is None:
            return
        if event.outcome in (result.FAIL, result.ERROR):
            event.outcome = result.FAIL
            event.expected = True
            self.seen[event.test.id()] = entry
        elif event.outcome == result.PASS:
            event.expected = False

    def afterSummaryReport(self, event: Any) -> None:
        """Print the listed tests that failed in this run."""
        for test_id, entry in self.seen.items():
            event.stream.writeln(f"KNOWN RED: {test_id} | {entry}")
