"""Decision engines without sockets, and the events that benchmarks feed to them."""

from __future__ import annotations

from benchmarks.design import DESIGN, START
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import AttemptEnded, ListKind, Outcome, Topology
from tests.support.builders import full_list, listed_endpoint, plan, settings

ENGINE_SEED = 7  # results depend on it
UNLIMITED_PLAN = plan(rate=1e6, burst=1e6)  # a quota that no benchmark reaches


def make_engine(position: int = 0) -> DecisionEngine:
    """Return the engine of the gateway at this position of a fleet of the design size."""
    engine_settings = settings(
        gateway_count=DESIGN.gateways, position=position, may_message=False, plans=(UNLIMITED_PLAN,)
    )
    return DecisionEngine(engine_settings, ENGINE_SEED, START)


def cached_list(endpoints: int) -> Topology:
    """Return a cached list of `endpoints` ready endpoints with ids from 1."""
    entries = map(listed_endpoint, range(1, endpoints + 1))
    return full_list(*entries, kind=ListKind.CACHED)


def successful_attempt(
    request_id: int, endpoint: int, elapsed: int, attempt: int = 0, quota_usage: int = 0
) -> AttemptEnded:
    """Return the end of an attempt that succeeded after `elapsed` ns."""
    return AttemptEnded(
        request_id=request_id,
        request_finished=True,
        actual_units=0,
        endpoint=endpoint,
        quota_usage=quota_usage,
        outcome=Outcome.OK,
        elapsed=elapsed,
        attempt=attempt,
        load_report=(),
    )
