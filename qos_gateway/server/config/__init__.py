"""The configuration of one gateway: its typed form, loading, and loading again while the gateway runs."""

from .errors import ConfigError, ConfigUnreadableError
from .loader import load, reload
from .parser import MAX_LEASE_S, MIN_LEASE_S, address, parse
from .restart_rules import keys_requiring_restart
from .settings_text import flatten
from .types import Address, Config

__all__ = [
    "MAX_LEASE_S",
    "MIN_LEASE_S",
    "Address",
    "Config",
    "ConfigError",
    "ConfigUnreadableError",
    "address",
    "flatten",
    "keys_requiring_restart",
    "load",
    "parse",
    "reload",
]
