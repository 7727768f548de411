"""Invariants that the soak test checks.

They are checked on what callers, backend servers and the operator observe.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

from standins.backend_server import Arrival, ServerRun, StandInServer
from standins.events import StreamText, parse_stream
from standins.instances import STOP_GRACE_S
from standins.kept_caller import DEADLINE_S, KeptResult
from standins.odd_continuations import is_odd_text
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
STREAM_EVENT_COUNT: Final = 20
#: Seconds after SIGTERM in which callers can't know of a stop, and seconds in
#: which what they sent until then has to end.
STOP_NOTICE_S: Final = 3.0
STOP_WORK_S: Final = STOP_GRACE_S * 5 / 6
#: Seconds after SIGTERM until which a missing response counts as cut by it.
STOP_END_S: Final = STOP_GRACE_S + 1.0
#: Seconds before a caller's deadline from which on its time is up.
DEADLINE_MARGIN_S: Final = 0.1
#: Requests of kept connections that may stay without a response in a run.
MAX_UNANSWERED_REQUESTS: Final = 3
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
    #: Whether there were only signals that a program must take in order.
    is_planned: bool = False


@dataclass(frozen=True, kw_only=True)
class PlannedStop:
    """A planned stop of an entry, from its first signal on."""

    entry: str
    signalled_at: float


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
    planned_stops: list[PlannedStop] = field(default_factory=list)
    #: Entries and results of callers that keep their connections.
    kept_results: list[tuple[str, KeptResult]] = field(default_factory=list)
    #: Times and versions of confirmed configurations.
    confirmed_versions: list[tuple[float, int]] = field(default_factory=list)
    #: Identifiers of streams that hold events of several software versions.
    mixed_streams: list[str] = field(default_factory=list)
    #: Number of tries to take a stream up, and of those that went on.
    resumption_count: int = 0
    resumed_count: int = 0
    #: Number of responses that went on with a stream as none should.
    odd_response_count: int = 0

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
            self.check_stream_text(name, body, is_complete=True)
        elif body.split()[-1:] != [name.encode()]:
            self.record_violation("responses match requests", f"{name}: {body!r}")

    def check_stream_text(self, name: str, body: bytes, *, is_complete: bool) -> None:
        """Check all that a caller got of one stream, whether it broke off."""
        self._check_text(name, parse_stream(body), is_complete=is_complete)

    def check_stream(self, stream: ResumedStream) -> None:
        """Check a stream that its caller took up after each break."""
        text = StreamText(events=tuple(stream.events), foreign=tuple(stream.foreign))
        name = f"{stream.began_as}, taken up"
        self._check_text(name, text, is_complete=stream.is_complete)
        for body in stream.other_bodies:
            if not is_odd_text(body):
                detail = f"{name}: {body[:40]!r} to {body[-80:]!r}"
                self.record_violation("bodies come from one server", detail)
        self.resumption_count += len(stream.resumptions)
        self.resumed_count += sum(stream.resumptions)
        if stream.is_mixed:
            self.mixed_streams.append(stream.began_as)

    def _check_text(self, name: str, text: StreamText, *, is_complete: bool) -> None:
        numbers = text.numbers
        is_ordered = numbers == list(range(1, len(numbers) + 1))
        is_whole = len(numbers) == STREAM_EVENT_COUNT and not text.rest
        if not is_ordered or (is_complete and not is_whole):
            detail = f"{name}: {numbers}, rest {text.rest!r}, complete: {is_complete}"
            self.record_violation("complete ordered streams", detail)
        if text.foreign:
            detail = f"{name}: {[each[:80] for each in text.foreign]}"
            self.record_violation("streams hold only their events", detail)

    def check_receipt(self, name: str, status: int, signature: str) -> None:
        """Check that a success bears the receipt of a server for it."""
        if status // 100 == 2 and signature.rpartition(".")[2] != name:
            detail = f"{name}: status {status}, receipt {signature!r}"
            self.record_violation("successes have receipts", detail)

    def record_kept(self, entry: str, result: KeptResult) -> None:
        """Record and check what a caller on a kept connection got."""
        self.kept_results.append((entry, result))
        name, kind = result.attempt_id, result.path.split("/")[1]
        self.check_receipt(name, result.status, result.signature)
        if result.status:
            self.check_response(name, kind, result.status, result.body)
            return
        self.status_counts[0] += 1
        if kind == "stream" and result.signature:
            self.check_stream_text(name, result.body, is_complete=False)

    def check_kept_requests(self, servers: Iterable[StandInServer]) -> None:
        """Check that requests on kept connections that ran got responses.

        A planned stop may cut none. At other times a few may be cut.
        """
        last_runs: dict[str, ServerRun] = {}
        for server in servers:
            for run in server.runs:
                if run.adds_nothing:
                    # Its stream broke off behind the last event.
                    continue
                last = last_runs.get(run.attempt_id)
                if last is None or last.started_at < run.started_at:
                    last_runs[run.attempt_id] = run
        unanswered = []
        for entry, result in self.kept_results:
            last = last_runs.get(result.attempt_id)
            if last is None or not self._is_owed_response(entry, result, last):
                continue
            stop = self._find_stop(entry, result)
            detail = _describe_missing_response(entry, result, last, stop)
            if stop is None:
                unanswered.append(detail)
            elif not _was_at_work_too_long(result, last, stop):
                self.record_violation("planned stops cut nothing", detail)
        if len(unanswered) > MAX_UNANSWERED_REQUESTS:
            detail = f"{len(unanswered)}: {'; '.join(unanswered)}"
            self.record_violation("kept connections are answered", detail)

    def _is_owed_response(self, entry: str, result: KeptResult, run: ServerRun) -> bool:
        """Return whether a response is missing and nothing excuses that."""
        is_in_time = result.ended_at - result.sent_at < DEADLINE_S - DEADLINE_MARGIN_S
        since = result.sent_at - CONTACT_BOUND_S
        return (
            result.status == 0
            and run.is_sound
            and is_in_time
            and not self._was_disrupted(
                entry, since, result.ended_at, counts_planned=False
            )
        )

    def _find_stop(self, entry: str, result: KeptResult) -> PlannedStop | None:
        """Return the stop in which a request ended, if any."""
        for stop in reversed(self.planned_stops):
            after_s = result.ended_at - stop.signalled_at
            if stop.entry == entry and 0 <= after_s <= STOP_END_S:
                return stop
        return None

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

    def _was_disrupted(
        self,
        entry: str,
        since: float | None,
        until: float,
        *,
        counts_planned: bool = True,
    ) -> bool:
        return since is not None and any(
            each.entry == entry
            and each.started_at <= until
            and each.ended_at >= since
            and (counts_planned or not each.is_planned)
            for each in self.disruptions
        )


def _was_at_work_too_long(
    result: KeptResult, run: ServerRun, stop: PlannedStop
) -> bool:
    """Return whether it outlasts a stop that its caller could not see."""
    return (
        result.sent_at <= stop.signalled_at + STOP_NOTICE_S
        and run.ended_at is not None
        and run.ended_at >= stop.signalled_at + STOP_WORK_S
    )


def _describe_missing_response(
    entry: str, result: KeptResult, run: ServerRun, stop: PlannedStop | None
) -> str:
    detail = (
        f"{result.attempt_id} {result.path} by {entry}, sent {result.sent_at:.2f}, "
        f"run {run.started_at:.2f}, cut {result.ended_at:.2f}"
    )
    return detail if stop is None else f"{detail}, signal {stop.signalled_at:.2f}"


def _count_in_window(times: Iterable[float], start: float, window_s: float) -> int:
    return sum(start <= at < start + window_s for at in times)
