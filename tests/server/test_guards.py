"""Run-time guards of sends, retries, closes, start and stop: each must detect its violations."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest

from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.networking.request_command import RequestCommand
from qos_gateway.server.observability import invariants
from qos_gateway.server.observability.invariants import Invariant, InvariantMonitor
from qos_gateway.server.observability.logs import RateLimitFilter
from qos_gateway.server.requests.repeat_guard import RepeatGuard
from qos_gateway.server.requests.send_guard import SendGuard
from qos_gateway.server.start_guard import check_start, check_stop
from qos_gateway.types import Health, Outcome, Reject, Send, Topology
from qos_gateway.types.settings import IdempotencyScope, Settings
from qos_gateway.units import SECOND
from tests.support.builders import listed_endpoint
from tests.support.clients import call_command
from tests.support.configurations import make_config
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import forward_to, leave_open, only_endpoint, script_engine

IDEMPOTENT, KEYED, NOT_IDEMPOTENT = 0, 1, 2  # indexes of the classes in the settings of the tests
COMMAND = RequestCommand((b"CALL.GET", b"c", b"i"), b"", b"", ())


@dataclass
class FakeRequest:
    """A request with the fields that the guards read."""

    class_index: int = IDEMPOTENT
    closed: bool = False
    deadline: int = 2 * SECOND
    attempts: list[Attempt] = field(default_factory=list)
    client_id: bytes = b"9b1f03aa5c7e2d41"

    @property
    def attempts_started(self) -> int:
        return len(self.attempts)


def make_attempt(
    endpoint: int = 1, started_at_ns: int = 0, outcome: Outcome | None = None, expires_at_ns: int = 2 * SECOND
) -> Attempt:
    attempt = Attempt(
        request=1,
        number=0,
        endpoint=endpoint,
        started_at_ns=started_at_ns,
        expires_at_ns=expires_at_ns,
        command=COMMAND,
    )
    attempt.ended = outcome is not None
    attempt.outcome = outcome
    return attempt


@pytest.fixture
def fresh_log_rate_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reset the rate limit of the log, so that violations of earlier tests suppress no line of this one."""
    monkeypatch.setattr(invariants.log, "filters", [RateLimitFilter()])


