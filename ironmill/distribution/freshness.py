"""The time since a node last heard from the origin, which decides whether its configuration is stale."""

from __future__ import annotations

import math

from ironmill.distribution.events import BecameFresh, BecameStale
from ironmill.distribution.link import Link
from ironmill.distribution.messages import AGE_UNKNOWN
from ironmill.distribution.replica import Replica


class Freshness:
    """The time at which the origin was last heard from, and the stale state that follows from it."""

    def __init__(self, link: Link, replica: Replica, stale_after_s: float) -> None:
        """Creates the state of a node that has not heard from the origin.

        The configuration is stale if the origin has not been heard from for ``stale_after_s``.
        """
        self._link = link
        self._replica = replica
        self._stale_after_s = stale_after_s
        self._heard_at = -math.inf
        self.is_stale = False

    @property
    def age_ms(self) -> int:
        """Milliseconds since the origin was last heard from; ``AGE_UNKNOWN`` if it never was."""
        if self._heard_at == -math.inf:
            return AGE_UNKNOWN
        return max(0, int(1000.0 * (self._link.now - self._heard_at)))

    @property
    def age_s(self) -> float | None:
        """Seconds since the origin was last heard from; None if it never was."""
        age_ms = self.age_ms
        return None if age_ms == AGE_UNKNOWN else age_ms / 1000.0

    def record(self, heard_at: float) -> None:
        """Records a time at which the origin was heard from, unless a later one is known."""
        if heard_at > self._heard_at:
            self._heard_at = heard_at
            self.update()

    def update(self) -> None:
        """Emits an event if the configuration has become stale or fresh."""
        is_stale = self._link.now - self._heard_at > self._stale_after_s
        if is_stale is self.is_stale:
            return
        self.is_stale = is_stale
        event = BecameStale if is_stale else BecameFresh
        self._link.notify(event(self.age_s, self._replica.received_position))
