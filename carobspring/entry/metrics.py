"""The entry's metrics and the check of calls against latency targets."""

from dataclasses import dataclass

from carobspring.adapters.metrics import Metrics
from carobspring.domain import LatencyTarget, ServiceClass
from carobspring.protocol import ClassAttainment


@dataclass(kw_only=True)
class CallTiming:
    """Times and sizes of one call's response, in monotonic seconds."""

    received_at: float
    first_data: float = 0.0
    last_data: float = 0.0
    chunks: int = 0
    size: int = 0

    def record_data(self, now: float, size: int) -> None:
        """Record that response data has arrived."""
        if not self.chunks:
            self.first_data = now
        self.last_data = now
        self.chunks += 1
        self.size += size

    def reset(self) -> None:
        """Discard the data of a failed attempt."""
        self.first_data = self.last_data = 0.0
        self.chunks = self.size = 0

    def is_within_target(self, target: LatencyTarget, stream: bool, now: float) -> bool:
        """Return whether a call that ends now met its latency target."""
        if not stream:
            total_ms = (now - self.received_at) * 1000
            return not target.total_ms or total_ms <= target.total_ms
        first_token_ms = (self.first_data - self.received_at) * 1000
        gaps = max(1, self.chunks - 1)
        gap_ms = (self.last_data - self.first_data) * 1000 / gaps
        return (
            not target.first_token_ms or first_token_ms <= target.first_token_ms
        ) and (not target.token_gap_ms or gap_ms <= target.token_gap_ms)


class EntryMetrics:
    """The entry's metrics, labelled by class, code and reason only."""

    def __init__(self, metrics: Metrics) -> None:
        #: Counts since the start by class name, as reported to control.
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
        """Count a call with a complete response."""
        name = service_class.name
        labels = {"class": name}
        met_target = timing.is_within_target(service_class.target, stream, now)
        self.calls.inc({"class": name, "outcome": "answered"})
        self._count_end(name, met=met_target)
        if met_target:
            self.attained.inc(labels)
        self.response_bytes.add({"class": name, "use": "good"}, timing.size)
        if stream and timing.chunks:
            self.first_token.observe(labels, timing.first_data - timing.received_at)
        self.total.observe(labels, now - timing.received_at)

    def count_failure(self, name: str, outcome: str, shed: bool) -> None:
        """Count a call without a complete response."""
        self.calls.inc({"class": name, "outcome": outcome})
        self._count_end(name, shed=shed)

    def count_wasted_bytes(self, name: str, size: int) -> None:
        """Count the bytes of a response that was not completed."""
        if size:
            self.response_bytes.add({"class": name, "use": "wasted"}, size)

    def _count_end(self, name: str, met: bool = False, shed: bool = False) -> None:
        counts = self.attainment.get(name, ClassAttainment())
        self.attainment[name] = ClassAttainment(
            ended=counts.ended + 1, met=counts.met + met, shed=counts.shed + shed
        )
