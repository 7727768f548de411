"""Runs a case within its time and turns its result into an exit code."""

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

from review.support.platform import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
#: Seconds after which a case counts as one that could not run.
LIMIT_S = 112.0


def run_case(file: str, play) -> None:
    """Run ``play(record, trouble)``, which returns why the rule is broken.

    It returns an empty text if the rule held.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begins, {'with' if trouble else 'without'} the disruption")

    async def play_in_time() -> str:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # A script that is stopped ends its processes too.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await play(record, trouble)

    try:
        broken = asyncio.run(play_in_time())
        code = BROKEN if broken else HELD
        text = f"BROKEN: {broken}" if broken else "HELD"
    except (Exception, asyncio.CancelledError) as error:
        # An error of the script must not pass for a broken rule.
        code, text = CANNOT_RUN, f"COULD NOT RUN: {type(error).__name__} {error}"
        record.write(traceback.format_exc())
    record.write(text)
    print(text)
    sys.exit(code)
