"""When a child polls its parent, and what its recent polls named."""

from __future__ import annotations

import math

from msgspec import Struct

from ironmill.distribution.revision import START, Position
from ironmill.distribution.timing import MIN_ACK_INTERVAL_S, POLL_INTERVAL_S, POLL_RETRY_DELAY_S

MAX_TRACKED_POLLS = 64  # that may still be answered


class SentPoll(Struct, frozen=True):
    """What is remembered of a poll until its answer arrives."""

    sent_at: float
    received_position: Position  # as the poll named it


_FORGOTTEN_POLL = SentPoll(-math.inf, START)


class PollSchedule:
    """The times of past polls and of the next one, in seconds of the monotonic clock."""

    def __init__(self, now: float) -> None:
        """The first poll is due at once."""
        self._next_at = now
        self._last_at = -math.inf
        self._sent: dict[int, SentPoll] = {}  # by the count of the datagram

    def is_due(self, now: float) -> bool:
        """Returns True if the parent is to be polled now."""
        return now >= self._next_at

    def record_poll(self, now: float) -> None:
        """Schedules the repetition of a poll to the parent, should it stay without an answer."""
        self._next_at = now + POLL_RETRY_DELAY_S
        self._last_at = now

    def record_response(self) -> None:
        """Schedules the next poll after an answer of the parent."""
        self._next_at = max(self._next_at, self._last_at + POLL_INTERVAL_S)

    def expect_delta(self, now: float) -> None:
        """Schedules an early poll, in case the delta that the parent has announced is lost."""
        self._next_at = min(self._next_at, now + POLL_RETRY_DELAY_S)

    def request_ack(self, now: float) -> None:
        """Schedules a poll as acknowledgement, as soon as ``MIN_ACK_INTERVAL_S`` after the last poll."""
        self._next_at = min(self._next_at, max(now, self._last_at + MIN_ACK_INTERVAL_S))

    def record_sent(self, count: int, poll: SentPoll) -> None:
        """Records the datagram of a poll, to the parent or to another candidate."""
        self._sent[count] = poll
        if len(self._sent) > MAX_TRACKED_POLLS:
            del self._sent[next(iter(self._sent))]

    def sent(self, count: int) -> SentPoll:
        """Returns a poll; one sent at minus infinity if it is not known any more."""
        return self._sent.get(count, _FORGOTTEN_POLL)
