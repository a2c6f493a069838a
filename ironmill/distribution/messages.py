"""Messages between control machines and proxies, sent in the cluster's signed envelope.

Structs are encoded as arrays: fields must never be reordered, and tags never reused. Tags begin at 10, so
that a membership datagram is never decoded as a distribution datagram.
"""

from __future__ import annotations

from msgspec import Struct

from ironmill.distribution.keyspace import LEVEL_BITS
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import Position
from ironmill.membership.identity import Address

# Limits of one datagram, or of a field in it.
MAX_BODY_BYTES = 940  # packed entries in one datagram
MAX_CHUNKS = 256  # datagrams of one delta
MAX_MISSING_CHUNKS = 32  # chunks listed in one poll
MAX_LAGGING_NODES_BYTES = 420  # lagging nodes listed in one poll
MAX_ZONES = 24
MAX_PREVIOUS_PARENTS = 3
MAX_REASON_LENGTH = 120  # characters
MAX_FIND_CHILD_BYTES = 900  # encoded children in one request
MAX_FIND_CHILD_COUNT = 64

AGE_UNKNOWN = -1  # origin_age_ms of a node that has not heard from the origin

# States of a lagging node, as encoded in datagrams and in the admin API.
BEHIND = "behind"
REJECTING = "refused"
UNREACHABLE = "unreachable"


class Endpoint(Struct, frozen=True):
    """A control machine: its name, and the address at which this process reaches it."""

    name: str
    address: Address
    zone: str = "none"
    region: str = "none"


class ZoneSummary(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Counts and lowest position of the proxies in one zone."""

    zone: str
    proxies: int  # reachable proxies, including those that reject the latest revision
    lowest_position: Position  # applied by every proxy that is reachable and rejects no revision
    rejecting: int
    unreachable: int
    stale: int


class LaggingNode(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A node that has not applied the latest position."""

    name: str
    zone: str
    applied_position: Position
    state: str  # BEHIND, REJECTING or UNREACHABLE
    key: str = ""
    reason: str = ""


class FleetSummary(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a control machine knows about the nodes below it."""

    converged: bool  # every child has had enough time to find its parent
    zones: list[ZoneSummary]
    lagging_nodes: list[LaggingNode]
    omitted: int  # lagging nodes that are left out for lack of space


class Poll(Struct, frozen=True, array_like=True, tag=10, forbid_unknown_fields=True):
    """Sent by a child to its parent: renews the lease, acknowledges deltas, and requests new ones.

    ``echo`` is the parent's token, which proves that the child receives datagrams at its address. The
    response echoes ``token``.
    """

    echo: int
    token: int
    is_probe: bool  # only requests a response; does not make the sender a child
    lineage: int
    received_position: Position
    applied_position: Position
    term: int  # highest epoch of a writer that the child knows of
    attach_count: int  # number of times the child has changed its parent; orders its parents in time
    previous_parents: list[str]  # parents that are to remove this child
    zone: str
    origin_age_ms: int  # time since the origin was heard from; AGE_UNKNOWN if it never was
    incomplete_target: Position  # target of the delta that is being assembled
    missing_chunks: list[int]  # indexes of chunks of that delta that have not arrived
    rejection: Rejection | None = None
    summary: FleetSummary | None = None


class PollResponse(Struct, frozen=True, array_like=True, tag=11, forbid_unknown_fields=True):
    """The response to a poll."""

    echo: int
    token: int
    lineage: int
    term: int
    latest_position: Position
    origin_age_ms: int
    log_covers_child: bool  # the parent's log has all changes from the child's position to the latest one
    poll_count: int  # sequence number in the envelope of the poll
    is_child: bool  # the sender of the poll is registered as a child


class DeltaChunk(Struct, frozen=True, array_like=True, tag=12, forbid_unknown_fields=True):
    """One of the datagrams that carry a delta."""

    echo: int
    lineage: int
    term: int
    base: Position
    target: Position
    digest: int
    index: int
    count: int
    body: bytes


class DigestRequest(Struct, frozen=True, array_like=True, tag=13, forbid_unknown_fields=True):
    """Requests the digests of the parts of a range. Level -1 denotes the whole keyspace."""

    echo: int
    token: int
    level: int
    prefix: int


class DigestResponse(Struct, frozen=True, array_like=True, tag=14, forbid_unknown_fields=True):
    """The digests of the parts of a range, as of a position."""

    echo: int
    lineage: int
    position: Position
    root_digest: int  # of the whole keyspace
    level: int
    prefix: int
    digests: list[int]


class EntriesRequest(Struct, frozen=True, array_like=True, tag=15, forbid_unknown_fields=True):
    """Requests the entries of consecutive leaves, beginning after a key of the first leaf."""

    echo: int
    token: int
    number: int  # number of the request, repeated in the response
    leaf: int
    after_key: str
    end_leaf: int  # exclusive


class EntriesResponse(Struct, frozen=True, array_like=True, tag=16, forbid_unknown_fields=True):
    """As many of the requested entries as fit into one datagram, as of a position.

    The next request has to begin at ``next_leaf``. If ``is_partial`` is set, the body already has entries of
    that leaf, and the next request has to begin after the last of their keys.
    """

    echo: int
    lineage: int
    number: int
    position: Position
    next_leaf: int
    is_partial: bool
    body: bytes


class Leave(Struct, frozen=True, array_like=True, tag=17, forbid_unknown_fields=True):
    """Sent by a child that shuts down, so that it is not reported as unreachable."""

    echo: int


class ChildMoved(Struct, frozen=True, array_like=True, tag=18, forbid_unknown_fields=True):
    """Sent by a control machine to another one: the sender is now the parent of this child."""

    name: str
    incarnation: int
    attach_count: int


class ChildMoveAck(Struct, frozen=True, array_like=True, tag=19, forbid_unknown_fields=True):
    """Acknowledges ``ChildMoved``."""

    name: str
    attach_count: int


class UnreachableChild(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A child whose lease has expired."""

    name: str
    zone: str
    applied_position: Position
    incarnation: int
    attach_count: int


class FindChildRequest(Struct, frozen=True, array_like=True, tag=20, forbid_unknown_fields=True):
    """Asks another control machine whether it is the parent of unreachable children.

    The parent of such a child, or of a later process with its name, answers with ``ChildMoved``. The request
    is needed because a restarted proxy does not know its previous parent.
    """

    children: list[UnreachableChild]


Message = (
    Poll
    | PollResponse
    | DeltaChunk
    | DigestRequest
    | DigestResponse
    | EntriesRequest
    | EntriesResponse
    | Leave
    | ChildMoved
    | ChildMoveAck
    | FindChildRequest
)


def digest_count(level: int) -> int:
    """Returns the number of digests that describe a range of this level."""
    bits = LEVEL_BITS[level] if level >= 0 else 0
    return 1 << (LEVEL_BITS[level + 1] - bits)
