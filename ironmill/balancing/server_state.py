"""The state that one proxy keeps of a server."""

from __future__ import annotations

import math

REPORT_LIFETIME_S = 8.0  # an older load report is not used


class ServerState:
    """The state that this proxy keeps of one server. Times are in seconds on the caller's clock."""

    __slots__ = (
        "attempts_connecting",
        "cell",
        "connection_cost",
        "connections",
        "connections_at_report",
        "ejected_until",
        "failures",
        "health_checked_at",
        "identical_reports",
        "idle_links_until",
        "load",
        "load_reported_at",
        "overloaded_at",
        "penalty",
        "penalty_updated_at",
        "ready",
        "report",
        "server_id",
        "slow_start_tokens",
        "slow_start_window",
        "started_at",
        "unlisted_sends",
        "weight",
        "zone",
    )

    def __init__(self, server_id: int) -> None:
        """Creates a server that is not ready."""
        self.server_id = server_id
        self.zone = ""
        self.cell = 0
        self.started_at = 0.0
        self.weight = 1.0  # as listed, relative to other servers
        self.ready = False
        self.connections = 0  # own established connections and attempts in flight
        self.attempts_connecting = 0  # own attempts in flight, which are not yet established
        self.idle_links_until: list[float] = []  # when each idle link from this proxy will be closed
        self.unlisted_sends: list[
            float
        ] = []  # times of own sends that the listed weight does not yet include
        self.penalty = 0.0  # for its faults, in connections, at penalty_updated_at
        self.penalty_updated_at = 0.0
        self.failures = 0  # consecutive failed attempts and health checks
        self.ejected_until = -math.inf
        self.health_checked_at = -math.inf
        self.report: tuple[tuple[str, float], ...] = ()
        self.load = 0.0  # last reported ratio of requested work to capacity
        self.load_reported_at = -math.inf
        self.connection_cost = 0.0  # with live weights: last reported load per listed connection
        self.connections_at_report = 0
        self.identical_reports = 0  # number of consecutive reports that are equal to the previous report
        self.overloaded_at = -math.inf  # when it last counted as overloaded
        self.slow_start_window = -1  # number of the window for which slow_start_tokens were granted
        self.slow_start_tokens = 0

    def has_fresh_report(self, now: float) -> bool:
        """Returns True if the last load report is recent enough to use."""
        return now - self.load_reported_at <= REPORT_LIFETIME_S
