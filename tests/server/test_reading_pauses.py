"""The age of bytes that waited while reading was paused."""

from __future__ import annotations

from qos_gateway.server.clients.reading_pauses import HELD_BACK_GRACE_S, MIN_HELD_BACK_BYTES, ReadingPauses

PAUSED_AT_S = 10.0
RESUMED_AT_S = 12.0
SOON_S = HELD_BACK_GRACE_S / 5


def paused_with(unread_bytes: int) -> ReadingPauses:
    pauses = ReadingPauses()
    pauses.begin(PAUSED_AT_S)
    pauses.end(RESUMED_AT_S, unread_bytes)
    return pauses


def test_nothing_has_waited_where_the_socket_is_empty_at_the_end_of_the_pause() -> None:
    assert not paused_with(0).has_unread_input()


def test_bytes_in_the_socket_count_from_the_pause_until_a_read_empties_it() -> None:
    pauses = paused_with(100)
    assert pauses.received_at_s(RESUMED_AT_S, socket_is_empty=False) == PAUSED_AT_S
    assert pauses.received_at_s(RESUMED_AT_S, socket_is_empty=True) == PAUSED_AT_S
    assert not pauses.has_unread_input()


def test_bytes_that_come_soon_after_a_full_socket_was_emptied_count_from_the_pause() -> None:
    """The client's system held them back, and sent them after the gateway's read."""
    pauses = paused_with(MIN_HELD_BACK_BYTES)
    emptied_at_s = RESUMED_AT_S + 1.0
    assert pauses.received_at_s(RESUMED_AT_S, socket_is_empty=False) == PAUSED_AT_S
    assert pauses.received_at_s(emptied_at_s, socket_is_empty=True) == PAUSED_AT_S
    assert pauses.received_at_s(emptied_at_s + SOON_S, socket_is_empty=True) == PAUSED_AT_S
    assert pauses.received_at_s(emptied_at_s + 2 * SOON_S, socket_is_empty=True) == PAUSED_AT_S
    later_s = emptied_at_s + HELD_BACK_GRACE_S + SOON_S
    assert pauses.received_at_s(later_s, socket_is_empty=True) == later_s
    assert not pauses.has_unread_input()


def test_bytes_of_a_later_pause_count_from_the_first_while_its_bytes_may_be_unread() -> None:
    pauses = paused_with(MIN_HELD_BACK_BYTES)
    pauses.begin(RESUMED_AT_S + 1.0)
    pauses.end(RESUMED_AT_S + 2.0, 0)
    assert pauses.received_at_s(RESUMED_AT_S + 2.0 + SOON_S, socket_is_empty=True) == PAUSED_AT_S
    later_s = RESUMED_AT_S + 3.0
    assert pauses.received_at_s(later_s, socket_is_empty=True) == later_s
