"""Datagrams between gateways. A peer is identified by its address; other datagrams are dropped."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from typing import cast

from ..decisions.quota.peers.peer_messages import MAX_MESSAGE_BYTES
from ..types import PeerMessage
from .config import Address
from .networking.transient_errors import retry_transient

log = logging.getLogger(__name__)

# While the previous process of this gateway holds the address.
BIND_RETRY_INTERVAL_S = 0.1


class Peers(asyncio.DatagramProtocol):
    """The UDP socket for the messages to and from all other gateways."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        own_number: int,
        on_message: Callable[[PeerMessage], None],
    ) -> None:
        """Take the addresses of all gateways by number, including this gateway's own."""
        self._peers = peers
        self._numbers = {peer: number for number, peer in enumerate(peers) if number != own_number}
        self._broadcast_address = broadcast_address
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._binding: asyncio.Task[None] | None = None  # retries while the address is in use

    async def listen(self, address: Address, may_be_in_use: bool) -> None:
        """Open the socket; raise OSError if the address cannot be listened on.

        With `may_be_in_use` the previous process of this gateway may still hold the address, and it alone
        exchanges messages with the peers until it ends. The socket is then opened in the background.
        """
        try:
            await retry_transient(lambda: self._bind(address))
        except OSError as error:
            if error.errno != errno.EADDRINUSE or not may_be_in_use:
                raise
            log.info("peer_address_in_use address=%s:%d waiting_for=previous_process", *address)
            self._binding = asyncio.get_running_loop().create_task(self._retry_binding(address))

    async def _bind(self, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(address)
            await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=sock)
        except OSError:
            sock.close()
            raise

    async def _retry_binding(self, address: Address) -> None:
        while self._transport is None:
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)
            try:
                await self._bind(address)
            except OSError:
                continue
        log.info("peer_address_opened address=%s:%d", *address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the socket for all further messages."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Report a peer's message."""
        host, port = addr[:2]
        number = self._numbers.get((host, port))
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:
            self._on_message(PeerMessage(number, data))

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error, as the port of a stopped peer causes: messages may be lost."""

    def send(self, recipient: int | None, data: bytes) -> None:
        """Send a message to one peer by number, or to all if `recipient` is None.

        A message of more than `MAX_MESSAGE_BYTES` is logged and dropped.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            log.error("peer_message_too_long bytes=%d limit=%d", len(data), MAX_MESSAGE_BYTES)
            return
        if self._transport is None:
            return
        for address in self._addresses_of(recipient):
            self._transport.sendto(data, address)

    def _addresses_of(self, recipient: int | None) -> list[Address]:
        if recipient is not None:
            return [self._peers[recipient]] if 0 <= recipient < len(self._peers) else []
        return [self._broadcast_address] if self._broadcast_address else list(self._numbers)

    def close(self) -> None:
        """Close the socket."""
        if self._binding is not None:
            self._binding.cancel()
        if self._transport is not None:
            self._transport.close()
