"""Metrics of the control program, collected from its state on request."""

from carobspring.adapters.metrics import Metrics
from carobspring.control.state import ControlState
from carobspring.ports import ReplicatedLog
from carobspring.protocol import ClaimState


class ControlMetrics:
    """Exports gauges of this replica's state."""

    def __init__(
        self, *, metrics: Metrics, state: ControlState, log: ReplicatedLog
    ) -> None:
        self._metrics = metrics
        self._state = state
        self._log = log
        self._revision = metrics.add_gauge(
            "carob_control_revision", "Revision of the settings applied here."
        )
        self._zone_revision = metrics.add_gauge(
            "carob_control_zone_revision", "Oldest revision in force in a zone."
        )
        self._leads = metrics.add_gauge(
            "carob_control_leads", "1 while this replica leads."
        )
        self._servers = metrics.add_gauge(
            "carob_control_servers", "Backend servers whose lease holds, by zone."
        )
        self._streams = metrics.add_gauge(
            "carob_control_streams", "Open streams, of agents and of entries."
        )
        self._claims = metrics.add_gauge(
            "carob_control_unique_calls", "Records of unique calls, by state."
        )
        self._refused = metrics.add_gauge(
            "carob_control_unique_calls_refused",
            "Claims and outcomes refused here since the start, by reason.",
        )
        self._strikes = metrics.add_gauge(
            "carob_control_strikes", "Strikes that are kept."
        )

    def render_text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        state = self._state
        self._revision.set({}, state.machine.settings.settings.revision)
        self._leads.set({}, int(self._log.is_leader()))
        self._streams.set({"kind": "agent"}, state.agent_notifier.count_streams())
        self._streams.set({"kind": "entry"}, state.entry_notifier.count_streams())
        self._strikes.set({}, len(state.machine.strikes.list_strikes()))
        for zone, count in state.members.count_visible_by_zone().items():
            self._servers.set({"server_zone": zone}, count)
        for zone, revision in state.entries.find_zone_revisions().items():
            self._zone_revision.set({"entry_zone": zone}, revision)
        claims = state.machine.ledger.count_claims()
        for claim_state in ClaimState:
            count = claims.get(claim_state, 0)
            self._claims.set({"state": claim_state.value}, count)
        for reason, count in state.machine.ledger.refusal_counts.items():
            self._refused.set({"reason": reason}, count)
        return self._metrics.render_text()


class ReplicationMetrics:
    """Exports gauges of the replicated log, as this replica knows it."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._confirmed = metrics.add_gauge(
            "carob_control_confirmed", "1 while the quorum confirms the state here."
        )
        self._silent_voters = metrics.add_gauge(
            "carob_control_silent_voters", "Voters that this leader does not hear."
        )
        self._spares = metrics.add_gauge(
            "carob_control_spare_replicas", "Replicas that could replace a voter."
        )

    def update(self, *, is_confirmed: bool, silent_voters: int, spares: int) -> None:
        """Set the gauges."""
        self._confirmed.set({}, int(is_confirmed))
        self._silent_voters.set({}, silent_voters)
        self._spares.set({}, spares)
