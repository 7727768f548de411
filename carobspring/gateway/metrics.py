"""Counters and latency histograms of the gateway."""

from carobspring.adapters.metrics import Metrics
from carobspring.gateway.outcomes import ExchangeReport


class GatewayMetrics:
    """Counts requests by outcome and records how long they took."""

    def __init__(self, metrics: Metrics) -> None:
        self._ended_requests = metrics.add_counter(
            "carob_gateway_requests_total", "Requests that ended, by answer and reason."
        )
        self._first_byte_s = metrics.add_histogram(
            "carob_gateway_first_byte_seconds", "Time to a caller's first byte."
        )
        self._duration_s = metrics.add_histogram(
            "carob_gateway_request_seconds", "Time until a request ended."
        )
        self._sends = metrics.add_counter(
            "carob_gateway_sends_total", "Sends to backend servers, repeats included."
        )

    def record_refusal(self, reason: str) -> None:
        """Count a request that was refused before it was dispatched."""
        self._ended_requests.inc({"answer": "refused", "reason": reason})

    def record_end(
        self, report: ExchangeReport, first_byte_s: float | None, duration_s: float
    ) -> None:
        """Count a request that was dispatched and has ended."""
        outcome = report.outcome.value
        self._ended_requests.inc({"answer": outcome, "reason": report.reason})
        self._sends.add({}, report.sends)
        self._duration_s.observe({"answer": outcome}, duration_s)
        if first_byte_s is not None:
            self._first_byte_s.observe({}, first_byte_s)


class CrashMetrics:
    """Counts crashes of backend servers, and the requests under them."""

    def __init__(self, metrics: Metrics) -> None:
        self._crashes = metrics.add_counter(
            "carob_gateway_server_crashes_total", "Crashes that were proved here."
        )
        self._strikes = metrics.add_counter(
            "carob_gateway_strikes_total", "Own requests that ran at crashes."
        )

        self._blamed_parts = metrics.add_gauge(
            "carob_gateway_blamed_parts", "Prompt parts that are blamed for crashes."
        )

    def record_crash(self) -> None:
        """Count a crash."""
        self._crashes.inc({})

    def record_strikes(self, count: int) -> None:
        """Count requests that were running at a crash."""
        self._strikes.add({}, count)

    def set_blamed_parts(self, count: int) -> None:
        """Set the number of prompt parts that are blamed for crashes."""
        self._blamed_parts.set({}, count)


class StreamMetrics:
    """Counts the streams that are recorded and taken up."""

    def __init__(self, metrics: Metrics) -> None:
        self._records = metrics.add_counter(
            "carob_gateway_stream_records_total",
            "Streams whose software version was sent to other entries.",
        )
        self._origins = metrics.add_counter(
            "carob_gateway_resumed_streams_total",
            "Streams that callers took up, by how their version was found.",
        )

    def record_sent(self, count: int) -> None:
        """Count records that were sent."""
        self._records.add({}, count)

    def record_origin(self, source: str) -> None:
        """Count a stream that a caller took up."""
        self._origins.inc({"source": source})
