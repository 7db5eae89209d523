"""Parses the configuration's JSON object and the environment to the typed configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from ...edge_names import (
    ConfigKey,
    FamilyKey,
    ProcessLimitKey,
    SettingsKey,
    SettingsLimitKey,
)
from ...simulator.settings import SettingsError, parse_settings
from ...types import Settings
from ...units import SECOND
from .environment import EnvironmentOverrides
from .errors import ConfigError
from .json_values import JsonObject, JsonSection
from .settings_text import flatten
from .types import Address, Config

DEFAULT_NAME = "gateway"
DEFAULT_SEED = "0"  # hexadecimal
DEFAULT_MAX_DESCRIPTORS = 1024  # the usual soft limit of a Linux process
DEFAULT_MEMORY_MB = 64
MEGABYTE_BYTES = 1 << 20
MAX_PORT = 0xFFFF
MIN_LEASE_S = 5
MAX_LEASE_S = 50  # the counter keeps a key for 60 s, which includes a lease and its lead time


@dataclass(frozen=True, slots=True, kw_only=True)
class _StartupNumbers:
    """Numbers outside the nested settings; they share one error text."""

    seed: int
    max_descriptors: int
    memory_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _CheckedSource:
    """The input of the configuration; the values that have types here are checked."""

    raw: JsonObject
    overrides: EnvironmentOverrides
    nested: JsonSection
    settings: Settings
    limits: JsonSection
    startup_numbers: _StartupNumbers
    peers: tuple[Address, ...]
    counter: Address | None
    counter_family: JsonSection
    inherited_descriptor: int | None


def parse(raw: JsonObject, environment: Mapping[str, str]) -> Config:
    """Return the typed configuration; raises `ConfigError` where a value is missing or invalid."""
    return _build_config(_check_source(raw, EnvironmentOverrides.read(environment)))


def address(text: object, key: str) -> Address:
    """Return the address in a `host:port` text; raises `ConfigError` that names the key."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ConfigError(f"{key}: {text!r} is no host:port")
    return host, int(port)


def _optional_address(raw: JsonObject, key: str, override: str | None = None) -> Address | None:
    text = override or raw.get(key)
    return address(text, key) if text else None


def _check_source(raw: JsonObject, overrides: EnvironmentOverrides) -> _CheckedSource:
    # Of several faults the first in this order is reported.
    nested = JsonSection(raw).section(ConfigKey.SETTINGS)
    settings = _parse_nested_settings(nested)
    return _CheckedSource(
        raw=raw,
        overrides=overrides,
        nested=nested,
        settings=settings,
        limits=nested.section(SettingsKey.LIMITS),
        startup_numbers=_parse_startup_numbers(raw),
        peers=tuple(address(peer, ConfigKey.PEERS) for peer in raw.get(ConfigKey.PEERS) or []),
        counter_family=nested.section(SettingsKey.FAMILY),
        counter=_optional_address(raw, ConfigKey.COUNTER) if settings.has_counter else None,
        inherited_descriptor=overrides.parse_inherited_descriptor(),
    )


def _build_config(source: _CheckedSource) -> Config:
    raw = source.raw
    overrides = source.overrides
    return Config(
        name=overrides.name or str(raw.get(ConfigKey.NAME, DEFAULT_NAME)),
        listen=address(overrides.listen or raw.get(ConfigKey.LISTEN), ConfigKey.LISTEN),
        discovery=address(overrides.discovery or raw.get(ConfigKey.DISCOVERY), ConfigKey.DISCOVERY),
        seed=source.startup_numbers.seed,
        max_descriptors=source.startup_numbers.max_descriptors,
        memory_bytes=source.startup_numbers.memory_bytes,
        peer_listen=_optional_address(raw, ConfigKey.PEER_LISTEN),
        peers=source.peers,
        peer_broadcast=_optional_address(raw, ConfigKey.PEER_BROADCAST),
        cached_list=_parse_cached_list(raw),
        settings=_adapt_settings(source),
        classes=source.nested.item_names(SettingsKey.CLASSES),
        plans=source.nested.item_names(SettingsKey.PLANS),
        zones=source.nested.strings(SettingsKey.ZONES),
        machine_classes=source.nested.strings(SettingsKey.MACHINE_CLASSES),
        connect_timeout=source.limits.whole_number(SettingsLimitKey.CONNECT_TIMEOUT),
        connection_idle=source.limits.whole_number(SettingsLimitKey.CONNECTION_IDLE),
        counter=source.counter,
        counter_timeout=_parse_counter_timeout(source),
        admin=_optional_address(raw, ConfigKey.ADMIN, overrides.admin),
        inherited_descriptor=source.inherited_descriptor,
        shared_folder=overrides.shared_folder or None,
    )


def _parse_nested_settings(nested: JsonSection) -> Settings:
    try:
        return parse_settings("\n".join(flatten(nested.values)))
    except SettingsError as error:
        raise ConfigError(f"{ConfigKey.SETTINGS}.{error}") from None


def _parse_startup_numbers(raw: JsonObject) -> _StartupNumbers:
    try:
        limits = raw.get(ConfigKey.LIMITS, {})
        return _StartupNumbers(
            seed=int(str(raw.get(ConfigKey.SEED, DEFAULT_SEED)), 16),
            max_descriptors=int(limits.get(ProcessLimitKey.MAX_DESCRIPTORS, DEFAULT_MAX_DESCRIPTORS)),
            memory_bytes=int(limits.get(ProcessLimitKey.MEMORY_MB, DEFAULT_MEMORY_MB)) * MEGABYTE_BYTES,
        )
    except (AttributeError, TypeError, ValueError):
        raise ConfigError(f"{ConfigKey.SEED} or {ConfigKey.LIMITS}: not a number") from None


def _parse_cached_list(raw: JsonObject) -> JsonObject | None:
    cached_list = raw.get(ConfigKey.CACHED_LIST)
    return cached_list if isinstance(cached_list, dict) else None


def _parse_counter_timeout(source: _CheckedSource) -> int:
    """Return the time-out of a call to the counter in ns; 0 without a counter."""
    if source.counter is None:
        return 0
    return source.counter_family.whole_number(FamilyKey.COUNTER_TIMEOUT)


def _adapt_settings(source: _CheckedSource) -> Settings:
    """Return the settings without the functions for which the configuration has no address."""
    return replace(
        source.settings,
        # Without a counter the decision engine uses its static slices of the quotas.
        has_counter=source.counter is not None,
        may_message=source.settings.may_message and bool(source.raw.get(ConfigKey.PEER_LISTEN)),
        lease_term=_parse_lease_term(source.raw),
    )


def _parse_lease_term(raw: JsonObject) -> int:
    """Return the term of quota leases in ns; 0 where they are not configured."""
    value = raw.get(ConfigKey.LEASE_TERM_S, 0)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not (is_number and (value == 0 or MIN_LEASE_S <= value <= MAX_LEASE_S)):
        raise ConfigError(
            f"{ConfigKey.LEASE_TERM_S}: {value!r} is neither 0 nor {MIN_LEASE_S} to {MAX_LEASE_S} seconds"
        )
    return int(value * SECOND)
