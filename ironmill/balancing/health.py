"""What one proxy knows of a server, the symptoms that count against it, and its circuit breaker."""

from __future__ import annotations

import math
import random

from ironmill.balancing.interface import Outcome

# Health: what a symptom adds to a backend's count, how high all of them together may go, and how
# fast they fade. Longer memory keeps more crowd off a bad backend, and off a mended one too.
STANDING_MAX = 6.0
STANDING_HALF_LIFE = 4.0
LOAD_OF_OUTCOME = {
    Outcome.ERROR: 2.0,
    Outcome.FULL: 3.0,
    Outcome.TIMEOUT: 3.0,
    Outcome.CONNECT_FAILED: 4.0,
    Outcome.RESET: 3.0,
}
# A message that takes its whole aim reads like this many connections; a set-up likewise.
LOAD_OF_SLOWNESS = 2.0
# Slowness below this share of the aim is no symptom.
SLOW_SHARE = 0.33

# A backend on which so many attempts in a row came to nothing is left out for a while, longer each time;
# then one attempt at a time tries it. Never more than this part of the ready ones: beyond it the fault is
# elsewhere.
OUT_AFTER = 3
OUT_FIRST = 1.0
OUT_MOST = 8.0
OUT_PART = 0.5


class Backend:
    """What this proxy knows of one backend."""

    __slots__ = (
        "cell",
        "cold_tokens",
        "cold_window",
        "cost",
        "failures",
        "id",
        "idle_until",
        "jammed_at",
        "live",
        "load",
        "load_at",
        "load_live",
        "load_same",
        "out_until",
        "probed_at",
        "ready",
        "report",
        "standing",
        "standing_at",
        "started_at",
        "trying",
        "unlisted",
        "weight",
        "zone",
    )

    def __init__(self, backend: int) -> None:
        self.id = backend
        self.zone = ""
        self.cell = 0
        self.started_at = 0.0
        self.weight = 1.0  # listed size, relative to the others'
        self.ready = False
        self.live = 0  # own connections and attempts out
        self.idle_until: list[float] = []  # own idle links to it: when each will be closed
        self.standing = 0.0  # symptoms, in connections
        self.standing_at = 0.0
        self.failures = 0  # attempts in a row that came to nothing
        self.out_until = -math.inf  # left out till then, for its failures
        self.trying = 0  # attempts out that do not stand
        self.unlisted: list[float] = []  # own sends that no listed weight can tell of yet
        self.probed_at = -math.inf
        self.report: tuple[tuple[str, float], ...] = ()
        self.load = 0.0  # as last reported: what it is asked for over what it can do
        self.load_at = -math.inf
        self.cost = 0.0  # as last reported, for what was listed as held
        self.load_live = 0  # own connections at that moment
        self.load_same = 0  # reports in a row that were the same to the last digit
        self.jammed_at = -math.inf  # when a message last took longer than its aim
        self.cold_window = -1
        self.cold_tokens = 0


class Health:
    """Symptoms, read as connections that are not there and fade.

    A backend that fails or slows sheds its connections, so its count alone would win it tokens at
    once. The standing load keeps them from it for a while. It is one number a backend and no
    ejection: where most backends show a symptom, all read higher and the order between them stays.
    """

    @staticmethod
    def standing(backend: Backend, now: float) -> float:
        """What the symptoms seen so far weigh now."""
        if backend.standing == 0.0:
            return 0.0
        value = backend.standing * 0.5 ** ((now - backend.standing_at) / STANDING_HALF_LIFE)
        return value if value >= 0.5 else 0.0

    @classmethod
    def add(cls, backend: Backend, load: float, now: float) -> None:
        """One more symptom on top of those that stand."""
        backend.standing = min(STANDING_MAX, cls.standing(backend, now) + load)
        backend.standing_at = now

    @classmethod
    def set_slowness(cls, backend: Backend, share: float, now: float) -> None:
        """A measured delay, as a share of its aim: a level, not one more symptom."""
        if share >= SLOW_SHARE:
            level = min(STANDING_MAX, share * LOAD_OF_SLOWNESS)
            backend.standing = max(cls.standing(backend, now), level)
            backend.standing_at = now
        else:
            backend.standing = min(cls.standing(backend, now), 1.0)
            backend.standing_at = now


class Breaker:
    """Leaves out a backend on which one attempt after another comes to nothing.

    Guards against one that fails at once: it is always the emptiest, so by its count it would be sent
    everything again as soon as its symptoms have faded.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def failed(self, backend: Backend, now: float) -> None:
        """An attempt, or a probe, came to nothing."""
        backend.failures += 1
        over = backend.failures - OUT_AFTER
        if over >= 0:
            pause = min(OUT_MOST, OUT_FIRST * 2.0 ** min(over, 8))
            backend.out_until = now + pause * (0.75 + 0.5 * self._rng.random())

    @staticmethod
    def stood(backend: Backend) -> None:
        """An attempt stands: whatever it was, it is over."""
        backend.failures = 0
        backend.out_until = -math.inf

    @staticmethod
    def out(backend: Backend, now: float) -> bool:
        """True while it gets nothing, or has the one attempt that tries it."""
        return backend.failures >= OUT_AFTER and (now < backend.out_until or backend.trying > 0)
