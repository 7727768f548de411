"""``carob-entry``: routes callers' requests to backend servers."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

from grpclib.client import Channel
from msgspec import Meta

from carobspring.adapters.byte_budget import ByteBudget
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.entry_control_stream import EntryControlStream
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.memory_plan import DEFAULT_MEMORY_MB, plan_memory
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import open_channel
from carobspring.adapters.tasks import start_service_task
from carobspring.domain import InvalidValueError, parse_addresses
from carobspring.entry import (
    CallCanceller,
    CallerApi,
    CallStreamReader,
    ChannelPool,
    ControlClient,
    DriverDependencies,
    EntryMetrics,
    EntryState,
    RouterObserver,
    StreamLimits,
    ViewUpdateHandler,
)
from carobspring.ports import HttpLimits
from carobspring.programs.options import OptionError
from carobspring.programs.runner import Program, run_command_line
from carobspring.programs.stopping import StopStep, cancel_tasks
from carobspring.protocol import EntryReport
from carobspring.routing import Router

DRAIN_TIMEOUT_S = 24 * 60 * 60.0


@dataclass(frozen=True, kw_only=True)
class EntryOptions:
    """Serve callers over HTTP and route their calls to backend servers.

    Each flag also has a variable: CAROB_HTTP_PORT for --http-port.

    Args:
        entry_id: Name of this entry, unique among entries.
        zone: Availability zone that this entry runs in.
        control: gRPC addresses of the control replicas, as
            host:port,host:port.
        secret: Shared secret of the system's processes.
        http_host: IP address to listen on for callers.
        http_port: Port to listen on for callers; 0 selects a free port.
        stop_grace_s: Seconds after SIGTERM during which requests are still
            accepted while /readyz already returns 503; 0 to 60.
        max_body_bytes: Largest size of a request body in bytes.
        memory_mb: Memory in MB that the process may use; it bounds what
            callers hold in it, and their connections.
        log_format: text or json.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """

    entry_id: Annotated[str, Meta(min_length=1, max_length=63)]
    zone: Annotated[str, Meta(min_length=1, max_length=63)]
    control: Annotated[str, Meta(min_length=3)]
    secret: Annotated[str, Meta(min_length=8)]
    http_host: str = "127.0.0.1"
    http_port: Annotated[int, Meta(ge=0, le=65535)] = 8080
    stop_grace_s: Annotated[float, Meta(ge=0, le=60)] = 1.0
    max_body_bytes: Annotated[int, Meta(ge=1024, le=64 * 1024 * 1024)] = 8 * 1024 * 1024
    memory_mb: Annotated[int, Meta(ge=64, le=1024 * 1024)] = DEFAULT_MEMORY_MB
    log_format: Annotated[str, Meta(pattern="^(text|json)$")] = "text"
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class EntryProgram(Program):
    """An entry that serves the API of models and plain services."""

    def __init__(self, options: EntryOptions) -> None:
        self._options = options
        try:
            addresses = parse_addresses("control", options.control)
        except InvalidValueError as error:
            raise OptionError(
                name="control", source="--control", reason=str(error)
            ) from error
        clock = SystemClock()
        random = SystemRandom()
        metrics = Metrics(labels={"zone": options.zone})
        self._state = EntryState()
        self._pool = ChannelPool(self._open_channel)
        self._canceller = CallCanceller(self._pool)
        self._router = Router(random=random, zone=options.zone)
        stream_reader = CallStreamReader(
            pool=self._pool,
            limits=StreamLimits(),
            observer=RouterObserver(router=self._router, clock=clock),
        )
        self._control_client = ControlClient(
            addresses=addresses, open_channel=self._open_channel
        )
        self._entry_metrics = EntryMetrics(metrics)
        self._dependencies = dependencies = DriverDependencies(
            router=self._router,
            pool=self._pool,
            control=self._control_client,
            stream_reader=stream_reader,
            canceller=self._canceller,
            state=self._state,
            metrics=self._entry_metrics,
            clock=clock,
            random=random,
            secret=options.secret.encode(),
        )
        self._view_update_handler = ViewUpdateHandler(
            state=self._state,
            router=self._router,
            pool=self._pool,
            clock=clock,
            is_connected=lambda: self._control_stream.connected,
        )
        self._api = CallerApi(dependencies=dependencies, metrics=metrics)
        self._control_stream = EntryControlStream(
            addresses=addresses,
            open_channel=self._open_channel,
            build_report=self._build_report,
            apply_update=self._view_update_handler.apply,
            connected_gauge=self._entry_metrics.connected,
            first_index=random.draw_index(len(addresses)),
        )
        self._http_server = CircuitsHttpServer(
            host=options.http_host,
            port=options.http_port,
            handler=self._api.handle,
            limits=HttpLimits(max_body_bytes=options.max_body_bytes),
            budget=ByteBudget(plan=plan_memory(memory_mb=options.memory_mb)),
        )
        self._control_task: asyncio.Task[None] | None = None

    async def start(self) -> dict[str, int]:
        """Connect to control, listen for callers, and return the ports."""
        self._control_task = start_service_task(
            self._control_stream.run, name="control stream"
        )
        await self._http_server.start()
        return {"http": self._http_server.port}

    def list_stop_steps(self) -> Sequence[StopStep]:
        """Report not ready, wait until all open calls end, and close."""
        tasks = () if self._control_task is None else (self._control_task,)
        server = self._http_server
        return (
            StopStep(name="send callers elsewhere", run=self._send_elsewhere),
            StopStep(name="drain", run=lambda: server.drain(DRAIN_TIMEOUT_S)),
            StopStep(name="cancellations", run=self._canceller.finish),
            StopStep(name="tasks", run=lambda: cancel_tasks(tasks)),
            StopStep(name="server", run=server.close),
            StopStep(name="channels", run=self._pool.close),
            StopStep(name="control client", run=self._control_client.close),
        )

    async def _send_elsewhere(self) -> None:
        self._state.stopping = True
        await asyncio.sleep(self._options.stop_grace_s)

    def _open_channel(self, host: str, port: int) -> Channel:
        return open_channel(host=host, port=port, secret=self._options.secret)

    def _build_report(self) -> EntryReport:
        return EntryReport(
            entry_id=self._options.entry_id,
            zone=self._options.zone,
            revision=self._state.settings.revision,
            attainment=dict(self._entry_metrics.attainment),
        )


def main() -> None:
    """Run ``carob-entry``."""
    run_command_line("carob-entry", EntryProgram, EntryOptions)
