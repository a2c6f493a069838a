"""Calls as staff make them, from within a task."""

from __future__ import annotations

from ironmill.net.sockets import Stream
from ironmill.runtime.scheduler import Scheduler

CALL_WAIT = 5.0  # seconds


def call(scheduler: Scheduler, address: tuple[str, int], method: str, path: str) -> tuple[int, bytes]:
    """One call over a connection of its own: the status and the body of the answer."""
    stream = Stream.connect(scheduler, address, CALL_WAIT)
    try:
        stream.send(b"%s %s HTTP/1.1\r\nHost: x\r\n\r\n" % (method.encode(), path.encode()))
        data = b""
        while piece := stream.receive(CALL_WAIT):
            data += piece
    finally:
        stream.close()
    return int(data.split(b" ", 2)[1]), data.partition(b"\r\n\r\n")[2]
