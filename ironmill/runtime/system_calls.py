"""Classification of transient system call errors, and retries of failed calls at startup.

The errors are those of accept(2), connect(2), socket(2), send(2) and recv(2) on Linux that this machine
causes, not the peer.
"""

from __future__ import annotations

import errno
import logging
import time
from collections.abc import Callable
from typing import TypeVar

from ironmill.errors import IronmillError

# The process or the machine has temporarily run out of a resource.
RESOURCE_EXHAUSTED_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# connect(2) failed locally, before anything was sent.
NOT_SENT_ERRNOS = RESOURCE_EXHAUSTED_ERRNOS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN}
TRANSIENT_START_ERRNOS = NOT_SENT_ERRNOS | {errno.EIO}

RETRY_INTERVAL_S = 0.001  # between retries while the process serves; costs a few percent of a core
START_RETRY_INTERVAL_S = 0.02
START_RETRY_TIMEOUT_S = 5.0  # half of the 10 s in which a restarted process must be ready

Result = TypeVar("Result")

log = logging.getLogger("ironmill.runtime.system_calls")


class TransientError(IronmillError):
    """An operation failed for a temporary reason and may succeed if it is repeated."""


class UnsentError(OSError):
    """A connect failed because of this machine: nothing was sent, and the server is not at fault."""


def retry_at_start(function: Callable[..., Result], *args: object) -> Result:
    """Returns the result of the function; retries transient failures for up to ``START_RETRY_TIMEOUT_S``.

    Raises the last error. Blocks the process, so it must not be called while the process serves.
    """
    deadline = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return function(*args)
        except TransientError as error:
            if time.monotonic() >= deadline:
                raise
            log.info("start delayed by a transient error; retrying: %s", error)
        except OSError as error:
            if error.errno not in TRANSIENT_START_ERRNOS or time.monotonic() >= deadline:
                raise
            log.info("start delayed by a transient error; retrying: %s", error)
        time.sleep(START_RETRY_INTERVAL_S)
