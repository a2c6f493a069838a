"""The state that the decision modules of one proxy share."""

from __future__ import annotations

import random

from ironmill.balancing.interface import Action, Settings
from ironmill.balancing.request_state import RequestState
from ironmill.balancing.server_state import ServerState

# The rates of health checks and migrations apply to a fleet of this size. In a larger fleet each proxy acts
# less often, so that the total does not grow, and counts each own connection as several, since more of the
# connections on a server belong to other proxies.
REFERENCE_PROXIES = 4


class BalancerState:
    """Servers, requests, pending actions, the time of the current event and the random generator."""

    __slots__ = ("actions", "fleet_scale", "now", "requests", "rng", "servers", "settings")

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        """Creates the state of a proxy that starts at ``now``."""
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = now
        self.fleet_scale = max(1.0, settings.proxies / REFERENCE_PROXIES)
        self.servers: dict[int, ServerState] = {}
        self.requests: dict[str, RequestState] = {}
        self.actions: list[Action] = []  # for the current event
