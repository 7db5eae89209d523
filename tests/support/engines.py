"""Decision engines for tests, and the actions of one kind among theirs."""

from __future__ import annotations

from typing import Any

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Action, AddToCounter, ListKind, Reject, Send
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def rejections(actions: list[Action]) -> list[Reject]:
    return [a for a in actions if isinstance(a, Reject)]


def counter_calls(actions: list[Action]) -> list[AddToCounter]:
    return [a for a in actions if isinstance(a, AddToCounter)]


def engine_alone(**changes: Any) -> DecisionEngine:
    """Return an engine with four endpoints from a cached list."""
    made = DecisionEngine(settings(**changes), 7, 0)
    made.handle(0, full_list(*(listed_endpoint(i) for i in range(1, 5)), kind=ListKind.CACHED))
    return made


def answer_requests(engine: DecisionEngine, class_index: int) -> None:
    """Serve ten requests of a class, each in 100 ms: enough for a baseline latency."""
    for i in range(10):
        (send,) = sends(engine.handle(i * MS, arrival(100 + i, i * MS, class_index)))
        engine.handle(i * MS + 100 * MS, ended(100 + i, send.endpoint))


def engine_among_many(position: int = 0, customer_plan: Any = None, **changes: Any) -> DecisionEngine:
    """Return one of forty engines with a counter and eight endpoints."""
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
