"""Close of a client's connection that keeps its socket until the client has received everything sent to it.

The kernel resets a connection on which bytes arrive after the close, and a reset discards what the client has
not received or read yet. A client that reads slowly goes on sending its lines until it reaches the end, so
the socket has to stay open until then.
"""

from __future__ import annotations

import time

from ironmill.net.sockets import Stream, TimedOutError
from ironmill.runtime.scheduler import Scheduler

LINGER_CHECK_INTERVAL_S = 0.5  # between two checks whether the client makes progress
LINGER_IDLE_TIMEOUT_S = 5.0  # without progress; clients send a line every 2 s
MAX_LINGER_S = 60.0  # in all
MAX_DISCARDED_BYTES_PER_CHECK = 64 * 1024  # bounds the processor time for a client that sends without end


class LingeringClose:
    """Closes one stream in order, after all data has been passed to it.

    The client makes progress if it acknowledges data, or if it has acknowledged everything and still sends.
    One that does not read and sends all the same makes none.
    """

    def __init__(self, scheduler: Scheduler, stream: Stream) -> None:
        """Creates the close of ``stream``, which no other task may use any more; ``run`` performs it."""
        self._scheduler = scheduler
        self._stream = stream
        self._unacknowledged_bytes = 0

    def run(self) -> None:
        """Shuts down the sending direction and closes once the client has closed its side, or gives up.

        Parks for at most ``MAX_LINGER_S`` seconds, ``LINGER_IDLE_TIMEOUT_S`` without progress of the client.
        """
        self._stream.shutdown_write()
        self._unacknowledged_bytes = self._stream.unacknowledged_bytes()
        started_at = progressed_at = time.monotonic()
        try:
            while True:
                has_received = self._discard_received()
                now = time.monotonic()
                if self._has_progressed(has_received=has_received):
                    progressed_at = now
                if now >= min(started_at + MAX_LINGER_S, progressed_at + LINGER_IDLE_TIMEOUT_S):
                    return
        except (OSError, EOFError):
            pass  # the client has closed or reset the connection
        finally:
            self._stream.close_immediately()

    def _has_progressed(self, *, has_received: bool) -> bool:
        previous = self._unacknowledged_bytes
        self._unacknowledged_bytes = self._stream.unacknowledged_bytes()
        if self._unacknowledged_bytes:
            return self._unacknowledged_bytes < previous
        return previous > 0 or has_received

    def _discard_received(self) -> bool:
        """Discards what the client sends until the next check; returns False if it has sent nothing.

        Raises ``EOFError`` if the client has closed its side.
        """
        check_at = time.monotonic() + LINGER_CHECK_INTERVAL_S
        remaining_bytes = MAX_DISCARDED_BYTES_PER_CHECK
        while remaining_bytes > 0:
            try:
                data = self._stream.receive(max(0.0, check_at - time.monotonic()))
            except TimedOutError:
                return remaining_bytes < MAX_DISCARDED_BYTES_PER_CHECK
            if not data:
                raise EOFError
            remaining_bytes -= len(data)
        self._scheduler.sleep(max(0.0, check_at - time.monotonic()))
        return True
