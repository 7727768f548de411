"""Invariants that the soak test checks.

They are checked on what callers, backend servers and the operator observe.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

from standins.backend_server import Arrival, StandInServer
from standins.resuming_caller import ResumedStream

#: Seconds in which an instance applies a new configuration, as the user
#: documentation guarantees.
CONFIGURATION_APPLY_BOUND_S: Final = 2.0
#: Seconds after which instances know what happened elsewhere, as the user
#: documentation guarantees.
CONTACT_BOUND_S: Final = 3.0
#: Crashes under a request, or under requests with one part of their prompts,
#: after which it must be held back, and requests that may still reach servers.
COUNTED_REQUEST_CRASHES: Final = 3
COUNTED_PART_CRASHES: Final = 5
MAX_LATE_CRASHING_REQUESTS: Final = 3
#: Retries to a service in a window: share of its requests, and number.
RETRY_SHARE: Final = 0.2
RETRY_SLACK: Final = 20
RETRY_WINDOW_S: Final = 10.0
#: Length in seconds of the windows in which an announced limit must hold, and
#: seconds from an announcement to an instance until it must apply it.
LIMIT_WINDOW_S: Final = 4.0
LIMIT_APPLY_BOUND_S: Final = 0.5
#: Seconds after which a rest that a server asked for counts, and requests of
#: one instance that may still reach it within the rest.
REST_APPLY_BOUND_S: Final = 0.5
MAX_REQUESTS_IN_REST: Final = 2
#: Seconds from an answer that says its server leaves to the last request that
#: the instance may have been sent for it.
LEAVE_BOUND_S: Final = 2.0
#: Number of events in each complete stream.
STREAM_EVENT_COUNT: Final = 5
#: Streams that may hold events of two software versions.
MAX_MIXED_STREAMS: Final = 2


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A violated invariant."""

    invariant: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class Disruption:
    """A time in which a program was frozen, or from whose end it is new."""

    entry: str
    started_at: float
    ended_at: float


