"""One bad peer sends many commands that are no requests; the requests of other clients are judged."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from standins.client import Client, Request
from standins.order_server import Call, served
from standins.world import World, run_case

SERVERS = 9
CLIENTS = 10
REQUESTS = 150
INTERVAL_S = 0.08
TROUBLE_AFTER = 25  # requests
BAD_PEER_BYTES = 50_000_000
WORK_S = (0.05, 0.2)
# A try is given up after half to all of the class's time.
WAITS_MS = {"stock-check": (3000, 6000), "order-place": (1500, 3000), "invoice-pay": (2000, 4000)}
SHARES = (60, 27, 13)
LATE_BUT_NOT_LOST_S = 0.5
SOCKET_SLACK_S = 0.05


async def serve(call: Call) -> None:
    """Serve a request after its work."""
    await asyncio.sleep(random.Random(call.request_id).uniform(*WORK_S))
    await call.write(served(b"value for " + call.request_id.encode()))
    call.note("answered")


async def start_bad_peer(world: World) -> None:
    """Start the bad peer."""
    host, port = world.gateway.address.split(":")
    script = Path(__file__).resolve().parents[1] / "standins" / "bad_peer.py"
    world.record.add("bad peer", f"connects, to send {BAD_PEER_BYTES} bytes")
    await world.start_peer(script, host, port, str(BAD_PEER_BYTES))


async def send_requests(world: World, clients: list[Client]) -> list[Request]:
    """Send requests at a steady rate, and return them; the bad peer comes after some of them."""
    rng = random.Random(1)
    requests: list[Request] = []
    for number in range(1, REQUESTS + 1):
        if number == TROUBLE_AFTER and world.has_trouble:
            await start_bad_peer(world)
        (class_name,) = rng.choices(tuple(WAITS_MS), SHARES)
        wait_ms = rng.randint(*WAITS_MS[class_name])
        request = Request(f"{number:016x}", 1000 + number, class_name, "trade", wait_ms)
        requests.append(request)
        clients[number % CLIENTS].send(request)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(max(limit_s(request) for request in requests) + 0.5)
    return requests


def limit_s(request: Request) -> float:
    """Return the seconds after which an answer comes too late, and the request is lost."""
    return request.wait_ms / 1000 + LATE_BUT_NOT_LOST_S + SOCKET_SLACK_S


async def case(world: World) -> list[str]:
    """Return the requests that were lost."""
    await world.start([serve] * SERVERS)
    clients = [await world.client(f"client {number}") for number in range(CLIENTS)]
    lost = []
    for request in await send_requests(world, clients):
        if request.answer is None:
            lost.append(f"{request.request_id} lost: no answer, wanted within {request.wait_ms} ms")
        elif request.answered_at - request.sent_at > limit_s(request):
            after_s = request.answered_at - request.sent_at
            lost.append(f"{request.request_id} lost: answered after {after_s:.2f} s of {request.wait_ms} ms")
    return lost


if __name__ == "__main__":
    run_case(case, __file__)
