"""A bad peer in a process of its own: sends commands that are no requests, and reads what it gets.

Arguments: host, port, bytes to send. Prints when it got the first byte, and when it had sent all.
"""

from __future__ import annotations

import socket
import sys
import threading
import time

COMMAND = b"*1\r\n$4\r\nNEWS\r\n"  # well-formed RESP, and none of the protocol's commands
BLOCK = COMMAND * 16_384


def main() -> None:
    """Send and read until all is sent or the connection ends."""
    host, port, size = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    began_at = time.monotonic()
    sock = socket.create_connection((host, port))
    reading = threading.Thread(target=_read, args=(sock, began_at), daemon=True)
    reading.start()
    sent = 0
    try:
        while sent < size:
            block = BLOCK[: size - sent]
            sock.sendall(block)
            sent += len(block)
    except OSError as error:
        print(f"connection ended: {error}", flush=True)
    print(f"sent {sent} bytes by {time.monotonic() - began_at:.2f} s", flush=True)
    sock.close()


def _read(sock: socket.socket, began_at: float) -> None:
    is_first = True
    try:
        while data := sock.recv(1 << 20):
            if is_first:
                is_first = False
                print(f"first answer after {time.monotonic() - began_at:.2f} s: {data[:24]!r}", flush=True)
    except OSError:
        pass


if __name__ == "__main__":
    main()
