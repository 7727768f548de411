"""``carob-entry`` on the users' machines: forwards any request by routes."""

import asyncio
import contextlib
import logging
import zlib
from typing import Final

from grpclib.client import Channel

from carobspring import platform
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.metrics import Metrics, serve_metrics
from carobspring.adapters.rpc import open_channel
from carobspring.dispatch import Dispatcher
from carobspring.gateway import (
    AdmissionClient,
    BackendConnections,
    BackendDirectory,
    ControlStreams,
    GatewayApi,
    GatewayState,
)
from carobspring.gateway.budget import RetryBudget
from carobspring.gateway.directory import ListedServer
from carobspring.gateway.exchange import ExchangeContext
from carobspring.gateway.metrics import GatewayMetrics
from carobspring.ports import HttpLimits, HttpRequest, HttpResponder
from carobspring.programs.instance_options import InstanceOptions
from carobspring.programs.options import OptionError
from carobspring.programs.runner import Program, run_command_line
from carobspring.programs.settings_file import (
    SettingsFileWatcher,
    read_instance_settings,
)
from carobspring.programs.stalls import StallDetector
from carobspring.protocol import EntryReport, ViewUpdate

#: Seconds after SIGTERM for which new connections are still taken: callers
#: are sent elsewhere only after two failed looks at the readiness, a second
#: apart.
STOP_LISTEN_S: Final = 2.6
#: Seconds before SIGKILL at which the process ends by itself.
EXIT_MARGIN_S: Final = 0.4

logger = logging.getLogger(__name__)


