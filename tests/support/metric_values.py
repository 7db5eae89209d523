"""The metrics of a gateway under test."""

from __future__ import annotations

from tests.support.gateway_harness import GatewayHarness


def read_metrics(harness: GatewayHarness) -> dict[str, int]:
    """Return the values of the gateway's metrics by their names without the prefix."""
    text = harness.gateway.services.operations.render_metrics()
    lines = (line.partition(":") for line in text.decode().splitlines())
    return {name.removeprefix("edge_router."): int(value.partition("|")[0]) for name, _, value in lines}
