"""The state of one request, from its arrival until its connection is closed."""

from __future__ import annotations

import math

from msgspec import Struct

from ironmill.balancing.interface import DeduplicationScope, Idempotency, Request, RequestClass
from ironmill.balancing.server_state import ServerState


class UncertainAttempt(Struct, frozen=True):
    """An attempt that may have run although it did not succeed."""

    server: ServerState
    started_at: float


class RequestState:
    """A request that still needs an answer, or whose connection is established."""

    __slots__ = (
        "answer_due",
        "answered",
        "attempt_started_at",
        "attempts",
        "established",
        "in_flight",
        "migrating",
        "request",
        "request_class",
        "server_id",
        "tried",
        "uncertain_attempt",
    )

    def __init__(self, request: Request, request_class: RequestClass) -> None:
        """Creates the state of a request that has had no attempt."""
        self.request = request
        self.request_class = request_class
        self.attempts = 0
        self.attempt_started_at = 0.0
        self.in_flight = False  # True while an attempt is in flight or its connection is established
        self.established = False
        self.migrating = False  # a migration of its connection has started
        self.answered = False  # it needs no answer any more
        self.answer_due = False  # it must be answered as soon as no attempt is in flight
        self.server_id = -1
        self.tried: list[int] = []  # IDs of the servers of all attempts
        self.uncertain_attempt: UncertainAttempt | None = None  # the first attempt that may have run

    def is_current(self, attempt: int) -> bool:
        """Returns True if the attempt with this number is in flight or its connection is established."""
        return self.in_flight and attempt == self.attempts - 1

    def retry_deadline(self) -> float:
        """Returns the time before which a retry must start: ``inf`` if always harmless, ``-inf`` if never."""
        uncertain, idempotency = self.uncertain_attempt, self.request_class.idempotency
        if uncertain is None or idempotency is Idempotency.ALWAYS:
            return math.inf
        if idempotency is Idempotency.BY_KEY:
            return uncertain.started_at + self.request_class.deduplication_window
        return -math.inf

    def may_retry_at(self, server: ServerState, now: float) -> bool:
        """Returns False if a retry at the server could take effect a second time."""
        uncertain = self.uncertain_attempt
        if uncertain is None or self.request_class.idempotency is Idempotency.ALWAYS:
            return True
        if now >= self.retry_deadline():
            return False
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ZONE:
            return server.zone == uncertain.server.zone
        if scope is DeduplicationScope.CELL:
            return (server.zone, server.cell) == (uncertain.server.zone, uncertain.server.cell)
        return True

    def is_client_retry_harmless(self) -> bool:
        """Returns True if the client may repeat the request at any time, with any server."""
        cls = self.request_class
        return (
            self.uncertain_attempt is None
            or cls.idempotency is Idempotency.ALWAYS
            or (cls.idempotency is Idempotency.BY_KEY and cls.deduplication_scope is DeduplicationScope.ALL)
        )
