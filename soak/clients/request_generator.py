"""Requests of the clients, drawn at random, and their commands."""

from __future__ import annotations

import random

import hiredis

from soak.observations import RequestSeen, content_of
from soak.settings import Deployment, Effect

CUSTOMERS = 40
HEAVY_CUSTOMERS = 2  # they send more than the ceiling of their plan allows
HEAVY_SHARE = 0.12  # of all requests
HEAVY_PLAN = 1
MAX_BODY_BYTES = (0, 200, 200, 2000, 60_000)
KIND_WEIGHTS = (6, 3, 2)


class RequestGenerator:
    """Draws requests, and builds their commands."""

    def __init__(self, deployment: Deployment, rng: random.Random, first_id: int = 1) -> None:
        """`first_id` keeps the ids apart from those of other generators of the same run."""
        self._deployment = deployment
        self._rng = rng
        self._last_id = first_id - 1

    def next_request(self, gateway: int, process: int) -> RequestSeen:
        """Draw a request with an id of its own; `process` is the number of the gateway's process."""
        rng = self._rng
        self._last_id += 1
        kind = rng.choices(range(len(self._deployment.kinds)), KIND_WEIGHTS)[0]
        is_heavy = rng.random() < HEAVY_SHARE
        customer = rng.randrange(HEAVY_CUSTOMERS) if is_heavy else rng.randrange(HEAVY_CUSTOMERS, CUSTOMERS)
        wait_s = self._deployment.kinds[kind].deadline_s * rng.choice((1.0, 1.0, 0.5, 0.2))
        return RequestSeen(
            request_id=f"{self._last_id:016x}",
            kind=kind,
            plan=HEAVY_PLAN if is_heavy else 0,
            customer=customer,
            gateway=gateway,
            process=process,
            sent_at=0.0,
            wait_s=wait_s,
        )

    def request_of(
        self, gateway: int, process: int, effect: Effect, customer: int | None = None
    ) -> RequestSeen:
        """Draw a request of a class with this effect, and of this customer if one is given."""
        seen = self.next_request(gateway, process)
        kinds = [kind.effect for kind in self._deployment.kinds]
        seen.kind = kinds.index(effect)
        seen.wait_s = self._deployment.kinds[seen.kind].deadline_s
        seen.plan = 0
        drawn = self._rng.randrange(HEAVY_CUSTOMERS, CUSTOMERS)
        seen.customer = drawn if customer is None else customer
        return seen

    def command(self, seen: RequestSeen, body_bytes: int | None = None) -> bytes:
        """Return the command of a request with a drawn body or one of a given size; record its content."""
        kind = self._deployment.kinds[seen.kind]
        plan = self._deployment.plans[seen.plan]
        key = f",k={seen.request_id}" if kind.effect is Effect.KEYED else ""
        pairs = (
            f"c={kind.name},t={plan.name},d={round(seen.wait_s * 1000)}{key},"
            f"units=1,spread={self._deployment.fleet.gateways},first=0"
        )
        is_idempotent = kind.effect is Effect.IDEMPOTENT
        name = b"CALL.GET" if is_idempotent else b"CALL.POST"
        size = self._body_bytes() if body_bytes is None else body_bytes
        body = () if is_idempotent else (self._rng.randbytes(size),)
        words = (name, b"%016x" % (seen.customer + 1), seen.request_id.encode(), pairs.encode(), *body)
        seen.content = content_of(words)
        return hiredis.pack_command(words)  # type: ignore[no-any-return]

    def _body_bytes(self) -> int:
        return self._rng.randrange(1 + self._rng.choice(MAX_BODY_BYTES))


class GeneratedCommands:
    """Commands of a crowd at one process of a gateway, drawn by a generator."""

    def __init__(self, generator: RequestGenerator, gateway: int, process: int) -> None:
        self._generator = generator
        self._gateway = gateway
        self._process = process

    def value_command(self, value_bytes: int) -> bytes:
        """Return a request that is answered by a value of this size."""
        seen = self._generator.request_of(self._gateway, self._process, Effect.IDEMPOTENT)
        seen.request_id += f"-{value_bytes}"
        return self._generator.command(seen)

    def body_command(self, body_bytes: int) -> bytes:
        """Return a request with a body of this size."""
        seen = self._generator.request_of(self._gateway, self._process, Effect.NOT_IDEMPOTENT)
        return self._generator.command(seen, body_bytes)
