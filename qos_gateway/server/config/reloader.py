"""Reading the configuration at the start and again, where its file cannot be read for a moment."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable, Mapping

from ..config import Config, ConfigError, ConfigUnreadableError, load, reload
from ..networking.transient_errors import RETRY_INTERVAL_S, START_RETRY_TIME_S

log = logging.getLogger(__name__)

RELOAD_RETRY_TIME_S = 10.0  # after a signal, in which a file that cannot be read is tried again
MAX_RELOAD_INTERVAL_S = 0.5


def load_at_start(environment: Mapping[str, str]) -> Config:
    """Return the configuration, waiting a moment where reading it fails for now; raises `ConfigError`."""
    give_up_at = time.monotonic() + START_RETRY_TIME_S
    while True:
        try:
            return load(environment)
        except ConfigUnreadableError as error:
            if not error.is_transient or time.monotonic() >= give_up_at:
                raise
        time.sleep(RETRY_INTERVAL_S)


class ConfigReloader:
    """Takes up a new configuration on each request; one that cannot be used changes nothing.

    The platform signals once: a file that cannot be read, or is written just then, is read again soon.
    """

    def __init__(self, reconfigure: Callable[[Config], None]) -> None:
        """Take `reconfigure` to put a configuration in force; a running event loop is needed."""
        self._reconfigure = reconfigure
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Read the configuration now, and again for a while if that fails."""
        self.close()
        self._read(self._loop.time() + RELOAD_RETRY_TIME_S, RETRY_INTERVAL_S)

    def close(self) -> None:
        """Give up what is being tried again."""
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
