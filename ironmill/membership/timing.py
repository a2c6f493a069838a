"""The times of membership, in seconds, and what has to hold between them."""

from __future__ import annotations

from msgspec import Struct

TICK = 0.1  # how often the driver calls


class Timing(Struct, frozen=True):
    """How soon what is done. The defaults find a killed member within 5 s and bear a pause of 2 s."""

    ping_every: float = 0.6  # an observer to each of its subjects
    pause_borne: float = 2.0  # a member that is silent for so long is no more than paused
    suspect_after: float = 2.7  # so long without a proof of life, directly or by others, is accused
    gone_within: float = 5.0  # what is promised for a killed member
    alone_after: float = 2.0  # so long without any two-way contact: it is this member that is cut off
    forget_after: float = 3600.0  # a member that is out for so long has to be told anew

    def wrong(self) -> str:
        """What does not fit together, as one sentence; empty if all does."""
        # The last proof before a pause may be as old as one round of pings, and a tick late.
        borne = self.pause_borne + self.ping_every + TICK
        # Spread by rumour, twice where observers of the dead are dead as well, and one more look between.
        found = self.suspect_after + SPREAD + QUICK + SPREAD
        if self.ping_every < 2.0 * TICK:
            return f"ping-every is {self.ping_every:g}s and at least {2.0 * TICK:g}s"
        if self.suspect_after < borne:
            return (
                f"suspect-after is {self.suspect_after:g}s, but with pings every {self.ping_every:g}s a pause"
                f" of {self.pause_borne:g}s is borne from {borne:g}s on"
            )
        if found > self.gone_within:
            return (
                f"gone-within is {self.gone_within:g}s, but with suspect-after of {self.suspect_after:g}s a"
                f" member is gone after {found:g}s"
            )
        if not 2.0 * self.ping_every <= self.alone_after < self.suspect_after:
            return (
                f"alone-after is {self.alone_after:g}s and lies from {2.0 * self.ping_every:g}s, two rounds"
                f" of pings, to less than suspect-after, {self.suspect_after:g}s"
            )
        if self.forget_after < 10.0 * self.gone_within:
            return f"forget-after is {self.forget_after:g}s and at least {10.0 * self.gone_within:g}s"
        return ""


QUICK = 0.6  # the same as suspect_after for a new observer of one that is accused already
SPREAD = 0.6  # a rumour through some hundred members
SEEK_AFTER = 1.2  # without a proof of life others are asked to try, and pings come twice as often
SETTLE = 0.1  # what decides on a member has to hold for so long
DISPUTE = 1.5  # a change of the view that own evidence does not bear out waits for it so long
OPINION_LASTS = 5.0  # unless it is said again
RENEW = 2.0
HOLD = 1.0  # after a pause nothing is held against anybody for so long
PAUSED = 0.5  # a tick that is so late: this process did not run
LOST_EVERY = 1.0  # an observer to each that is out of the view
SEED_EVERY = 2.0  # to a seed that is not in the view
BOOT = 1.0  # the first seed that hears nobody for so long begins a view; each further one waits as long again
