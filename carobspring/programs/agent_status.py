"""The agent's own HTTP pages: health, readiness and metrics."""

from carobspring.adapters.agent_control_stream import AgentControlStream
from carobspring.adapters.metrics import CONTENT_TYPE, Metrics
from carobspring.agent import CallManager
from carobspring.ports import HttpRequest, HttpResponder

TEXT_HEADERS = (("Content-Type", "text/plain; charset=utf-8"),)


class AgentStatusApi:
    """Answers ``/healthz``, ``/readyz`` and ``/metrics``.

    Ready means that the backend server answers and the agent doesn't leave;
    being cut off from control doesn't take an agent out of service.
    """

    def __init__(
        self, *, manager: CallManager, link: AgentControlStream, slots: int
    ) -> None:
        self._manager = manager
        self._link = link
        self._metrics = Metrics()
        add = self._metrics.add_gauge
        self._gauges = {
            "running": add("carob_agent_running_calls", "Calls that run now."),
            "waiting": add("carob_agent_waiting_calls", "Calls that wait now."),
            "limit": add("carob_agent_concurrency_limit", "Calls let run at once."),
            "first": add("carob_agent_first_token_seconds", "Smoothed first token."),
            "gap": add("carob_agent_token_gap_seconds", "Smoothed gap of tokens."),
            "healthy": add("carob_agent_backend_healthy", "1 while probes succeed."),
            "connected": add("carob_agent_control_connected", "1 while announced."),
            "revision": add("carob_agent_settings_revision", "Settings in force."),
        }
        self._ends = self._metrics.add_counter(
            "carob_agent_calls_total", "Ended calls by run status and reason."
        )
        self._wasted = self._metrics.add_counter(
            "carob_agent_wasted_tokens_total", "Tokens of calls that were cancelled."
        )
        self._preemptions = self._metrics.add_counter(
            "carob_agent_preemptions_total", "Runs stopped for a higher call."
        )
        self._preempted_s = self._metrics.add_counter(
            "carob_agent_preempted_seconds_total", "Slot time of stopped runs."
        )
        self._strikes = self._metrics.add_counter(
            "carob_agent_strikes_total", "Calls in flight at a crash."
        )

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Answer one request."""
        manager = self._manager
        ready = manager.executor.health.healthy and not manager.agent_state.draining
        match request.path:
            case "/healthz":
                await responder.send(200, TEXT_HEADERS, b"ok\n")
            case "/readyz":
                body = b"ready\n" if ready else b"not ready\n"
                await responder.send(200 if ready else 503, TEXT_HEADERS, body)
            case "/metrics":
                self._update()
                headers = (("Content-Type", CONTENT_TYPE),)
                await responder.send(200, headers, self._metrics.render_text())
            case _:
                await responder.send(404, TEXT_HEADERS, b"no such page\n")

    def _update(self) -> None:
        manager = self._manager
        load = manager.build_load_report()
        values = {
            "running": load.running,
            "waiting": sum((load.waiting_by_priority or {}).values()),
            "limit": load.limit,
            "first": load.first_token_ms / 1000,
            "gap": load.token_gap_ms / 1000,
            "healthy": int(manager.executor.health.healthy),
            "connected": int(self._link.connected),
            "revision": manager.agent_state.settings.revision,
        }
        for name, value in values.items():
            self._gauges[name].set({}, value)
        for (status, reason), count in manager.end_counts.items():
            labels = {"run_status": status, "reason": reason or "none"}
            self._ends.set(labels, count)
        self._wasted.set({}, manager.executor.wasted_tokens)
        self._preemptions.set({}, manager.preemption.preempted_runs)
        self._preempted_s.set({}, manager.preemption.wasted_s)
        self._strikes.set({}, manager.executor.strike_count)
