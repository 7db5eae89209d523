"""The age of bytes that waited unread: while reading was paused, or left behind by a read."""

from __future__ import annotations

from qos_gateway.server.clients.input_backlog import (
    HELD_BACK_GRACE_S,
    MAX_WAITING_BYTES,
    MIN_HELD_BACK_BYTES,
    InputBacklog,
)

PAUSED_AT_S = 10.0
RESUMED_AT_S = 12.0
SIZE = 100
SOON_S = HELD_BACK_GRACE_S / 5


def paused_with(unread_bytes: int) -> InputBacklog:
    backlog = InputBacklog()
    backlog.pause(PAUSED_AT_S)
    backlog.resume(RESUMED_AT_S, unread_bytes)
    return backlog


def test_nothing_has_waited_where_the_socket_is_empty_at_the_end_of_the_pause() -> None:
    assert not paused_with(0).exists()


def test_bytes_in_the_socket_count_from_the_pause_until_a_read_empties_it() -> None:
    backlog = paused_with(100)
    assert backlog.received_at_s(RESUMED_AT_S, SIZE, socket_is_empty=False) == PAUSED_AT_S
    assert backlog.received_at_s(RESUMED_AT_S, SIZE, socket_is_empty=True) == PAUSED_AT_S
    assert not backlog.exists()


def test_bytes_that_come_soon_after_a_full_socket_was_emptied_count_from_the_pause() -> None:
    """The client's system held them back, and sent them after the gateway's read."""
    backlog = paused_with(MIN_HELD_BACK_BYTES)
    emptied_at_s = RESUMED_AT_S + 1.0
    assert backlog.received_at_s(RESUMED_AT_S, SIZE, socket_is_empty=False) == PAUSED_AT_S
    assert backlog.received_at_s(emptied_at_s, SIZE, socket_is_empty=True) == PAUSED_AT_S
    assert backlog.received_at_s(emptied_at_s + SOON_S, SIZE, socket_is_empty=True) == PAUSED_AT_S
    assert backlog.received_at_s(emptied_at_s + 2 * SOON_S, SIZE, socket_is_empty=True) == PAUSED_AT_S
    later_s = emptied_at_s + HELD_BACK_GRACE_S + SOON_S
    assert backlog.received_at_s(later_s, SIZE, socket_is_empty=True) == later_s
    assert not backlog.exists()


def test_bytes_of_a_later_pause_count_from_the_first_while_its_bytes_may_be_unread() -> None:
    backlog = paused_with(MIN_HELD_BACK_BYTES)
    backlog.pause(RESUMED_AT_S + 1.0)
    backlog.resume(RESUMED_AT_S + 2.0, 0)
    assert backlog.received_at_s(RESUMED_AT_S + 2.0 + SOON_S, SIZE, socket_is_empty=True) == PAUSED_AT_S
    later_s = RESUMED_AT_S + 3.0
    assert backlog.received_at_s(later_s, SIZE, socket_is_empty=True) == later_s


def test_bytes_that_a_read_left_in_the_socket_count_from_that_read() -> None:
    backlog = InputBacklog()
    backlog.leave_unread(PAUSED_AT_S)
    assert backlog.received_at_s(RESUMED_AT_S, SIZE, socket_is_empty=False) == PAUSED_AT_S
    assert backlog.received_at_s(RESUMED_AT_S + 1.0, SIZE, socket_is_empty=True) == PAUSED_AT_S
    assert not backlog.exists()


def test_backlog_begins_later_once_more_was_read_than_can_have_waited() -> None:
    backlog = InputBacklog()
    backlog.leave_unread(10.0)
    assert backlog.received_at_s(11.0, MAX_WAITING_BYTES, socket_is_empty=False) == 10.0
    assert backlog.received_at_s(12.0, MAX_WAITING_BYTES, socket_is_empty=False) == 10.0
    assert backlog.received_at_s(13.0, SIZE, socket_is_empty=False) == 11.0
