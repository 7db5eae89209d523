"""Parse the settings text of the start message, one `path=value` on each line, into typed settings."""

from __future__ import annotations

from enum import Enum
from typing import TypeVar

from ..types.settings import Idempotence, IdempotencyScope, Plan, RequestClass, Settings

EnumValue = TypeVar("EnumValue", bound=Enum)


class SettingsError(ValueError):
    """Missing or invalid value in the settings text; the text of the error names the key."""


class _SettingsText:
    """Values of the settings text by key; each accessor raises SettingsError with the key."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            path, equals, value = line.partition("=")
            if equals:
                self.values[path.strip()] = value.strip()

    def text(self, key: str) -> str:
        if key not in self.values:
            raise SettingsError(f"{key}: missing")
        return self.values[key]

    def number(self, key: str, minimum: float = 0.0) -> float:
        text = self.text(key)
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(f"{key}: {text!r} is not a number") from None
        if not minimum <= value < float("inf"):
            raise SettingsError(f"{key}: {value} is impossible")
        return value

    def integer(self, key: str, minimum: int = 0) -> int:
        value = self.number(key, minimum)
        if value != int(value):
            raise SettingsError(f"{key}: not a whole number")
        return int(value)

    def flag(self, key: str) -> bool:
        value = self.text(key)
        if value not in ("true", "false"):
            raise SettingsError(f"{key}: neither true nor false")
        return value == "true"

    def choice(self, key: str, kind: type[EnumValue]) -> EnumValue:
        value = self.text(key)
        try:
            return kind(value)
        except ValueError:
            raise SettingsError(f"{key}: unknown value {value!r}") from None


def _request_class(values: _SettingsText, path: str) -> RequestClass:
    return RequestClass(
        name=values.text(path + "name"),
        latency_objective=values.integer(path + "aim", 1),
        deadline=values.integer(path + "deadline", 1),
        priority_weight=values.number(path + "points"),
        late_priority_weight=values.number(path + "lateWorth"),
        idempotence=values.choice(path + "idempotency", Idempotence),
        idempotency_scope=values.choice(path + "group", IdempotencyScope),
        idempotency_window=values.integer(path + "window"),
    )


def _plan(values: _SettingsText, path: str) -> Plan:
    return Plan(
        name=values.text(path + "name"),
        rate=values.number(path + "quotaRate"),
        burst=values.number(path + "mostAtOnce"),
        max_in_flight=values.integer(path + "parallel"),
        weight_factor=values.number(path + "worthFactor"),
        excess_weight=values.number(path + "beyondEarns"),
        excess_cost=values.number(path + "excessCost"),
        ceiling_rate=values.number(path + "ceilingRate"),
        ceiling_burst=values.number(path + "hardBurst"),
        ceiling_slack=values.number(path + "ceilingSlack"),
    )


def parse_settings(text: str) -> Settings:
    """Return the typed settings; unknown keys are ignored.

    Raises SettingsError on a missing or invalid value.
    """
    values = _SettingsText(text)
    names = values.text("report.names")
    return Settings(
        classes=tuple(
            _request_class(values, f"classes.{i}.") for i in range(values.integer("classes.count", 1))
        ),
        plans=tuple(_plan(values, f"packages.{i}.") for i in range(values.integer("packages.count", 1))),
        zone=values.integer("zone"),
        position=values.integer("position"),
        gateway_count=values.integer("replicasOfMe", 1),
        report_names=tuple(name for name in names.split(",") if name),
        max_attempts=values.integer("limits.maxAttempts", 1),
        hedging=values.flag("limits.secondCopies"),
        may_cancel=values.flag("limits.cancel"),
        may_probe=values.flag("limits.probes"),
        may_message=values.flag("limits.peerMessages"),
        sends_retry_after=values.flag("limits.retryAfter"),
        max_retry_after=values.integer("limits.maxRetryAfter"),
        has_counter=values.flag("familyInfo.counter"),
        usage_period=values.integer("familyInfo.usePeriod"),
        largest_request_units=values.number("familyInfo.largest"),
        messages_per_s=values.number("familyInfo.mailPerS"),
        settles_actual_units=values.flag("familyInfo.truedUp"),
        polls_discovery=values.text("discovery") == "on_request",
        poll_deadline=values.integer("rules.askWithin"),
        drain_grace=values.integer("rules.drainGrace"),
        overload_window=values.integer("rules.fall", 1),
        overload_multiple=values.number("rules.fallMultiple"),
        initial_capacity_fraction=values.number("rules.startCapacity"),
        slow_start_window=values.integer("rules.warmUp"),
        cross_zone_cost=values.number("prices.crossZone"),
    )
