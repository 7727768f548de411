"""``carob-agent``: the agent of a backend server."""

import asyncio
import logging
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from grpclib.server import Server
from msgspec import Meta

from carobspring.adapters.agent_control_stream import AgentControlStream
from carobspring.adapters.agent_service import AgentService
from carobspring.adapters.backend_http import HttpBackend
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.rpc import build_server
from carobspring.agent import (
    AgentState,
    CallManager,
    CallTable,
    CallTimings,
    TableLimits,
)
from carobspring.domain import (
    BackendServer,
    InvalidValueError,
    ServiceKind,
    parse_addresses,
)
from carobspring.ports import HttpLimits
from carobspring.programs.agent_status import AgentStatusApi
from carobspring.programs.options import OptionError
from carobspring.programs.runner import Program, run_command_line
from carobspring.programs.stopping import StopStep
from carobspring.protocol import AgentReport, AgentUpdate
from carobspring.scheduling import Scheduler, SchedulerLimits

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(ge=0.1, le=86400)]

#: Seconds for the report that the agent is leaving to be sent before it
#: drains.
LEAVING_REPORT_DELAY_S = 0.1

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class AgentOptions:
    """Run the agent of one backend server.

    Each flag also has a variable: CAROB_SERVER_ID for --server-id.

    Args:
        server_id: Name of the backend server, the same after a restart.
        service: Service that the backend server belongs to.
        backend: Base URL of the backend server, with an IP address.
        secret: Shared secret of the system's processes.
        control: gRPC addresses of the control replicas, as
            host:port,host:port.
        kind: Kind of the service: the runner of a model, or any other
            application.
        zone: Availability zone that this agent runs in.
        host: IP address to listen on and to announce.
        rpc_port: Port for entries; 0 selects a free port.
        http_port: Port for /metrics, /healthz and /readyz; 0 selects a free
            port.
        models: Names of the models that the backend server serves, separated
            by commas.
        slots: Declared number of calls that the backend server runs at once.
        queue_limit: Largest number of waiting calls.
        overcommit: Number of calls above the concurrency limit that are sent
            to an engine that schedules by ``priority`` itself.
        headroom_share: Largest fraction of the concurrency limit to keep free
            for bursts of higher priorities.
        health_path: Path that returns 200 while the backend server is healthy.
        orphan_s: Seconds that a call continues without a reader.
        hang_s: Shortest time in seconds without a byte after which an engine
            counts as hung.
        drain_s: Seconds that a planned stop waits for running calls.
        log_format: Format of the log lines.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """

    server_id: str
    service: str
    backend: str
    secret: Annotated[str, Meta(min_length=8)]
    control: str = ""
    kind: Literal["model", "plain"] = "model"
    zone: str = "a"
    host: str = "127.0.0.1"
    rpc_port: Port = 0
    http_port: Port = 0
    models: str = ""
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 8
    queue_limit: Annotated[int, Meta(ge=1, le=1_000_000)] = 256
    overcommit: Annotated[int, Meta(ge=0, le=100_000)] = 0
    headroom_share: Annotated[float, Meta(ge=0, le=0.9)] = 0.25
    health_path: str = "/health"
    orphan_s: Seconds = 30.0
    hang_s: Seconds = 10.0
    drain_s: Seconds = 600.0
    log_format: Literal["text", "json"] = "text"
    log_level: str = "INFO"


