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
from ironmill.balancing.request_state import RequestState, UncertainAttempt
from ironmill.balancing.server_state import ServerState
from ironmill.balancing.state import BalancerState

RETRY_BACKOFF_S = 0.03  # doubles with each attempt, with full jitter
PLACEMENT_INTERVAL_S = 0.1  # mean time between two tries to place a request while no server is available
MIN_ATTEMPT_S = 0.02  # no attempt is made with less time left before the deadline
ANSWER_MARGIN_S = 0.005  # minimum time from the answer to the deadline, without the rounds
ANSWER_MARGIN_ROUNDS = 3.0  # rounds that are added to ANSWER_MARGIN_S, since a proxy acts only once per round
MIN_RETRY_AFTER_FRACTION = 0.1  # smallest Retry-After, as a fraction of the longest one
RETRY_AFTER_JITTER = 0.2  # largest random part added to it, as a fraction of the longest Retry-After


class RequestLifetime:
    """Handles each request from its arrival until its final answer or the end of its connection."""

    def __init__(
        self,
        state: BalancerState,
        admission: AdmissionControl,
        placement: Placement,
        connections: OwnConnections,
        overload: OverloadTracker,
    ) -> None:
        """Creates a handler that tracks its requests in ``state``."""
        self._state = state
        self._admission = admission
        self._placement = placement
        self._connections = connections
        self._overload = overload
        self._classes = {cls.name: cls for cls in state.settings.classes}
        self._max_attempts = state.settings.max_attempts
        self._answer_margin = ANSWER_MARGIN_S + ANSWER_MARGIN_ROUNDS * state.settings.min_round_interval

    def request_arrived(self, request: Request) -> None:
        """Sends a request to a server, delays its placement, or rejects it."""
        if request.id in self._state.requests:
            return
        request_state = RequestState(request, self._class_of(request))
        self._state.requests[request.id] = request_state
        if not request.returning:
            self._connections.request_arrived()
        if self._admission.admits(request):
            self._place_or_wait(request_state)
        else:
            self._answer(request_state)

    def connection_resumed(self, event: Resumed) -> None:
        """Tracks a connection that was open before the proxy started."""
        if event.request.id in self._state.requests:
            return
        request_state = RequestState(event.request, self._class_of(event.request))
        self._state.requests[event.request.id] = request_state
        self._connections.resumed(request_state, event.server_id)

    def attempt_established(self, event: Established) -> None:
        """Marks a request's current attempt as established, and records its delay if it is long."""
        request_state = self._state.requests.get(event.request_id)
        if request_state is None or not request_state.is_current(event.attempt):
            return
        server = self._connections.established(request_state)
        objective = request_state.request_class.message_latency_objective
        if event.delay > objective * MIN_SLOW_FRACTION:
            # A server queues new connections behind the same work as messages, so both delays show overload.
            self._overload.record_latency(server, event.delay / objective)

    def attempt_ended(self, event: Ended) -> None:
        """Retries or answers a request, unless its connection was established."""
        request_state = self._state.requests.get(event.request_id)
        if request_state is None or not request_state.is_current(event.attempt):
            return
        server = self._connections.ended(request_state, event.outcome)
        if event.final or request_state.answered:
            del self._state.requests[event.request_id]
            return
        never_ran = event.outcome.never_ran
        if request_state.uncertain_attempt is None and not never_ran:
            request_state.uncertain_attempt = UncertainAttempt(server, request_state.attempt_started_at)
        if event.outcome is Outcome.NOT_SENT or request_state.answer_due:
            self._answer(request_state)
        elif request_state.attempts == 1 and never_ran:
            self._place_or_wait(request_state)
        else:
            self._wait(
                request_state, RETRY_BACKOFF_S * 2.0**request_state.attempts * self._state.rng.random()
            )

    def request_abandoned(self, event: Abandoned) -> None:
        """Marks a request as needing no answer; removes it unless an attempt or connection is left."""
        request_state = self._state.requests.get(event.request_id)
        if request_state is None:
            return
        request_state.answered = True
        if not request_state.in_flight:
            del self._state.requests[event.request_id]

    def answer_due(self, event: AnswerDue) -> None:
        """Answers a request at shutdown.

        An attempt in flight may have run, and its outcome shows whether a retry is harmless. So the answer is
        given only after that attempt has ended.
        """
        request_state = self._state.requests.get(event.request_id)
        if request_state is None or request_state.answered:
            return
        request_state.answer_due = True
        if not request_state.in_flight:
            self._answer(request_state)

    def timer_fired(self, request_id: str) -> None:
        """Places a request that has waited for its next attempt."""
        request_state = self._state.requests.get(request_id)
        if request_state is not None and not request_state.in_flight and not request_state.answered:
            self._place_or_wait(request_state)

    def _class_of(self, request: Request) -> RequestClass:
        configured_class = self._classes.get(request.class_name)
        if configured_class is not None:
            return configured_class
        # Requests of a class that is not in the settings count as not idempotent.
        time_left = max(0.0, request.deadline - self._state.now)
        return RequestClass(request.class_name, time_left, 0.0, time_left, Idempotency.NONE)

    def _place_or_wait(self, request_state: RequestState) -> None:
        """Sends the request, sets a timer for another try, or answers it if no attempt is allowed."""
        if (
            self._time_left(request_state) < MIN_ATTEMPT_S
            or request_state.attempts >= self._max_attempts
            or self._state.now >= request_state.retry_deadline()
        ):
            self._answer(request_state)
            return
        server = self._placement.select(request_state)
        if server is None:
            self._wait(request_state, PLACEMENT_INTERVAL_S * (0.5 + self._state.rng.random()))
        else:
            self._send(request_state, server)

    def _wait(self, request_state: RequestState, pause: float) -> None:
        delay = max(0.0, min(pause, self._time_left(request_state)))
        self._state.actions.append(SetTimer(delay, request_state.request.id))

    def _time_left(self, request_state: RequestState) -> float:
        return request_state.request.deadline - self._state.now - self._answer_margin

    def _send(self, request_state: RequestState, server: ServerState) -> None:
        state, request = self._state, request_state.request
        timeout = request.deadline - state.now
        if request_state.attempts + 1 < self._max_attempts:
            timeout = min(timeout, request_state.request_class.latency_objective)
        self._connections.attempt_started(request_state, server)
        state.actions.append(Send(request.id, server.server_id, timeout, request_state.retry_deadline()))

    def _answer(self, request_state: RequestState) -> None:
        """Gives the final answer: a rejection if a retry is harmless, else a failure."""
        request_state.answered = True
        request_id = request_state.request.id
        del self._state.requests[request_id]
        if not request_state.is_client_retry_harmless():
            self._state.actions.append(Fail(request_id))
            return
        fraction = MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER * self._state.rng.random()
        retry_after = self._state.settings.max_retry_after * fraction
        self._state.actions.append(Reject(request_id, retry_after))
