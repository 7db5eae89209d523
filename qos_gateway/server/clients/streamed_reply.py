"""A large value on its way from an endpoint to a client."""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from ..networking.value_stream import FlowControl

VALUE_END = b"\r\n"  # of a reply that is a large value


class ValueState(Enum):
    """How a large value is received and written."""

    NEW = auto()
    BUFFERING = auto()  # received into memory that is reserved for the whole value
    PAUSED = auto()  # not received while earlier replies are pending, as there is no memory for it
    QUEUED = auto()  # the first pending reply, not received until memory is reserved for it
    STREAMING = auto()  # each part is written to the client when it is received


class ValueConnection(Protocol):
    """The operations of a client connection that a large value needs."""

    @property
    def blocked(self) -> bool:
        """Whether the write buffer is full because the client does not accept its replies."""

    def write(self, *parts: bytes | bytearray) -> None:
        """Write parts of the first pending reply."""


class StreamedReply:
    """A large value that is being received from an endpoint.

    It is streamed to the client if it is the first pending reply and no command follows it, because a value
    that fails after its first bytes were written closes the connection. Otherwise it is buffered, once memory
    for the whole value is reserved. Reading from the endpoint is paused without it, and while the client does
    not accept a value that is streamed.
    """

    __slots__ = (
        "_buffered",
        "_client",
        "_flow_control",
        "_header",
        "length",
        "received_bytes",
        "state",
    )

    def __init__(self, client: ValueConnection, length: int, flow_control: FlowControl) -> None:
        """`length` is the size of the value in bytes."""
        self._client = client
        self._flow_control = flow_control
        self._header = b"$%d\r\n" % length
        self._buffered = bytearray()  # received before streaming started
        self.length = length
        self.received_bytes = 0
        self.state = ValueState.NEW

    @property
    def started(self) -> bool:
        """Whether part of the value was written to the client."""
        return self.state is ValueState.STREAMING

    @property
    def is_waiting(self) -> bool:
        """Whether the value is not received, as there is no memory for it."""
        return self.state in (ValueState.PAUSED, ValueState.QUEUED)

    def write(self, data: bytes) -> None:
        """Write part of the value, or buffer it."""
        self.received_bytes += len(data)
        if self.started:
            self._client.write(data)
        else:
            self._buffered += data

    def buffer(self) -> None:
        """Receive the value into memory, which was reserved for it."""
        if self.state is not ValueState.NEW:
            self._flow_control.resume()
        self.state = ValueState.BUFFERING

    def wait(self, is_first: bool) -> None:
        """Receive nothing until memory is reserved, or until streaming starts."""
        self.state = ValueState.QUEUED if is_first else ValueState.PAUSED
        self._flow_control.pause()

    def start(self) -> None:
        """Write the buffered part; later parts are written as they are received."""
        self.state = ValueState.STREAMING
        self._client.write(*self.take_buffered())
        self.set_paused(self._client.blocked)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the endpoint."""
        if paused:
            self._flow_control.pause()
        else:
            self._flow_control.resume()

    def take_buffered(self) -> tuple[bytes, bytearray]:
        """Return the header and the part of the value that was buffered, to be written by the caller."""
        buffered = self._buffered
        self._buffered = bytearray()
        return self._header, buffered
