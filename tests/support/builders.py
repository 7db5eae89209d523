"""Settings and events written for the tests, apart from every deployment's files."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from qos_gateway.types import (
    Arrival,
    AttemptEnded,
    Endpoint,
    Health,
    Idempotence,
    IdempotencyScope,
    ListKind,
    Outcome,
    Plan,
    RequestClass,
    Settings,
    Topology,
)

MS = 1_000_000
SECOND = 1_000_000_000
SAFE, KEYED, UNSAFE = 0, 1, 2

IDEMPOTENT_CLASS = RequestClass(
    name="read",
    latency_objective=SECOND,
    deadline=3 * SECOND,
    priority_weight=1.0,
    late_priority_weight=0.0,
    idempotence=Idempotence.IDEMPOTENT,
    idempotency_scope=IdempotencyScope.ALL,
    idempotency_window=5 * SECOND,
)
CLASSES = (
    IDEMPOTENT_CLASS,
    replace(
        IDEMPOTENT_CLASS,
        name="submit",
        priority_weight=2.0,
        idempotence=Idempotence.KEYED,
        idempotency_scope=IdempotencyScope.CELL,
        idempotency_window=2 * SECOND,
    ),
    replace(
        IDEMPOTENT_CLASS,
        name="charge",
        priority_weight=4.0,
        idempotence=Idempotence.NOT_IDEMPOTENT,
    ),
)
PLAN = Plan(
    name="p",
    rate=10.0,
    burst=20.0,
    max_in_flight=0,
    weight_factor=1.0,
    excess_weight=0.0,
    excess_cost=1.0,
    ceiling_rate=0.0,
    ceiling_burst=0.0,
    ceiling_slack=0.0,
)
SETTINGS = Settings(
    classes=CLASSES,
    plans=(PLAN,),
    zone=0,
    position=0,
    gateway_count=2,
    report_names=("concurrent",),
    max_attempts=4,
    hedging=True,
    may_cancel=True,
    may_probe=False,
    may_message=True,
    sends_retry_after=True,
    max_retry_after=SECOND,
    has_counter=False,
    usage_period=0,
    largest_request_units=1.0,
    messages_per_s=60.0,
    settles_actual_units=False,
    polls_discovery=False,
    poll_deadline=10 * SECOND,
    drain_grace=SECOND,
    overload_window=2 * SECOND,
    overload_multiple=3.0,
    initial_capacity_fraction=0.2,
    slow_start_window=20 * SECOND,
    cross_zone_cost=0.01,
)


def settings(**changes: Any) -> Settings:
    return replace(SETTINGS, **changes)


def plan(**changes: Any) -> Plan:
    return replace(PLAN, **changes)


def listed_endpoint(
    number: int, health: Health = Health.READY, started_at: int = 0, cell: int = 0, zone: int = 0
) -> Endpoint:
    return Endpoint(
        id=number, zone=zone, machine_class=0, cell=cell, health=health, weight=1.0, started_at=started_at
    )


def full_list(*entries: Endpoint, kind: ListKind = ListKind.FULL) -> Topology:
    return Topology(kind, 1, entries)


def arrival(request: int, now: int, class_index: int = SAFE, customer_id: int = 1, **changes: Any) -> Arrival:
    made = Arrival(
        request_id=request,
        class_index=class_index,
        plan_index=0,
        customer_id=customer_id,
        deadline=now + 3 * SECOND,
        units=1.0,
        gateway_spread=2,
        first_gateway=0,
        options=0,
    )
    return replace(made, **changes)


def ended(
    request: int,
    endpoint: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    elapsed: int = 100 * MS,
    finished: bool | None = None,
) -> AttemptEnded:
    over = outcome is Outcome.OK if finished is None else finished
    return AttemptEnded(
        request_id=request,
        request_finished=over,
        actual_units=0,
        endpoint=endpoint,
        quota_usage=0,
        outcome=outcome,
        elapsed=elapsed,
        attempt=attempt,
        load_report=(),
    )
