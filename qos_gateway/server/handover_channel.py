"""An upgrade: the process that starts beside another takes over from it, over a Unix socket they share.

Whoever serves listens on the socket. The next process connects, asks for the state, and then listens under
the same name itself. While both live each tells the other what operators call for. JSON, one object a line.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any, Protocol, cast
from urllib.parse import quote

log = logging.getLogger(__name__)

VERSION = 1
WAIT = 0.5  # s that readiness waits for the old process's word, connecting included
AGREE = 0.3  # s that an operator's call waits for the other process: well inside the caller's second
LINE_MOST = 16 << 20  # bytes: some 100,000 customers
PATH_MOST = 100  # bytes of a Unix socket's path, with some to spare


class Estate(Protocol):
    """What succession needs of the gateway."""

    def bequeath(self) -> dict[str, Any]: ...

    def told(self, backend: int, out: bool) -> None: ...

    def alone(self) -> None: ...


class _Link(asyncio.Protocol):
    """One connection between two processes."""

    def __init__(self, owner: Succession) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.state: asyncio.Future[dict[str, Any]] = owner.loop.create_future()
        self.agreed: dict[int, asyncio.Future[None]] = {}
        self.shares = False  # state went over it, one way or the other
        self._rest = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.owner.links.add(self)

    def data_received(self, data: bytes) -> None:
        self._rest += data
        try:
            while (end := self._rest.find(b"\n")) >= 0:
                line = bytes(self._rest[:end])
                del self._rest[: end + 1]
                self._line(json.loads(line))
            if len(self._rest) > LINE_MOST:
                raise ValueError("line too long")
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.error("upgrade: the other process said what cannot be read: %s", error)
            self.drop()

    def _line(self, said: dict[str, Any]) -> None:
        if said["v"] != VERSION:
            raise ValueError(f"version {said['v']!r}, not {VERSION}")
        if "want" in said:
            log.info("upgrade: another process takes over")
            self.shares = True
            self.say(state=self.owner.estate.bequeath())
        elif "state" in said:
            if not self.state.done():
                self.shares = True
                self.state.set_result(dict(said["state"]))
        elif "out" in said:
            self.owner.estate.told(int(said["backend"]), bool(said["out"]))
            self.say(done=said["n"])
        elif "done" in said and (waiting := self.agreed.pop(said["done"], None)) and not waiting.done():
            waiting.set_result(None)

    def say(self, **words: Any) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(json.dumps({"v": VERSION, **words}).encode() + b"\n")

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.links.discard(self)
        if not self.state.done():
            self.state.set_exception(ConnectionResetError("the other process hung up"))
            self.state.exception()  # nobody may be waiting for it
        for waiting in self.agreed.values():
            if not waiting.done():
                waiting.set_result(None)
        if self.shares:
            self.owner.ended()

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Succession:
    """The shared socket, under the gateway's name in the folder that its processes share."""

    def __init__(self, folder: str, name: str, estate: Estate) -> None:
        self.loop = asyncio.get_running_loop()
        self.estate = estate
        self.links: set[_Link] = set()
        self._folder, self._file = Path(folder), f"upgrade-{quote(name, safe='')}.sock"
        self._numbers = count(1)
        self._server: asyncio.Server | None = None

    def _reach(self, file: str, use: Callable[[str], None]) -> None:
        """Calls with a path that fits into a Unix socket's address, however long the folder's is."""
        path = str(self._folder / file)
        if len(os.fsencode(path)) <= PATH_MOST:
            return use(path)
        held = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            use(f"/proc/self/fd/{held}/{file}")
        finally:
            os.close(held)

    async def inherit(self) -> dict[str, Any] | None:
        """The state of the process that still serves; None without one, or where it does not say in time."""
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            self._reach(self._file, sock.connect)
        except OSError as error:
            sock.close()
            if isinstance(error, FileNotFoundError | ConnectionRefusedError):
                return None  # the usual start: nobody serves under this name, or nobody any more
            log.error("upgrade: the process before cannot be reached, starting without its state: %s", error)
            return None
        link = None
        try:
            async with asyncio.timeout(WAIT):
                _, link = await self.loop.create_unix_connection(lambda: _Link(self), sock=sock)
                link.say(want="state")
                return await link.state
        except (OSError, TimeoutError) as error:
            why = str(error) or "no word in time"
            log.error("upgrade: starting without the state of the process before: %s", why)
            if link is not None:
                link.shares = False
                link.drop()
            return None

    async def serve(self) -> None:
        """Be the one that the next process asks. A name that is there already is replaced in one step."""
        fresh = f"{self._file}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            (self._folder / fresh).unlink(missing_ok=True)
            self._reach(fresh, sock.bind)
            sock.listen(4)
            os.replace(self._folder / fresh, self._folder / self._file)
            self._server = await self.loop.create_unix_server(lambda: _Link(self), sock=sock)
        except OSError as error:
            sock.close()
            log.error("upgrade: the next process will find no state here: %s", error)

    async def agree(self, backend: int, out: bool) -> None:
        """Tell the other process, if one lives, and wait a moment until it has taken it in."""
        waiting = []
        for link in self.links:
            if link.shares:
                number = next(self._numbers)
                link.agreed[number] = self.loop.create_future()
                waiting.append(link.agreed[number])
                link.say(backend=backend, out=out, n=number)
        if waiting:
            _, late = await asyncio.wait(waiting, timeout=AGREE)
            if late:
                log.error("upgrade: the other process did not answer an operator's call")

    def ended(self) -> None:
        if not any(link.shares for link in self.links):
            log.info("upgrade: the other process is gone")
            self.estate.alone()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.shares = False  # it is this process that goes
            link.drop()
