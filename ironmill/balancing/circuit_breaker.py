"""Outlier ejection: a server on which attempts keep failing gets no new requests for a limited time."""

from __future__ import annotations

import math

from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

EJECT_AFTER_FAILURES = 3
MIN_EJECTION_S = 1.0  # doubles with each further failure
MAX_EJECTION_S = 8.0
MAX_DOUBLINGS = 8
MAX_EJECTED_FRACTION = 0.5  # fraction of the ready servers; if more of them fail, none is ejected


class CircuitBreaker:
    """Ejects servers after consecutive failures, and readmits them after one success.

    A server that fails immediately has the fewest connections, so without an ejection it would be selected
    again as soon as its penalty has decayed. After the ejection, the server gets one attempt at a time until
    one succeeds.
    """

    def __init__(self, state: BalancerState) -> None:
        """Creates a circuit breaker for the servers in ``state``."""
        self._state = state

    def record_failure(self, server: ServerState) -> None:
        """Counts a failed attempt or health check."""
        server.failures += 1
        excess = server.failures - EJECT_AFTER_FAILURES
        if excess >= 0:
            duration = min(MAX_EJECTION_S, MIN_EJECTION_S * 2.0 ** min(excess, MAX_DOUBLINGS))
            server.ejected_until = self._state.now + duration * (0.75 + 0.5 * self._state.rng.random())

    @staticmethod
    def reset(server: ServerState) -> None:
        """Clears the failures of a server that has established an attempt or has restarted."""
        server.failures = 0
        server.ejected_until = -math.inf

    def is_ejected(self, server: ServerState) -> bool:
        """Returns True while the server is ejected, or the one attempt allowed afterwards is in flight."""
        if server.failures < EJECT_AFTER_FAILURES:
            return False
        if self._state.now >= server.ejected_until and server.attempts_connecting == 0:
            return False
        return self._may_eject()

    def ejected(self) -> set[int]:
        """Returns the ready servers that are ejected now."""
        return {
            server.server_id
            for server in self._state.servers.values()
            if server.ready and self.is_ejected(server)
        }

    def _may_eject(self) -> bool:
        """Returns False if so many servers fail that ejecting them would overload the others."""
        ready = 0
        failing = 0
        for server in self._state.servers.values():
            if server.ready:
                ready += 1
                failing += server.failures >= EJECT_AFTER_FAILURES
        return failing <= MAX_EJECTED_FRACTION * ready
