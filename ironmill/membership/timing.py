"""Intervals and timeouts of membership in seconds, and the relations that they have to satisfy."""

from __future__ import annotations

from msgspec import Struct

TICK_INTERVAL_S = 0.1  # between two calls of ``Member.tick``

GOSSIP_PROPAGATION_S = 0.6  # for an update to reach every one of some hundred members
INDIRECT_PING_DELAY_S = 1.2  # without proof of life until indirect pings are sent and pings are doubled
# Replaces the suspicion timeout for a new observer of a suspected member: earlier observers waited in full.
TAKEOVER_SUSPICION_TIMEOUT_S = 0.6
DECISION_STABILITY_S = 0.1  # a majority has to last this long before the view changes
CONFIRMATION_TIMEOUT_S = 1.5  # a reported change that own observations contradict waits this long
OPINION_LIFETIME_S = 5.0  # unless it is renewed
OPINION_RENEWAL_INTERVAL_S = 2.0
PAUSE_THRESHOLD_S = 0.5  # a tick that is this late shows that the process did not run
PAUSE_RECOVERY_S = 1.0  # after a pause no member is suspected for this long
REMOVED_PING_INTERVAL_S = 1.0  # from an observer to each silent member that is out of the view
SEED_PING_INTERVAL_S = 2.0  # to a seed that is not in the view
JOINING_SEED_PING_INTERVAL_S = 0.25  # the same while joining or isolated
JOINING_OBSERVER_PING_INTERVAL_S = 1.5  # to the own observers; joining takes less as a rule
MAX_CONVERGENCE_S = 10.0  # after the last fault, until all members have the same view
BOOTSTRAP_DELAY_S = 1.0  # until the first seed starts a cluster; each further one waits twice this longer


class Timing(Struct, frozen=True):
    """Configurable times. The defaults remove a killed member within 5 s and tolerate a pause of 2 s."""

    ping_interval_s: float = 0.6  # from an observer to each of its subjects
    tolerated_pause_s: float = 2.0  # a silence of this length does not remove a member
    suspicion_timeout_s: float = 2.7  # without proof of life, direct or relayed
    max_detection_s: float = 5.0  # within which a killed member is out of every view
    isolation_timeout_s: float = 2.0  # without contact with any other member until this one is isolated
    forget_delay_s: float = 3600.0  # until a member that is out of the view is forgotten

    def inconsistency(self) -> str:
        """Returns the first violated relation, by the settings' attributes; empty if there is none."""
        # The last proof of life before a pause may be one ping interval and one tick old.
        min_suspicion_s = self.tolerated_pause_s + self.ping_interval_s + TICK_INTERVAL_S
        # The observers may have been killed as well: their removal propagates first, and others take over.
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
            return f"ping-every is {self.ping_interval_s:g}s and at least {min_ping_interval_s:g}s"
        if self.suspicion_timeout_s < min_suspicion_s:
            return (
                f"suspect-after is {self.suspicion_timeout_s:g}s, but with pings every"
                f" {self.ping_interval_s:g}s a pause of {self.tolerated_pause_s:g}s is borne from"
                f" {min_suspicion_s:g}s on"
            )
        if detection_s > self.max_detection_s:
            return (
                f"gone-within is {self.max_detection_s:g}s, but with suspect-after of"
                f" {self.suspicion_timeout_s:g}s a member is gone after {detection_s:g}s"
            )
        if not min_isolation_s <= self.isolation_timeout_s < self.suspicion_timeout_s:
            return (
                f"alone-after is {self.isolation_timeout_s:g}s and lies from {min_isolation_s:g}s, two rounds"
                f" of pings, to less than suspect-after, {self.suspicion_timeout_s:g}s"
            )
        if self.forget_delay_s < min_forget_delay_s:
            return f"forget-after is {self.forget_delay_s:g}s and at least {min_forget_delay_s:g}s"
        return ""
