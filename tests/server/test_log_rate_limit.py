"""Tests of the rate limit on log lines that clients and endpoints can trigger."""

from __future__ import annotations

import logging

import pytest

from qos_gateway.server.clients import log as clients_log
from qos_gateway.server.endpoints.connection import log as endpoint_connections_log
from qos_gateway.server.observability.logs import MAX_LINES_PER_WINDOW, WINDOW_S, RateLimitFilter


def test_lines_over_the_limit_are_suppressed_and_counted(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    clock = [1000.0]
    monkeypatch.setattr("qos_gateway.server.observability.logs.time.monotonic", lambda: clock[0])
    log = logging.getLogger("test.flood")
    log.addFilter(RateLimitFilter())
    for number in range(500):
        log.warning("malformed number=%d", number)
    assert len(caplog.messages) == MAX_LINES_PER_WINDOW
    clock[0] += WINDOW_S
    log.warning("malformed number=%s", "next")
    assert caplog.messages[MAX_LINES_PER_WINDOW:] == [
        f"malformed number=next suppressed_lines={500 - MAX_LINES_PER_WINDOW}"
    ]


def test_logs_of_clients_and_endpoints_are_bounded() -> None:
    for log in (endpoint_connections_log, clients_log):
        assert any(isinstance(log_filter, RateLimitFilter) for log_filter in log.filters)
