"""What the stand-in servers share: flags, the port's line, and switches."""

import asyncio
import contextlib
import dataclasses
import signal
from typing import TypeVar

import fire
import msgspec
from aiohttp import web

from carobspring.programs.options import load_options

Options = TypeVar("Options")
Faults = TypeVar("Faults")


def parse_options(options_type: type[Options]) -> Options:
    """Return a stand-in's options from the command line alone."""
    found: list[Options] = []

    def take_flags(**flags: object) -> None:
        found.append(load_options(options_type, flags, {}))  # type: ignore[type-var]

    fire.Fire(take_flags)
    return found[0]


def update_faults(faults: Faults, body: bytes) -> Faults:
    """Return the faults with the fields that a JSON object names replaced."""
    changes = msgspec.json.decode(body, type=dict[str, object])
    merged = dataclasses.asdict(faults) | changes  # type: ignore[call-overload]
    return msgspec.convert(merged, type(faults), strict=True)


async def serve(app: web.Application, *, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the port once it is open."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    runner = web.AppRunner(
        app, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    bound = runner.addresses[0][1]
    print(f"listening http={bound}", flush=True)
    await stopped.wait()
    await runner.cleanup()


def run_app(app: web.Application, *, host: str, port: int) -> None:
    """Run a stand-in to its end."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(app, host=host, port=port))
