"""A client of the admin API for tasks of the scheduler."""

from __future__ import annotations

from ironmill.net.sockets import Stream
from ironmill.runtime.scheduler import Scheduler

CALL_TIMEOUT_S = 5.0


def call(scheduler: Scheduler, address: tuple[str, int], method: str, path: str) -> tuple[int, bytes]:
    """Sends a request over a new connection; returns the status and body of the response. Parks."""
    stream = Stream.connect(scheduler, address, CALL_TIMEOUT_S)
    try:
        stream.send(b"%s %s HTTP/1.1\r\nHost: x\r\n\r\n" % (method.encode(), path.encode()))
        data = b""
        while chunk := stream.receive(CALL_TIMEOUT_S):
            data += chunk
    finally:
        stream.close()
    return int(data.split(b" ", 2)[1]), data.partition(b"\r\n\r\n")[2]
