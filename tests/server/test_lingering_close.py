"""How long a half-closed connection is kept, by what its peer acknowledges and sends."""

from __future__ import annotations

from math import inf

import pytest

from qos_gateway.server.networking.acknowledgements import READING_TIMEOUT_S, Acknowledgements
from qos_gateway.server.networking.lingering_close import (
    BUFFERED_READER_STALL_TIMEOUT_S,
    BUFFERED_STALL_TIMEOUT_S,
    DELIVERED_LINGER_S,
    MAX_LINGER_S,
    CloseDecision,
    LingeringClose,
)
from qos_gateway.server.networking.socket_queues import SocketQueues

START_S = 100.0
WAIT, CLOSE, ABANDON = CloseDecision.WAIT, CloseDecision.CLOSE, CloseDecision.ABANDON


class Peer:
    """A connection that was half-closed at `START_S`."""

    def __init__(self, unacknowledged: int, last_written_s: float = 0.0) -> None:
        """`last_written_s` is the time in seconds since the last write."""
        queues = SocketQueues(unacknowledged, 0)
        self.acknowledgements = Acknowledgements()
        self.acknowledgements.record(START_S, unacknowledged)
        self.lingering = LingeringClose(START_S, START_S - last_written_s, queues, self.acknowledgements)

    def decide(
        self,
        after_s: float,
        unacknowledged: int = 0,
        unread: int = 0,
        *,
        has_hung_up: bool = False,
        is_buffered: bool = False,
        deadline_s: float = inf,
    ) -> CloseDecision:
        queues = SocketQueues(unacknowledged, unread)
        return self.lingering.decide(START_S + after_s, queues, has_hung_up, is_buffered, deadline_s)


def test_peer_that_has_everything_is_kept_until_it_closes_or_for_the_linger_time() -> None:
    peer = Peer(1000)
    assert peer.decide(0.5, 1000, has_hung_up=True) is WAIT
    assert peer.decide(0.6) is WAIT
    assert peer.decide(0.6 + DELIVERED_LINGER_S - 0.01) is WAIT
    assert peer.decide(0.6 + DELIVERED_LINGER_S) is CLOSE
    assert peer.decide(0.7, has_hung_up=True) is CLOSE


def test_resting_peer_is_closed_at_once() -> None:
    assert Peer(0, last_written_s=DELIVERED_LINGER_S).decide(0.01) is CLOSE
    assert Peer(0).decide(0.01) is WAIT


def test_peer_that_sends_has_not_read_the_end_of_the_stream_yet() -> None:
    peer = Peer(0)
    assert peer.decide(DELIVERED_LINGER_S - 0.1, unread=100) is WAIT
    assert peer.decide(2 * DELIVERED_LINGER_S, unread=100) is WAIT
    assert peer.decide(READING_TIMEOUT_S, unread=100) is WAIT
    assert peer.decide(DELIVERED_LINGER_S - 0.1 + READING_TIMEOUT_S, unread=100) is CLOSE


@pytest.mark.parametrize(
    ("is_buffered", "timeout_s"), [(False, READING_TIMEOUT_S), (True, BUFFERED_STALL_TIMEOUT_S)]
)
def test_peer_that_acknowledges_nothing_is_given_up_sooner_if_the_process_holds_its_bytes(
    is_buffered: bool, timeout_s: float
) -> None:
    peer = Peer(1000)
    assert peer.decide(timeout_s - 0.1, 1000, is_buffered=is_buffered) is WAIT
    assert peer.decide(timeout_s - 0.05, 900, is_buffered=is_buffered) is WAIT
    assert peer.decide(2 * timeout_s - 0.1, 900, is_buffered=is_buffered) is WAIT
    assert peer.decide(2 * timeout_s, 900, is_buffered=is_buffered) is ABANDON


def test_peer_that_reads_slowly_may_pause_for_longer_while_the_process_holds_its_bytes() -> None:
    peer = Peer(1000)
    assert peer.decide(1.0, 900, is_buffered=True) is WAIT
    assert peer.decide(2.0, 800, is_buffered=True) is WAIT
    assert peer.decide(1.9 + BUFFERED_READER_STALL_TIMEOUT_S, 800, is_buffered=True) is WAIT
    assert peer.decide(2.0 + BUFFERED_READER_STALL_TIMEOUT_S, 800, is_buffered=True) is ABANDON


def test_input_does_not_prolong_the_time_of_a_peer_whose_bytes_the_process_holds() -> None:
    peer = Peer(1000)
    for step in range(1, 20):
        is_over = step * 0.1 >= BUFFERED_STALL_TIMEOUT_S
        assert peer.decide(step * 0.1, 1000, unread=step, is_buffered=True) is (ABANDON if is_over else WAIT)


def test_after_the_deadline_only_a_peer_that_reads_is_kept() -> None:
    deadline_s = START_S + 3.0
    assert Peer(1000).decide(2.9, 1000, deadline_s=deadline_s) is WAIT
    assert Peer(1000).decide(3.0, 1000, deadline_s=deadline_s) is ABANDON
    peer = Peer(1000)
    assert peer.decide(2.5, 900, deadline_s=deadline_s) is WAIT
    assert peer.decide(2.9, 800, deadline_s=deadline_s) is WAIT
    assert peer.decide(3.0, 800, deadline_s=deadline_s) is WAIT
    assert peer.decide(2.9 + READING_TIMEOUT_S, 800, deadline_s=deadline_s) is ABANDON


def test_peer_that_read_before_the_end_counts_as_reading() -> None:
    peer = Peer(1000)
    peer.acknowledgements.record(START_S, 900)
    peer.acknowledgements.record(START_S, 800)
    assert peer.decide(3.0, 800, deadline_s=START_S) is WAIT


def test_peer_that_acknowledges_a_little_now_and_then_is_given_up_in_the_end() -> None:
    peer = Peer(1000)
    for second in range(1, int(MAX_LINGER_S)):
        assert peer.decide(second, 1000 - second) is WAIT
    assert peer.decide(MAX_LINGER_S, 1) is ABANDON


def test_bytes_that_fill_the_receive_buffer_do_not_show_that_a_peer_reads() -> None:
    acknowledgements = Acknowledgements()
    for unacknowledged in (0, 500, 500, 700, 690, 690):
        acknowledgements.record(START_S, unacknowledged)
    assert not acknowledgements.is_reading(START_S)
    acknowledgements.record(START_S + 1.0, 600)
    assert acknowledgements.is_reading(START_S + 1.0)
    assert not acknowledgements.is_reading(START_S + 1.0 + READING_TIMEOUT_S)
