"""The state that all commands share, and output of changes."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime

from carobspring.control.reports import ChangeReport
from carobspring.domain import Settings
from carobspring.operator.client import AdminClient
from carobspring.operator.editing import SettingsEditor
from carobspring.operator.waiting import wait_until_in_force
from carobspring.settings import Change, SubjectChange

EXIT_USAGE = 2


@dataclass(frozen=True, kw_only=True)
class Session:
    """The values of the common flags, with a client and an editor."""

    client: AdminClient
    editor: SettingsEditor
    wait: bool
    wait_timeout_s: float

    def change(self, plan: Callable[[Settings], tuple[Change, ...]]) -> None:
        """Send a change, print its result and wait for it if requested."""
        self.show(self.editor.send(plan))

    def show(self, report: ChangeReport | None) -> None:
        """Print the result of a change and wait for it if requested."""
        if report is None:
            print("nothing differs; nothing was changed")
            return
        print(format_subjects(report.subjects))
        if report.dry_run:
            print(f"dry run on revision {report.revision}: nothing was changed")
            return
        print(f"accepted as revision {report.revision} (change {report.change_id})")
        if self.wait:
            wait_until_in_force(
                self.client,
                revision=report.revision,
                timeout_s=self.wait_timeout_s,
                show=lambda line: print(line, flush=True),
            )


def format_subjects(subjects: tuple[SubjectChange, ...]) -> str:
    """Return changed objects in the form of a diff."""
    lines = []
    for change in subjects:
        lines.append(f"{change.subject}:")
        lines.append(f"  - {change.before or '(none)'}")
        lines.append(f"  + {change.after or '(none)'}")
    return "\n".join(lines) or "nothing differs"


def format_time(at_ms: int) -> str:
    """Return a time in milliseconds since 1970 as text in UTC."""
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def parse_number(field: str, text: str) -> int:
    """Parse an integer; exit with a usage error if it is invalid."""
    try:
        return int(text)
    except ValueError:
        flag = field.replace("_", "-")
        print(f"carobctl: --{flag}: got {text!r}, expected a number", file=sys.stderr)
        sys.exit(EXIT_USAGE)
