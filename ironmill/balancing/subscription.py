"""Scheduling of calls to a discovery service that reports changes only to subscribers."""

from __future__ import annotations

from ironmill.balancing.interface import SetTimer, Subscribe
from ironmill.balancing.state import BalancerState

MAX_FIRST_CALL_DELAY_S = 4.0
BACKOFF_S = 1.0  # after the first failure; doubles with each further failure
MAX_BACKOFF_S = 8.0

SUBSCRIBE_TIMER = "ask"  # timer names are part of the simulator's protocol


class Subscription:
    """Spreads the first calls of all proxies and backs off after failures.

    All proxies share a discovery service with little capacity. Until a call succeeds, the cached endpoint
    list is used.
    """

    def __init__(self, state: BalancerState) -> None:
        """Creates a subscription that is inactive until ``start`` is called."""
        self._state = state
        self._enabled = state.settings.subscribes_to_discovery
        self._failures = 0

    def start(self) -> None:
        """Sets the timer for the first call, if the settings require a subscription."""
        if self._enabled:
            latest = min(MAX_FIRST_CALL_DELAY_S, self._state.settings.discovery_poll_interval / 2)
            self._set_timer(self._state.rng.random() * latest)

    def subscribe(self) -> None:
        """Calls discovery. Must be called when the timer has fired."""
        self._state.actions.append(Subscribe())

    def succeeded(self) -> None:
        """Resets the backoff, after discovery has sent a list."""
        self._failures = 0

    def failed(self) -> None:
        """Sets the timer for the next call, after a failed call or a lost subscription."""
        if not self._enabled:
            return
        pause = min(MAX_BACKOFF_S, BACKOFF_S * 2.0**self._failures)
        self._failures += 1
        self._set_timer(pause * (0.5 + self._state.rng.random()))

    def _set_timer(self, delay: float) -> None:
        self._state.actions.append(SetTimer(delay, SUBSCRIBE_TIMER))
