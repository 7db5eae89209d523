"""Parse the settings text of the start message, one `path=value` on each line, into typed settings."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import TypeVar

from ..edge_names import (
    DiscoveryMode,
    FamilyKey,
    PlanKey,
    PriceKey,
    ReportKey,
    RequestClassKey,
    RuleKey,
    SettingsKey,
    SettingsLimitKey,
    SettingsTextKey,
)
from ..types.settings import Idempotence, IdempotencyScope, Plan, RequestClass, Settings

EnumValue = TypeVar("EnumValue", bound=Enum)


class SettingsError(ValueError):
    """Missing or invalid value in the settings text; the text of the error names the key."""


class _SettingsSection:
    """Values whose paths have the same prefix; each accessor raises SettingsError with the full path."""

    def __init__(self, values: dict[str, str], prefix: str = "") -> None:
        self._values = values
        self._prefix = prefix

    def section(self, key: str) -> _SettingsSection:
        return _SettingsSection(self._values, f"{self._prefix}{key}.")

    def items(self, key: str) -> Iterator[_SettingsSection]:
        """Yield the sections of a list; raises SettingsError where it is empty."""
        section = self.section(key)
        for number in range(section.integer(SettingsTextKey.LIST_LENGTH, 1)):
            yield section.section(str(number))

    def text(self, key: str) -> str:
        path = self._prefix + key
        if path not in self._values:
            raise SettingsError(f"{path}: missing")
        return self._values[path]

    def number(self, key: str, minimum: float = 0.0) -> float:
        text = self.text(key)
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(f"{self._prefix}{key}: {text!r} is not a number") from None
        if not minimum <= value < float("inf"):
            raise SettingsError(f"{self._prefix}{key}: {value} is impossible")
        return value

    def integer(self, key: str, minimum: int = 0) -> int:
        value = self.number(key, minimum)
        if value != int(value):
            raise SettingsError(f"{self._prefix}{key}: not a whole number")
        return int(value)

    def flag(self, key: str) -> bool:
        value = self.text(key)
        if value not in ("true", "false"):
            raise SettingsError(f"{self._prefix}{key}: neither true nor false")
        return value == "true"

    def choice(self, key: str, kind: type[EnumValue]) -> EnumValue:
        value = self.text(key)
        try:
            return kind(value)
        except ValueError:
            raise SettingsError(f"{self._prefix}{key}: unknown value {value!r}") from None


def _values_by_path(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, equals, value = line.partition("=")
        if equals:
            values[path.strip()] = value.strip()
    return values


def _request_class(values: _SettingsSection) -> RequestClass:
    return RequestClass(
        name=values.text(RequestClassKey.NAME),
        latency_objective=values.integer(RequestClassKey.LATENCY_OBJECTIVE, 1),
        deadline=values.integer(RequestClassKey.DEADLINE, 1),
        priority_weight=values.number(RequestClassKey.PRIORITY_WEIGHT),
        late_priority_weight=values.number(RequestClassKey.LATE_PRIORITY_WEIGHT),
        idempotence=values.choice(RequestClassKey.IDEMPOTENCE, Idempotence),
        idempotency_scope=values.choice(RequestClassKey.IDEMPOTENCY_SCOPE, IdempotencyScope),
        idempotency_window=values.integer(RequestClassKey.IDEMPOTENCY_WINDOW),
    )


def _plan(values: _SettingsSection) -> Plan:
    return Plan(
        name=values.text(PlanKey.NAME),
        rate=values.number(PlanKey.RATE),
        burst=values.number(PlanKey.BURST),
        max_in_flight=values.integer(PlanKey.MAX_IN_FLIGHT),
        weight_factor=values.number(PlanKey.WEIGHT_FACTOR),
        excess_weight=values.number(PlanKey.EXCESS_WEIGHT),
        excess_cost=values.number(PlanKey.EXCESS_COST),
        ceiling_rate=values.number(PlanKey.CEILING_RATE),
        ceiling_burst=values.number(PlanKey.CEILING_BURST),
        ceiling_slack=values.number(PlanKey.CEILING_SLACK),
    )


def parse_settings(text: str) -> Settings:
    """Return the typed settings; unknown keys are ignored.

    Raises SettingsError on a missing or invalid value.
    """
    values = _SettingsSection(_values_by_path(text))
    names = values.section(SettingsKey.REPORT).text(ReportKey.REPORT_NAMES)
    limits = values.section(SettingsKey.LIMITS)
    family = values.section(SettingsKey.FAMILY)
    rules = values.section(SettingsKey.RULES)
    return Settings(
        classes=tuple(_request_class(each) for each in values.items(SettingsKey.CLASSES)),
        plans=tuple(_plan(each) for each in values.items(SettingsKey.PLANS)),
        zone=values.integer(SettingsKey.ZONE),
        position=values.integer(SettingsKey.POSITION),
        gateway_count=values.integer(SettingsKey.GATEWAY_COUNT, 1),
        report_names=tuple(name for name in names.split(",") if name),
        max_attempts=limits.integer(SettingsLimitKey.MAX_ATTEMPTS, 1),
        hedging=limits.flag(SettingsLimitKey.HEDGING),
        may_cancel=limits.flag(SettingsLimitKey.MAY_CANCEL),
        may_probe=limits.flag(SettingsLimitKey.MAY_PROBE),
        may_message=limits.flag(SettingsLimitKey.MAY_MESSAGE),
        sends_retry_after=limits.flag(SettingsLimitKey.SENDS_RETRY_AFTER),
        max_retry_after=limits.integer(SettingsLimitKey.MAX_RETRY_AFTER),
        has_counter=family.flag(FamilyKey.HAS_COUNTER),
        usage_period=family.integer(FamilyKey.USAGE_PERIOD),
        largest_request_units=family.number(FamilyKey.LARGEST_REQUEST_UNITS),
        messages_per_s=family.number(FamilyKey.MESSAGES_PER_S),
        settles_actual_units=family.flag(FamilyKey.SETTLES_ACTUAL_UNITS),
        polls_discovery=values.text(SettingsKey.DISCOVERY) == DiscoveryMode.POLLED,
        poll_deadline=rules.integer(RuleKey.POLL_DEADLINE),
        drain_grace=rules.integer(RuleKey.DRAIN_GRACE),
        overload_window=rules.integer(RuleKey.OVERLOAD_WINDOW, 1),
        overload_multiple=rules.number(RuleKey.OVERLOAD_MULTIPLE),
        initial_capacity_fraction=rules.number(RuleKey.INITIAL_CAPACITY_FRACTION),
        slow_start_window=rules.integer(RuleKey.SLOW_START_WINDOW),
        cross_zone_cost=values.section(SettingsKey.PRICES).number(PriceKey.CROSS_ZONE_COST),
    )
