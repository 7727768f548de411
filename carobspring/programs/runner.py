"""Runs a program on one asyncio loop until a signal stops it."""

import asyncio
import signal
import sys
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, TypeVar

import fire

from carobspring.programs.logs import configure_logging
from carobspring.programs.options import OptionError, load_options

EXIT_FAILURE = 1
EXIT_USAGE = 2

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

Options = TypeVar("Options")


class Program(ABC):
    """A long-running program: started, waited for, and stopped in order."""

    @abstractmethod
    async def start(self) -> dict[str, int]:
        """Begin work and return the ports listened on, by their purpose."""

    @abstractmethod
    async def stop(self) -> None:
        """Hand over, drain and close; called once, after SIGTERM or SIGINT."""

    def reload(self) -> None:
        """Read settings again that may have changed; called at SIGHUP."""


async def run_until_signal(program: Program) -> None:
    """Start a program, say where it listens, and stop it on a signal.

    A second signal ends the program without waiting for its drain.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    hurrying = asyncio.Event()

    def note_signal() -> None:
        (hurrying if stopping.is_set() else stopping).set()

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, note_signal)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    ports = await program.start()
    listening = " ".join(f"{name}={port}" for name, port in ports.items())
    print(f"listening {listening}", flush=True)
    await stopping.wait()
    drain = asyncio.ensure_future(program.stop())
    hurry = asyncio.ensure_future(hurrying.wait())
    await asyncio.wait({drain, hurry}, return_when=asyncio.FIRST_COMPLETED)
    hurry.cancel()
    if drain.done():
        drain.result()


def run_program(
    build: Any, options_type: type[Any], flags: Mapping[str, object]
) -> None:
    """Check the options, set up logging, and run the program that they build.

    Args:
        build: Takes the options and returns a Program.
        options_type: The data class of the options; its fields ``log_format``
            and ``log_level``, where present, set up logging.
        flags: What the command line gave.
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
        await run_until_signal(build(options))

    try:
        asyncio.run(run())
    except OptionError as error:
        # Found by the program itself, which knows more than the type does.
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except OSError as error:
        # A port that is taken or a data folder that can't be used.
        print(f"error: can't start: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


def run_command_line(name: str, build: Any, options_type: type[Any]) -> None:
    """Read the flags by fire and run the program; the body of each ``main``.

    ``--help`` prints the program's flags, from its options' doc comment.
    """

    # Values stay text: checked options convert them, fire would guess.
    @fire.decorators.SetParseFn(str)
    def command(**flags: object) -> None:
        run_program(build, options_type, flags)

    command.__doc__ = options_type.__doc__
    fire.Fire(command, name=name)
