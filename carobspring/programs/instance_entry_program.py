"""``carob-entry`` on an instance of a platform: routes any request."""

import asyncio
import logging
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Final

from grpclib.client import Channel

from carobspring import platform
from carobspring.adapters.byte_budget import ByteBudget
from carobspring.adapters.client_metrics import ClientMetrics
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.datagrams import DatagramSocket
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.memory_plan import MAX_PROBE_CONNECTIONS, PROBE_PLAN
from carobspring.adapters.metrics import Metrics, serve_metrics
from carobspring.adapters.rpc import open_channel
from carobspring.adapters.tasks import start_service_task
from carobspring.dispatch import Dispatcher, EngineDemand, StopSchedule
from carobspring.domain import BackendServer
from carobspring.gateway import (
    AdmissionClient,
    BackendConnections,
    BackendDirectory,
    ControlStreams,
    GatewayApi,
    GatewayState,
)
from carobspring.gateway.announcements import AnnouncementRecorder
from carobspring.gateway.backends import compute_max_idle
from carobspring.gateway.budget import RetryBudget
from carobspring.gateway.crashes import CrashDetector
from carobspring.gateway.directory import ListedServer
from carobspring.gateway.entry_count import EntryCount
from carobspring.gateway.exchange import ExchangeContext
from carobspring.gateway.metrics import (
    CrashMetrics,
    GatewayMetrics,
    StreamMetrics,
)
from carobspring.gateway.origins import StreamOrigins
from carobspring.gateway.replicas import choose_replicas, count_replicas_to_follow
from carobspring.membership import DEMAND_DIGITS
from carobspring.metering import WindowCounter
from carobspring.ports import HttpLimits, HttpRequest, HttpResponder
from carobspring.programs.instance_options import InstanceOptions
from carobspring.programs.node_file import (
    NodeFileWatcher,
    build_budget,
    read_instance_settings,
)
from carobspring.programs.options import OptionError
from carobspring.programs.runner import Program, run_command_line
from carobspring.programs.stalls import StallDetector, read_boot_time
from carobspring.programs.stopping import StopStep, cancel_tasks
from carobspring.protocol import EntryReport, StreamMessage, ViewUpdate
from carobspring.resumption import PeerDirectory, RouteSteps

#: Seconds after SIGTERM during which new connections are still accepted:
#: callers are sent elsewhere only after two failed readiness checks, one
#: second apart.
STOP_LISTEN_S: Final = 2.6
#: Seconds before SIGKILL at which the process exits by itself.
EXIT_MARGIN_S: Final = 0.4
#: Seconds of that in which the last reports reach the replicas. Ending a
#: stream discards what the replica has not read yet.
LAST_REPORT_S: Final = 0.1
#: Open requests that the log names at the start of a stop, and at its end.
MAX_NAMED_REQUESTS: Final = 100

#: Offset of the port for datagrams of other entries in the ports for internal
#: use. The first one is the control daemon's.
PEER_PORT_OFFSET: Final = 1

#: Check-in intervals within which the later start of a crashed server is
#: listed.
EVIDENCE_CHECK_INS: Final = 8

logger = logging.getLogger(__name__)


