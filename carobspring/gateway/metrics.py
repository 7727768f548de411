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
