"""Load shedding: which part of the arrivals is let in while most servers are jammed."""

from __future__ import annotations

import random

# Load shedding: the part of the own connections (where reports tell: of the backends) that may be jammed
# before the gate closes a step, and below which it opens again; seconds between steps; factor down, step up.
SHED_ABOVE = 0.2
SHED_BELOW = 0.1
SHED_ABOVE_REPORTED = 0.3
SHED_BELOW_REPORTED = 0.2
SHED_MEAN = 0.7  # load over all that report, under which the others can take what a jammed one cannot
SHED_LEAST_JAMMED = 2  # one jammed backend is a matter of health, however few there are
SHED_STEP = 0.5
SHED_FACTOR = 0.35
SHED_RISE = 0.04
SHED_FLOOR = 0.02
SHED_OVER_SHARE = 3  # power of the chance for work beyond its tenant's share
SHARE_SLACK = 1.25  # a proxy sees only its slice: so much more than its part is still within the share
SHED_LEAST = 8  # connections that say enough to judge by


class Gate:
    """Which part of the arrivals is let in.

    Where more is asked of the fleet than it can do, every backend piles up work, drops connections,
    and takes them back a moment later: nobody is served, and it does not mend by itself. A proxy
    can tell, for then a good part of its connections stand on jammed backends. It then lets in fewer and
    fewer, and more again as the jam clears. It acts only on a jam that several of its backends
    share; one bad backend is a matter of health, and nobody is refused for it.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._open = 1.0
        self._step_at = now

    def update(self, part: float, above: float, below: float, now: float) -> None:
        """Take the steps due, by the part that is jammed now."""
        if now - self._step_at < SHED_STEP:
            return
        steps = min(20, int((now - self._step_at) / SHED_STEP))
        self._step_at = now
        if part > above:
            self._open = max(SHED_FLOOR, self._open * SHED_FACTOR)
        elif part < below:
            self._open = min(1.0, self._open + SHED_RISE * steps)

    @property
    def closing(self) -> bool:
        """True while some arrivals are turned away."""
        return self._open < 1.0

    def admits(self, over_share: bool) -> bool:
        """Seeded chance: proxies that see the same jam do not act in step."""
        chance = self._open**SHED_OVER_SHARE if over_share else self._open
        return chance >= 1.0 or self._rng.random() < chance
