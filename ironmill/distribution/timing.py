"""Intervals, timeouts and rates of distribution. Times are in seconds.

A change is applied everywhere within 3 s even if two datagrams in a row are lost.
"""

from __future__ import annotations

from msgspec import Struct

TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 0.6  # a tick this late means that the process was paused and has unread datagrams

# Polls from a child to its parent. A parent that does not respond is dropped after about one second.
POLL_INTERVAL_S = 0.4
POLL_RETRY_DELAY_S = 0.1  # one tick, so an unanswered poll is repeated in the next tick
MAX_UNANSWERED_POLLS = 4
MIN_ACK_INTERVAL_S = 0.05  # between polls that acknowledge a delta

# Selection of a parent.
PROBE_INTERVAL_S = 0.3  # while there is no usable parent
MAX_PROBES = 3  # candidates probed at once
ACCEPT_ANY_PARENT_DELAY_S = 2.0  # without a usable candidate for longer, any that responds is accepted
MAX_PARENT_AGE_S = 2.5  # a parent that has not heard from the origin for longer is unusable
REORDERING_S = 0.5  # a response may be older than a delta that arrived up to this long before it
PREFERRED_PARENT_INTERVAL_S = 20.0  # mean time between attempts to return to a preferred parent
MIN_FAILURE_BACKOFF_S = 1.0  # doubled with each failure in a row
MAX_FAILURE_BACKOFF_S = 16.0

# A parent's records of its children.
CHILD_LEASE_S = 1.5  # a child that has not polled for longer is unreachable
DELTA_RESEND_DELAY_S = 0.15  # minimum age at which a poll causes an unacknowledged delta to be resent
LAGGING_DELAY_S = 1.0  # a child behind the latest position for longer is reported as lagging
CONVERGENCE_DELAY_S = 3.0  # time after the start that children need to find this process

# Messages between control machines about children that have changed their parent.
CHILD_MOVED_RETRY_INTERVAL_S = 0.5
MAX_CHILD_MOVED_ATTEMPTS = 60
MIN_FIND_CHILD_INTERVAL_S = 1.0  # doubled with each request
MAX_FIND_CHILD_INTERVAL_S = 8.0

STORE_CHECK_INTERVAL_S = 1.0  # between checks of the store for another writer


class Timing(Struct, frozen=True):
    """The values that operators can set."""

    stale_after_s: float = 4.0  # time without contact to the origin until the configuration is stale
    forget_after_s: float = 3600.0  # time until an unreachable child is no longer reported
    catch_up_bytes_per_s: float = 128 * 1024.0  # requested by one subscriber
    serve_bytes_per_s: float = 4 * 1024.0 * 1024.0  # sent by one parent to all catching-up children
