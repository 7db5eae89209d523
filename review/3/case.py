"""Large values and a payment are asked for on one connection; one order server resets under its value."""

from __future__ import annotations

import asyncio

from standins.client import Request
from standins.order_server import Call, served
from standins.world import World, run_case

MEBIBYTE = 1 << 20
VALUE_BYTES = 4 * MEBIBYTE  # the most that a value holds
SERVERS = 9
LARGE_VALUES = 5
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}
WORK_S = 0.15
SLOW_WORK_S = 0.9  # of the first request
PIECE_BYTES = 64 << 10
BEFORE_RESET_S = 0.3
WAIT_MS = {"stock-check": 6000, "invoice-pay": 4000}
LATE_BUT_NOT_LOST_S = 0.55
FIRST = f"{1:016x}"


def value_for(request_id: str, size: int) -> bytes:
    """Return the value that an order server makes for a request."""
    return (b"value for " + request_id.encode()).ljust(size, b".")


class OrderServers:
    """How the order servers answer."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def serve(self, call: Call) -> None:
        """Serve a request; reset the connection in the middle of the first one's value."""
        is_first = call.request_id == FIRST
        await asyncio.sleep(SLOW_WORK_S if is_first else WORK_S)
        size = VALUE_BYTES if call.class_name == "stock-check" else 100
        answer = served(value_for(call.request_id, size))
        if is_first and self._world.has_trouble:
            answer = answer[: VALUE_BYTES // 2]
        for at in range(0, len(answer), PIECE_BYTES):
            if not await call.write(answer[at : at + PIECE_BYTES]):
                call.note("the gateway ended the connection")
                return
        call.note(f"ran, and wrote {len(answer)} bytes of its answer")
        if is_first and self._world.has_trouble:
            await asyncio.sleep(BEFORE_RESET_S)
            call.note("reset the connection")
            call.reset()


async def case(world: World) -> list[str]:
    """Return the requests that were lost beside the one whose value was reset."""
    await world.start([OrderServers(world).serve] * SERVERS, LIMITS)
    client = await world.client("client")
    classes = ["stock-check"] * LARGE_VALUES + ["invoice-pay"]
    requests = [
        Request(f"{number:016x}", 1000 + number, class_name, "trade", WAIT_MS[class_name])
        for number, class_name in enumerate(classes, 1)
    ]
    client.send(*requests)
    await asyncio.sleep(max(WAIT_MS.values()) / 1000 + LATE_BUT_NOT_LOST_S)
    lost = []
    for request in requests:
        # The value that was reset has failed, and is not lost: its client can tell that it is not whole.
        if request.answer is None and not (request.request_id == FIRST and world.has_trouble):
            lost.append(
                f"{request.request_id} lost: read and sent on, its connection closed with no whole answer"
            )
    return lost


if __name__ == "__main__":
    run_case(case, __file__)
