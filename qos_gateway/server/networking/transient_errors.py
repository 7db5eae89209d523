"""System calls that fail for a moment: which errors pass by themselves, and trying again until they have."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

log = logging.getLogger(__name__)

Result = TypeVar("Result")

# No descriptor, buffer or memory is left, in the process or in the system; a device fails.
TRANSIENT_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR, errno.EIO}
)
# What this machine lacks for a connection, whoever it would lead to.
SHORTAGE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})
RETRY_INTERVAL_S = 0.05
START_RETRY_TIME_S = 5.0  # at the start of a process, which has to be ready within 10 s


def is_transient(error: OSError) -> bool:
    """Return whether a call that failed so may succeed soon, with nothing changed by anyone."""
    return error.errno in TRANSIENT_ERRNOS


def is_shortage(error: OSError) -> bool:
    """Return whether a connect failed for lack of descriptors, memory or ports, whatever the peer does."""
    return error.errno in SHORTAGE_ERRNOS


async def retry_transient(
    call: Callable[[], Awaitable[Result]], time_s: float = START_RETRY_TIME_S
) -> Result:
    """Return what the call returns once it succeeds; raise OSError where it fails otherwise or for long."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + time_s
    while True:
        try:
            return await call()
        except OSError as error:
            if not is_transient(error) or loop.time() >= give_up_at:
                raise
            log.warning("call_failed_for_now error=%s", error)
        await asyncio.sleep(RETRY_INTERVAL_S)
