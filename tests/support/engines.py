"""Engines for tests, and what their actions hold."""

from __future__ import annotations

from typing import Any

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import (
    Action,
    ListKind,
    Reject,
    Send,
)
from tests.support.builders import (
    MS,
    SECOND,
    arrival,
    ended,
    full_list,
    listed_endpoint,
    plan,
    settings,
)


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def rejections(actions: list[Action]) -> list[Reject]:
    return [a for a in actions if isinstance(a, Reject)]


def engine_alone(**changes: Any) -> DecisionEngine:
    """An engine with four endpoints from a cached list."""
    made = DecisionEngine(settings(**changes), 7, 0)
    made.handle(0, full_list(*(listed_endpoint(i) for i in range(1, 5)), kind=ListKind.CACHED))
    return made


def answer_requests(engine: DecisionEngine, cls: int) -> None:
    """Enough good answers for a usual latency of 100 ms."""
    for i in range(10):
        (send,) = sends(engine.handle(i * MS, arrival(100 + i, i * MS, cls)))
        engine.handle(i * MS + 100 * MS, ended(100 + i, send.endpoint))


def engine_among_many(position: int = 0, customer_plan: Any = None, **changes: Any) -> DecisionEngine:
    plans = (customer_plan or plan(rate=0.4, burst=2.0, excess_cost=0.5),)
    made = DecisionEngine(
        settings(
            gateway_count=40,
            position=position,
            may_message=False,
            has_counter=True,
            plans=plans,
            usage_period=SECOND // 2,
            **changes,
        ),
        position + 7,
        0,
    )
    made.handle(0, full_list(*(listed_endpoint(i) for i in range(1, 9))))
    return made
