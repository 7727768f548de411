"""Counters, gauges and histograms, implemented with aioprometheus."""

from collections.abc import Callable, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from carobspring.adapters.byte_budget import ByteBudget
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.memory_plan import MAX_PROBE_CONNECTIONS, PROBE_PLAN
from carobspring.ports import HttpLimits, HttpRequest, HttpResponder

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)


class Metrics:
    """The metrics of one program, in a registry of their own.

    Names follow the conventions of Prometheus: a unit suffix, and ``_total``
    for counters. Label values come from bounded sets such as classes, zones
    and reasons, and are never identifiers of calls.

    Example:
        ``refused = metrics.add_counter("carob_refused_total", "Calls shed.")``
        and then ``refused.inc({"reason": "queue_full"})``.
    """

    def __init__(self, *, labels: dict[str, str] | None = None) -> None:
        self._registry = Registry()
        self._labels = labels or {}

    def add_counter(self, name: str, doc: str) -> Counter:
        """Register and return a counter."""
        return Counter(
            name, doc, const_labels=dict(self._labels), registry=self._registry
        )

    def add_gauge(self, name: str, doc: str) -> Gauge:
        """Register and return a gauge."""
        return Gauge(
            name, doc, const_labels=dict(self._labels), registry=self._registry
        )

    def add_histogram(
        self, name: str, doc: str, buckets: Sequence[float] = LATENCY_BUCKETS_S
    ) -> Histogram:
        """Register and return a histogram.

        Buckets are upper bounds in seconds.
        """
        return Histogram(
            name,
            doc,
            const_labels=dict(self._labels),
            registry=self._registry,
            buckets=list(buckets),
        )

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)


async def serve_metrics(
    *, host: str, port: int, render: Callable[[], bytes]
) -> CircuitsHttpServer:
    """Start a server that answers every request with the metrics."""

    async def handle(request: HttpRequest, responder: HttpResponder) -> None:
        await responder.send(200, (("Content-Type", CONTENT_TYPE),), render())

    server = CircuitsHttpServer(
        host=host,
        port=port,
        handler=handle,
        limits=HttpLimits(max_connections=MAX_PROBE_CONNECTIONS),
        budget=ByteBudget(plan=PROBE_PLAN),
        find_max_body=lambda request: 0,
    )
    await server.start()
    return server
