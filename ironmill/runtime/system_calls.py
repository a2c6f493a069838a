"""Which errors of system calls pass by themselves, and trying such calls again at the start.

Errors as in accept(2), connect(2), socket(2), send(2) and recv(2) of Linux. Whatever is here has nothing to
do with the other side of a connection.
"""

from __future__ import annotations

import errno
import logging
import time
from collections.abc import Callable
from typing import Any, TypeVar

# This process or this machine has run out of something that others give back.
RESOURCE_EXHAUSTED_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# connect(2) failed here, at once and before anything was sent.
NOT_SENT_ERRNOS = RESOURCE_EXHAUSTED_ERRNOS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN}
TRANSIENT_START_ERRNOS = NOT_SENT_ERRNOS | {errno.EIO}

RETRY_INTERVAL_S = 0.001  # seconds between two tries while the process serves; costs a few percent of a core
START_RETRY_INTERVAL_S = 0.02
# A start may take 30 s, and nine in ten are to be ready within 10 s (STANDING).
START_RETRY_TIMEOUT_S = 5.0

Result = TypeVar("Result")

log = logging.getLogger("ironmill.runtime.system_calls")


class TransientError(Exception):
    """Something could not be done for a reason that passes by itself."""


class UnsentError(OSError):
    """A connection could not be begun for a reason of this machine: nothing was sent, the server is not to
    blame."""


def retry_at_start(function: Callable[..., Result], *args: Any) -> Result:
    """Call the function, again while it fails for a moment. Blocks: not for a process that serves."""
    until = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return function(*args)
        except TransientError as error:
            if time.monotonic() >= until:
                raise
            log.info("the start waits: %s", error)
        except OSError as error:
            if error.errno not in TRANSIENT_START_ERRNOS or time.monotonic() >= until:
                raise
            log.info("the start waits: %s", error)
        time.sleep(START_RETRY_INTERVAL_S)