class AgentProgram(Program):
    """The agent: call manager, gRPC server and stream to control."""

    def __init__(self, options: AgentOptions) -> None:
        self._options = options
        try:
            self._control_addresses = parse_addresses("control", options.control)
        except InvalidValueError as error:
            raise OptionError(
                name="control", source="--control", reason=str(error)
            ) from error
        self._clock = SystemClock()
        self._rpc_port = 0

    async def start(self) -> dict[str, int]:
        """Build the components, listen, and announce the backend server."""
        options = self._options
        self._control_stream = AgentControlStream(
            addresses=self._control_addresses,
            secret=options.secret,
            build_report=self._build_report,
            on_update=self._apply_update,
        )
        self._agent_state = AgentState(
            server_id=options.server_id,
            boot=time.time_ns() // 1_000_000,
            kind=ServiceKind(options.kind),
            request_report=self._control_stream.request_report,
        )
        self._backend = HttpBackend(
            url=options.backend, health_path=options.health_path
        )
        self._manager = CallManager(
            agent_state=self._agent_state,
            backend=self._backend,
            scheduler=Scheduler(
                limits=SchedulerLimits(
                    slots=options.slots,
                    queue_calls=options.queue_limit,
                    overcommit=options.overcommit,
                    headroom_share=options.headroom_share,
                ),
                random=SystemRandom(),
            ),
            clock=self._clock,
            table=CallTable(limits=TableLimits()),
            timings=CallTimings(orphan_s=options.orphan_s, hang_s=options.hang_s),
            commit_outcome=self._control_stream.commit_outcome,
        )
        await self._manager.start()
        service = AgentService(manager=self._manager, clock=self._clock)
        self._rpc_server = build_server(
            services=[service.build_service()], secret=options.secret
        )
        self._rpc_port = await start_rpc_server(
            self._rpc_server, options.host, options.rpc_port
        )
        status = AgentStatusApi(
            manager=self._manager,
            control_stream=self._control_stream,
            slots=options.slots,
        )
        self._http_server = CircuitsHttpServer(
            host=options.host,
            port=options.http_port,
            handler=status.handle,
            limits=HttpLimits(max_connections=64, max_body_bytes=1024),
        )
        await self._http_server.start()
        self._control_stream.start()
        return {"rpc": self._rpc_port, "http": self._http_server.port}

    def list_stop_steps(self) -> Sequence[StopStep]:
        """Announce that the agent is leaving, drain its calls, and close."""
        return (
            StopStep(name="announce", run=self._announce_leaving),
            StopStep(name="drain", run=self._drain),
            StopStep(name="calls", run=self._manager.close),
            StopStep(name="control stream", run=self._control_stream.close),
            StopStep(name="rpc server", run=self._rpc_server.close),
            StopStep(name="server", run=self._http_server.close),
            StopStep(name="backend server", run=self._backend.close),
        )

    async def _announce_leaving(self) -> None:
        self._agent_state.leaving = True
        self._control_stream.request_report()
        await asyncio.sleep(LEAVING_REPORT_DELAY_S)

    async def _drain(self) -> None:
        try:
            async with asyncio.timeout(self._options.drain_s):
                await self._manager.drain()
        except TimeoutError:
            logger.error("calls were still running after the drain timeout")

    def _build_report(self) -> AgentReport:
        options = self._options
        server = BackendServer(
            server_id=options.server_id,
            boot=self._agent_state.boot,
            service=options.service,
            kind=self._agent_state.kind,
            zone=options.zone,
            host=options.host,
            port=self._rpc_port,
            models=tuple(filter(None, options.models.split(","))),
            slots=options.slots,
        )
        return AgentReport(
            server=server,
            load=self._manager.build_load_report(),
            leaving=self._agent_state.leaving,
            strikes=self._manager.executor.find_recent_strikes(),
            revision=self._agent_state.settings.revision,
        )

    def _apply_update(self, update: AgentUpdate) -> None:
        if update.settings is not None:
            self._manager.apply_settings(update.settings)
        if update.minimum_boot > self._agent_state.boot:
            self._agent_state.boot = update.minimum_boot
            self._control_stream.request_report()
        if update.drain != self._agent_state.drained:
            self._agent_state.drained = update.drain
            self._control_stream.request_report()
        self._manager.quarantine.add(update.strikes)
        self._manager.quarantine.release(update.released)


async def start_rpc_server(server: Server, host: str, port: int) -> int:
    """Start a gRPC server and return the port on which it listens."""
    await server.start(host, port)
    grpc_server: Any = server._server
    return int(grpc_server.sockets[0].getsockname()[1])


def main() -> None:
    """Run ``carob-agent``."""
    run_command_line("carob-agent", AgentProgram, AgentOptions)
