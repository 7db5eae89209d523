"""The age of received bytes, by which the soak orders attempts."""

from __future__ import annotations

import socket
import time

from soak.socket_age import min_age_s

DELAYS_S = [0.0005 * n for n in range(60)]


def connected_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    return sender, receiver


def test_bytes_do_not_seem_older_than_they_are() -> None:
    # An attempt dated before its bytes were sent seemed to come before the one that it repeats.
    sender, receiver = connected_pair()
    with sender, receiver:
        for delay_s in DELAYS_S:
            sent_at = time.monotonic()
            sender.sendall(b"x")
            time.sleep(delay_s)
            received_at = time.monotonic() - min_age_s(receiver)
            receiver.recv(1)
            assert received_at >= sent_at
