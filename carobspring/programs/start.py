"""Starts a program without losing the signals that come meanwhile.

Loading the modules of a program takes several tenths of a second. A signal
that comes before their event loop runs has its default action, which ends the
process, so it is held back until the program can handle it.
"""

import importlib
import signal
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
#: Signals that a program handles itself.
HANDLED_SIGNALS: Final = (*STOP_SIGNALS, signal.SIGHUP)


def hold_signals() -> None:
    """Let signals wait until they are released."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def release_signals() -> None:
    """Deliver the signals that wait, and those that follow."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def start_program(module: str) -> None:
    """Hold signals back, load a module of this package and run its ``main``.

    Example:
        ``start_program("entry_program")``
    """
    hold_signals()
    importlib.import_module(f"carobspring.programs.{module}").main()
