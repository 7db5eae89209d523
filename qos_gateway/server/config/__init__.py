"""The configuration of one gateway as the other modules use it: load it, and load it again while running."""

from __future__ import annotations

from collections.abc import Mapping

from .environment import CONFIG_PATH, config_path, without_discovery
from .json_values import ConfigError, ConfigUnreadableError, flatten, read_object
from .parser import MAX_LEASE_S, MIN_LEASE_S, address, parse
from .types import Address, Config, needs_restart

__all__ = [
    "MAX_LEASE_S",
    "MIN_LEASE_S",
    "Address",
    "Config",
    "ConfigError",
    "ConfigUnreadableError",
    "address",
    "flatten",
    "load",
    "needs_restart",
    "parse",
    "reload",
]


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration in the file that `ROUTER_CONFIG` names; the other variables come before it.

    Raises `ConfigError` where the file or a value in it cannot be used.
    """
    return parse(read_object(config_path(environment), CONFIG_PATH), environment)


def reload(environment: Mapping[str, str]) -> Config:
    """Return the configuration as it is now, with discovery's address from the file.

    The environment is as old as the process, and discovery may move while it runs. Raises `ConfigError`.
    """
    return load(without_discovery(environment))
