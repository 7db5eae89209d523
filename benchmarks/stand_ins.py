"""Stand-ins for discovery, endpoints and the quota counter, in one process of its own.

`python -m benchmarks.stand_ins N` publishes N endpoints, all reached at one port, and writes its ports as a
line of JSON to stdout. Once its stdin ends it writes what it counted as another line. The module
`stand_in_process` starts and stops it.
"""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import asdict, dataclass
from typing import ClassVar, cast

import hiredis
import uvloop

from benchmarks.discovery_updates import encode_update, endpoint_records, full_update

LOCALHOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S = 2.0  # between empty lines of a watch
COUNTER_REPLY_S = 0.001
LISTEN_BACKLOG = 1024  # connections; a starting gateway opens many at once

SERVED_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
PONG_REPLY = b"+PONG\r\n"
OK_REPLY = b"+OK\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HTTP_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class StandInPorts:
    """Ports on which the stand-ins listen."""

    endpoint: int
    discovery: int
    counter: int


@dataclass(frozen=True)
class StandInCounts:
    """Counts of what the stand-ins received."""

    connections: int  # to endpoints
    counter_calls: int


class StandInConnection(asyncio.Protocol):
    """A connection to any stand-in."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for replies."""
        self.transport = cast(asyncio.Transport, transport)


class EndpointConnection(StandInConnection):
    """An endpoint that answers every command at once."""

    accepted = 0  # connections of all endpoints

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        EndpointConnection.accepted += 1

    def data_received(self, data: bytes) -> None:
        """Answer all commands that are complete."""
        self._reader.feed(data)
        while command := self._reader.gets():
            self.transport.write(self._reply(command[0].upper()))

    @staticmethod
    def _reply(verb: bytes) -> bytes:
        if verb.startswith(b"CALL."):
            return SERVED_REPLY
        return PONG_REPLY if verb == b"PING" else OK_REPLY


class DiscoveryConnection(StandInConnection):
    """Discovery agent that answers any request with a watch: the full list, then heartbeats only."""

    full_list: ClassVar[bytes] = b""

    def __init__(self) -> None:
        self._request_head = b""

    def data_received(self, data: bytes) -> None:
        """Start the watch once the request is complete."""
        self._request_head += data
        if HTTP_HEAD_END in self._request_head:
            self._request_head = b""
            self.transport.write(WATCH_HEAD)
            self._write_chunk(self.full_list)
            self._write_heartbeat()

    def _write_chunk(self, data: bytes) -> None:
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _write_heartbeat(self) -> None:
        if not self.transport.is_closing():
            self._write_chunk(b"\n")
            asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self._write_heartbeat)


class CounterConnection(StandInConnection):
    """A quota counter of unlimited capacity."""

    totals: ClassVar[dict[bytes, float]] = {}
    calls = 0  # of all connections

    def __init__(self) -> None:
        self._incomplete_line = b""

    def data_received(self, data: bytes) -> None:
        """Answer all complete lines together, after the reply time."""
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        replies = b"".join(self._reply(line.split()) for line in lines)
        asyncio.get_running_loop().call_later(COUNTER_REPLY_S, self.transport.write, replies)

    def _reply(self, fields: list[bytes]) -> bytes:
        if fields[0] == b"ping":
            return b"pong\r\n"
        CounterConnection.calls += 1
        key = fields[1]
        self.totals[key] = self.totals.get(key, 0.0) + float(fields[2])
        return b"ok %.6f\r\n" % self.totals[key]


async def _listen(connection_type: type[StandInConnection]) -> int:
    """Listen at a free port and return it."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(connection_type, LOCALHOST, 0, backlog=LISTEN_BACKLOG)
    return cast(int, server.sockets[0].getsockname()[1])


async def serve(endpoints: int) -> None:
    """Run the stand-ins until stdin ends."""
    ports = StandInPorts(
        endpoint=await _listen(EndpointConnection),
        discovery=await _listen(DiscoveryConnection),
        counter=await _listen(CounterConnection),
    )
    records = endpoint_records(endpoints, address=f"{LOCALHOST}:{ports.endpoint}")
    DiscoveryConnection.full_list = encode_update(full_update(records))
    print(json.dumps(asdict(ports)), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    counts = StandInCounts(EndpointConnection.accepted, CounterConnection.calls)
    print(json.dumps(asdict(counts)), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1])))