@pytest.mark.usefixtures("fresh_log_rate_limit")
@pytest.mark.parametrize(
    ("request_changes", "expires_at_ns", "send_deadline_ns", "is_drained", "rule"),
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
def test_send_guard_reports_each_violated_rule(
    request_changes: dict[str, object],
    expires_at_ns: int,
    send_deadline_ns: int,
    is_drained: bool,
    rule: str | None,
    caplog: pytest.LogCaptureFixture,
) -> None:
    monitor = InvariantMonitor()
    attempt = make_attempt(expires_at_ns=expires_at_ns)
    attempt.send_deadline_ns = send_deadline_ns
    request = replace(FakeRequest(), **request_changes)  # type: ignore[arg-type]
    assert SendGuard(monitor).allows(attempt, request, is_drained, SECOND) is (rule is None)
    assert monitor.violations[Invariant.SEND] == (rule is not None)
    if rule is not None:
        assert f"invariant=send rule={rule} request=9b1f03aa5c7e2d41" in caplog.text


ENDPOINTS = {
    number: listed_endpoint(number, cell=cell, zone=zone)
    for number, zone, cell in ((1, 0, 1), (2, 0, 2), (3, 1, 1))
}


def make_settings(scope: IdempotencyScope = IdempotencyScope.CELL, hedging: bool = True) -> Settings:
    base = make_config(1).settings
    classes = tuple(replace(request_class, idempotency_scope=scope) for request_class in base.classes)
    return replace(base, classes=classes, hedging=hedging, max_attempts=3)


CELL, ZONE, ALL = IdempotencyScope.CELL, IdempotencyScope.ZONE, IdempotencyScope.ALL


@dataclass(frozen=True, kw_only=True)
class RepeatCase:
    """A retry at `endpoint`, and the earlier attempts of its request."""

    class_index: int
    attempts: list[Attempt]
    allowed: bool
    endpoint: int = 2
    scope: IdempotencyScope = CELL
    hedging: bool = True
    now_ns: int = 0


def one_attempt(outcome: Outcome | None) -> list[Attempt]:
    """Return one attempt at endpoint 1 that ended with `outcome`, or that is in flight if it is None."""
    return [make_attempt(outcome=outcome)]


@pytest.mark.parametrize(
    "case",
    [
        RepeatCase(class_index=IDEMPOTENT, attempts=one_attempt(Outcome.RESET), allowed=True),
        RepeatCase(class_index=IDEMPOTENT, attempts=one_attempt(Outcome.RESET) * 3, allowed=False),
        RepeatCase(class_index=IDEMPOTENT, attempts=one_attempt(None), allowed=True),
        RepeatCase(class_index=IDEMPOTENT, attempts=one_attempt(None), allowed=False, hedging=False),
        RepeatCase(
            class_index=NOT_IDEMPOTENT, attempts=one_attempt(Outcome.CONNECT_FAILED) * 2, allowed=True
        ),
        RepeatCase(class_index=NOT_IDEMPOTENT, attempts=one_attempt(Outcome.OVERLOADED), allowed=True),
        RepeatCase(class_index=NOT_IDEMPOTENT, attempts=one_attempt(Outcome.RESET), allowed=False),
        RepeatCase(class_index=NOT_IDEMPOTENT, attempts=one_attempt(Outcome.ERROR), allowed=False),
        RepeatCase(class_index=NOT_IDEMPOTENT, attempts=one_attempt(Outcome.TIMEOUT), allowed=False),
        RepeatCase(class_index=NOT_IDEMPOTENT, attempts=one_attempt(None), allowed=False),
        RepeatCase(class_index=KEYED, attempts=one_attempt(Outcome.RESET), allowed=True, endpoint=3),
        RepeatCase(class_index=KEYED, attempts=one_attempt(Outcome.RESET), allowed=False),
        RepeatCase(class_index=KEYED, attempts=one_attempt(Outcome.RESET), allowed=True, scope=ZONE),
        RepeatCase(
            class_index=KEYED, attempts=one_attempt(Outcome.RESET), allowed=False, scope=ZONE, endpoint=3
        ),
        RepeatCase(
            class_index=KEYED, attempts=one_attempt(Outcome.RESET), allowed=True, scope=ALL, endpoint=3
        ),
        RepeatCase(
            class_index=KEYED,
            attempts=one_attempt(Outcome.RESET),
            allowed=False,
            scope=ALL,
            endpoint=3,
            now_ns=5 * SECOND,
        ),
        RepeatCase(
            class_index=KEYED, attempts=one_attempt(Outcome.OVERLOADED), allowed=True, now_ns=9 * SECOND
        ),
        # The window and the cell are those of the first attempt that may have executed, here the second.
        RepeatCase(
            class_index=KEYED,
            attempts=[make_attempt(2, 0, Outcome.OVERLOADED), make_attempt(1, 1)],
            allowed=True,
            endpoint=3,
            now_ns=SECOND,
        ),
    ],
)
def test_repeat_guard_allows_only_attempts_that_idempotency_permits(case: RepeatCase) -> None:
    monitor = InvariantMonitor()
    guard = RepeatGuard(make_settings(case.scope, case.hedging), monitor, ENDPOINTS.get)
    request = FakeRequest(case.class_index, attempts=case.attempts)
    assert guard.allows_attempt(request, case.endpoint, case.now_ns) is case.allowed
    assert monitor.violations[Invariant.REPEAT] == (not case.allowed)


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
def test_rejection_is_allowed_only_if_a_retry_by_the_client_is_safe(
    class_index: int, scope: IdempotencyScope, outcome: Outcome | None, allowed: bool
) -> None:
    monitor = InvariantMonitor()
    request = FakeRequest(class_index, attempts=[make_attempt(outcome=outcome)])
    guard = RepeatGuard(make_settings(scope), monitor, ENDPOINTS.get)
    assert guard.allows_rejection(request) is allowed
    assert monitor.violations[Invariant.REPEAT] == (not allowed)


def test_violations_at_start_and_stop_are_counted() -> None:
    monitor = InvariantMonitor()
    check_start(monitor, True, False)
    check_stop(monitor, 0)
    assert not monitor.violations
    check_start(monitor, False, True)
    check_stop(monitor, 3)
    assert monitor.violations == {Invariant.START: 2, Invariant.CLOSE: 1}


def test_faulty_engine_cannot_execute_a_request_twice() -> None:
    """The engine retries a request that is not idempotent, then rejects it, so that its client may retry."""

    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, forward_to(endpoint))
            client = await harness.connect_client()
            client.send(call_command("charge", 1))
            connection, _ = await harness.endpoint.next_command()
            number = engine.arrivals[0].request_id
            harness.gateway.executor.execute(Send(number, endpoint, 0))
            harness.gateway.executor.execute(Reject(number, 0))
            assert str(await client.next_message()) == "ERR failed"
            assert harness.gateway.observability.invariants.violations == {Invariant.REPEAT: 2}
            assert harness.endpoint.commands.empty()
            connection.send(success_reply(b"late"))

    run_on_loop(test)


def test_attempt_at_an_endpoint_whose_drain_the_engine_missed_is_blocked() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            script_engine(harness, *[forward_to(endpoint)] * 2)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await client.next_message() == b"v"
            entry = listed_endpoint(endpoint, Health.DRAINING)
            harness.gateway.endpoint_connections.set_address(endpoint, None)
            harness.gateway.dispatcher.handle(Topology(0, 2, (entry,)))  # type: ignore[arg-type]
            client.send(call_command(number=2, wait_ms=100))
            assert str(await client.next_message()) == "ERR out of time"
            assert harness.gateway.observability.invariants.violations == {Invariant.SEND: 1}
            assert harness.endpoint.commands.empty()

    run_on_loop(test)


def test_connection_closed_with_an_open_request_is_reported() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, leave_open)
            client = await harness.connect_client()
            client.send(call_command(number=7))
            await wait_until(lambda: len(harness.gateway.requests) == 1)
            harness.gateway.clients.abort()
            assert await client.next_message() is None
            assert harness.gateway.observability.invariants.violations == {Invariant.CLOSE: 1}

    run_on_loop(test)
