"""The run-time guards of sending, repeating, closing and starting: each must notice a gateway that errs."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest

from qos_gateway.server.endpoints.attempt import Attempt, AttemptCommand
from qos_gateway.server.observability.invariants import Invariant, InvariantMonitor
from qos_gateway.server.requests.repeat_guard import RepeatGuard
from qos_gateway.server.requests.send_guard import SendGuard
from qos_gateway.server.start_guard import check_start, check_stop
from qos_gateway.types import Action, Arrival, Health, Outcome, Reject, Send, Topology
from qos_gateway.types.settings import IdempotencyScope, Settings
from tests.support.builders import listed_endpoint as listed_endpoint
from tests.support.clients import call_command
from tests.support.configurations import make_config
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import only_endpoint, script_engine

SECOND = 1_000_000_000
IDEMPOTENT, KEYED, NOT_IDEMPOTENT = 0, 1, 2  # classes of the settings of the tests
COMMAND = AttemptCommand((b"CALL.GET", b"c", b"i"), b"", b"", ())


@dataclass
class FakeRequest:
    """A request as the guards see it."""

    class_index: int = IDEMPOTENT
    closed: bool = False
    deadline: int = 2 * SECOND
    attempts: list[Attempt] = field(default_factory=list)
    client_id: bytes = b"9b1f03aa5c7e2d41"

    @property
    def attempts_started(self) -> int:
        return len(self.attempts)


def attempt_at(
    endpoint: int = 1, started_at: int = 0, outcome: Outcome | None = None, expires_at: int = 2 * SECOND
) -> Attempt:
    attempt = Attempt(
        request=1,
        number=0,
        endpoint=endpoint,
        started_at_ns=started_at,
        expires_at_ns=expires_at,
        command=COMMAND,
    )
    attempt.ended = outcome is not None
    attempt.outcome = outcome
    return attempt


@pytest.mark.parametrize(
    ("request_changes", "expires_at", "send_deadline", "drained", "rule"),
    [
        ({}, 2 * SECOND, 0, False, None),
        ({}, 2 * SECOND, 0, True, "drained_endpoint"),
        ({"closed": True}, 2 * SECOND, 0, False, "answered_request"),
        ({}, SECOND, 0, False, "time_over"),
        ({"deadline": SECOND + 5}, 2 * SECOND, 0, False, "deadline_beyond_request"),
        ({}, 2 * SECOND, SECOND, False, "idempotency_window"),
        ({}, 2 * SECOND, SECOND + 1, False, None),
    ],
)
def test_send_guard(
    request_changes: dict[str, object],
    expires_at: int,
    send_deadline: int,
    drained: bool,
    rule: str | None,
    caplog: pytest.LogCaptureFixture,
) -> None:
    monitor = InvariantMonitor()
    attempt = attempt_at(expires_at=expires_at)
    attempt.send_deadline_ns = send_deadline
    request = replace(FakeRequest(), **request_changes)  # type: ignore[arg-type]
    assert SendGuard(monitor).allows(attempt, request, drained, SECOND) is (rule is None)
    assert monitor.violations[Invariant.SEND] == (rule is not None)
    if rule is not None:
        assert f"invariant=send rule={rule} request=9b1f03aa5c7e2d41" in caplog.text


ENDPOINTS = {
    number: listed_endpoint(number, cell=cell, zone=zone)
    for number, zone, cell in ((1, 0, 1), (2, 0, 2), (3, 1, 1))
}


def settings(scope: IdempotencyScope = IdempotencyScope.CELL, hedging: bool = True) -> Settings:
    made = make_config(1).settings
    classes = tuple(replace(request_class, idempotency_scope=scope) for request_class in made.classes)
    return replace(made, classes=classes, hedging=hedging, max_attempts=3)


CELL, ZONE, ALL = IdempotencyScope.CELL, IdempotencyScope.ZONE, IdempotencyScope.ALL


@pytest.mark.parametrize(
    ("class_index", "scope", "hedging", "attempts", "endpoint", "now", "allowed"),
    [
        (IDEMPOTENT, CELL, True, [attempt_at(outcome=Outcome.RESET)], 2, 0, True),
        (IDEMPOTENT, CELL, True, [attempt_at(outcome=Outcome.RESET)] * 3, 2, 0, False),
        (IDEMPOTENT, CELL, True, [attempt_at()], 2, 0, True),
        (IDEMPOTENT, CELL, False, [attempt_at()], 2, 0, False),
        (NOT_IDEMPOTENT, CELL, True, [attempt_at(outcome=Outcome.CONNECT_FAILED)] * 2, 2, 0, True),
        (NOT_IDEMPOTENT, CELL, True, [attempt_at(outcome=Outcome.OVERLOADED)], 2, 0, True),
        (NOT_IDEMPOTENT, CELL, True, [attempt_at(outcome=Outcome.RESET)], 2, 0, False),
        (NOT_IDEMPOTENT, CELL, True, [attempt_at(outcome=Outcome.ERROR)], 2, 0, False),
        (NOT_IDEMPOTENT, CELL, True, [attempt_at(outcome=Outcome.TIMEOUT)], 2, 0, False),
        (NOT_IDEMPOTENT, CELL, True, [attempt_at()], 2, 0, False),
        (KEYED, CELL, True, [attempt_at(outcome=Outcome.RESET)], 3, 0, True),
        (KEYED, CELL, True, [attempt_at(outcome=Outcome.RESET)], 2, 0, False),
        (KEYED, ZONE, True, [attempt_at(outcome=Outcome.RESET)], 2, 0, True),
        (KEYED, ZONE, True, [attempt_at(outcome=Outcome.RESET)], 3, 0, False),
        (KEYED, ALL, True, [attempt_at(outcome=Outcome.RESET)], 3, 0, True),
        (KEYED, ALL, True, [attempt_at(outcome=Outcome.RESET)], 3, 5 * SECOND, False),
        (KEYED, CELL, True, [attempt_at(outcome=Outcome.OVERLOADED)], 2, 9 * SECOND, True),
        # The first that may have executed counts, not the first that was made.
        (KEYED, CELL, True, [attempt_at(2, 0, Outcome.OVERLOADED), attempt_at(1, 1)], 3, SECOND, True),
    ],
)
def test_repeat_guard(
    class_index: int,
    scope: IdempotencyScope,
    hedging: bool,
    attempts: list[Attempt],
    endpoint: int,
    now: int,
    allowed: bool,
) -> None:
    monitor = InvariantMonitor()
    guard = RepeatGuard(settings(scope, hedging), monitor, ENDPOINTS.get)
    request = FakeRequest(class_index, attempts=attempts)
    assert guard.allows_attempt(request, endpoint, now) is allowed
    assert monitor.violations[Invariant.REPEAT] == (not allowed)


@pytest.mark.parametrize(
    ("class_index", "scope", "outcome", "allowed"),
    [
        (IDEMPOTENT, CELL, Outcome.RESET, True),
        (KEYED, ALL, Outcome.RESET, True),
        (KEYED, ZONE, Outcome.RESET, False),
        (KEYED, CELL, Outcome.OVERLOADED, True),
        (NOT_IDEMPOTENT, ALL, Outcome.TIMEOUT, False),
        (NOT_IDEMPOTENT, ALL, None, False),
        (NOT_IDEMPOTENT, ALL, Outcome.CONNECT_FAILED, True),
    ],
)
def test_client_is_invited_to_repeat_only_where_that_is_harmless(
    class_index: int, scope: IdempotencyScope, outcome: Outcome | None, allowed: bool
) -> None:
    monitor = InvariantMonitor()
    request = FakeRequest(class_index, attempts=[attempt_at(outcome=outcome)])
    guard = RepeatGuard(settings(scope), monitor, ENDPOINTS.get)
    assert guard.allows_rejection(request) is allowed
    assert monitor.violations[Invariant.REPEAT] == (not allowed)


def test_start_and_stop_are_looked_at() -> None:
    monitor = InvariantMonitor()
    check_start(monitor, True, False)
    check_stop(monitor, 0)
    assert not monitor.violations
    check_start(monitor, False, True)
    check_stop(monitor, 3)
    assert monitor.violations == {Invariant.START: 2, Invariant.CLOSE: 1}


def test_engine_that_errs_is_kept_from_running_a_request_twice() -> None:
    """The engine sends a request that may not be repeated again, then tells its client to come again."""

    async def test() -> None:
        async with gateway_harness() as harness:

            def send(arrival: Arrival) -> list[Action]:
                return [Send(arrival.request_id, only_endpoint(harness), 0)]

            engine = script_engine(harness, send)
            client = await harness.connect_client()
            client.send(call_command("charge", 1))
            connection, _ = await harness.endpoint.next_command()
            number = engine.events_of(Arrival)[0].request_id
            harness.gateway.executor.execute(Send(number, only_endpoint(harness), 0))
            harness.gateway.executor.execute(Reject(number, 0))
            assert str(await client.next_message()) == "ERR failed"
            assert harness.gateway.observability.invariants.violations == {Invariant.REPEAT: 2}
            assert harness.endpoint.commands.empty()
            connection.send(success_reply(b"late"))

    run_on_loop(test)


def test_send_to_an_endpoint_whose_drain_the_engine_missed_is_refused() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            script_engine(harness, *[lambda a: [Send(a.request_id, endpoint, 0)]] * 2)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            entry = listed_endpoint(endpoint, Health.DRAINING)
            harness.gateway.endpoint_connections.set_address(endpoint, None)
            harness.gateway.dispatcher.handle(Topology(0, 2, (entry,)))  # type: ignore[arg-type]
            client.send(call_command(number=2, wait_ms=100))
            assert str(await client.next_message()) == "ERR out of time"
            assert harness.gateway.observability.invariants.violations == {Invariant.SEND: 1}
            assert harness.endpoint.commands.empty()

    run_on_loop(test)


def test_connection_closed_under_a_request_is_reported() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda _a: [])
            client = await harness.connect_client()
            client.send(call_command(number=7))
            await wait_until(lambda: len(harness.gateway.requests) == 1)
            harness.gateway.clients.abort()
            assert await client.next_message() is None
            assert harness.gateway.observability.invariants.violations == {Invariant.CLOSE: 1}

    run_on_loop(test)
