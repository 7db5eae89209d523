"""The frame of a case: a record, a temporary folder, and the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins2.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_S = 110.0


class CannotRunError(Exception):
    """The case could not be played."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _play_in_time(awaitable: Awaitable[bool]) -> bool:
    """Play a case, which ends its processes also when this process is told to end, or at `LONGEST_S`."""
    task = asyncio.ensure_future(awaitable)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, LONGEST_S)


def play(case_file: str, case: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule held, and exit."""
    record = Record(Path(case_file).parent / "record.txt")
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(_play_in_time(case(record, Path(folder))))
        status = HELD if held else BROKEN
    except (Exception, asyncio.CancelledError):
        record.say(traceback.format_exc())
    record.say(f"exit status {status}")
    record.close()
    sys.exit(status)
