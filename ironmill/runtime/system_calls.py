"""Classification of system call errors that are transient, and retries of such calls at the start.

The errors are those of accept(2), connect(2), socket(2), send(2) and recv(2) of Linux that have their cause
on this machine, not at the peer.
"""

from __future__ import annotations

import errno
import logging
import time
from collections.abc import Callable
from typing import TypeVar

from ironmill.errors import IronmillError

# The process or the machine has run out of something that is released again.
RESOURCE_EXHAUSTED_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# connect(2) failed locally, before anything was sent.
NOT_SENT_ERRNOS = RESOURCE_EXHAUSTED_ERRNOS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN}
TRANSIENT_START_ERRNOS = NOT_SENT_ERRNOS | {errno.EIO}

RETRY_INTERVAL_S = 0.001  # between two tries while the process serves; costs a few percent of a core
START_RETRY_INTERVAL_S = 0.02
START_RETRY_TIMEOUT_S = 5.0  # leaves a restarted process half of the 10 s in which it is to be ready

Result = TypeVar("Result")

log = logging.getLogger("ironmill.runtime.system_calls")


class TransientError(IronmillError):
    """An operation failed for a reason that passes by itself."""


class UnsentError(OSError):
    """A connect failed for a reason of this machine: nothing was sent, and the server is not at fault."""


def retry_at_start(function: Callable[..., Result], *args: object) -> Result:
    """Calls the function, again for up to ``START_RETRY_TIMEOUT_S`` while it fails for a transient reason.

    Raises its last error. Blocks the process: must not be called while it serves.
    """
    deadline = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return function(*args)
        except TransientError as error:
            if time.monotonic() >= deadline:
                raise
            log.info("start delayed: %s", error)
        except OSError as error:
            if error.errno not in TRANSIENT_START_ERRNOS or time.monotonic() >= deadline:
                raise
            log.info("start delayed: %s", error)
        time.sleep(START_RETRY_INTERVAL_S)
