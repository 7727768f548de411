"""What an entry counts, and when a call has met its target."""

from dataclasses import dataclass

from carobspring.adapters.metrics import Metrics
from carobspring.domain import LatencyTarget, ServiceClass
from carobspring.protocol import ClassAttainment


@dataclass(kw_only=True)
class CallTiming:
    """When the steps of one call's answer came, in monotonic seconds."""

    received_at: float
    first_data: float = 0.0
    last_data: float = 0.0
    chunks: int = 0
    size: int = 0

    def record_data(self, now: float, size: int) -> None:
        """Note that bytes of the answer came."""
        if not self.chunks:
            self.first_data = now
        self.last_data = now
        self.chunks += 1
        self.size += size

    def reset(self) -> None:
        """Forget the pieces of an attempt that was given up."""
        self.first_data = self.last_data = 0.0
        self.chunks = self.size = 0

    def is_within_target(self, target: LatencyTarget, stream: bool, now: float) -> bool:
        """Say whether a call that ended now met its target."""
        if not stream:
            total_ms = (now - self.received_at) * 1000
            return not target.total_ms or total_ms <= target.total_ms
        first_ms = (self.first_data - self.received_at) * 1000
        gaps = max(1, self.chunks - 1)
        gap_ms = (self.last_data - self.first_data) * 1000 / gaps
        return (not target.first_token_ms or first_ms <= target.first_token_ms) and (
            not target.token_gap_ms or gap_ms <= target.token_gap_ms
        )


class EntryMetrics:
    """The entry's counters; labels are classes, codes and reasons only."""

    def __init__(self, metrics: Metrics) -> None:
        #: Class name to counts since the start, as control is told them.
        self.attainment: dict[str, ClassAttainment] = {}
        self.calls = metrics.add_counter(
            "carob_entry_calls_total", "Calls ended, by class and outcome."
        )
        self.attained = metrics.add_counter(
            "carob_entry_attained_total", "Calls that met their class's target."
        )
        self.response_bytes = metrics.add_counter(
            "carob_entry_answer_bytes_total",
            "Bytes of answers, by class and whether the caller got all of it.",
        )
        self.errors = metrics.add_counter(
            "carob_entry_errors_total", "Errors given to callers, by code."
        )
        self.attempts = metrics.add_counter(
            "carob_entry_attempts_total", "Runs asked of agents, by their end."
        )
        self.retries = metrics.add_counter(
            "carob_entry_retries_total", "Further attempts, by why they were made."
        )
        self.broken_streams = metrics.add_counter(
            "carob_entry_broken_streams_total", "Agents' streams that were replaced."
        )
        self.first_token = metrics.add_histogram(
            "carob_entry_first_token_seconds", "Time to a streamed call's first byte."
        )
        self.total = metrics.add_histogram(
            "carob_entry_call_seconds", "Time to the end of an answer."
        )
        self.revision = metrics.add_gauge(
            "carob_entry_settings_revision", "Revision of the settings in force."
        )
        self.servers = metrics.add_gauge(
            "carob_entry_backend_servers", "Backend servers that take new work."
        )
        self.connected = metrics.add_gauge(
            "carob_entry_control_connected", "One while a control stream stands."
        )

    def count_response(
        self, service_class: ServiceClass, timing: CallTiming, stream: bool, now: float
    ) -> None:
        """Count a whole answer."""
        name = service_class.name
        label = {"class": name}
        in_time = timing.is_within_target(service_class.target, stream, now)
        self.calls.inc({"class": name, "outcome": "answered"})
        self._note_end(name, met=in_time)
        if in_time:
            self.attained.inc(label)
        self.response_bytes.add({"class": name, "use": "good"}, timing.size)
        if stream and timing.chunks:
            self.first_token.observe(label, timing.first_data - timing.received_at)
        self.total.observe(label, now - timing.received_at)

    def count_failure(self, name: str, outcome: str, shed: bool) -> None:
        """Count a call that ended without its whole answer."""
        self.calls.inc({"class": name, "outcome": outcome})
        self._note_end(name, shed=shed)

    def count_wasted_bytes(self, name: str, size: int) -> None:
        """Count bytes of an answer that no caller got whole."""
        if size:
            self.response_bytes.add({"class": name, "use": "wasted"}, size)

    def _note_end(self, name: str, met: bool = False, shed: bool = False) -> None:
        counts = self.attainment.get(name, ClassAttainment())
        self.attainment[name] = ClassAttainment(
            ended=counts.ended + 1, met=counts.met + met, shed=counts.shed + shed
        )
