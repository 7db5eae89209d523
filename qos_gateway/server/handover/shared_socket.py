"""The Unix socket of a gateway, named after it, in the folder that its processes share."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path
from urllib.parse import quote

MAX_SOCKET_PATH_BYTES = 100  # Linux allows 108
BACKLOG_CONNECTIONS = 4  # only one process takes over at a time


class SharedSocket:
    """Connects to the socket of the serving process, or replaces it with a socket of this process."""

    def __init__(self, folder: str, gateway_name: str) -> None:
        self._folder = Path(folder)
        self._file_name = f"upgrade-{quote(gateway_name, safe='')}.sock"

    def connect(self) -> socket.socket | None:
        """Return a socket connected to the serving process, or None if no process listens.

        Raises OSError on any other failure.
        """
        sock = _non_blocking_socket()
        try:
            self._call_with_short_path(self._file_name, sock.connect)
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()
            return None
        except OSError:
            sock.close()
            raise
        return sock

    def listen(self) -> socket.socket:
        """Return a listening socket that atomically replaced any previous one; raise OSError on failure."""
        new_name = f"{self._file_name}.{os.getpid()}"
        sock = _non_blocking_socket()
        try:
            (self._folder / new_name).unlink(missing_ok=True)
            self._call_with_short_path(new_name, sock.bind)
            sock.listen(BACKLOG_CONNECTIONS)
            (self._folder / new_name).replace(self._folder / self._file_name)
        except OSError:
            sock.close()
            raise
        return sock

    def _call_with_short_path(self, file_name: str, operation: Callable[[str], None]) -> None:
        """Call `operation` with a path short enough for a Unix socket address, even in a long folder path."""
        path = str(self._folder / file_name)
        if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
            operation(path)
            return
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            operation(f"/proc/self/fd/{descriptor}/{file_name}")
        finally:
            os.close(descriptor)


def _non_blocking_socket() -> socket.socket:
    sock = socket.socket(socket.AF_UNIX)
    sock.setblocking(False)
    return sock
