"""When to ask a discovery that answers only when asked."""

from __future__ import annotations

import random

from ironmill.balancing.interface import Action, SetTimer, Settings

# Discovery by asking: spread of the first calls and the backoff after failures, seconds.
ASK_SPREAD = 4.0
ASK_BACKOFF = 1.0
ASK_BACKOFF_MAX = 8.0


class Subscription:
    """When to ask a discovery that answers only when asked.

    The list service is small and all proxies share it: calls are spread at the start and back off
    with jitter after a failure. The list held serves meanwhile.
    """

    TIMER = "ask"

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self._asks = settings.subscribes_to_discovery
        self._spread = min(ASK_SPREAD, settings.discovery_poll_interval / 2)
        self._failures = 0

    def start(self) -> list[Action]:
        """The first call, at a time of this proxy's own."""
        return [SetTimer(self._rng.random() * self._spread, self.TIMER)] if self._asks else []

    def answered(self) -> None:
        """A list came, so the service answers."""
        self._failures = 0

    def failed(self) -> list[Action]:
        """A call failed or the subscription broke: ask again, later each time."""
        if not self._asks:
            return []
        pause = min(ASK_BACKOFF_MAX, ASK_BACKOFF * 2.0**self._failures)
        self._failures += 1
        return [SetTimer(pause * (0.5 + self._rng.random()), self.TIMER)]
