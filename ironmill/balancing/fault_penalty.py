"""Penalties that keep new connections away from a faulty server for a limited time.

A server that fails or slows down loses its connections, so by its connection count alone it would be
selected first. The penalty is added to that count and decays exponentially. It does not exclude a server: if
most servers have faults, all their counts rise and their order stays the same.
"""

from __future__ import annotations

from ironmill.balancing.interface import Outcome
from ironmill.balancing.server_state import ServerState

# Penalties are in units of one connection.
MAX_PENALTY = 6.0
MIN_PENALTY = 0.5  # a lower penalty is treated as 0
PENALTY_HALF_LIFE_S = 4.0
OUTCOME_PENALTY = {
    Outcome.ERROR: 2.0,
    Outcome.FULL: 3.0,
    Outcome.TIMEOUT: 3.0,
    Outcome.CONNECT_FAILED: 4.0,
    Outcome.RESET: 3.0,
}
LATENCY_PENALTY = 2.0  # for a delay that equals the latency objective
MIN_SLOW_FRACTION = 0.33  # a delay below this fraction of the latency objective is no fault
MAX_PENALTY_WHEN_FAST = 1.0  # limit of the penalty after a delay that is no fault


def current_penalty(server: ServerState, now: float) -> float:
    """Returns the decayed penalty of a server, or 0 if it is below ``MIN_PENALTY``."""
    if server.penalty == 0.0:
        return 0.0
    penalty = server.penalty * 0.5 ** ((now - server.penalty_updated_at) / PENALTY_HALF_LIFE_S)
    return penalty if penalty >= MIN_PENALTY else 0.0


def add_penalty(server: ServerState, penalty: float, now: float) -> None:
    """Adds the penalty of another fault to the current penalty, up to ``MAX_PENALTY``."""
    server.penalty = min(MAX_PENALTY, current_penalty(server, now) + penalty)
    server.penalty_updated_at = now


def set_latency_penalty(server: ServerState, fraction: float, now: float) -> None:
    """Adjusts the penalty to a delay, given as a fraction of its latency objective.

    Repeated slow samples do not add up, because they all measure the same condition. A fast sample lowers the
    penalty.
    """
    if fraction >= MIN_SLOW_FRACTION:
        server.penalty = max(current_penalty(server, now), min(MAX_PENALTY, fraction * LATENCY_PENALTY))
    else:
        server.penalty = min(current_penalty(server, now), MAX_PENALTY_WHEN_FAST)
    server.penalty_updated_at = now
