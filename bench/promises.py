"""The promises that the soak checks, by what callers and servers saw."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from standins.backend_server import StandInServer

#: Seconds that the users' pages give an instance to put a configuration in
#: force.
CONFIGURATION_APPLY_BOUND_S: Final = 2.0
#: Events of each stream.
STREAM_EVENT_COUNT: Final = 5


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that was not kept."""

    invariant: str
    detail: str


@dataclass(kw_only=True)
class InvariantChecker:
    """What callers and the operator saw, and what of it must not be."""

    violations: list[Violation] = field(default_factory=list)
    #: How many answers there were of each status; 0 for none.
    status_counts: Counter[int] = field(default_factory=Counter)
    #: Identifiers of requests that may run once, and of those refused.
    at_most_once: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    #: Confirmed versions and when.
    confirmed_versions: list[tuple[float, int]] = field(default_factory=list)

    def record_violation(self, invariant: str, detail: str) -> None:
        """Keep a broken promise, and say so at once."""
        self.violations.append(Violation(invariant=invariant, detail=detail))
        print(f"broken: {invariant}: {detail}", flush=True)

    def check_response(self, name: str, kind: str, status: int, body: bytes) -> None:
        """Check an answer that came whole."""
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
                self.record_violation("whole streams in order", f"{name}: {numbers}")
        elif body.split()[-1:] != [name.encode()]:
            self.record_violation("own answers", f"{name}: {body!r}")

    def check_version(self, sent_at: float, version: int, where: str) -> None:
        """Check that a read shows no version that was overtaken before."""
        known = [
            known_version
            for at, known_version in self.confirmed_versions
            if at + CONFIGURATION_APPLY_BOUND_S < sent_at
        ]
        if known and version < max(known):
            detail = f"{where} shows {version} after {max(known)}"
            self.record_violation("no configuration goes back", detail)

    def check_executions(self, servers: Iterable[StandInServer]) -> None:
        """Check what the servers ran against what callers were told."""
        ran: Counter[str] = Counter()
        for server in servers:
            ran += server.run_counts
        for name in self.at_most_once:
            if ran[name] > 1:
                self.record_violation("at most once", f"{name} ran {ran[name]} times")
        for name in self.refused:
            if ran[name]:
                self.record_violation(
                    "true refusals", f"{name} was refused and has run"
                )
