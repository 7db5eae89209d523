"""The decision engine under any order of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings

from qos_gateway.decisions.engine import TICK_TIMER
from qos_gateway.types import (
    Health,
    ListKind,
    Outcome,
    TimerFired,
)
from tests.support.builders import (
    SECOND,
    arrival,
    backend,
    ended,
    full_list,
)
from tests.support.engines import (
    engine_alone,
    sends,
)
from tests.support.event_fuzzer import EVENTS, EventFuzzer


def test_memory_does_not_grow_with_customers_and_endpoints_that_come_once() -> None:
    engine = engine_alone()
    sizes = []
    for second in range(240):
        now = second * SECOND
        new = full_list(backend(100 + second), backend(99 + second, Health.REMOVED), kind=ListKind.DELTA)
        engine.handle(now, new)
        for i in range(20):
            number = second * 20 + i
            for send in sends(engine.handle(now, arrival(number, now, customer_id=number))):
                engine.handle(now, ended(number, send.endpoint))
        engine.handle(now, TimerFired(TICK_TIMER))
        sizes.append(
            (len(engine.quota.accounts), len(engine.load_balancer.endpoints), len(engine.commitments.active))
        )
    assert max(sizes[120:]) <= max(sizes[60:120])
    assert sizes[-1][1] <= 6
    assert not engine.request_table.open
    assert not engine.request_table.attempts
    assert engine.request_table.in_flight == 0


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(EVENTS)
def test_each_request_gets_one_final_answer_whatever_the_order_of_events(
    steps: list[tuple[str, int, Outcome, int, int]],
) -> None:
    first, second = EventFuzzer(), EventFuzzer()
    first.play(steps)
    second.play(steps)
    assert first.log == second.log
