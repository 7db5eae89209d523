"""JSON format of the decision engine's snapshots.

Processes of different versions exchange snapshots, so the keys and the order of the values in a row must not
change. A row holds the fields of its class in the order of their declaration. Times are in ns.
"""

from __future__ import annotations

from typing import Any

from .snapshot import AccountSnapshot, EndpointSnapshot, EngineSnapshot, LoadBalancerSnapshot, MeanSnapshot

JsonObject = dict[str, Any]  # decoded JSON that is not validated

# JSON keys of the fields of `EngineSnapshot`.
ACCOUNTS_KEY = "accounts"
ENDPOINTS_KEY = "servers"
ADMIN_DISABLED_KEY = "banned"
WARM_COMPLETIONS_KEY = "sends"
LATENCY_KEY = "latency"
BASELINE_LATENCY_KEY = "shortest"
CALL_RATE_KEY = "pace"
RETRY_TOKENS_KEY = "retries"
LEASE_FRACTIONS_KEY = "leases"  # missing in snapshots of versions without leases


class SnapshotFormatError(ValueError):
    """A snapshot cannot be decoded, or does not fit the settings of this process."""


def encode_snapshot(snapshot: EngineSnapshot) -> JsonObject:
    """Encode a snapshot as a JSON object."""
    return {
        ACCOUNTS_KEY: [_encode_account(account) for account in snapshot.accounts],
        ENDPOINTS_KEY: [_encode_endpoint(endpoint) for endpoint in snapshot.load_balancer.endpoints],
        ADMIN_DISABLED_KEY: sorted(snapshot.load_balancer.admin_disabled.items()),
        WARM_COMPLETIONS_KEY: _encode_mean(snapshot.load_balancer.warm_completions),
        LATENCY_KEY: [_encode_mean(mean) for mean in snapshot.latency_by_class],
        BASELINE_LATENCY_KEY: list(snapshot.baseline_latency_by_class),
        CALL_RATE_KEY: snapshot.call_rate,
        RETRY_TOKENS_KEY: snapshot.retry_tokens,
        LEASE_FRACTIONS_KEY: [
            [customer, sorted(fractions.items())] for customer, fractions in snapshot.lease_fractions.items()
        ],
    }


def decode_snapshot(raw: JsonObject, plan_count: int, class_count: int) -> EngineSnapshot:
    """Decode a snapshot from a JSON object.

    Raises `SnapshotFormatError` if it cannot be decoded, or does not fit the numbers of plans and classes.
    """
    try:
        snapshot = EngineSnapshot(
            accounts=tuple(_decode_account(row) for row in raw[ACCOUNTS_KEY]),
            load_balancer=LoadBalancerSnapshot(
                endpoints=tuple(_decode_endpoint(row) for row in raw[ENDPOINTS_KEY]),
                admin_disabled={int(endpoint): int(since) for endpoint, since in raw[ADMIN_DISABLED_KEY]},
                warm_completions=_decode_mean(raw[WARM_COMPLETIONS_KEY]),
            ),
            latency_by_class=tuple(_decode_mean(row) for row in raw[LATENCY_KEY]),
            baseline_latency_by_class=tuple(float(latency) for latency in raw[BASELINE_LATENCY_KEY]),
            call_rate=float(raw[CALL_RATE_KEY]),
            retry_tokens=float(raw[RETRY_TOKENS_KEY]),
            lease_fractions={
                int(customer): {int(term): float(fraction) for term, fraction in fractions}
                for customer, fractions in raw.get(LEASE_FRACTIONS_KEY, [])
            },
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise SnapshotFormatError(f"snapshot cannot be decoded: {type(error).__name__}: {error}") from None
    _check_against_settings(snapshot, plan_count, class_count)
    return snapshot


def _check_against_settings(snapshot: EngineSnapshot, plan_count: int, class_count: int) -> None:
    """Raise `SnapshotFormatError` if the plans or the classes do not match the settings."""
    for account in snapshot.accounts:
        if not 0 <= account.plan_index < plan_count:
            raise SnapshotFormatError(
                f"snapshot: customer {account.customer_id:x} has the plan index {account.plan_index}, "
                f"the settings have {plan_count} plans"
            )
    if not len(snapshot.latency_by_class) == len(snapshot.baseline_latency_by_class) == class_count:
        raise SnapshotFormatError(
            f"snapshot: {len(snapshot.latency_by_class)} latencies and "
            f"{len(snapshot.baseline_latency_by_class)} baselines, "
            f"the settings have {class_count} classes"
        )


def _encode_account(account: AccountSnapshot) -> list[Any]:
    return [
        account.customer_id,
        account.plan_index,
        account.slice_count,
        list(account.peers),
        account.in_flight,
        account.tokens,
        account.local_tokens,
        account.ceiling_tokens,
        account.reported_at,
        _encode_mean(account.long_demand),
        _encode_mean(account.grant_ratio),
    ]


def _decode_account(row: Any) -> AccountSnapshot:
    (
        customer_id,
        plan_index,
        slice_count,
        peers,
        in_flight,
        tokens,
        local_tokens,
        ceiling_tokens,
        reported_at,
        long_demand,
        grant_ratio,
    ) = row
    return AccountSnapshot(
        customer_id=int(customer_id),
        plan_index=int(plan_index),
        slice_count=int(slice_count),
        peers=tuple(int(peer) for peer in peers),
        in_flight=int(in_flight),
        tokens=float(tokens),
        local_tokens=float(local_tokens),
        ceiling_tokens=float(ceiling_tokens),
        reported_at=int(reported_at),
        long_demand=_decode_mean(long_demand),
        grant_ratio=_decode_mean(grant_ratio),
    )


def _encode_endpoint(endpoint: EndpointSnapshot) -> list[Any]:
    return [
        endpoint.endpoint,
        endpoint.started_at,
        endpoint.ejected_until,
        endpoint.ejection_time,
        endpoint.consecutive_failures,
        endpoint.slow_start_tokens,
        endpoint.disabled_at,
        endpoint.assumed_start,
        _encode_mean(endpoint.relative_latency),
    ]


def _decode_endpoint(row: Any) -> EndpointSnapshot:
    (
        endpoint,
        started_at,
        ejected_until,
        ejection_time,
        consecutive_failures,
        slow_start_tokens,
        disabled_at,
        assumed_start,
        relative_latency,
    ) = row
    return EndpointSnapshot(
        endpoint=int(endpoint),
        started_at=int(started_at),
        ejected_until=int(ejected_until),
        ejection_time=int(ejection_time),
        consecutive_failures=int(consecutive_failures),
        slow_start_tokens=float(slow_start_tokens),
        disabled_at=int(disabled_at),
        assumed_start=int(assumed_start),
        relative_latency=_decode_mean(relative_latency),
    )


def _encode_mean(mean: MeanSnapshot) -> list[float]:
    return [mean.updated_at, mean.time_constant, mean.weighted_sum, mean.weight]


def _decode_mean(row: Any) -> MeanSnapshot:
    updated_at, time_constant, weighted_sum, weight = row
    return MeanSnapshot(int(updated_at), int(time_constant), float(weighted_sum), float(weight))
