"""Which keys of the configuration a running gateway applies, ignores, or reports as requiring a restart."""

from __future__ import annotations

from dataclasses import fields

from ...edge_names import (
    ConfigKey,
    EnvironmentVariable,
    FamilyKey,
    ProcessLimitKey,
    SettingsKey,
    SettingsLimitKey,
)
from .types import Config

RELOADABLE = frozenset({ConfigKey.COUNTER, ConfigKey.DISCOVERY})
# Initial values of a process: a running gateway ignores a change and does not report it.
USED_AT_START_ONLY = frozenset({ConfigKey.SEED, ConfigKey.CACHED_LIST})

# Keys of the fields whose names differ from them.
CONFIGURATION_KEYS = {
    "max_descriptors": f"{ConfigKey.LIMITS}.{ProcessLimitKey.MAX_DESCRIPTORS}",
    "memory_bytes": f"{ConfigKey.LIMITS}.{ProcessLimitKey.MEMORY_MB}",
    "peer_broadcast": ConfigKey.PEER_BROADCAST,
    "cached_list": ConfigKey.CACHED_LIST,
    "plans": SettingsKey.PLANS,
    "machine_classes": SettingsKey.MACHINE_CLASSES,
    "connect_timeout": SettingsLimitKey.CONNECT_TIMEOUT,
    "connection_idle": SettingsLimitKey.CONNECTION_IDLE,
    "counter_timeout": FamilyKey.COUNTER_TIMEOUT,
    "admin": ConfigKey.ADMIN,
    "inherited_descriptor": EnvironmentVariable.INHERITED_DESCRIPTOR,
    "shared_folder": EnvironmentVariable.SHARED_FOLDER,
}


def keys_requiring_restart(old: Config, new: Config) -> list[str]:
    """Return the changed keys that a running gateway neither applies nor ignores."""
    changed = [each.name for each in fields(Config) if getattr(old, each.name) != getattr(new, each.name)]
    keys = [CONFIGURATION_KEYS.get(name, name) for name in changed]
    return [key for key in keys if key not in RELOADABLE | USED_AT_START_ONLY]
