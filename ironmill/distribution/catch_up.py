"""Anti-entropy by ranges: fetches what differs from a parent whose log does not cover this position.

The parent's keyspace changes during a catch-up, so its responses are as of different positions. They are
combined into one state as follows. The first response has a position F0. From there on the parent's deltas
are received as usual and collected in an overlay. A leaf as of any position between F0 and the overlay's end
becomes the leaf as of the overlay's end if the overlay's values are applied to it, because a key that has not
changed since F0 has the same value in both. The digest of the last delta verifies the whole keyspace before
any of it is applied.

After a change of parent or a gap in the deltas, the fetched data is kept and compared again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence

from msgspec import Struct

from ironmill.distribution.changes import Changes, pack_entry, packed_size, unpack_entries
from ironmill.distribution.keyspace import (
    LEAVES,
    LEVEL_BITS,
    Keyspace,
    children_of,
    leaf_of,
    leaves_of,
)
from ironmill.distribution.messages import (
    DigestRequest,
    DigestResponse,
    EntriesRequest,
    EntriesResponse,
)
from ironmill.distribution.revision import START, Delta, Position

MAX_OUTSTANDING_REQUESTS = 16
MAX_RANGE_LEAVES = LEAVES // MAX_OUTSTANDING_REQUESTS  # allows several ranges to be fetched in parallel
EXPECTED_RESPONSE_BYTES = 1100.0  # charged against the rate limit until a response's actual size is known
RESPONSE_OVERHEAD_BYTES = 100  # size of a response datagram without its body
DIGEST_BYTES = 9  # size of an encoded digest
MIN_RETRY_DELAY_S = 0.3  # more than the round-trip time between two regions, 0.16 s
MAX_RETRY_DELAY_S = 1.2
MAX_OVERLAY_BYTES = 1 << 20
MAX_DIGEST_MISMATCHES = 3  # after this many, the fetched data is discarded

Request = DigestRequest | EntriesRequest


class _LeafRange(Struct):
    """A range of leaves that is fetched in order, one page after the other."""

    leaf: int  # the next one to fetch
    end_leaf: int  # exclusive
    after_key: str = ""
    partial_blob: bytes = b""  # entries of ``leaf`` received so far, if it was split between pages


class _OutstandingRequest(Struct):
    """A request that has not been answered yet."""

    request: Request
    leaf_range: _LeafRange | None
    sent_at: float
    retry_delay: float


class CatchUp:
    """One catch-up, from the first request to the complete keyspace."""

    def __init__(self, old: Keyspace, bytes_per_s: float, now: float) -> None:
        """Creates a catch-up that starts from a copy of ``old``.

        ``bytes_per_s`` limits the responses that are requested; ``now`` is in seconds of the monotonic clock.
        """
        self.frontier: Position | None = None  # position at the overlay's end; None before the first response
        self.staged = old.copy()
        self.fetched_bytes = 0
        self.mismatches = 0
        self._bytes_per_s = bytes_per_s
        self._credit = MAX_OUTSTANDING_REQUESTS * EXPECTED_RESPONSE_BYTES  # bytes that may be requested now
        self._credit_at = now
        self._root_digest = 0
        self._first_position = START  # position of the first response
        self._latest_position: Position | None = None  # highest position of any response
        self._overlay: Changes = {}
        self._overlay_size = 0
        self._queue: deque[tuple[Request, _LeafRange | None]] = deque()
        self._outstanding: dict[tuple[int, int, int], _OutstandingRequest] = {}
        self._request_number = 0
        self.restart()

    def restart(self) -> None:
        """Restarts the comparison at the root of the keyspace, keeping the data fetched so far."""
        self.frontier = None
        self._latest_position = None
        self._overlay = {}
        self._overlay_size = 0
        self._outstanding.clear()
        self._queue.clear()
        self._queue.append((DigestRequest(0, 0, -1, 0), None))

    # Requests

    def due_requests(self, now: float) -> Iterator[Request]:
        """Yields the requests to send now. The caller must fill in their ``echo`` and ``token``."""
        self._credit = min(self._bytes_per_s, self._credit + (now - self._credit_at) * self._bytes_per_s)
        self._credit_at = now
        for outstanding in self._outstanding.values():
            is_due = now - outstanding.sent_at >= outstanding.retry_delay
            if is_due and self._credit >= EXPECTED_RESPONSE_BYTES:
                outstanding.sent_at = now
                outstanding.retry_delay = min(MAX_RETRY_DELAY_S, 2.0 * outstanding.retry_delay)
                self._credit -= EXPECTED_RESPONSE_BYTES
                yield outstanding.request
        while (
            self._queue
            and len(self._outstanding) < MAX_OUTSTANDING_REQUESTS
            and self._credit >= EXPECTED_RESPONSE_BYTES
        ):
            request, leaf_range = self._queue.popleft()
            if isinstance(request, EntriesRequest):
                request = self._assign_number(request)
            self._outstanding[_request_key(request)] = _OutstandingRequest(
                request, leaf_range, now, MIN_RETRY_DELAY_S
            )
            self._credit -= EXPECTED_RESPONSE_BYTES
            yield request

    def _assign_number(self, request: EntriesRequest) -> EntriesRequest:
        self._request_number += 1
        return EntriesRequest(0, 0, self._request_number, request.leaf, request.after_key, request.end_leaf)

    def _queue_entries_requests(self, span: range) -> None:
        for leaf in range(span.start, span.stop, MAX_RANGE_LEAVES):
            leaf_range = _LeafRange(leaf, min(span.stop, leaf + MAX_RANGE_LEAVES))
            request = EntriesRequest(0, 0, 0, leaf_range.leaf, "", leaf_range.end_leaf)
            self._queue.append((request, leaf_range))

    # Responses

    def on_digests(self, response: DigestResponse) -> None:
        """Compares the digests of a range's parts with the staged ones and requests the parts that differ."""
        if self._outstanding.pop((0, response.level, response.prefix), None) is None:
            return
        self._charge(DIGEST_BYTES * len(response.digests) + RESPONSE_OVERHEAD_BYTES)
        if response.level < 0 and self.frontier is None:
            self.frontier = response.position
            self._first_position = response.position
            self._root_digest = response.root_digest
        if not self._accept_position(response.position):
            return
        for span in _join_adjacent(self._compare(response)):
            self._queue_entries_requests(span)

    def _compare(self, response: DigestResponse) -> list[range]:
        """Returns the leaves to fetch, in order, and queues digest requests for parts to compare in detail.

        Empties the parts that are empty at the parent.
        """
        level = response.level + 1
        prefixes = children_of(response.level, response.prefix) if level else range(1 << LEVEL_BITS[0])
        spans: list[range] = []
        for prefix, digest in zip(prefixes, response.digests, strict=True):
            own_digest = self.staged.range_digest(level, prefix)
            if own_digest == digest:
                continue
            if level == len(LEVEL_BITS) - 1:
                spans.append(range(prefix, prefix + 1))
            elif digest == 0:
                for leaf in leaves_of(level, prefix):
                    self.staged.replace_leaf(leaf, b"")
            elif own_digest == 0:  # nothing is staged in this part, so all of it is fetched
                spans.append(leaves_of(level, prefix))
            else:
                self._queue.append((DigestRequest(0, 0, level, prefix), None))
        return spans

    def on_entries(self, response: EntriesResponse) -> bool:
        """Stages the entries of a response.

        Returns False if no request with its number is outstanding; raises ``ValueError`` if it is malformed.
        """
        outstanding = self._outstanding.pop((1, response.number, 0), None)
        if outstanding is None or outstanding.leaf_range is None:
            return False
        leaf_range = outstanding.leaf_range
        self._charge(len(response.body) + RESPONSE_OVERHEAD_BYTES)
        if not self._accept_position(response.position):
            return True
        min_next_leaf = leaf_range.leaf if response.is_partial else leaf_range.leaf + 1
        if not min_next_leaf <= response.next_leaf <= leaf_range.end_leaf:
            raise ValueError("next leaf of an entries response is outside the requested range")
        blobs, last_key = _blobs_by_leaf(leaf_range, response.body)
        for leaf in range(leaf_range.leaf, response.next_leaf):
            self.staged.replace_leaf(leaf, blobs.get(leaf, b""))
        leaf_range.leaf = response.next_leaf
        leaf_range.after_key = last_key if response.is_partial else ""
        leaf_range.partial_blob = blobs.get(response.next_leaf, b"") if response.is_partial else b""
        if leaf_range.leaf < leaf_range.end_leaf:
            request = EntriesRequest(0, 0, 0, leaf_range.leaf, leaf_range.after_key, leaf_range.end_leaf)
            self._queue.appendleft((request, leaf_range))
        return True

    def on_delta(self, delta: Delta) -> None:
        """Adds the parent's next delta to the overlay. Ignores one that does not start at the frontier.

        Restarts the comparison if the overlay exceeds ``MAX_OVERLAY_BYTES``.
        """
        if delta.base != self.frontier:
            return
        self.frontier = delta.target
        self._root_digest = delta.digest
        self._overlay.update(delta.changes)
        self._overlay_size += delta.size
        if self._overlay_size > MAX_OVERLAY_BYTES:
            self._overlay_size = packed_size(self._overlay)
            if self._overlay_size > MAX_OVERLAY_BYTES:
                self.restart()

    def result(self) -> tuple[Keyspace, Position] | None:
        """Returns the keyspace and its position, or None while it is incomplete.

        Restarts the comparison if the digest of the keyspace is not the parent's.
        """
        if self._queue or self._outstanding or self.frontier is None:
            return None
        assert self._latest_position is not None
        if self._latest_position > self.frontier:
            return None  # the delta to that position has not arrived yet
        keyspace = self.staged
        if self._overlay:
            keyspace = keyspace.copy()
            keyspace.apply(self._overlay)
        if keyspace.digest == self._root_digest:
            return keyspace, self.frontier
        self.mismatches += 1
        if self.mismatches >= MAX_DIGEST_MISMATCHES:
            self.staged = Keyspace()
            self.mismatches = 0
        self.restart()
        return None

    def _accept_position(self, position: Position) -> bool:
        """Records the position of a response.

        Returns False and restarts the comparison if there was no first response, or if the position is older
        than that of the first response.
        """
        if self.frontier is None or position < self._first_position:
            self.restart()
            return False
        if self._latest_position is None or position > self._latest_position:
            self._latest_position = position
        return True

    def _charge(self, size: int) -> None:
        """Charges the actual size of a response against the rate limit instead of the expected size."""
        self.fetched_bytes += size
        self._credit += EXPECTED_RESPONSE_BYTES - size


