"""Messages of the reservation protocol: requests to the owner of a customer's bucket, and its replies."""

from __future__ import annotations

from ....types import Action, SendPeerMessage
from ..account.customer_account import CustomerAccount
from .peer_messages import Reservation, ReservationKind, encode_reservation
from .process_age import ProcessAge


class ReservationClient:
    """Builds the protocol's messages; customer ids are assigned to owners modulo the gateway count."""

    def __init__(self, gateway_count: int, age: ProcessAge) -> None:
        self.gateway_count = gateway_count
        self.age = age

    def owner(self, account: CustomerAccount) -> int:
        """Return the position of the gateway that owns the customer's bucket."""
        return account.customer_id % self.gateway_count

    def request(self, now: int, account: CustomerAccount, units: float, reservation: int) -> Action:
        """Return the message that reserves units from the owner; with reservation 0 it only reports them."""
        message = Reservation(
            kind=ReservationKind.RESERVE if reservation else ReservationKind.CONSUME,
            customer_id=account.customer_id,
            plan_index=account.plan_index,
            units=units,
            tag=reservation,
            sender_age=self.age.tenths(now),
        )
        return SendPeerMessage(self.owner(account), encode_reservation(message))

    def reply(self, now: int, sender: int, account: CustomerAccount, tag: int, granted: bool) -> Action:
        """Return the owner's reply to the request with that tag, with the tokens left in its bucket."""
        message = Reservation(
            kind=ReservationKind.GRANTED if granted else ReservationKind.DENIED,
            customer_id=account.customer_id,
            plan_index=account.plan_index,
            units=account.buckets.tokens,
            tag=tag,
            sender_age=self.age.tenths(now),
        )
        return SendPeerMessage(sender, encode_reservation(message))
