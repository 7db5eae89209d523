"""The address at which one gateway reaches an order server."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from soak.background_tasks import BackgroundTasks
from soak.settings import LOCALHOST

BACKLOG = 256
FILLERS = 3  # connections that fill the shortened accept queue


class GatewayListener:
    """A listening socket that can leave new connections waiting, or refuse them."""

    def __init__(self, factory: Callable[[], asyncio.Protocol]) -> None:
        self._loop = asyncio.get_running_loop()
        self._factory = factory
        self._tasks = BackgroundTasks()
        self._fillers: list[socket.socket] = []
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port = self._bind()

    def _bind(self) -> int:
        """Bind to a free port by its number: only such a port stays reserved while nothing listens."""
        while True:
            with socket.socket() as probe:
                probe.bind((LOCALHOST, 0))
                port = int(probe.getsockname()[1])
            try:
                self._sock.bind((LOCALHOST, port))
            except OSError:
                continue  # another process bound the port first
            return port

    def listen(self) -> None:
        """Accept connections, for the first time or again."""
        self._sock.listen(BACKLOG)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        """Accept all waiting connections: with one a turn of the loop the last of many would be late."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setblocking(False)
            self._tasks.spawn(self._connect(sock))

    async def _connect(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, sock)
        except OSError:
            sock.close()

    def stop_accepting(self) -> None:
        """Leave new connections waiting: the accept queue is shortened, and filled."""
        if self._fillers:
            return
        self._loop.remove_reader(self._sock.fileno())
        self._sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            result = filler.connect_ex((LOCALHOST, self.port))
            if result not in (0, errno.EINPROGRESS):
                filler.close()
            else:
                self._fillers.append(filler)

    def resume_accepting(self) -> None:
        """Accept the waiting connections, and new ones."""
        if not self._fillers:
            return
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._sock.listen(BACKLOG)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def refuse(self) -> None:
        """Refuse connections until the next `listen`; the port stays reserved."""
        self.resume_accepting()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Release the port."""
        self._sock.close()
