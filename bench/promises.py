"""Invariants that the soak test checks.

They are checked on what callers, backend servers and the operator observe.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from standins.backend_server import StandInServer

#: Seconds in which an instance applies a new configuration, as the user
#: documentation guarantees.
CONFIGURATION_APPLY_BOUND_S: Final = 2.0
#: Number of events in each complete stream.
STREAM_EVENT_COUNT: Final = 5


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A violated invariant."""

    invariant: str
    detail: str


@dataclass(kw_only=True)
class InvariantChecker:
    """Records observations of the system and the violated invariants."""

    violations: list[Violation] = field(default_factory=list)
    #: Responses by status; 0 counts the requests without a response.
    status_counts: Counter[int] = field(default_factory=Counter)
    #: Identifiers of requests that may run at most once, and of refused ones.
    at_most_once: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    #: Times and versions of confirmed configurations.
    confirmed_versions: list[tuple[float, int]] = field(default_factory=list)

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record a violated invariant and print it immediately."""
        self.violations.append(Violation(invariant=invariant, detail=detail))
        print(f"violated: {invariant}: {detail}", flush=True)

    def check_response(self, name: str, kind: str, status: int, body: bytes) -> None:
        """Check a response that was received completely."""
        self.status_counts[status] += 1
        if status in (408, 421, 429, 503):
            self.refused.add(name)
        if status != 200:
            return
        if kind in ("stream", "model"):
            numbers = [
                int(line[4:]) for line in body.splitlines() if line.startswith(b"id: ")
            ]
            if numbers != list(range(1, STREAM_EVENT_COUNT + 1)):
                self.record_violation("complete ordered streams", f"{name}: {numbers}")
        elif body.split()[-1:] != [name.encode()]:
            self.record_violation("responses match requests", f"{name}: {body!r}")

    def check_version(self, sent_at: float, version: int, replica: str) -> None:
        """Check that a read does not show an outdated version.

        A version is outdated when a newer one was confirmed longer before the
        read than the time in which instances apply it.
        """
        earlier_versions = [
            known_version
            for at, known_version in self.confirmed_versions
            if at + CONFIGURATION_APPLY_BOUND_S < sent_at
        ]
        if earlier_versions and version < max(earlier_versions):
            detail = f"{replica} shows {version} after {max(earlier_versions)}"
            self.record_violation("no outdated configuration", detail)

    def check_denial(self, sent_at: float, version: int, entry: str) -> None:
        """Check that a route of a version was not denied too late.

        No entry, whatever has happened to it, may answer that there is no such
        route once instances have had the time to apply the version.
        """
        for at, confirmed_version in self.confirmed_versions:
            if confirmed_version == version and at + CONFIGURATION_APPLY_BOUND_S < (
                sent_at
            ):
                detail = f"{entry} denied a route of version {version}"
                self.record_violation("no confirmed route is denied", detail)

    def check_executions(self, servers: Iterable[StandInServer]) -> None:
        """Check the runs on the servers against the responses to callers."""
        run_counts: Counter[str] = Counter()
        for server in servers:
            run_counts += server.run_counts
        for name in self.at_most_once:
            if run_counts[name] > 1:
                self.record_violation(
                    "at-most-once execution", f"{name} ran {run_counts[name]} times"
                )
        for name in self.refused:
            if run_counts[name]:
                self.record_violation(
                    "refused requests do not run", f"{name} was refused but ran"
                )
