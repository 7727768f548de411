"""Counters and latency histograms of the entry on the users' machines."""

from carobspring.adapters.metrics import Metrics
from carobspring.gateway.outcomes import ExchangeReport


class GatewayMetrics:
    """Counts how requests ended and how long they took."""

    def __init__(self, metrics: Metrics) -> None:
        self._ended = metrics.add_counter(
            "carob_gateway_requests_total", "Requests that ended, by answer and reason."
        )
        self._first_s = metrics.add_histogram(
            "carob_gateway_first_byte_seconds", "Time to a caller's first byte."
        )
        self._whole_s = metrics.add_histogram(
            "carob_gateway_request_seconds", "Time until a request ended."
        )
        self._sends = metrics.add_counter(
            "carob_gateway_sends_total", "Sends to backend servers, repeats included."
        )

    def record_refusal(self, reason: str) -> None:
        """Count a request that got no further than its route or key."""
        self._ended.inc({"answer": "refused", "reason": reason})

    def record_end(
        self, report: ExchangeReport, first_s: float | None, whole_s: float
    ) -> None:
        """Count a request's end."""
        answer = report.outcome.value
        self._ended.inc({"answer": answer, "reason": report.reason})
        self._sends.add({}, report.sends)
        self._whole_s.observe({"answer": answer}, whole_s)
        if first_s is not None:
            self._first_s.observe({}, first_s)
