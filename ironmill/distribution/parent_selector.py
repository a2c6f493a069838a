"""Selection of a child's parent from the control machines in its settings."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

from msgspec import Struct

from ironmill.distribution.events import ParentChanged, ParentLost
from ironmill.distribution.link import Link
from ironmill.distribution.messages import AGE_UNKNOWN, MAX_PREVIOUS_PARENTS, Endpoint, PollResponse
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import START, Position
from ironmill.distribution.timing import (
    ACCEPT_ANY_PARENT_DELAY_S,
    MAX_FAILURE_BACKOFF_S,
    MAX_PARENT_AGE_S,
    MAX_PROBES,
    MAX_UNANSWERED_POLLS,
    MIN_FAILURE_BACKOFF_S,
    PREFERRED_PARENT_INTERVAL_S,
    PROBE_INTERVAL_S,
    REORDERING_S,
)

PREVIOUS_PARENTS_REPORT_S = 5.0  # how long polls report the previous parents after a change of parent
# An unusable parent is replaced if another one has heard from the origin at least this much later.
MIN_FRESHNESS_GAIN_S = 1.0

SAME_ZONE, SAME_REGION, REMOTE = range(3)


class ParentCandidate(Struct):
    """A control machine that may become the parent, and its last known state."""

    endpoint: Endpoint
    token: int = 0  # sent back to it in polls; 0 before its first response
    polled_at: float = -math.inf
    unanswered_polls: int = 0
    answered_at: float = -math.inf
    origin_heard_at: float = -math.inf  # when it last heard from the origin, according to its responses
    latest_position: Position = START
    delta_received_at: float = -math.inf
    term: int = 0
    backoff_until: float = -math.inf
    failures: int = 0


def rank_endpoints(name: str, zone: str, region: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Returns the endpoints in a process's order of preference: same zone, same region, then the others.

    Within each of these groups the order follows from a hash of both names (rendezvous hashing). This
    distributes children evenly over parents, and the children of a failed parent evenly over the others.
    """

    def rank(endpoint: Endpoint) -> tuple[int, bytes]:
        if endpoint.zone == zone:
            distance = SAME_ZONE
        elif endpoint.region == region:
            distance = SAME_REGION
        else:
            distance = REMOTE
        names = f"{name}\n{endpoint.name}".encode()
        return distance, hashlib.blake2b(names, digest_size=8).digest()

    return sorted(endpoints, key=rank)


