"""Metrics of what a process holds for clients, and what it has refused."""

from collections import Counter
from collections.abc import Callable

from carobspring.adapters.byte_budget import ByteBudget, BytePool
from carobspring.adapters.client_memory import ClientMemory
from carobspring.adapters.http_connection import ConnectionState
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.metrics import Metrics


class ClientMetrics:
    """Exports a byte budget and the HTTP servers that share it.

    The values are taken when they are rendered, so that requests cost nothing.

    Example:
        ``client_metrics.add_server("callers", server)``, and then
        ``render=client_metrics.wrap(metrics.render_text)``.
    """

    def __init__(self, *, metrics: Metrics, budget: ByteBudget) -> None:
        self._pools: dict[str, BytePool | ClientMemory] = {
            "small": budget.small,
            "large": budget.large,
            "connections": budget.memory,
        }
        self._servers: dict[str, CircuitsHttpServer] = {}
        self._held = metrics.add_gauge(
            "carob_http_held_bytes", "Bytes that clients hold, by pool."
        )
        self._limit = metrics.add_gauge(
            "carob_http_max_held_bytes", "Bytes that clients may hold, by pool."
        )
        self._waiting = metrics.add_gauge(
            "carob_http_waiting_bodies",
            "Bodies and requests that wait for room, by pool.",
        )
        self._connections = metrics.add_gauge(
            "carob_http_connections", "Open connections, by server and state."
        )
        self._refused = metrics.add_counter(
            "carob_http_refused_total",
            "Refused requests and closed connections, by server and reason.",
        )
        self._shedding = metrics.add_gauge(
            "carob_http_shedding", "1 while a server sheds clients."
        )

    def add_server(self, name: str, server: CircuitsHttpServer) -> None:
        """Export a server under a name."""
        self._servers[name] = server

    def wrap(self, render: Callable[[], bytes]) -> Callable[[], bytes]:
        """Return a function that updates the metrics before it renders."""

        def update_and_render() -> bytes:
            self.update()
            return render()

        return update_and_render

    def update(self) -> None:
        """Set the metrics to the present values."""
        for name, pool in self._pools.items():
            self._held.set({"pool": name}, pool.held_bytes)
            self._limit.set({"pool": name}, pool.max_bytes)
            self._waiting.set({"pool": name}, pool.waiting_count)
        for name, server in self._servers.items():
            states = Counter(server.list_connection_states())
            for state in ConnectionState:
                labels = {"server": name, "state": state.value}
                self._connections.set(labels, states[state])
            self._shedding.set({"server": name}, int(server.refusals.is_shedding))
            for reason, count in server.refusals.counts.items():
                self._refused.set({"server": name, "reason": reason}, count)
