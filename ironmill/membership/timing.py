"""Intervals and timeouts of membership in seconds, and the constraints between them."""

from __future__ import annotations

from msgspec import Struct

TICK_INTERVAL_S = 0.1  # between two calls of ``Member.tick``

GOSSIP_PROPAGATION_S = 0.6  # time in which an update reaches all members of a cluster of about 100
# After this time without proof of life, a member is pinged indirectly and twice as often.
INDIRECT_PING_DELAY_S = 1.2
# The suspicion timeout of a new observer of a suspected member. It is shorter than the general one, because
# the earlier observers have already waited for that one.
TAKEOVER_SUSPICION_TIMEOUT_S = 0.6
DECISION_STABILITY_S = 0.1  # how long a quorum has to last before the view changes
# How long a member waits to confirm a reported change that its own observations contradict.
CONFIRMATION_TIMEOUT_S = 1.5
OPINION_LIFETIME_S = 5.0  # after which an opinion expires unless it is renewed
OPINION_RENEWAL_INTERVAL_S = 2.0
PAUSE_THRESHOLD_S = 0.5  # a tick that is later than this shows that the process was not scheduled
PAUSE_RECOVERY_S = 1.0  # the time after a pause in which the process suspects no member
REMOVED_PING_INTERVAL_S = 1.0  # between pings of an observer to a removed member that does not answer
SEED_PING_INTERVAL_S = 2.0  # between pings to seeds that are not in the view
JOINING_SEED_PING_INTERVAL_S = 0.25  # between pings to seeds while joining or isolated
# Interval between a joining member's pings to its observers. Joining usually ends before the first of them.
JOINING_OBSERVER_PING_INTERVAL_S = 1.5
MAX_CONVERGENCE_S = 10.0  # from the end of the last fault until all members have the same view
# The first seed bootstraps a cluster after this time; each further seed waits twice this time longer.
BOOTSTRAP_DELAY_S = 1.0


class Timing(Struct, frozen=True):
    """Configurable times. The defaults remove a killed member within 5 s and tolerate a pause of 2 s."""

    ping_interval_s: float = 0.6  # between pings of an observer to one of its subjects
    tolerated_pause_s: float = 2.0  # a member that is silent for this long is not removed
    suspicion_timeout_s: float = 2.7  # time without a direct or relayed ack until a member is suspected
    max_detection_s: float = 5.0  # time until a killed member is out of every view
    isolation_timeout_s: float = 2.0  # time without contact with any other member until this one is isolated
    forget_delay_s: float = 3600.0  # time until the record of a removed member is deleted

    def inconsistency(self) -> str:
        """Returns an error message about the first violated constraint, or an empty string.

        The message begins with the attribute of the settings file that has the wrong value.
        """
        # At the start of a pause the last ack may be one ping interval and one tick old.
        min_suspicion_s = self.tolerated_pause_s + self.ping_interval_s + TICK_INTERVAL_S
        # The observers may have been killed as well. Then their removal propagates first, and other members
        # replace them.
        detection_s = (
            self.suspicion_timeout_s
            + GOSSIP_PROPAGATION_S
            + TAKEOVER_SUSPICION_TIMEOUT_S
            + GOSSIP_PROPAGATION_S
        )
        min_ping_interval_s = 2.0 * TICK_INTERVAL_S
        min_isolation_s = 2.0 * self.ping_interval_s
        min_forget_delay_s = 10.0 * self.max_detection_s
        if self.ping_interval_s < min_ping_interval_s:
            return f"ping-every is {self.ping_interval_s:g}s; expected at least {min_ping_interval_s:g}s"
        if self.suspicion_timeout_s < min_suspicion_s:
            return (
                f"suspect-after is {self.suspicion_timeout_s:g}s; with a ping-every of"
                f" {self.ping_interval_s:g}s and a pause-borne of {self.tolerated_pause_s:g}s,"
                f" expected at least {min_suspicion_s:g}s"
            )
        if detection_s > self.max_detection_s:
            return (
                f"gone-within is {self.max_detection_s:g}s; with a suspect-after of"
                f" {self.suspicion_timeout_s:g}s, expected at least {detection_s:g}s"
            )
        if not min_isolation_s <= self.isolation_timeout_s < self.suspicion_timeout_s:
            return (
                f"alone-after is {self.isolation_timeout_s:g}s; expected at least {min_isolation_s:g}s (twice"
                f" ping-every) and less than suspect-after, which is {self.suspicion_timeout_s:g}s"
            )
        if self.forget_delay_s < min_forget_delay_s:
            return f"forget-after is {self.forget_delay_s:g}s; expected at least {min_forget_delay_s:g}s"
        return ""
