"""The replies of order servers."""

from __future__ import annotations

LOAD_REPORT = b"load_share=0.5,concurrent=3"
PADDING = b"."
PONG_REPLY = b"+PONG\r\n"
BUSY_REPLY = b"-BUSY\r\n"
ERROR_REPLY = b"-ERR failed\r\n"
UNKNOWN_REPLY = b"-ERR unknown command\r\n"
MALFORMED_REPLIES = (b"*3\r\n$5\r\nval", b"*2\r\n$1\r\nx\r\n$-1\r\n", b"$-7\r\n", b"hello\r\n")


def response_value(request_id: str, server: int) -> bytes:
    """Return the value of one order server's response to one request; no other response has the same."""
    return f"{request_id}/{server}".encode()


def requested_bytes(request_id: str) -> int:
    """Return the size of the value that a request asks for by the end of its id, `-SIZE`; 0 for any."""
    _, _, size = request_id.partition("-")
    return int(size or 0)


def padded(value: bytes, size: int) -> bytes:
    """Return a value with padding up to a size in bytes."""
    return value + b"/" + PADDING * (size - len(value) - 1)


def without_padding(value: bytes) -> bytes:
    """Return a value without its padding, if it has any."""
    head, _, padding = value.rpartition(b"/")
    return head if padding and not padding.strip(PADDING) else value


def success_reply(value: bytes) -> bytes:
    """Return the reply that carries a value and a load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(LOAD_REPORT), LOAD_REPORT)
