"""When to call a discovery that reports changes only to subscribers."""

from __future__ import annotations

from ironmill.balancing.interface import SetTimer, Subscribe
from ironmill.balancing.state import BalancerState

MAX_FIRST_CALL_DELAY_S = 4.0
BACKOFF_S = 1.0  # after the first failure, doubled with each further one
MAX_BACKOFF_S = 8.0

SUBSCRIBE_TIMER = "ask"  # timer names are visible on the simulator's wire


class Subscription:
    """Spreads the first calls of all proxies and backs off after failures.

    Discovery is small and all proxies share it. The cached endpoint list is used meanwhile.
    """

    def __init__(self, state: BalancerState) -> None:
        """Sets no timer; see ``start``."""
        self._state = state
        self._enabled = state.settings.subscribes_to_discovery
        self._failures = 0

    def start(self) -> None:
        """Sets the timer of the first call."""
        if self._enabled:
            latest = min(MAX_FIRST_CALL_DELAY_S, self._state.settings.discovery_poll_interval / 2)
            self._set_timer(self._state.rng.random() * latest)

    def call(self) -> None:
        """Subscribes: the timer fired."""
        self._state.actions.append(Subscribe())

    def succeeded(self) -> None:
        """Ends the backoff: discovery sent a list."""
        self._failures = 0

    def failed(self) -> None:
        """Sets the timer of the next call after a failed call or a lost subscription."""
        if not self._enabled:
            return
        pause = min(MAX_BACKOFF_S, BACKOFF_S * 2.0**self._failures)
        self._failures += 1
        self._set_timer(pause * (0.5 + self._state.rng.random()))

    def _set_timer(self, delay: float) -> None:
        self._state.actions.append(SetTimer(delay, SUBSCRIBE_TIMER))
