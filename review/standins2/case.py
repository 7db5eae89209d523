"""The frame of a case: a record, a temporary folder, and the exit status."""

from __future__ import annotations

import asyncio
import os
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


def play(case_file: str, case: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule held, and exit."""
    record = Record(Path(case_file).parent / "record.txt")
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(asyncio.wait_for(case(record, Path(folder)), LONGEST_S))
        status = HELD if held else BROKEN
    except Exception:
        record.say(traceback.format_exc())
    record.say(f"exit status {status}")
    record.close()
    sys.exit(status)
