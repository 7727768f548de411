"""The promises that the soak checks, by what callers and servers saw."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from standins.backend_server import StandInServer

#: Seconds that the users' pages give an instance to put a configuration in
#: force.
CONFIGURATION_BOUND_S: Final = 2.0
#: Events of each stream.
EVENTS: Final = 5


@dataclass(frozen=True, kw_only=True)
class Breach:
    """A promise that was not kept."""

    promise: str
    detail: str


@dataclass(kw_only=True)
class Promises:
    """What callers and the operator saw, and what of it must not be."""

    breaches: list[Breach] = field(default_factory=list)
    #: How many answers there were of each status; 0 for none.
    answers: Counter[int] = field(default_factory=Counter)
    #: Identifiers of requests that may run once, and of those refused.
    once: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    #: Confirmed versions and when.
    confirmed: list[tuple[float, int]] = field(default_factory=list)

    def note_breach(self, promise: str, detail: str) -> None:
        """Keep a broken promise, and say so at once."""
        self.breaches.append(Breach(promise=promise, detail=detail))
        print(f"broken: {promise}: {detail}", flush=True)

    def check_answer(self, name: str, kind: str, status: int, body: bytes) -> None:
        """Check an answer that came whole."""
        self.answers[status] += 1
        if status in (408, 421, 429, 503):
            self.refused.add(name)
        if status != 200:
            return
        if kind in ("stream", "model"):
            numbers = [
                int(line[4:]) for line in body.splitlines() if line.startswith(b"id: ")
            ]
            if numbers != list(range(1, EVENTS + 1)):
                self.note_breach("whole streams in order", f"{name}: {numbers}")
        elif body.split()[-1:] != [name.encode()]:
            self.note_breach("own answers", f"{name}: {body!r}")

    def check_read(self, sent_at: float, version: int, where: str) -> None:
        """Check that a read shows no version that was overtaken before."""
        known = [
            confirmed
            for at, confirmed in self.confirmed
            if at + CONFIGURATION_BOUND_S < sent_at
        ]
        if known and version < max(known):
            detail = f"{where} shows {version} after {max(known)}"
            self.note_breach("no configuration goes back", detail)

    def check_runs(self, servers: Iterable[StandInServer]) -> None:
        """Check what the servers ran against what callers were told."""
        ran: Counter[str] = Counter()
        for server in servers:
            ran += server.run_counts
        for name in self.once:
            if ran[name] > 1:
                self.note_breach("at most once", f"{name} ran {ran[name]} times")
        for name in self.refused:
            if ran[name]:
                self.note_breach("true refusals", f"{name} was refused and has run")
