"""Fetches the records of a member, page by page, if its view differs for longer than gossip takes."""

from __future__ import annotations

import math

from msgspec import Struct

from ironmill.membership.contact_tokens import ContactTokens
from ironmill.membership.identity import Address
from ironmill.membership.member_state import NEVER, MemberState
from ironmill.membership.messages import StateSyncPage, StateSyncRequest
from ironmill.membership.outbox import Outbox
from ironmill.membership.pinging import Pinger
from ironmill.membership.timing import MAX_CONVERGENCE_S

MAX_PAGE_BYTES = 900  # total size of the records in one datagram
MIN_SYNC_INTERVAL_S = 1.0  # between two syncs
SYNC_DELAY_PING_INTERVALS = 2.0  # ping intervals in which gossip may resolve a difference before a sync
MAX_TOKEN_AGE_S = ContactTokens.ROTATION_INTERVAL_S  # the receiver may no longer accept an older token


class ViewDifference(Struct):
    """A member whose view differs, and the time since which it has differed."""

    name: str
    since: float


class DeferredRequest(Struct, frozen=True):
    """A request that is sent after the next ack of the member, which contains the token to echo."""

    name: str
    after: str


class StateSync:
    """Compares the digests of views and requests records from members whose view differs."""

    __slots__ = ("_deferred", "_difference", "_last_request_at", "_outbox", "_pinger", "_state")

    def __init__(self, state: MemberState, outbox: Outbox, pinger: Pinger) -> None:
        """Creates the state without a known difference."""
        self._state = state
        self._outbox = outbox
        self._pinger = pinger
        self._deferred: DeferredRequest | None = None
        self._difference: ViewDifference | None = None
        self._last_request_at = NEVER

    def compare(self, name: str, digest: int) -> None:
        """Compares another member's view digest with this one's; starts a sync if a difference has lasted."""
        state = self._state
        peer = state.peer(name)
        if digest == state.view.digest:
            peer.differs_since = math.inf
            if self._difference is not None and self._difference.name == name:
                self._difference = None
            return
        peer.differs_since = min(peer.differs_since, state.now)
        deferred = self._deferred
        if deferred is not None and deferred.name == name and self._has_recent_token(name):
            self.request_page(name, deferred.after)
            return
        if self._difference is None:
            self._difference = ViewDifference(name, state.now)
        sync_delay_s = SYNC_DELAY_PING_INTERVALS * state.timing.ping_interval_s if state.is_joined else 0.0
        has_lasted = state.now - self._difference.since >= sync_delay_s
        if has_lasted and state.now - self._last_request_at >= MIN_SYNC_INTERVAL_S:
            self._difference = None
            self.request_page(name, "")

    def lasting_differences(self) -> dict[str, float]:
        """Returns the members in contact whose view has differed for too long, and for how many seconds."""
        state = self._state
        in_contact_since = state.now - state.timing.max_detection_s
        return {
            name: state.now - peer.differs_since
            for name, peer in state.peers.items()
            if peer.last_contact_at >= in_contact_since and state.now - peer.differs_since > MAX_CONVERGENCE_S
        }

    def request_page(self, name: str, after: str) -> None:
        """Requests the records whose names sort after ``after``.

        This member does not necessarily ping the other one regularly, so it may have no token of it or only
        an old one. In that case it sends a ping first, and the request after the ack.
        """
        state = self._state
        self._last_request_at = state.now
        if not self._has_recent_token(name):
            self._deferred = DeferredRequest(name, after)
            self._pinger.ping(name)
            return
        self._deferred = None
        peer = state.peer(name)
        token = state.tokens.issue(name, peer.incarnation, state.now)
        request = StateSyncRequest(peer.token, token, after)
        self._outbox.send(name, state.address_of(name), request)

    def _has_recent_token(self, name: str) -> bool:
        return self._state.now - self._state.peer(name).last_ack_at <= MAX_TOKEN_AGE_S

    def send_page(self, name: str, source: Address, request: StateSyncRequest) -> None:
        """Answers a request with the records that fit into one datagram."""
        records, is_last = self._state.view.page(request.after, MAX_PAGE_BYTES)
        self._outbox.send(name, source, StateSyncPage(request.token, records, is_last))

    def continue_after(self, name: str, page: StateSyncPage) -> None:
        """Requests the page that follows ``page``, if there is one."""
        if not page.is_last and page.records and not self._state.is_superseded:
            self.request_page(name, page.records[-1].identity.name)
