"""Wire format of the messages between gateways."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

MAX_MESSAGE_BYTES = 256  # each message is one datagram
_HEADER = struct.Struct("<HH")
_TOTAL = struct.Struct("<QHB")
_RESERVATION = struct.Struct("<BQBHIH")
MAX_TOTALS_PER_MESSAGE = (MAX_MESSAGE_BYTES - _HEADER.size) // _TOTAL.size


class ReservationKind(IntEnum):
    """Kind of a message between a gateway and the owner of a customer's bucket."""

    RESERVE = 1  # requests units from the owner
    CONSUME = 2  # reports units already spent; has no reply
    GRANTED = 3  # grants a RESERVE; `units` are the tokens left in the bucket
    DENIED = 4  # denies a RESERVE; `units` are the tokens left in the bucket


@dataclass(slots=True, kw_only=True)
class Reservation:
    """One message between a gateway and the owner of a customer's bucket."""

    kind: int
    customer_id: int
    plan_index: int
    units: float  # 0 to 16,383.75; encoded in quarter units
    tag: int  # reservation number; the reply repeats it
    sender_age: int  # age of the sending process, in tenths of a second


@dataclass(slots=True)
class CustomerTotal:
    """The sender's counts for one customer."""

    customer_id: int
    spent_quarter_units: int  # running total, modulo 65,536
    in_flight: int  # 255 at most


@dataclass(slots=True)
class GossipMessage:
    """Running totals of the customers of one gateway."""

    incarnation: int
    sender_age: int  # age of the sending process, in tenths of a second
    totals: list[CustomerTotal]


def _u16(value: float) -> int:
    return min(0xFFFF, max(0, round(value)))


def encode_reservation(message: Reservation) -> bytes:
    """Encode a message; units are rounded to quarters, units and age are limited to their fields' ranges."""
    return _RESERVATION.pack(
        message.kind,
        message.customer_id,
        message.plan_index,
        _u16(4 * message.units),
        message.tag,
        _u16(message.sender_age),
    )


def decode_reservation(data: bytes) -> Reservation | None:
    """Decode a message; return None if it is malformed."""
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
    """Encode a message of at most `MAX_TOTALS_PER_MESSAGE` totals; `sender_age` is in tenths of a second."""
    message = _HEADER.pack(incarnation, _u16(sender_age))
    for total in totals:
        message += _TOTAL.pack(
            total.customer_id, total.spent_quarter_units & 0xFFFF, min(255, total.in_flight)
        )
    return message


def decode_totals(data: bytes) -> GossipMessage | None:
    """Decode a message; return None if it is malformed."""
    if len(data) < _HEADER.size or (len(data) - _HEADER.size) % _TOTAL.size:
        return None
    incarnation, sender_age = _HEADER.unpack_from(data)
    totals = [CustomerTotal(*fields) for fields in _TOTAL.iter_unpack(data[_HEADER.size :])]
    return GossipMessage(incarnation, sender_age, totals)
