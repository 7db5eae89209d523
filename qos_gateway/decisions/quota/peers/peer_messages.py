"""Layout of the messages between gateways: bytes to values and back."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

MAX_MESSAGE_BYTES = 256  # of a datagram between gateways
_HEADER = struct.Struct("<HH")
_TOTAL = struct.Struct("<QHB")
_RESERVATION = struct.Struct("<BQBHIH")
MAX_TOTALS = (MAX_MESSAGE_BYTES - _HEADER.size) // _TOTAL.size  # customers in one message of totals


class ReservationKind(IntEnum):
    """Kind of a message between a gateway and the owner of a customer's bucket."""

    RESERVE = 1  # requests units
    CONSUME = 2  # reports units that were used; it has no reply
    GRANTED = 3  # grants a RESERVE; the units are what the bucket holds
    DENIED = 4  # denies a RESERVE; the units are what the bucket holds


@dataclass(slots=True, kw_only=True)
class Reservation:
    """One message between a gateway and the owner of a customer's bucket."""

    kind: int
    customer_id: int
    plan_index: int
    units: float  # 0 to 16,383.75, rounded to quarters
    tag: int  # number of the reservation, repeated in the reply
    sender_age: int  # tenths of a second that the sender has been running


@dataclass(slots=True)
class CustomerTotal:
    """What the sender counted for one customer."""

    customer_id: int
    spent_quarter_units: int  # running total, modulo 65,536
    in_flight: int  # 255 at most


@dataclass(slots=True)
class GossipMessage:
    """Running totals of one gateway."""

    incarnation: int
    sender_age: int  # tenths of a second that the sender has been running
    totals: list[CustomerTotal]


def _u16(value: float) -> int:
    return min(0xFFFF, max(0, round(value)))


def encode_reservation(message: Reservation) -> bytes:
    """Return the message's bytes; units are rounded to quarters and limited to the field's range."""
    return _RESERVATION.pack(
        message.kind,
        message.customer_id,
        message.plan_index,
        _u16(4 * message.units),
        message.tag,
        _u16(message.sender_age),
    )


def decode_reservation(data: bytes) -> Reservation | None:
    """Return the message; None if the bytes have another form."""
    if len(data) != _RESERVATION.size:
        return None
    kind, customer_id, plan_index, quarter_units, tag, sender_age = _RESERVATION.unpack(data)
    if kind not in tuple(ReservationKind):
        return None
    return Reservation(
        kind=kind,
        customer_id=customer_id,
        plan_index=plan_index,
        units=quarter_units / 4,
        tag=tag,
        sender_age=sender_age,
    )


def encode_totals(incarnation: int, sender_age: int, totals: Iterable[CustomerTotal]) -> bytes:
    """Return the bytes of a message; at most `MAX_TOTALS` customers, the age in tenths of a second."""
    message = _HEADER.pack(incarnation, _u16(sender_age))
    for total in totals:
        message += _TOTAL.pack(
            total.customer_id, total.spent_quarter_units & 0xFFFF, min(255, total.in_flight)
        )
    return message


def decode_totals(data: bytes) -> GossipMessage | None:
    """Return the message; None if the bytes have another form."""
    if len(data) < _HEADER.size or (len(data) - _HEADER.size) % _TOTAL.size:
        return None
    incarnation, sender_age = _HEADER.unpack_from(data)
    totals = [CustomerTotal(*fields) for fields in _TOTAL.iter_unpack(data[_HEADER.size :])]
    return GossipMessage(incarnation, sender_age, totals)
