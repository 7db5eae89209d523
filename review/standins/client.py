"""A client: writes commands on one connection and reads the answers in their order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import hiredis

from .record import Record

READ_BYTES = 1 << 18


@dataclass(slots=True)
class Request:
    """A request as its client knows it."""

    request_id: str
    customer: int
    class_name: str
    plan: str
    wait_ms: int
    body: bytes = b""
    sent_at: float = 0.0
    answered_at: float = 0.0
    answer: object = None  # bytes of a value, an exception of an error, None without an answer

    def command(self) -> bytes:
        """Return the command."""
        is_get = self.class_name == "stock-check"
        text = f"c={self.class_name},t={self.plan},d={self.wait_ms}"
        if self.class_name == "order-place":
            text += f",k={self.request_id}"
        text += ",units=1,spread=1,first=0"
        words = [b"CALL.GET" if is_get else b"CALL.POST", b"%016x" % self.customer]
        words += [self.request_id.encode(), text.encode()]
        if not is_get:
            words.append(self.body or b"{}")
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


class Client:
    """One connection to a gateway."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self._waiting: list[Request] = []
        self._parser = hiredis.Reader()
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter
        self._task: asyncio.Task[None] | None = None
        self.closed_at = 0.0  # when the gateway ended the connection; 0 while it is open
        self.bytes_read = 0

    async def connect(self, address: str) -> None:
        """Open the connection, and begin to read."""
        host, port = address.split(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._task = asyncio.create_task(self._read())

    def send(self, *requests: Request) -> None:
        """Write requests at once."""
        for request in requests:
            request.sent_at = self._record.now()
            self._record.add(
                self.name, f"{request.request_id} sent: {request.class_name}, d={request.wait_ms}"
            )
            self._waiting.append(request)
        self._writer.write(b"".join(request.command() for request in requests))

    async def _read(self) -> None:
        try:
            while data := await self._reader.read(READ_BYTES):
                self.bytes_read += len(data)
                self._parser.feed(data)
                while (answer := self._parser.gets()) is not False:
                    self._answered(answer)
            how = "end of the connection"
        except OSError as error:
            how = f"connection lost: {error}"
        self.closed_at = self._record.now()
        unanswered = ", ".join(request.request_id for request in self._waiting) or "none"
        self._record.add(self.name, f"{how}; unanswered: {unanswered}")

    def _answered(self, answer: object) -> None:
        request = self._waiting.pop(0)
        request.answered_at = self._record.now()
        request.answer = answer
        text = repr(answer) if not isinstance(answer, bytes) else f"{len(answer)} bytes {answer[:40]!r}"
        self._record.add(self.name, f"{request.request_id} answered: {text}")

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
        self._writer.close()