class InstanceEntryProgram(Program):
    """An entry that routes by the operator's table to listed servers."""

    def __init__(self, options: InstanceOptions) -> None:
        self._options = options
        settings = self._settings = read_instance_settings()
        if settings.frontend_address is None or settings.readiness_address is None:
            reason = "has no address for callers or readiness"
            raise OptionError(name="listen", source="settings file", reason=reason)
        self._callers, self._readiness = (
            settings.frontend_address,
            settings.readiness_address,
        )
        self._clock = SystemClock()
        random = SystemRandom()
        metrics = self._metrics = Metrics(labels={"zone": settings.availability_zone})
        self._state = GatewayState()
        self._connections = BackendConnections()
        self._dispatcher = Dispatcher(zone=settings.availability_zone, random=random)
        self._admission_client = AdmissionClient(
            open_channel=self._open_channel,
            dispatcher=self._dispatcher,
            read_clock=self._clock.read_monotonic,
        )
        self._directory = BackendDirectory(on_change=self._note_server)
        self._budgets: dict[str, RetryBudget] = {}
        self._api = GatewayApi(
            state=self._state,
            context=ExchangeContext(
                dispatcher=self._dispatcher,
                connections=self._connections,
                admission_client=self._admission_client,
                read_clock=self._clock.read_monotonic,
                spend_retry=self._spend_repeat,
                started_at=self._clock.read_monotonic(),
            ),
            find_budget=self._find_budget,
            random=random,
            metrics=GatewayMetrics(metrics),
        )
        self._streams = ControlStreams(
            seeds=self._name_seeds(settings),
            open_channel=self._open_channel,
            build_report=self._build_report,
            apply_update=self._apply_update,
            forget_replica=self._directory.forget_replica,
            rank_replica=self._rank_replica,
            update_replicas=self._admission_client.update_hosts,
            metrics=metrics,
        )
        self._file = SettingsFileWatcher(
            read=platform.read_node_file, apply=self._take_settings
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[CircuitsHttpServer] = []

    async def start(self) -> dict[str, int]:
        """Listen, and follow control replicas."""
        self._front = CircuitsHttpServer(
            host=self._callers.host,
            port=self._callers.port,
            handler=self._api.handle,
            limits=HttpLimits(),
        )
        ready = CircuitsHttpServer(
            host=self._readiness.host,
            port=self._readiness.port,
            handler=self._answer_readiness,
        )
        self._servers = [self._front, ready]
        for server in self._servers:
            await server.start()
        if self._options.metrics_port:
            self._servers.append(
                await serve_metrics(
                    host=self._settings.ip,
                    port=self._options.metrics_port,
                    render=self._metrics.render_text,
                )
            )
        self._tasks = [
            asyncio.create_task(self._streams.run()),
            asyncio.create_task(self._file.run()),
            asyncio.create_task(StallDetector().run()),
        ]
        logger.info(
            "started",
            extra={
                "instance": self._settings.instance,
                "zone": self._settings.availability_zone,
                "seeds": [str(seed) for seed in self._settings.seeds],
            },
        )
        return {"callers": self._callers.port, "readiness": self._readiness.port}

    async def stop(self) -> None:
        """Turn readiness off, let open requests end, and close."""
        logger.info("stopping", extra={"open_requests": self._api.open_requests})
        self._state.is_stopping = True
        left_s = self._settings.stop_grace_s - EXIT_MARGIN_S
        listen_s = min(STOP_LISTEN_S, left_s / 2)
        await self._front.disable_keep_alive(listen_s)
        drained = await self._front.drain(max(0.0, left_s - listen_s))
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for server in self._servers:
            await server.close()
        self._admission_client.close()
        await self._connections.close()
        extra = {"drained": drained, "open_requests": self._api.open_requests}
        logger.info("stopped", extra=extra)

    def reload(self) -> None:
        """Read the settings file again, at SIGHUP."""
        self._file.check(log_unchanged=True)

    async def _answer_readiness(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        ready = self._state.is_ready and request.path == platform.READINESS_PATH
        await responder.send(200 if ready else 503, (), b"")

    def _apply_update(self, replica: str, update: ViewUpdate) -> None:
        self._directory.apply_update(replica, update)
        if update.entry_count:
            self._state.entry_count = update.entry_count
        if update.generating:
            now = self._clock.read_monotonic()
            self._dispatcher.update_generating_demand(update.generating, now)
        content = update.routing
        if content is None:
            return
        held = self._state.table
        if held is not None and content.version <= held.version:
            return
        try:
            table = platform.decode_routing_table(zlib.decompress(content.body))
        except (platform.ConfigurationError, zlib.error) as error:
            # It was checked before it was committed.
            extra = {"version": content.version, "reason": str(error)}
            logger.error("committed routes are unreadable", extra=extra)
            return
        self._state.apply_table(table, self._clock.read_monotonic())
        logger.info(
            "routes in force",
            extra={
                "version": table.version,
                "before": held.version if held else None,
                "replica": replica,
                "count": len(table.routes),
                "workspace_ranks": [owner.priority for owner in table.owners],
            },
        )

    def _note_server(self, server_id: str, listed: ListedServer | None) -> None:
        if listed is None:
            self._dispatcher.remove_server(server_id)
            self._connections.remove(server_id)
            logger.info("backend server gone", extra={"server": server_id})
            return
        server = listed.server
        if self._connections.find(server_id) is None or not self._dispatcher.has_server(
            server
        ):
            self._connections.add(server)
        self._dispatcher.add_server(server, draining=listed.draining)
        logger.info(
            "backend server listed",
            extra={
                "server": server_id,
                "service": server.service,
                "boot": server.boot,
                "address": f"{server.host}:{server.port}",
                "server_zone": server.zone,
                "draining": listed.draining,
            },
        )

    def _take_settings(self, settings: platform.InstanceSettings) -> None:
        self._streams.update_seeds(self._name_seeds(settings))

    def _name_seeds(self, settings: platform.InstanceSettings) -> tuple[str, ...]:
        port = settings.internal_ports[0]
        return tuple(f"{seed.host}:{port}" for seed in settings.seeds)

    def _rank_replica(self, name: str) -> int:
        """Return the place of a replica: the own instance's goes first."""
        return 0 if name.startswith(f"{self._settings.ip}:") else 1

    def _find_budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                share=self._settings.retry_share,
                slack=self._settings.retry_slack,
                window_s=self._settings.retry_window_s,
                count_entries=lambda: self._state.entry_count,
            )
        return self._budgets[service]

    def _spend_repeat(self, service: str) -> bool:
        return self._find_budget(service).try_spend(self._clock.read_monotonic())

    def _open_channel(self, host: str, port: int) -> Channel:
        return open_channel(host=host, port=port, secret=self._options.secret)

    def _build_report(self) -> EntryReport:
        table = self._state.table
        return EntryReport(
            entry_id=self._settings.instance,
            zone=self._settings.availability_zone,
            revision=table.version if table else 0,
            generating=self._dispatcher.compute_generating_demand(
                self._clock.read_monotonic()
            ),
        )


def main() -> None:
    """Run the entry."""
    run_command_line("carob-entry", InstanceEntryProgram, InstanceOptions)


if __name__ == "__main__":
    main()
