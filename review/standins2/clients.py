"""A client's connection that sends one request after the other."""

from __future__ import annotations

import asyncio

from review.standins2.resp import command, read_answer

Answer = tuple[str, bytes]


def request(request_id: bytes, request_class: str, wait_ms: int, customer: int = 0xB4D65521) -> bytes:
    """Return the command of a request in one of the classes of `settings.CLASSES`."""
    pairs = b"c=%b,t=trade,d=%d" % (request_class.encode(), wait_ms)
    if request_class == "order-place":
        pairs += b",k=" + request_id
    pairs += b",units=1,spread=1,first=0"
    if request_class == "stock-check":
        return command(b"CALL.GET", b"%016x" % customer, request_id, pairs)
    return command(b"CALL.POST", b"%016x" % customer, request_id, pairs, b"body of " + request_id)


class Client:
    """A connection to a gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, host: str, port: int) -> Client:
        """Open a connection."""
        return cls(*await asyncio.open_connection(host, port))

    async def ask(self, data: bytes, wait_s: float) -> Answer:
        """Send a command, and return its answer; `none` after `wait_s`, `closed` at the end."""
        try:
            self.writer.write(data)
            return await asyncio.wait_for(read_answer(self.reader), wait_s)
        except TimeoutError:
            return "none", b""
        except (OSError, asyncio.IncompleteReadError):
            return "closed", b""

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