class ParentSelector:
    """The parent candidates in order of preference, and the current parent."""

    def __init__(self, link: Link, replica: Replica, endpoints: Sequence[Endpoint]) -> None:
        """Creates a selector without a parent. ``endpoints`` are the control machines to choose from."""
        self._link = link
        self._replica = replica
        identity = link.identity
        ranked = rank_endpoints(identity.name, identity.zone, identity.region, endpoints)
        self._candidates = [ParentCandidate(endpoint) for endpoint in ranked]
        self._by_name = {candidate.endpoint.name: candidate for candidate in self._candidates}
        self._previous_parents: list[str] = []
        self._without_parent_since = link.now
        self._next_probe_at = link.now
        self._next_probe_index = 0
        self._next_preferred_probe_at = self._draw_preferred_probe_time()
        self.parent: ParentCandidate | None = None
        self.term = 0  # the highest writer epoch that any candidate has reported
        self.attach_count = 0
        self.attached_at = -math.inf

    def find(self, name: str) -> ParentCandidate | None:
        """Returns the candidate with this name, or None if there is none."""
        return self._by_name.get(name)

    def previous_parents(self) -> list[str]:
        """Returns the previous parents that the parent must notify; empty unless the change was recent."""
        is_recent = self._link.now - self.attached_at < PREVIOUS_PARENTS_REPORT_S
        return self._previous_parents if is_recent else []

    def is_usable(self, candidate: ParentCandidate) -> bool:
        """Returns True if a candidate can serve as the parent.

        It must follow the latest writer, not be behind this process, and have heard from the origin recently.
        """
        return (
            candidate.term >= self.term
            and candidate.latest_position >= self._replica.received_position
            and self._link.now - candidate.origin_heard_at <= MAX_PARENT_AGE_S
        )

    def record_response(self, candidate: ParentCandidate, response: PollResponse, polled_at: float) -> None:
        """Records a candidate's response to a poll that was sent at ``polled_at``."""
        now = self._link.now
        candidate.token = response.token
        candidate.answered_at = now
        candidate.unanswered_polls = 0
        if (
            response.latest_position >= candidate.latest_position
            or now - candidate.delta_received_at > REORDERING_S
        ):
            candidate.latest_position = response.latest_position
        candidate.term = response.term
        # The age is counted from the time of the poll, because the response may have waited unread for long.
        if response.origin_age_ms != AGE_UNKNOWN and response.term >= self.term:
            heard_at = polled_at - response.origin_age_ms / 1000.0
            candidate.origin_heard_at = max(candidate.origin_heard_at, heard_at)
        self.term = max(self.term, response.term)

    def should_attach(self, candidate: ParentCandidate, *, catching_up: bool) -> bool:
        """Returns True if a candidate that has just responded should replace the parent."""
        parent, now = self.parent, self._link.now
        if parent is None:
            return self.is_usable(candidate) or now - self._without_parent_since > ACCEPT_ANY_PARENT_DELAY_S
        if not self.is_usable(candidate):
            return False
        if not self.is_usable(parent):
            return (
                candidate.origin_heard_at > parent.origin_heard_at + MIN_FRESHNESS_GAIN_S
                or candidate.term > parent.term
                or parent.latest_position < self._replica.received_position
            )
        if catching_up:  # a change of parent would repeat much of the catch-up
            return False
        return self._candidates.index(candidate) < self._candidates.index(parent)

    def attach(self, candidate: ParentCandidate) -> None:
        """Makes a candidate the parent."""
        previous = self.parent
        if previous is not None:
            self._record_previous_parent(previous)
        if candidate.endpoint.name in self._previous_parents:
            self._previous_parents.remove(candidate.endpoint.name)
        self.parent = candidate
        self.attach_count += 1
        self.attached_at = self._link.now
        candidate.unanswered_polls = 0
        previous_name = "" if previous is None else previous.endpoint.name
        self._link.notify(ParentChanged(candidate.endpoint.name, previous_name))

    def lose_parent(self) -> None:
        """Drops the parent because it does not respond."""
        parent = self.parent
        assert parent is not None
        self._back_off(parent)
        self._record_previous_parent(parent)
        self.parent = None
        self._without_parent_since = self._link.now
        self._next_probe_at = self._link.now
        self._next_probe_index = 0
        self._link.notify(ParentLost(parent.endpoint.name))

    def due_probes(self) -> Sequence[ParentCandidate]:
        """Returns the candidates to probe now.

        Without a usable parent, several candidates are due at once. Otherwise, the most preferred one of
        those that are preferred to the parent is due from time to time.
        """
        now, parent = self._link.now, self.parent
        if parent is not None and self.is_usable(parent):
            if now < self._next_preferred_probe_at:
                return ()
            self._next_preferred_probe_at = self._draw_preferred_probe_time()
            return self._preferred_candidates()[:1]
        if now < self._next_probe_at:
            return ()
        self._next_probe_at = now + PROBE_INTERVAL_S * (0.8 + 0.4 * self._link.rng.random())
        chosen = self._choose_probes()
        for candidate in chosen:
            self._count_unanswered_probe(candidate)
        return chosen

    def _preferred_candidates(self) -> list[ParentCandidate]:
        """Returns the candidates that are preferred to the parent, without those in backoff."""
        preferred: list[ParentCandidate] = []
        for candidate in self._candidates:
            if candidate is self.parent:
                break
            if self._link.now >= candidate.backoff_until:
                preferred.append(candidate)
        return preferred

    def _choose_probes(self) -> list[ParentCandidate]:
        """Returns the most preferred candidate that is not in backoff, and others in rotation.

        If all of them are in backoff, the backoff is ignored.
        """
        others = [candidate for candidate in self._candidates if candidate is not self.parent]
        ready = [candidate for candidate in others if self._link.now >= candidate.backoff_until] or others
        chosen = {id(candidate): candidate for candidate in ready[:1]}
        for _ in range(len(ready)):
            if len(chosen) >= MAX_PROBES:
                break
            candidate = ready[self._next_probe_index % len(ready)]
            self._next_probe_index += 1
            chosen[id(candidate)] = candidate
        return list(chosen.values())

    def _count_unanswered_probe(self, candidate: ParentCandidate) -> None:
        is_unanswered = candidate.polled_at > candidate.answered_at
        if not is_unanswered or self._link.now - candidate.polled_at <= PROBE_INTERVAL_S:
            return
        candidate.unanswered_polls += 1
        if candidate.unanswered_polls >= MAX_UNANSWERED_POLLS:
            candidate.unanswered_polls = 0
            self._back_off(candidate)

    def _back_off(self, candidate: ParentCandidate) -> None:
        backoff_s = min(MAX_FAILURE_BACKOFF_S, MIN_FAILURE_BACKOFF_S * 2.0**candidate.failures)
        candidate.failures += 1
        candidate.backoff_until = self._link.now + backoff_s * (0.75 + 0.5 * self._link.rng.random())

    def _record_previous_parent(self, parent: ParentCandidate) -> None:
        names = [parent.endpoint.name, *self._previous_parents]
        self._previous_parents = names[:MAX_PREVIOUS_PARENTS]

    def _draw_preferred_probe_time(self) -> float:
        return self._link.now + PREFERRED_PARENT_INTERVAL_S * (0.5 + self._link.rng.random())
