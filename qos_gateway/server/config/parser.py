"""From the configuration's JSON object and the environment to the typed configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from ...simulator.settings import SettingsError, parse_settings
from ...types import Settings
from ...units import SECOND
from .environment import EnvironmentOverrides
from .json_values import ConfigError, JsonObject, JsonSection, flatten
from .types import Address, Config

DEFAULT_NAME = "gateway"
DEFAULT_SEED = "0"  # hexadecimal
DEFAULT_MAX_DESCRIPTORS = 1024  # the usual soft limit of a Linux process
DEFAULT_MEMORY_MB = 64
MEGABYTE_BYTES = 1 << 20
MAX_PORT = 0xFFFF
MIN_LEASE_S = 5
MAX_LEASE_S = 50  # keys of the counter live for 60 s, which must hold a lease and the lead before it


@dataclass(frozen=True, slots=True)
class _StartupNumbers:
    """Numbers outside the nested settings, which share one error text."""

    seed: int
    max_descriptors: int
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class _Source:
    """Everything that the configuration is built from, as far as it is checked before the rest."""

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
    """Return the typed configuration; raises `ConfigError` where a value is missing or impossible."""
    return _build_config(_read_source(raw, EnvironmentOverrides.read(environment)))


def address(text: object, key: str) -> Address:
    """Return the address that `host:port` gives; raises `ConfigError`, with `key` as what holds it."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ConfigError(f"{key}: {text!r} is no host:port")
    return host, int(port)


def _optional_address(text: object, key: str) -> Address | None:
    return address(text, key) if text else None


def _read_source(raw: JsonObject, overrides: EnvironmentOverrides) -> _Source:
    # A configuration with several faults is reported by the first of them in this order.
    nested = JsonSection(raw).section("settings")
    settings = _parse_nested_settings(nested)
    return _Source(
        raw=raw,
        overrides=overrides,
        nested=nested,
        settings=settings,
        limits=nested.section("limits"),
        startup_numbers=_parse_startup_numbers(raw),
        peers=tuple(address(peer, "peers") for peer in raw.get("peers") or []),
        counter_family=nested.section("familyInfo"),
        counter=_optional_address(raw.get("counter"), "counter") if settings.has_counter else None,
        inherited_descriptor=overrides.parse_inherited_descriptor(),
    )


def _build_config(source: _Source) -> Config:
    raw = source.raw
    overrides = source.overrides
    return Config(
        name=overrides.name or str(raw.get("name", DEFAULT_NAME)),
        listen=address(overrides.listen or raw.get("listen"), "listen"),
        discovery=address(overrides.discovery or raw.get("discovery"), "discovery"),
        seed=source.startup_numbers.seed,
        max_descriptors=source.startup_numbers.max_descriptors,
        memory_bytes=source.startup_numbers.memory_bytes,
        peer_listen=_optional_address(raw.get("peer_listen"), "peer_listen"),
        peers=source.peers,
        peer_broadcast=_optional_address(raw.get("peers_all"), "peers_all"),
        cached_list=_parse_cached_list(raw),
        settings=_adapt_settings(source),
        classes=source.nested.item_names("classes"),
        plans=source.nested.item_names("packages"),
        zones=source.nested.strings("zones"),
        machine_classes=source.nested.strings("kinds"),
        connect_timeout=source.limits.whole_number("connectTimeout"),
        connection_idle=source.limits.whole_number("connIdle"),
        counter=source.counter,
        counter_timeout=source.counter_family.whole_number("counterTimeout") if source.counter else 0,
        admin=_optional_address(overrides.admin or raw.get("operator"), "operator"),
        inherited_descriptor=source.inherited_descriptor,
        shared_folder=overrides.shared_folder or None,
    )


def _parse_nested_settings(nested: JsonSection) -> Settings:
    try:
        return parse_settings("\n".join(flatten(nested.values)))
    except SettingsError as error:
        raise ConfigError(f"settings.{error}") from None


def _parse_startup_numbers(raw: JsonObject) -> _StartupNumbers:
    try:
        limits = raw.get("limits", {})
        return _StartupNumbers(
            seed=int(str(raw.get("seed", DEFAULT_SEED)), 16),
            max_descriptors=int(limits.get("sockets", DEFAULT_MAX_DESCRIPTORS)),
            memory_bytes=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)) * MEGABYTE_BYTES,
        )
    except (AttributeError, TypeError, ValueError):
        raise ConfigError("seed or limits: not a number") from None


def _parse_cached_list(raw: JsonObject) -> JsonObject | None:
    known = raw.get("known")
    return known if isinstance(known, dict) else None


def _adapt_settings(source: _Source) -> Settings:
    """Turn off what this process has no address for."""
    return replace(
        source.settings,
        # Without a counter's address the decision engine goes by its static slices of the quotas.
        has_counter=source.counter is not None,
        may_message=source.settings.may_message and bool(source.raw.get("peer_listen")),
        lease_term=_parse_lease_term(source.raw),
    )


def _parse_lease_term(raw: JsonObject) -> int:
    """Return the term of quota leases in ns; 0 where they are not configured."""
    value = raw.get("quota_lease_s", 0)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not (is_number and (value == 0 or MIN_LEASE_S <= value <= MAX_LEASE_S)):
        raise ConfigError(f"quota_lease_s: {value!r} is neither 0 nor {MIN_LEASE_S} to {MAX_LEASE_S} seconds")
    return int(value * SECOND)
