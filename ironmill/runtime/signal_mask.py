"""Blocks the signals of a serving process while it has no handlers for them.

A signal without a handler ends the process. A blocked one waits until it is unblocked, and is handled then.
"""

from __future__ import annotations

import signal
from collections.abc import Iterable

SERVICE_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

SignalMask = Iterable[int]


def block_service_signals() -> SignalMask:
    """Blocks the signals and returns the previous mask, for ``restore``."""
    return signal.pthread_sigmask(signal.SIG_BLOCK, SERVICE_SIGNALS)


def unblock_service_signals() -> SignalMask:
    """Lets the signals through, also those that have waited. Returns the previous mask, for ``restore``."""
    return signal.pthread_sigmask(signal.SIG_UNBLOCK, SERVICE_SIGNALS)


def restore(mask: SignalMask) -> None:
    """Sets a mask that one of the other functions has returned."""
    signal.pthread_sigmask(signal.SIG_SETMASK, mask)
