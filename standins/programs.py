"""Flags, fault settings and HTTP serving of the stand-in servers."""

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
    """Parse a stand-in's options from the command line only."""
    parsed: list[Options] = []

    def load_flags(**flags: object) -> None:
        parsed.append(load_options(options_type, flags, {}))  # type: ignore[type-var]

    fire.Fire(load_flags)
    return parsed[0]


def update_faults(faults: Faults, body: bytes) -> Faults:
    """Return the faults with the fields of a JSON object replaced."""
    changes = msgspec.json.decode(body, type=dict[str, object])
    merged = dataclasses.asdict(faults) | changes  # type: ignore[call-overload]
    return msgspec.convert(merged, type(faults), strict=True)


async def serve(app: web.Application, *, host: str, port: int) -> None:
    """Print the listening port, then serve until SIGTERM or SIGINT."""
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
    bound_port = runner.addresses[0][1]
    print(f"listening http={bound_port}", flush=True)
    await stopped.wait()
    await runner.cleanup()


def run_app(app: web.Application, *, host: str, port: int) -> None:
    """Run a stand-in until it is stopped."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(app, host=host, port=port))
