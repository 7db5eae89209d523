"""Receive times of bytes that waited while reading was paused, or after a partial read."""

from __future__ import annotations

from qos_gateway.server.clients.input_backlog import (
    FULL_BUFFER_THRESHOLD_BYTES,
    MAX_SOCKET_BUFFER_BYTES,
    SEND_BUFFER_FLUSH_S,
    InputBacklog,
)

PAUSED_AT_S = 10.0
RESUMED_AT_S = 12.0
READ_BYTES = 100
DELAY_S = SEND_BUFFER_FLUSH_S / 5


def backlog_after_pause(unread_bytes: int) -> InputBacklog:
    backlog = InputBacklog()
    backlog.pause(PAUSED_AT_S)
    backlog.resume(RESUMED_AT_S, unread_bytes)
    return backlog


def test_empty_socket_after_a_pause_ends_the_backlog() -> None:
    assert not backlog_after_pause(0).exists()


def test_unread_bytes_get_the_time_of_the_pause_until_a_read_empties_the_socket() -> None:
    backlog = backlog_after_pause(100)
    assert backlog.received_at_s(RESUMED_AT_S, READ_BYTES, socket_is_empty=False) == PAUSED_AT_S
    assert backlog.received_at_s(RESUMED_AT_S, READ_BYTES, socket_is_empty=True) == PAUSED_AT_S
    assert not backlog.exists()


def test_bytes_received_soon_after_a_full_socket_is_emptied_get_the_time_of_the_pause() -> None:
    """They did not fit into the socket, so the client's system sent them after the gateway's read."""
    backlog = backlog_after_pause(FULL_BUFFER_THRESHOLD_BYTES)
    emptied_at_s = RESUMED_AT_S + 1.0
    assert backlog.received_at_s(RESUMED_AT_S, READ_BYTES, socket_is_empty=False) == PAUSED_AT_S
    assert backlog.received_at_s(emptied_at_s, READ_BYTES, socket_is_empty=True) == PAUSED_AT_S
    assert backlog.received_at_s(emptied_at_s + DELAY_S, READ_BYTES, socket_is_empty=True) == PAUSED_AT_S
    assert backlog.received_at_s(emptied_at_s + 2 * DELAY_S, READ_BYTES, socket_is_empty=True) == PAUSED_AT_S
    later_s = emptied_at_s + SEND_BUFFER_FLUSH_S + DELAY_S
    assert backlog.received_at_s(later_s, READ_BYTES, socket_is_empty=True) == later_s
    assert not backlog.exists()


def test_second_pause_keeps_the_start_of_the_first_while_its_bytes_may_be_unread() -> None:
    backlog = backlog_after_pause(FULL_BUFFER_THRESHOLD_BYTES)
    backlog.pause(RESUMED_AT_S + 1.0)
    backlog.resume(RESUMED_AT_S + 2.0, 0)
    assert (
        backlog.received_at_s(RESUMED_AT_S + 2.0 + DELAY_S, READ_BYTES, socket_is_empty=True) == PAUSED_AT_S
    )
    later_s = RESUMED_AT_S + 3.0
    assert backlog.received_at_s(later_s, READ_BYTES, socket_is_empty=True) == later_s


def test_bytes_left_by_a_partial_read_get_the_time_of_that_read() -> None:
    backlog = InputBacklog()
    backlog.note_partial_read(PAUSED_AT_S)
    assert backlog.received_at_s(RESUMED_AT_S, READ_BYTES, socket_is_empty=False) == PAUSED_AT_S
    assert backlog.received_at_s(RESUMED_AT_S + 1.0, READ_BYTES, socket_is_empty=True) == PAUSED_AT_S
    assert not backlog.exists()


def test_backlog_start_advances_once_more_was_read_than_the_socket_buffers_hold() -> None:
    backlog = InputBacklog()
    backlog.note_partial_read(10.0)
    assert backlog.received_at_s(11.0, MAX_SOCKET_BUFFER_BYTES, socket_is_empty=False) == 10.0
    assert backlog.received_at_s(12.0, MAX_SOCKET_BUFFER_BYTES, socket_is_empty=False) == 10.0
    assert backlog.received_at_s(13.0, READ_BYTES, socket_is_empty=False) == 11.0
