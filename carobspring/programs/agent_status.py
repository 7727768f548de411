"""HTTP endpoints of the agent: health, readiness and metrics."""

from carobspring.adapters.agent_control_stream import AgentControlStream
from carobspring.adapters.metrics import CONTENT_TYPE, Metrics
from carobspring.agent import CallManager
from carobspring.ports import HttpRequest, HttpResponder

TEXT_HEADERS = (("Content-Type", "text/plain; charset=utf-8"),)


class AgentStatusApi:
    """Handles ``/healthz``, ``/readyz`` and ``/metrics``.

    The agent is ready while the backend server is healthy and the agent is not
    draining. An agent that loses its connection to control stays in service.
    """

    def __init__(
        self, *, manager: CallManager, control_stream: AgentControlStream, slots: int
    ) -> None:
        self._manager = manager
        self._control_stream = control_stream
        self._metrics = Metrics()
        add_gauge = self._metrics.add_gauge
        self._gauges = {
            "running": add_gauge("carob_agent_running_calls", "Calls that run now."),
            "waiting": add_gauge("carob_agent_waiting_calls", "Calls that wait now."),
            "limit": add_gauge(
                "carob_agent_concurrency_limit", "Calls let run at once."
            ),
            "first": add_gauge(
                "carob_agent_first_token_seconds", "Smoothed first token."
            ),
            "gap": add_gauge(
                "carob_agent_token_gap_seconds", "Smoothed gap of tokens."
            ),
            "healthy": add_gauge(
                "carob_agent_backend_healthy", "1 while probes succeed."
            ),
            "connected": add_gauge(
                "carob_agent_control_connected", "1 while announced."
            ),
            "revision": add_gauge(
                "carob_agent_settings_revision", "Settings in force."
            ),
        }
        self._end_counter = self._metrics.add_counter(
            "carob_agent_calls_total", "Ended calls by run status and reason."
        )
        self._wasted_token_counter = self._metrics.add_counter(
            "carob_agent_wasted_tokens_total", "Tokens of calls that were cancelled."
        )
        self._preemption_counter = self._metrics.add_counter(
            "carob_agent_preemptions_total", "Runs stopped for a higher call."
        )
        self._preempted_s_counter = self._metrics.add_counter(
            "carob_agent_preempted_seconds_total", "Slot time of stopped runs."
        )
        self._strike_counter = self._metrics.add_counter(
            "carob_agent_strikes_total", "Calls in flight at a crash."
        )

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request."""
        manager = self._manager
        ready = manager.executor.health.healthy and not manager.agent_state.draining
        match request.path:
            case "/healthz":
                await responder.send(200, TEXT_HEADERS, b"ok\n")
            case "/readyz":
                body = b"ready\n" if ready else b"not ready\n"
                await responder.send(200 if ready else 503, TEXT_HEADERS, body)
            case "/metrics":
                self._update_metrics()
                headers = (("Content-Type", CONTENT_TYPE),)
                await responder.send(200, headers, self._metrics.render_text())
            case _:
                await responder.send(404, TEXT_HEADERS, b"no such page\n")

    def _update_metrics(self) -> None:
        manager = self._manager
        load = manager.build_load_report()
        values = {
            "running": load.running,
            "waiting": sum((load.waiting_by_priority or {}).values()),
            "limit": load.limit,
            "first": load.first_token_ms / 1000,
            "gap": load.token_gap_ms / 1000,
            "healthy": int(manager.executor.health.healthy),
            "connected": int(self._control_stream.connected),
            "revision": manager.agent_state.settings.revision,
        }
        for name, value in values.items():
            self._gauges[name].set({}, value)
        for (status, reason), count in manager.end_counts.items():
            labels = {"run_status": status, "reason": reason or "none"}
            self._end_counter.set(labels, count)
        self._wasted_token_counter.set({}, manager.executor.wasted_tokens)
        self._preemption_counter.set({}, manager.preemption.preempted_runs)
        self._preempted_s_counter.set({}, manager.preemption.wasted_s)
        self._strike_counter.set({}, manager.executor.strike_count)
