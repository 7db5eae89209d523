"""RESP2, as far as the stand-ins speak it."""

from __future__ import annotations

import asyncio

CRLF = b"\r\n"


def command(*words: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next line without its end; raise `IncompleteReadError` at the end of the stream."""
    return (await reader.readuntil(CRLF))[:-2]


async def read_bulk(reader: asyncio.StreamReader, header: bytes) -> bytes:
    """Return the bulk string whose header was read."""
    size = int(header[1:])
    return b"" if size < 0 else (await reader.readexactly(size + 2))[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the words of the next command."""
    count = int((await read_line(reader))[1:])
    return [await read_bulk(reader, await read_line(reader)) for _ in range(count)]


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the next answer of a gateway: its kind (`served`, `refused`, `failed`, `pong`) and its text."""
    header = await read_line(reader)
    if header.startswith(b"$") and header != b"$-1":
        return "served", await read_bulk(reader, header)
    if header.startswith(b"-BUSY"):
        return "refused", header
    return ("pong" if header == b"+PONG" else "failed"), header