def _request_key(request: Request) -> tuple[int, int, int]:
    if isinstance(request, DigestRequest):
        return 0, request.level, request.prefix
    return 1, request.number, 0


def _join_adjacent(spans: Sequence[range]) -> list[range]:
    """Joins adjacent ranges of leaves: many leaves of a small keyspace fit into one response."""
    joined: list[range] = []
    for span in spans:
        if joined and joined[-1].stop == span.start:
            joined[-1] = range(joined[-1].start, span.stop)
        else:
            joined.append(span)
    return joined


def _blobs_by_leaf(leaf_range: _LeafRange, body: bytes) -> tuple[dict[int, bytes], str]:
    """Returns a body's packed entries by leaf, and its last key. Raises ``ValueError`` if it is malformed."""
    blobs: dict[int, bytes] = {leaf_range.leaf: leaf_range.partial_blob}
    key = ""
    for key, value in unpack_entries(body):
        if value is None:
            raise ValueError("entries response has a key without a value")
        leaf = leaf_of(key.encode())
        if not leaf_range.leaf <= leaf < leaf_range.end_leaf:
            raise ValueError("entries response has a key outside the requested leaves")
        blobs[leaf] = blobs.get(leaf, b"") + pack_entry(key, value)
    return blobs, key


assert LEAVES % MAX_RANGE_LEAVES == 0
