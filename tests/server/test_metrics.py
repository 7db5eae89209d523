"""Tests of the rendering of metrics, and of the counters that a request increments."""

from __future__ import annotations

from qos_gateway.server.observability.close_reasons import CloseReason
from qos_gateway.server.observability.invariants import Invariant, InvariantMonitor
from qos_gateway.server.observability.memory_uses import MemoryUse
from qos_gateway.server.observability.metrics import Gauges, Metrics, RequestResult, render
from qos_gateway.server.observability.retry_causes import RetryCause
from qos_gateway.types import RejectReason
from tests.support.clients import PING, call_command
from tests.support.event_loop import run_on_loop
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.metric_values import read_metrics


def test_each_metric_is_rendered_on_its_own_line() -> None:
    monitor = InvariantMonitor()
    metrics = Metrics((b"stock-check", b"look.up|x"), monitor.violations)
    metrics.count_request(0, RequestResult.SERVED)
    metrics.count_request(1, RequestResult.REJECTED)
    metrics.count_request(1, RequestResult.FAILED)
    metrics.attempts = 5
    metrics.rejections[RejectReason.QUOTA] += 2
    metrics.retries[RetryCause.CONNECT_FAILED] += 3
    metrics.client_closes[CloseReason.EVICTED] += 4
    metrics.undelivered_client_closes[CloseReason.DRAINED] += 3
    monitor.report(Invariant.CLOSE, "unanswered_idle", b"9b1f03aa5c7e2d41")
    gauges = Gauges(
        open_requests=14,
        listed_endpoints=9,
        excluded_endpoints=2,
        memory_held=dict.fromkeys(MemoryUse, 0) | {MemoryUse.REPLIES: 1234},
        memory_capacity=5_000_000,
        memory_waiting=3,
        memory_resident=28_000_000,
    )
    assert render(metrics, gauges).decode().splitlines() == [
        "edge_router.handled.stock-check.passed:1|c",
        "edge_router.handled.stock-check.dropped:0|c",
        "edge_router.handled.stock-check.bad_gateway:0|c",
        "edge_router.handled.look_up_x.passed:0|c",
        "edge_router.handled.look_up_x.dropped:1|c",
        "edge_router.handled.look_up_x.bad_gateway:1|c",
        "edge_router.upstream_tries:5|c",
        "edge_router.in_progress:14|g",
        "edge_router.known_order_servers:9|g",
        "edge_router.skipped_order_servers:2|g",
        "edge_router.memory_resident:28000000|g",
        "edge_router.memory_capacity:5000000|g",
        "edge_router.memory_waiting:3|g",
        "edge_router.memory_held.client_connections:0|g",
        "edge_router.memory_held.endpoint_connections:0|g",
        "edge_router.memory_held.customers:0|g",
        "edge_router.memory_held.commands:0|g",
        "edge_router.memory_held.requests:0|g",
        "edge_router.memory_held.responses:0|g",
        "edge_router.memory_held.replies:1234|g",
        "edge_router.memory_held.uncounted:0|g",
        "edge_router.rejections.unspecified:0|c",
        "edge_router.rejections.customer_cap:0|c",
        "edge_router.rejections.customer_limit:0|c",
        "edge_router.rejections.memory_limit:0|c",
        "edge_router.rejections.load_limit:0|c",
        "edge_router.rejections.quota:2|c",
        "edge_router.rejections.no_endpoint:0|c",
        "edge_router.rejections.no_retry:0|c",
        "edge_router.retries.hedged:0|c",
        "edge_router.retries.error:0|c",
        "edge_router.retries.overloaded:0|c",
        "edge_router.retries.timeout:0|c",
        "edge_router.retries.connect_failed:3|c",
        "edge_router.retries.reset:0|c",
        "edge_router.retries.cancelled:0|c",
        "edge_router.retries.not_sent:0|c",
        "edge_router.client_closes.client_closed:0|c",
        "edge_router.client_closes.hangup_seen:0|c",
        "edge_router.client_closes.idle:0|c",
        "edge_router.client_closes.evicted:4|c",
        "edge_router.client_closes.queue_timeout:0|c",
        "edge_router.client_closes.drained:0|c",
        "edge_router.client_closes.protocol_error:0|c",
        "edge_router.client_closes.write_stalled:0|c",
        "edge_router.client_closes.memory:0|c",
        "edge_router.client_closes.value_aborted:0|c",
        "edge_router.client_closes.shutdown:0|c",
        "edge_router.client_closes_undelivered.client_closed:0|c",
        "edge_router.client_closes_undelivered.hangup_seen:0|c",
        "edge_router.client_closes_undelivered.idle:0|c",
        "edge_router.client_closes_undelivered.evicted:0|c",
        "edge_router.client_closes_undelivered.queue_timeout:0|c",
        "edge_router.client_closes_undelivered.drained:3|c",
        "edge_router.client_closes_undelivered.protocol_error:0|c",
        "edge_router.client_closes_undelivered.write_stalled:0|c",
        "edge_router.client_closes_undelivered.memory:0|c",
        "edge_router.client_closes_undelivered.value_aborted:0|c",
        "edge_router.client_closes_undelivered.shutdown:0|c",
        "edge_router.violations.send:0|c",
        "edge_router.violations.repeat:0|c",
        "edge_router.violations.close:1|c",
        "edge_router.violations.start:0|c",
    ]


def test_each_request_counts_in_one_metric_and_each_attempt_once_it_is_written() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            for number, reply in enumerate((success_reply(b"v"), b"-ERR failed\r\n")):
                client.send(call_command("charge", number))
                connection, _ = await harness.endpoint.next_command()
                assert read_metrics(harness)["in_progress"] == 1
                assert read_metrics(harness)["upstream_tries"] == number + 1
                connection.send(reply)
                await client.next_message()
            client.send(call_command("charge", 2, wait_ms=0))  # no time left for an attempt
            assert str(await client.next_message()).startswith("BUSY ")
            client.send(PING + b"*2\r\n$8\r\nCALL.GET\r\n$1\r\nx\r\n")
            assert await client.next_message() == b"PONG"  # neither PING nor a malformed call is a request
            await client.next_message()
            values = read_metrics(harness)
            assert [values[f"handled.charge.{result.value}"] for result in RequestResult] == [1, 1, 1]
            assert sum(n for name, n in values.items() if name.startswith("handled.")) == 3
            assert (values["upstream_tries"], values["in_progress"]) == (2, 0)
            assert (values["known_order_servers"], values["skipped_order_servers"]) == (1, 0)

    run_on_loop(test)
