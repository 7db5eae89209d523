"""Loading the configuration at the start and on request, with retries while its file cannot be read."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable, Mapping

from ..networking.transient_errors import RETRY_INTERVAL_S, START_RETRY_TIME_S
from .errors import ConfigError, ConfigUnreadableError
from .loader import load, reload
from .types import Config

log = logging.getLogger(__name__)

RELOAD_RETRY_TIME_S = 10.0  # after a signal, for an unreadable file
MAX_RELOAD_INTERVAL_S = 0.5


def load_at_start(environment: Mapping[str, str]) -> Config:
    """Return the configuration; transient read errors are retried for `START_RETRY_TIME_S`.

    Raises `ConfigError`.
    """
    give_up_at = time.monotonic() + START_RETRY_TIME_S
    while True:
        try:
            return load(environment)
        except ConfigUnreadableError as error:
            if not error.is_transient or time.monotonic() >= give_up_at:
                raise
        time.sleep(RETRY_INTERVAL_S)


class ConfigReloader:
    """Applies the changed configuration on each request; an invalid one changes nothing.

    The platform signals once, so an unreadable or half-written file is read again soon.
    """

    def __init__(self, reconfigure: Callable[[Config], None]) -> None:
        """Take `reconfigure` to apply a configuration; a running event loop is needed."""
        self._reconfigure = reconfigure
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Load the configuration now; retry for `RELOAD_RETRY_TIME_S` if its file is unreadable."""
        self.close()
        self._read(self._loop.time() + RELOAD_RETRY_TIME_S, RETRY_INTERVAL_S)

    def close(self) -> None:
        """Cancel the retries."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _read(self, give_up_at: float, interval_s: float) -> None:
        try:
            config = reload(os.environ)
        except ConfigUnreadableError as error:
            self._retry(error, give_up_at, interval_s)
        except ConfigError as error:
            log.error("configuration_invalid kept=previous error=%s", error)  # noqa: TRY400  # not our fault
        else:
            self._reconfigure(config)

    def _retry(self, error: ConfigError, give_up_at: float, interval_s: float) -> None:
        if self._loop.time() >= give_up_at:
            log.error("configuration_given_up kept=previous error=%s", error)
            return
        if interval_s == RETRY_INTERVAL_S:
            log.error(
                "configuration_invalid kept=previous retried_for_s=%d error=%s", RELOAD_RETRY_TIME_S, error
            )
        next_interval_s = min(MAX_RELOAD_INTERVAL_S, 2 * interval_s)
        self._timer = self._loop.call_later(interval_s, self._read, give_up_at, next_interval_s)
