"""The lifetime of a request: admission, attempts, retries, and the one final answer."""

from __future__ import annotations

from ironmill.balancing.fault_penalty import MIN_SLOW_FRACTION
from ironmill.balancing.interface import (
    Abandoned,
    AnswerDue,
    Ended,
    Established,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    Request,
    RequestClass,
    Resumed,
    Send,
    SetTimer,
)
from ironmill.balancing.load_shedding import AdmissionControl
from ironmill.balancing.overload import OverloadTracker
from ironmill.balancing.own_connections import OwnConnections
from ironmill.balancing.placement import Placement
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState
from ironmill.balancing.tracked_request import TrackedRequest, UncertainAttempt

RETRY_BACKOFF_S = 0.03  # doubled with each attempt, with full jitter
PLACEMENT_INTERVAL_S = 0.1  # between two tries to place a request that no server may get
MIN_ATTEMPT_S = 0.02  # with less time left no attempt is made
ANSWER_MARGIN_S = 0.005  # the answer leaves this long before the deadline, and
ANSWER_MARGIN_ROUNDS = 3.0  # so many rounds, since a proxy acts only once a round
MIN_RETRY_AFTER_FRACTION = 0.1  # of the longest Retry-After; a random part is added
RETRY_AFTER_JITTER = 0.2


class RequestLifetime:
    """Takes each request from its arrival to its final answer or its connection's end."""

    def __init__(
        self,
        state: BalancerState,
        admission: AdmissionControl,
        placement: Placement,
        connections: OwnConnections,
        overload: OverloadTracker,
    ) -> None:
        """Takes the modules that a request passes."""
        self._state = state
        self._admission = admission
        self._placement = placement
        self._connections = connections
        self._overload = overload
        self._classes = {cls.name: cls for cls in state.settings.classes}
        self._max_attempts = state.settings.max_attempts
        self._margin = ANSWER_MARGIN_S + ANSWER_MARGIN_ROUNDS * state.settings.min_round_interval

    def request_arrived(self, request: Request) -> None:
        """Places a request, has it wait, or rejects it."""
        if request.id in self._state.requests:
            return
        tracked = TrackedRequest(request, self._class_of(request))
        self._state.requests[request.id] = tracked
        if not request.returning:
            self._connections.request_arrived()
        if self._admission.admits(request):
            self._place_or_wait(tracked)
        else:
            self._answer(tracked)

    def connection_resumed(self, event: Resumed) -> None:
        """Tracks a connection that was open before the proxy started."""
        if event.request.id in self._state.requests:
            return
        tracked = TrackedRequest(event.request, self._class_of(event.request))
        self._state.requests[event.request.id] = tracked
        self._connections.resumed(tracked, event.server_id)

    def attempt_established(self, event: Established) -> None:
        """Ends the request's wait, and takes in how long its connection took."""
        tracked = self._state.requests.get(event.request_id)
        if tracked is None or not tracked.is_current(event.attempt):
            return
        server = self._connections.established(tracked)
        objective = tracked.request_class.message_latency_objective
        if event.delay > objective * MIN_SLOW_FRACTION:
            # A new connection waits behind the same work as a message.
            self._overload.record_latency(server, event.delay / objective)

    def attempt_ended(self, event: Ended) -> None:
        """Retries the request or answers it, unless its connection was established."""
        tracked = self._state.requests.get(event.request_id)
        if tracked is None or not tracked.is_current(event.attempt):
            return
        server = self._connections.ended(tracked, event.outcome)
        if event.final or tracked.answered:
            del self._state.requests[event.request_id]
            return
        never_ran = event.outcome.never_ran
        if tracked.uncertain_attempt is None and not never_ran:
            tracked.uncertain_attempt = UncertainAttempt(server, tracked.attempt_started_at)
        if event.outcome is Outcome.NOT_SENT or tracked.answer_due:
            self._answer(tracked)
        elif tracked.attempts == 1 and never_ran:
            self._place_or_wait(tracked)
        else:
            self._wait(tracked, RETRY_BACKOFF_S * 2.0**tracked.attempts * self._state.rng.random())

    def request_abandoned(self, event: Abandoned) -> None:
        """Forgets a request that is owed no answer any more, once no attempt is in flight."""
        tracked = self._state.requests.get(event.request_id)
        if tracked is None:
            return
        tracked.answered = True
        if not tracked.in_flight:
            del self._state.requests[event.request_id]

    def answer_due(self, event: AnswerDue) -> None:
        """Answers a request at shutdown.

        An attempt in flight may have run. Its end is waited for, as it shows whether a retry is harmless.
        """
        tracked = self._state.requests.get(event.request_id)
        if tracked is None or tracked.answered:
            return
        tracked.answer_due = True
        if not tracked.in_flight:
            self._answer(tracked)

    def timer_fired(self, request_id: str) -> None:
        """Goes on with a request that waits for its next attempt."""
        tracked = self._state.requests.get(request_id)
        if tracked is not None and not tracked.in_flight and not tracked.answered:
            self._place_or_wait(tracked)

    def _class_of(self, request: Request) -> RequestClass:
        known = self._classes.get(request.class_name)
        if known is not None:
            return known
        # A class that the settings do not name is never repeated.
        left = max(0.0, request.deadline - self._state.now)
        return RequestClass(request.class_name, left, 0.0, left, Idempotency.NONE)

    def _place_or_wait(self, tracked: TrackedRequest) -> None:
        """Sends the request, sets a timer for the next try, or answers it if it may get no attempt."""
        if (
            self._time_left(tracked) < MIN_ATTEMPT_S
            or tracked.attempts >= self._max_attempts
            or self._state.now >= tracked.retry_deadline()
        ):
            self._answer(tracked)
            return
        server = self._placement.select(tracked)
        if server is None:
            self._wait(tracked, PLACEMENT_INTERVAL_S * (0.5 + self._state.rng.random()))
        else:
            self._send(tracked, server)

    def _wait(self, tracked: TrackedRequest, pause: float) -> None:
        delay = max(0.0, min(pause, self._time_left(tracked)))
        self._state.actions.append(SetTimer(delay, tracked.request.id))

    def _time_left(self, tracked: TrackedRequest) -> float:
        return tracked.request.deadline - self._state.now - self._margin

    def _send(self, tracked: TrackedRequest, server: ServerState) -> None:
        state, request = self._state, tracked.request
        timeout = request.deadline - state.now
        if tracked.attempts + 1 < self._max_attempts:
            timeout = min(timeout, tracked.request_class.latency_objective)
        self._connections.attempt_started(tracked, server)
        state.actions.append(Send(request.id, server.server_id, timeout, tracked.retry_deadline()))

    def _answer(self, tracked: TrackedRequest) -> None:
        """Gives the one final answer. A rejection promises that a retry is harmless."""
        tracked.answered = True
        request_id = tracked.request.id
        del self._state.requests[request_id]
        if not tracked.is_client_retry_harmless():
            self._state.actions.append(Fail(request_id))
            return
        fraction = MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER * self._state.rng.random()
        retry_after = self._state.settings.max_retry_after * fraction
        self._state.actions.append(Reject(request_id, retry_after))