@dataclass(kw_only=True)
class InvariantChecker:
    """Records observations of the system and the violated invariants."""

    violations: list[Violation] = field(default_factory=list)
    #: Responses by status; 0 counts the requests without a response.
    status_counts: Counter[int] = field(default_factory=Counter)
    #: Identifiers of requests that may run at most once, and of refused ones.
    at_most_once: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    #: Entry and time of each request, by identifier.
    sent_requests: dict[str, tuple[str, float]] = field(default_factory=dict)
    disruptions: list[Disruption] = field(default_factory=list)
    #: Times and versions of confirmed configurations.
    confirmed_versions: list[tuple[float, int]] = field(default_factory=list)
    #: Identifiers of streams that hold events of several software versions.
    mixed_streams: list[str] = field(default_factory=list)
    #: Number of tries to take a stream up, and of those that went on.
    resumption_count: int = 0
    resumed_count: int = 0

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

    def check_stream(self, stream: ResumedStream) -> None:
        """Check a stream that its caller took up after each break."""
        numbers = [event.number for event in stream.events]
        is_ordered = numbers == list(range(1, len(numbers) + 1))
        is_whole = len(numbers) == STREAM_EVENT_COUNT
        if not is_ordered or (stream.is_complete and not is_whole):
            detail = f"{stream.began_as}, taken up: {numbers}"
            self.record_violation("complete ordered streams", detail)
        self.resumption_count += len(stream.resumptions)
        self.resumed_count += sum(stream.resumptions)
        if stream.is_mixed:
            self.mixed_streams.append(stream.began_as)

    def check_stream_versions(self) -> None:
        """Check that streams keep the software version that began them."""
        if len(self.mixed_streams) > MAX_MIXED_STREAMS:
            detail = f"mixed: {', '.join(self.mixed_streams)}"
            self.record_violation("streams keep their version", detail)

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

    def check_crashing_requests(self, servers: Iterable[StandInServer]) -> None:
        """Check that what crashes servers is soon held back.

        That is a body that comes again and again, or a part of the prompts of
        different requests.
        """
        servers = tuple(servers)
        causes = {cause for server in servers for _, cause in server.crashes if cause}
        for cause in sorted(causes):
            times = sorted(
                at for server in servers for at, each in server.crashes if each == cause
            )
            arrivals = [arrival for server in servers for arrival in server.arrivals]
            part_name = cause.decode()
            is_part = any(part_name in arrival.parts for arrival in arrivals)
            counted = COUNTED_PART_CRASHES if is_part else COUNTED_REQUEST_CRASHES
            if len(times) < counted:
                continue
            counted_from = times[counted - 1] + CONTACT_BOUND_S
            late = sum(
                arrival.at > counted_from
                and (arrival.body == cause or part_name in arrival.parts)
                for arrival in arrivals
            )
            if late > MAX_LATE_CRASHING_REQUESTS:
                detail = f"{cause!r}: {len(times)} crashes, {late} requests after"
                self.record_violation("crashing requests are held back", detail)

    def check_odd_check_in(self, name: str, status: int) -> None:
        """Check that what no server writes is refused, if it is answered.

        A daemon that stands still, stops or starts may answer otherwise.
        """
        if status not in (0, 307, 400, 503):
            self.record_violation("odd check-ins are refused", f"{name}: {status}")

    def check_sound_part(self, part: str, status: int) -> None:
        """Check that a part that came beside the cause of crashes is free."""
        if status != 200:
            self.record_violation("sound parts get free", f"{part}: status {status}")

    def check_repeats(self, service: str, servers: Iterable[StandInServer]) -> None:
        """Check that repeats stay within the budget that all entries share."""
        arrivals = sorted(
            (arrival.at, arrival.attempt_id)
            for server in servers
            for arrival in server.arrivals
        )
        seen: set[str] = set()
        repeats = []
        for at, attempt_id in arrivals:
            if attempt_id in seen:
                repeats.append(at)
            seen.add(attempt_id)
        sent = [self.sent_requests[name][1] for name in seen]
        for start in repeats:
            count = _count_in_window(repeats, start, RETRY_WINDOW_S)
            requests = max(
                _count_in_window(sent, start - earlier_s, RETRY_WINDOW_S)
                for earlier_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            allowed = RETRY_SHARE * requests + RETRY_SLACK
            if count > allowed:
                detail = f"{service}: {count} repeats, {allowed} allowed"
                self.record_violation("retries within the budget", detail)
                return

    def check_announced_limits(self, servers: Iterable[StandInServer]) -> None:
        """Check that servers with a limit get no more from whom they told."""
        for server in servers:
            told_at: dict[str, float] = {}
            first_at: float | None = None
            counted: list[float] = []
            for arrival in server.arrivals:
                limit = float(arrival.announced.get("Server-Limit", 0.0))
                if not limit:
                    told_at, first_at, counted = {}, None, []
                    continue
                if first_at is None:
                    first_at = arrival.at
                entry = self.sent_requests[arrival.attempt_id][0]
                if self._was_disrupted(entry, told_at.get(entry), arrival.at):
                    told_at.pop(entry, None)
                known_at = told_at.setdefault(entry, arrival.at)
                if arrival.at < known_at + LIMIT_APPLY_BOUND_S:
                    continue
                if arrival.at < first_at + CONTACT_BOUND_S:
                    continue
                counted.append(arrival.at)
                recent = sum(at > arrival.at - LIMIT_WINDOW_S for at in counted)
                allowed = 1.5 * limit * LIMIT_WINDOW_S + 5
                if recent > allowed:
                    detail = f"{server.server_id}: {recent} in a window for {limit}"
                    self.record_violation("announced limits are kept", detail)
                    break

    def check_rests(self, servers: Iterable[StandInServer]) -> None:
        """Check that servers got the rest that they asked for."""
        for server, entry, arrivals in self._group_arrivals(servers):
            for told in arrivals:
                rest_s = float(told.announced.get("Retry-After", 0.0))
                if not told.is_rejected or not rest_s:
                    continue
                within = [
                    each
                    for each in arrivals
                    if told.at + REST_APPLY_BOUND_S < each.at < told.at + rest_s
                    and each.started_at_ms == told.started_at_ms
                    and not self._was_disrupted(entry, told.at, each.at)
                ]
                if len(within) > MAX_REQUESTS_IN_REST:
                    detail = f"{server.server_id}: {len(within)} of {entry} in {rest_s}"
                    self.record_violation("rests are kept", detail)
                    break

    def check_leaving_servers(self, servers: Iterable[StandInServer]) -> None:
        """Check that servers that said they leave got nothing more."""
        for server, entry, arrivals in self._group_arrivals(servers):
            told_at: dict[int, float] = {}
            for arrival in arrivals:
                known_at = told_at.get(arrival.started_at_ms)
                _, sent_at = self.sent_requests[arrival.attempt_id]
                if (
                    known_at is not None
                    and sent_at > known_at + LEAVE_BOUND_S
                    and not self._was_disrupted(entry, known_at, arrival.at)
                ):
                    detail = f"{server.server_id}: {arrival.attempt_id} by {entry}"
                    self.record_violation("leaving servers get nothing", detail)
                    break
                is_told = arrival.announced.get("Server-Leaving") == "1"
                if is_told and not arrival.is_unanswered:
                    told_at.setdefault(arrival.started_at_ms, arrival.at)

    def _group_arrivals(
        self, servers: Iterable[StandInServer]
    ) -> Iterator[tuple[StandInServer, str, Sequence[Arrival]]]:
        """Yield the arrivals at each server from each entry, in order."""
        for server in servers:
            by_entry: dict[str, list[Arrival]] = {}
            for arrival in server.arrivals:
                if not arrival.is_misdirected:
                    entry, _ = self.sent_requests[arrival.attempt_id]
                    by_entry.setdefault(entry, []).append(arrival)
            for entry, arrivals in by_entry.items():
                yield server, entry, arrivals

    def _was_disrupted(self, entry: str, since: float | None, until: float) -> bool:
        return since is not None and any(
            each.entry == entry and each.started_at <= until and each.ended_at >= since
            for each in self.disruptions
        )


def _count_in_window(times: Iterable[float], start: float, window_s: float) -> int:
    return sum(start <= at < start + window_s for at in times)