class InstanceEntryProgram(Program):
    """An entry that routes requests by the operator's routing table."""

    def __init__(self, options: InstanceOptions) -> None:
        self._options = options
        settings = self._settings = read_instance_settings()
        if settings.frontend_address is None or settings.readiness_address is None:
            reason = "has no address for callers or readiness"
            raise OptionError(name="listen", source="node file", reason=reason)
        self._frontend_address, self._readiness_address = (
            settings.frontend_address,
            settings.readiness_address,
        )
        self._clock = SystemClock()
        self._started_at = self._clock.read_monotonic()
        random = SystemRandom()
        metrics = self._metrics = Metrics(labels={"zone": settings.availability_zone})
        self._state = GatewayState()
        self._backend_connections = BackendConnections(
            find_max_idle=self._find_max_idle
        )
        self._dispatcher = Dispatcher(zone=settings.availability_zone, random=random)
        self._admission_client = AdmissionClient(
            open_channel=self._open_channel,
            dispatcher=self._dispatcher,
            read_clock=self._clock.read_monotonic,
        )
        self._backend_directory = BackendDirectory(
            on_change=self._handle_server_change,
            is_serving=self._is_serving,
        )
        # Nothing is routed before there are routes.
        self._backend_directory.set_services(frozenset())
        self._crash_detector = CrashDetector(
            connections=self._backend_connections,
            find_listing=self._backend_directory.find,
            read_clock=self._clock.read_monotonic,
            read_wall_ms=self._clock.read_wall_ms,
            request_report=self._request_report,
            count_entries=self._count_entries,
            is_contested=self._backend_directory.is_contested,
            handle_crash=self._handle_crash,
            trial_turn=random.draw_uniform(),
            evidence_s=settings.check_in_interval_s * EVIDENCE_CHECK_INS,
            metrics=CrashMetrics(metrics),
        )
        self._usage_counter: WindowCounter | None = None
        if settings.provider is not None and settings.provider.reports_usage:
            self._usage_counter = WindowCounter(
                entry_id=settings.instance,
                boot_ms=self._clock.read_wall_ms(),
                window_s=settings.provider.usage_window_s,
            )
        self._peer_port = settings.internal_ports[0] + PEER_PORT_OFFSET
        self._peer_address = f"{settings.ip}:{self._peer_port}"
        self._peers = PeerDirectory(own_address=self._peer_address)
        self._peer_socket = DatagramSocket(
            message_type=StreamMessage,
            secret=options.secret,
            on_message=self._handle_peer_message,
            metrics=metrics,
        )
        self._stream_origins = StreamOrigins(
            peers=self._peers,
            send=self._peer_socket.send,
            request_report=self._request_report,
            read_clock=self._clock.read_monotonic,
            metrics=StreamMetrics(metrics),
        )
        self._route_steps = RouteSteps()
        self._entry_count = EntryCount(window_s=settings.retry_window_s)
        self._budgets: dict[str, RetryBudget] = {}
        self._api = GatewayApi(
            state=self._state,
            context=ExchangeContext(
                dispatcher=self._dispatcher,
                connections=self._backend_connections,
                crash_detector=self._crash_detector,
                admission_client=self._admission_client,
                stream_origins=self._stream_origins,
                route_steps=self._route_steps,
                announcements=AnnouncementRecorder(
                    dispatcher=self._dispatcher,
                    crash_detector=self._crash_detector,
                    handle_misdirected=self._backend_directory.record_misdirected,
                    read_clock=self._clock.read_monotonic,
                    metrics=metrics,
                ),
                read_clock=self._clock.read_monotonic,
                spend_retry=self._try_spend_retry,
                count_entries=self._count_entries,
                started_at=self._started_at,
                record_run=self._record_run,
            ),
            find_budget=self._find_budget,
            random=random,
            metrics=GatewayMetrics(metrics),
        )
        self._control_streams = ControlStreams(
            seeds=self._build_seed_names(settings),
            open_channel=self._open_channel,
            build_report=self._build_report,
            apply_update=self._apply_update,
            remove_replica=self._remove_replica,
            choose=self._choose_replicas,
            update_replicas=self._admission_client.update_hosts,
            metrics=metrics,
        )
        self._node_file_watcher = NodeFileWatcher(
            read=platform.read_node_file, apply=self._apply_settings
        )
        self._stall_detector = StallDetector(metrics=metrics)
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[CircuitsHttpServer] = []

    async def start(self) -> dict[str, int]:
        """Listen for callers and connect to control replicas."""
        budget = build_budget(self._settings)
        self._frontend = CircuitsHttpServer(
            host=self._frontend_address.host,
            port=self._frontend_address.port,
            handler=self._api.handle,
            limits=HttpLimits(),
            budget=budget,
            find_max_body=self._api.find_max_body,
        )
        readiness = CircuitsHttpServer(
            host=self._readiness_address.host,
            port=self._readiness_address.port,
            handler=self._handle_readiness,
            limits=HttpLimits(max_connections=MAX_PROBE_CONNECTIONS),
            budget=ByteBudget(plan=PROBE_PLAN),
            find_max_body=lambda request: 0,
        )
        client_metrics = ClientMetrics(metrics=self._metrics, budget=budget)
        client_metrics.add_server("callers", self._frontend)
        client_metrics.add_server("readiness", readiness)
        self._servers = [self._frontend, readiness]
        for server in self._servers:
            await server.start()
        if self._options.metrics_port:
            metrics_server = await serve_metrics(
                host=self._settings.ip,
                port=self._options.metrics_port,
                render=client_metrics.wrap(self._metrics.render_text),
            )
            client_metrics.add_server("metrics", metrics_server)
            self._servers.append(metrics_server)
        await self._peer_socket.open(self._settings.ip, self._peer_port)
        self._tasks = [
            start_service_task(self._control_streams.run, name="control streams"),
            start_service_task(self._stream_origins.run, name="stream origins"),
            start_service_task(self._node_file_watcher.run, name="node file"),
            start_service_task(self._stall_detector.run, name="stall detector"),
        ]
        logger.info(
            "started",
            extra={
                "instance": self._settings.instance,
                "zone": self._settings.availability_zone,
                "seeds": [str(seed) for seed in self._settings.seeds],
            },
        )
        return {
            "callers": self._frontend_address.port,
            "readiness": self._readiness_address.port,
        }

    def list_stop_steps(self) -> Sequence[StopStep]:
        """Report not ready, wait until open requests end, and close."""
        now = self._clock.read_monotonic()
        left_s = self._settings.stop_grace_s - EXIT_MARGIN_S
        listen_s = min(STOP_LISTEN_S, left_s / 2)
        # The platform counts from the signal, which may have come in a stall.
        late_s = self._stall_detector.measure_lateness(read_boot_time())
        drained_at = now + left_s
        schedule = StopSchedule(
            listens_until=now + listen_s, ends_at=drained_at - late_s
        )
        connections = self._backend_connections
        return (
            StopStep(name="begin", run=lambda: self._api.begin_stop(schedule)),
            StopStep(name="report", run=self._log_stop_begin),
            StopStep(
                name="send callers elsewhere",
                run=lambda: self._frontend.disable_keep_alive(listen_s),
            ),
            StopStep(name="drain", run=lambda: self._drain(drained_at)),
            StopStep(name="last usage", run=self._report_last_usage),
            StopStep(name="tasks", run=lambda: cancel_tasks(self._tasks)),
            *(StopStep(name="server", run=each.close) for each in self._servers),
            StopStep(name="admission client", run=self._admission_client.close),
            StopStep(name="peer socket", run=self._peer_socket.close),
            StopStep(name="backend connections", run=connections.close),
            StopStep(name="last line", run=lambda: logger.info("stopped")),
        )

    def _log_stop_begin(self) -> None:
        logger.info("stopping", extra={"open_requests": len(self._api.open_requests)})
        self._log_open_requests("request open at stop")

    async def _drain(self, ends_at: float) -> None:
        left_s = ends_at - self._clock.read_monotonic()
        drained = await self._frontend.drain(max(0.0, left_s))
        extra = {"drained": drained, "open_requests": len(self._api.open_requests)}
        logger.info("drain ended", extra=extra)
        self._log_open_requests("request cut by stop")

    async def _report_last_usage(self) -> None:
        """Report what was counted since the last reports, up to a second."""
        if self._usage_counter is not None:
            self._request_report()
            await asyncio.sleep(LAST_REPORT_S)

    def _log_open_requests(self, message: str) -> None:
        """Name the oldest open requests, one a line."""
        now = self._clock.read_monotonic()
        for request in self._api.open_requests.list_oldest(MAX_NAMED_REQUESTS):
            extra = {
                "request": request.request_id,
                "age_ms": round((now - request.arrived_at) * 1000, 1),
                "after_stop_ms": self._state.compute_after_stop_ms(request.arrived_at),
            }
            logger.info(message, extra=extra)

    def reload(self) -> None:
        """Read the node file again; called at SIGHUP."""
        self._node_file_watcher.check(log_unchanged=True)

    async def _handle_readiness(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        ready = self._state.is_ready and request.path == platform.READINESS_PATH
        await responder.send(200 if ready else 503, (), b"")

    def _record_run(self, workspace: str) -> None:
        if self._usage_counter is not None and workspace:
            self._usage_counter.record(workspace, self._clock.read_wall_ms())

    def _apply_update(self, replica: str, update: ViewUpdate) -> None:
        if update.complete and self._usage_counter is not None:
            # A new stream: the replica may know nothing of earlier windows.
            self._usage_counter.request_everything(replica)
        self._stream_origins.apply_update(replica, update)
        self._backend_directory.apply_update(replica, update)
        self._crash_detector.apply_update(update)
        if update.entry_count and update.confirmed:
            self._record_entry_count(update.entry_count)
        if update.generating:
            reading = update.reading or {}
            demand = {
                service: EngineDemand(
                    generating_s=seconds, reading_s=reading.get(service, 0.0)
                )
                for service, seconds in update.generating.items()
            }
            self._dispatcher.update_demand(demand, self._clock.read_monotonic())
        is_usable = update.routing is None or self._apply_routing(replica, update)
        if update.confirmed and is_usable:
            self._confirm_table(replica)

    def _remove_replica(self, replica: str) -> None:
        self._backend_directory.remove_replica(replica)
        self._peers.remove_replica(replica)

    def _handle_peer_message(self, sender: str, message: StreamMessage) -> None:
        self._stream_origins.handle_message(sender, message)

    def _record_entry_count(self, count: int) -> None:
        now = self._clock.read_monotonic()
        before = self._entry_count.find_largest(now)
        self._entry_count.record(count, now)
        divisor = self._entry_count.find_largest(now)
        if divisor != before:
            extra = {"reported": count, "divisor": divisor, "before": before}
            logger.info("number of entries changed", extra=extra)

    def _apply_routing(self, replica: str, update: ViewUpdate) -> bool:
        """Put an update's routes in force, unless newer ones already are.

        Returns whether the routes in force are at least as new.
        """
        routing = update.routing
        current = self._state.table
        if routing is None or (current and routing.version <= current.version):
            return current is not None
        try:
            table = platform.decode_routing_table(zlib.decompress(routing.body))
        except (platform.ConfigurationError, zlib.error) as error:
            # Unexpected: routes are validated before they are committed.
            extra = {"version": routing.version, "reason": str(error)}
            logger.error("committed routes cannot be decoded", extra=extra)
            return False
        self._state.apply_table(table, self._clock.read_monotonic())
        self._dispatcher.update_services(table.services)
        self._backend_directory.set_services(frozenset(table.services))
        self._frontend.update_limits(
            replace(
                self._frontend.limits,
                max_header_bytes=table.limits.max_header_bytes,
                max_body_bytes=table.limits.max_body_bytes,
                header_timeout_s=table.limits.header_timeout_s,
                idle_timeout_s=table.limits.idle_timeout_s,
            )
        )
        self._route_steps.keep_only(frozenset(each.name for each in table.routes))
        logger.info(
            "routes in force",
            extra={
                "version": table.version,
                "before": current.version if current else None,
                "replica": replica,
                "confirmed": update.confirmed,
                "count": len(table.routes),
                "workspace_ranks": [owner.priority for owner in table.owners],
            },
        )
        return True

    def _confirm_table(self, replica: str) -> None:
        state = self._state
        if state.table is None:
            return
        if state.confirmed_at is None:
            extra = {"version": state.table.version, "replica": replica}
            logger.info("routes confirmed for the first time", extra=extra)
        state.confirm_table(self._clock.read_monotonic())

    def _handle_server_change(
        self, server_id: str, listed: ListedServer | None
    ) -> None:
        if listed is None:
            self._dispatcher.remove_server(server_id)
            self._stream_origins.handle_removed(server_id)
            self._backend_connections.remove(server_id)
            logger.info("backend server removed", extra={"server": server_id})
            return
        server = listed.server
        if self._backend_connections.find(
            server_id
        ) is None or not self._dispatcher.has_server(server):
            self._backend_connections.add(server)
        self._dispatcher.add_server(server, draining=listed.draining)
        self._crash_detector.handle_listed(listed)
        self._stream_origins.handle_listed(server)
        logger.info(
            "backend server listed",
            extra={
                "server": server_id,
                "service": server.service,
                "boot": server.boot,
                "version": server.software_version,
                "address": f"{server.host}:{server.port}",
                "server_zone": server.zone,
                "draining": listed.draining,
            },
        )

    def _is_serving(self, server: BackendServer) -> bool:
        return self._dispatcher.is_serving(server, self._clock.read_monotonic())

    def _handle_crash(self, server_id: str) -> None:
        self._dispatcher.record_crash(server_id)
        self._backend_directory.settle_contests()

    def _apply_settings(self, settings: platform.InstanceSettings) -> None:
        self._control_streams.update_seeds(self._build_seed_names(settings))

    def _build_seed_names(self, settings: platform.InstanceSettings) -> tuple[str, ...]:
        port = settings.internal_ports[0]
        return tuple(f"{seed.host}:{port}" for seed in settings.seeds)

    def _choose_replicas(
        self, names: Iterable[str], zones: Mapping[str, str]
    ) -> tuple[str, ...]:
        """Return the replicas to follow."""
        settings = self._settings
        count = count_replicas_to_follow(
            settings.tolerated_failures,
            has_routes=self._state.table is not None,
            uptime_s=self._clock.read_monotonic() - self._started_at,
        )
        return choose_replicas(
            names,
            zones,
            entry=settings.instance,
            own_host=settings.ip,
            own_zone=settings.availability_zone,
            count=count,
        )

    def _find_budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                share=self._settings.retry_share,
                slack=self._settings.retry_slack,
                window_s=self._settings.retry_window_s,
                entry_count=self._entry_count,
                started_at=self._started_at,
            )
        return self._budgets[service]

    def _count_entries(self) -> int:
        return self._entry_count.find_largest(self._clock.read_monotonic())

    def _find_max_idle(self, service: str) -> int:
        table = self._state.table
        routed = table.services.get(service) if table else None
        max_connections = routed.max_connections if routed else 0
        return compute_max_idle(max_connections, self._count_entries())

    def _try_spend_retry(self, service: str) -> bool:
        return self._find_budget(service).try_spend(self._clock.read_monotonic())

    def _open_channel(self, host: str, port: int) -> Channel:
        return open_channel(host=host, port=port, secret=self._options.secret)

    def _request_report(self) -> None:
        self._control_streams.request_report()

    def _build_report(self, replica: str) -> EntryReport:
        table = self._state.table
        demand = self._dispatcher.compute_demand(self._clock.read_monotonic())
        return EntryReport(
            entry_id=self._settings.instance,
            zone=self._settings.availability_zone,
            revision=table.version if table else 0,
            generating={
                service: round(each.generating_s, DEMAND_DIGITS)
                for service, each in demand.items()
            },
            reading={
                service: round(each.reading_s, DEMAND_DIGITS)
                for service, each in demand.items()
            },
            strikes=self._crash_detector.list_strikes(),
            released=self._crash_detector.list_released(),
            peer_address=self._peer_address,
            asked_at=self._stream_origins.take_question(),
            usage=(
                self._usage_counter.build_usage(replica, self._clock.read_wall_ms())
                if self._usage_counter is not None
                else None
            ),
        )


def main() -> None:
    """Run ``carob-entry``."""
    run_command_line("carob-entry", InstanceEntryProgram, InstanceOptions)
