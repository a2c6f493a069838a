"""Observation of how long servers take to answer lines on established connections."""

from __future__ import annotations

from collections.abc import Callable

from ironmill.requests.client_request import Attempt
from ironmill.requests.response_delay import DelayMeter
from ironmill.requests.routing_table import Server
from ironmill.runtime.scheduler import Timers


class RoundTripObserver:
    """Keeps one ``DelayMeter`` for each server and passes the events of attempts to it."""

    def __init__(
        self,
        timers: Timers,
        threshold_s: float,
        on_delay: Callable[[str, Server, float], object],
        on_unresponsive: Callable[[str], object],
    ) -> None:
        """Creates an observer without connections.

        ``on_delay`` is called with a request's id, its server and the delay in seconds. It is called while
        the delay exceeds ``threshold_s``, and once more when it no longer does. ``on_unresponsive`` is called
        with the id of a request whose server has become unresponsive.
        """
        self._timers = timers
        self._threshold_s = threshold_s
        self._on_delay = on_delay
        self._on_unresponsive = on_unresponsive
        self._meters: dict[int, DelayMeter] = {}

    def start(self, attempt: Attempt) -> None:
        """Starts observing an established connection."""
        self._meter_for(attempt.server).add_connection(attempt.request.id)

    def stop(self, attempt: Attempt) -> None:
        """Stops observing a connection."""
        self._meter_for(attempt.server).remove_connection(attempt.request.id)

    def lines_sent(self, attempt: Attempt, count: int) -> None:
        """Records that ``count`` lines of the client were written to the server."""
        self._meter_for(attempt.server).lines_sent(attempt.request.id, count)

    def lines_answered(self, attempt: Attempt, count: int) -> None:
        """Records that the server answered ``count`` lines."""
        self._meter_for(attempt.server).lines_answered(attempt.request.id, count)

    def _meter_for(self, server: Server) -> DelayMeter:
        meter = self._meters.get(server.number)
        if meter is None:
            meter = self._meters[server.number] = DelayMeter(
                self._timers,
                self._threshold_s,
                lambda request_id, delay_s: self._on_delay(request_id, server, delay_s),
                self._on_unresponsive,
            )
        return meter
