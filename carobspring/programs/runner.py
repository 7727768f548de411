"""Runs a program on an asyncio loop until a signal stops it."""

import asyncio
import logging
import signal
import sys
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

import fire

from carobspring.programs.logs import configure_logging
from carobspring.programs.options import OptionError, load_options
from carobspring.programs.start import STOP_SIGNALS, hold_signals, release_signals
from carobspring.programs.stopping import StopStep, run_steps

EXIT_FAILURE = 1
EXIT_USAGE = 2

#: Ends a program at once, and cuts what is open.
EXIT_SIGNAL = signal.SIGQUIT

Options = TypeVar("Options")

logger = logging.getLogger(__name__)


class Program(ABC):
    """A program that runs until it is stopped."""

    @abstractmethod
    async def start(self) -> dict[str, int]:
        """Start the program and return the ports it listens on, by purpose."""

    @abstractmethod
    def list_stop_steps(self) -> Sequence[StopStep]:
        """Return the steps that stop the program, such as a drain.

        Called once, after SIGTERM or SIGINT. Each step runs even if one before
        it has failed.
        """

    async def stop(self) -> None:
        """Run every step of a planned stop."""
        await run_steps(self.list_stop_steps())

    def reload(self) -> None:
        """Reload settings that may have changed; called at SIGHUP."""


async def run_until_signal(program: Program) -> None:
    """Start a program, print its ports, and stop it on a signal.

    A stop goes on to its end whatever stop signals follow: supervisors repeat
    a signal, and send it to a group of processes and to each member. Only
    ``SIGQUIT`` ends the program without waiting for the drain.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    exit_requested = asyncio.Event()

    def handle_stop_signal(number: signal.Signals) -> None:
        extra = {"signal": number.name, "stopping": stop_requested.is_set()}
        if stop_requested.is_set():
            extra["hint"] = f"{EXIT_SIGNAL.name} ends the program at once"
        logger.info("signal received", extra=extra)
        stop_requested.set()

    def handle_exit_signal() -> None:
        logger.warning("signal received", extra={"signal": EXIT_SIGNAL.name})
        exit_requested.set()

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, handle_stop_signal, number)
    loop.add_signal_handler(EXIT_SIGNAL, handle_exit_signal)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    release_signals()
    exit_task = asyncio.ensure_future(exit_requested.wait())
    run_task = asyncio.ensure_future(_start_and_stop(program, stop_requested))
    await asyncio.wait({run_task, exit_task}, return_when=asyncio.FIRST_COMPLETED)
    # The loop restores the default action of its signals when it closes, and
    # one that follows would then change the exit code.
    hold_signals()
    exit_task.cancel()
    if run_task.done():
        run_task.result()
        return
    run_task.cancel()
    await asyncio.wait({run_task})
    logger.warning("ended before the stop was complete")


async def _start_and_stop(program: Program, stop_requested: asyncio.Event) -> None:
    ports = await program.start()
    port_list = " ".join(f"{name}={port}" for name, port in ports.items())
    print(f"listening {port_list}", flush=True)
    await stop_requested.wait()
    await program.stop()


def run_program(
    build_program: Any, options_type: type[Any], flags: Mapping[str, object]
) -> None:
    """Validate the options, configure logging, and run the program.

    Args:
        build_program: Returns the program for the options.
        options_type: The data class of the options. Its fields ``log_format``
            and ``log_level``, if present, configure logging.
        flags: The flags of the command line, by name.
    """
    try:
        options = load_options(options_type, flags)
    except OptionError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    configure_logging(
        log_format=getattr(options, "log_format", "text"),
        log_level=getattr(options, "log_level", "INFO"),
    )

    async def run() -> None:
        await run_until_signal(build_program(options))

    try:
        asyncio.run(run())
    except OptionError as error:
        # The program validates more than the types of its options express.
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except OSError as error:
        # For example, a port in use or an unusable data directory.
        print(f"error: can't start: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


def run_command_line(name: str, build_program: Any, options_type: type[Any]) -> None:
    """Parse the command line and run the program; called by each ``main``.

    ``--help`` prints the flags from the doc comment of the options class.
    """

    # Values stay text: fire would guess their types, and ``load_options``
    # converts them.
    @fire.decorators.SetParseFn(str)
    def command(**flags: object) -> None:
        run_program(build_program, options_type, flags)

    command.__doc__ = options_type.__doc__
    fire.Fire(command, name=name)
