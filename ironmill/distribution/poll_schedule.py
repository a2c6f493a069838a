"""The times at which a child polls its parent, and a record of its recent polls."""

from __future__ import annotations

import math

from msgspec import Struct

from ironmill.distribution.revision import START, Position
from ironmill.distribution.timing import MIN_ACK_INTERVAL_S, POLL_INTERVAL_S, POLL_RETRY_DELAY_S

MAX_TRACKED_POLLS = 64  # recent polls that a response can be matched to


class SentPoll(Struct, frozen=True):
    """The record of a poll that is needed when its response arrives."""

    sent_at: float
    received_position: Position  # as reported in the poll


_UNKNOWN_POLL = SentPoll(-math.inf, START)


class PollSchedule:
    """The times of past polls and of the next one, in seconds of the monotonic clock."""

    def __init__(self, now: float) -> None:
        """Creates a schedule whose first poll is due immediately."""
        self._next_at = now
        self._last_at = -math.inf
        self._sent: dict[int, SentPoll] = {}  # by the sequence number of the poll's envelope

    def is_due(self, now: float) -> bool:
        """Returns True if the parent is to be polled now."""
        return now >= self._next_at

    def record_poll(self, now: float) -> None:
        """Schedules the retry of a poll to the parent, in case it is not answered."""
        self._next_at = now + POLL_RETRY_DELAY_S
        self._last_at = now

    def record_response(self) -> None:
        """Schedules the next poll after a response of the parent."""
        self._next_at = max(self._next_at, self._last_at + POLL_INTERVAL_S)

    def expect_delta(self, now: float) -> None:
        """Schedules an early poll, in case the delta that the parent is sending is lost."""
        self._next_at = min(self._next_at, now + POLL_RETRY_DELAY_S)

    def request_ack(self, now: float) -> None:
        """Schedules an acknowledging poll, at the earliest ``MIN_ACK_INTERVAL_S`` after the last poll."""
        self._next_at = min(self._next_at, max(now, self._last_at + MIN_ACK_INTERVAL_S))

    def record_sent(self, count: int, poll: SentPoll) -> None:
        """Records a poll that was sent to the parent or to another candidate.

        ``count`` is the sequence number in the datagram's envelope, which the response repeats.
        """
        self._sent[count] = poll
        if len(self._sent) > MAX_TRACKED_POLLS:
            del self._sent[next(iter(self._sent))]

    def find_sent(self, count: int) -> SentPoll:
        """Returns the poll with this sequence number, or one sent at minus infinity if it is not recorded."""
        return self._sent.get(count, _UNKNOWN_POLL)
