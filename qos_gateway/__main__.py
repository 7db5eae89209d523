"""Run one gateway; exit with status 2 and one line on stderr if the configuration is invalid."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Mapping

import uvloop

from . import LOADING_STARTED_AT_S
from .server.config import Config, ConfigError
from .server.config.reloader import ConfigReloader, load_at_start
from .server.gateway import GatewayProcess
from .server.memory.process_memory import ProcessMemory

EXIT_CONFIG_ERROR = 2
LOG_LEVEL_VARIABLE = "QOS_GATEWAY_LOG_LEVEL"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# Blocked while no handler is installed, as an early reload would end the process.
RELOAD_SIGNALS = {signal.SIGHUP}
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
log = logging.getLogger("qos_gateway")


async def serve(config: Config, loaded_at_s: float) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the configuration.

    `loaded_at_s` is the time on the monotonic clock when the imports were complete. Raises `ConfigError` if
    an address cannot be listened on.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, stop.set)
    configured_at_s = time.monotonic()
    gc.collect()
    gateway = GatewayProcess(config, ProcessMemory())
    reloader = ConfigReloader(gateway.reconfigure)
    loop.add_signal_handler(signal.SIGHUP, reloader.request)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD_SIGNALS)
    try:
        await gateway.start()
    except OSError as error:
        # The configured address is in use or does not belong to this machine.
        raise ConfigError(f"cannot listen: {error}") from None
    log_start(gateway, loaded_at_s, configured_at_s)
    # All objects so far live as long as the process: full collections can skip them.
    gc.freeze()
    await stop.wait()
    log.info("stopping name=%s", config.name)
    await gateway.stop()
    reloader.close()
    # The loop removes its handlers when it closes.
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS.union(STOP_SIGNALS))


def log_start(gateway: GatewayProcess, loaded_at_s: float, configured_at_s: float) -> None:
    """Log the time from the start of the program until clients are served, by phase."""
    now_s = time.monotonic()
    log.info(
        "started name=%s total_s=%.2f program_s=%.2f settings_s=%.2f list_and_listening_s=%.2f "
        "endpoints_known=%s",
        gateway.config.name,
        now_s - LOADING_STARTED_AT_S,
        loaded_at_s - LOADING_STARTED_AT_S,
        configured_at_s - loaded_at_s,
        now_s - configured_at_s,
        "yes" if gateway.is_ready() else "no",
    )


def log_level(environment: Mapping[str, str]) -> str:
    """Return the log level of the environment, by default INFO.

    Raises `ConfigError` if it is not one of `LOG_LEVELS`.
    """
    level = environment.get(LOG_LEVEL_VARIABLE, "info").upper()
    if level not in LOG_LEVELS:
        raise ConfigError(f"{LOG_LEVEL_VARIABLE}: {level!r} is none of {', '.join(LOG_LEVELS)}")
    return level


def main() -> int:
    """Run one gateway with the configuration named by the environment, and return the exit status."""
    loaded_at_s = time.monotonic()
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    try:
        logging.getLogger().setLevel(log_level(os.environ))
        uvloop.run(serve(load_at_start(os.environ), loaded_at_s))
    except ConfigError as error:
        print(f"qos_gateway: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())
