"""A subscriber's catch-up by ranges: requests to the parent, responses, restarts and completion."""

from __future__ import annotations

from ironmill.distribution.catch_up import CatchUp, Request
from ironmill.distribution.events import CatchUpFinished, CatchUpRestarted, CatchUpStarted
from ironmill.distribution.link import Link
from ironmill.distribution.messages import (
    DigestRequest,
    DigestResponse,
    EntriesRequest,
    EntriesResponse,
    PollResponse,
)
from ironmill.distribution.parent_selector import ParentCandidate
from ironmill.distribution.poll_schedule import SentPoll
from ironmill.distribution.replica import Replica
from ironmill.distribution.revision import Delta, Position
from ironmill.membership.envelope import DroppedError, DropReason


class CatchUpSession:
    """The current catch-up of a subscriber, if any. Its result replaces the replica's keyspace."""

    def __init__(self, link: Link, replica: Replica, bytes_per_s: float) -> None:
        """Creates a session without a catch-up. ``bytes_per_s`` limits the responses that are requested."""
        self._link = link
        self._replica = replica
        self._bytes_per_s = bytes_per_s
        self._catch_up: CatchUp | None = None

    @property
    def is_active(self) -> bool:
        """True while a catch-up is in progress."""
        return self._catch_up is not None

    @property
    def frontier(self) -> Position | None:
        """The position at which the next delta must start; None without a catch-up or a response yet."""
        return None if self._catch_up is None else self._catch_up.frontier

    def start(self) -> None:
        """Starts a catch-up from the applied keyspace, discarding pending changes."""
        replica = self._replica
        if replica.received_position != replica.applied_position:
            replica.discard_pending()
        self._catch_up = CatchUp(replica.keyspace, self._bytes_per_s, self._link.now)
        self._link.notify(CatchUpStarted(replica.received_position))

    def restart(self) -> None:
        """Restarts the comparison, keeping the data fetched so far; does nothing without a catch-up."""
        if self._catch_up is not None:
            self._catch_up.restart()

    def restart_if_log_gap(self, response: PollResponse, poll: SentPoll) -> None:
        """Restarts the comparison if the parent's log does not lead from the frontier to its latest position.

        This happens if the parent itself has caught up by ranges, which clears its log, or if it has dropped
        the log entries that follow the frontier.
        """
        frontier = self.frontier
        if frontier is None or poll.received_position != frontier:
            return
        if response.latest_position > frontier and not response.log_covers_child:
            self._link.notify(CatchUpRestarted(frontier, response.latest_position))
            self.restart()

    def send_requests(self, parent: ParentCandidate | None) -> None:
        """Sends the requests that are due to the parent."""
        if self._catch_up is None or parent is None or parent.token == 0:
            return
        token = self._link.tokens.issue(parent.endpoint.name, 0, self._link.now)
        for request in self._catch_up.due_requests(self._link.now):
            message = _with_tokens(request, parent.token, token)
            self._link.send(parent.endpoint.name, parent.endpoint.address, message)

    def add_delta(self, delta: Delta) -> None:
        """Adds the parent's next delta to the catch-up."""
        if self._catch_up is not None:
            self._catch_up.on_delta(delta)

    def receive(self, response: DigestResponse | EntriesResponse) -> None:
        """Handles a response of the parent. Raises ``DroppedError`` if it is malformed."""
        if self._catch_up is None:
            return
        if isinstance(response, DigestResponse):
            self._catch_up.on_digests(response)
            return
        try:
            self._catch_up.on_entries(response)
        except ValueError:
            self._catch_up.restart()
            raise DroppedError(DropReason.MALFORMED) from None

    def finish(self) -> bool:
        """Replaces the replica's keyspace by the result. Returns False if the catch-up is not complete."""
        if self._catch_up is None:
            return False
        result = self._catch_up.result()
        if result is None:
            return False
        keyspace, position = result
        fetched_bytes = self._catch_up.fetched_bytes
        self._catch_up = None
        self._link.notify(CatchUpFinished(fetched_bytes, position))
        self._replica.replace_keyspace(keyspace, position)
        return True


def _with_tokens(request: Request, echo: int, token: int) -> Request:
    """Returns a copy of the request with its tokens filled in."""
    if isinstance(request, DigestRequest):
        return DigestRequest(echo, token, request.level, request.prefix)
    return EntriesRequest(echo, token, request.number, request.leaf, request.after_key, request.end_leaf)
