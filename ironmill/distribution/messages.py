"""Messages between control machines and proxies. They travel in the cluster's signed envelope.

Structs are arrays on the wire: fields must never be reordered, and tags never reused. Tags begin at 10, so
that no datagram of membership is ever taken for one of distribution.
"""

from __future__ import annotations

from msgspec import Struct

from ironmill.distribution.keyspace import LEVEL_BITS
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.revision import Position
from ironmill.membership.identity import Address

# Limits of one datagram, or of a field in it.
MAX_BODY_BYTES = 940  # of packed entries
MAX_CHUNKS = 256  # of one delta
MAX_MISSING_CHUNKS = 32  # named in one poll
MAX_LAGGING_NODES_BYTES = 420  # in one poll
MAX_ZONES = 24
MAX_PREVIOUS_PARENTS = 3
MAX_REASON_LENGTH = 120  # characters
MAX_FIND_CHILD_BYTES = 900  # of children in one request
MAX_FIND_CHILD_COUNT = 64

AGE_UNKNOWN = -1  # the origin has not been heard from

# States of a lagging node, as they travel.
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
    """Counts of the proxies of one zone."""

    zone: str
    proxies: int  # reachable, including those that reject the latest revision
    lowest_position: Position  # applied at every proxy that is reachable and rejects nothing
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
    """What a relay knows of the nodes below it."""

    converged: bool  # all children have had the time to find their parents
    zones: list[ZoneSummary]
    lagging_nodes: list[LaggingNode]
    omitted: int  # lagging nodes that are not listed for lack of space


class Poll(Struct, frozen=True, array_like=True, tag=10, forbid_unknown_fields=True):
    """From a child to its parent: renews the lease, acknowledges deltas, and requests new ones.

    ``echo`` is the parent's token, which proves that the child receives at its address; ``token`` is to be
    echoed by the response.
    """

    echo: int
    token: int
    is_probe: bool  # only requests a response; the sender does not become a child
    lineage: int
    received_position: Position
    applied_position: Position
    term: int  # the highest epoch of a writer that the child has heard of
    attach_count: int  # how often the child has changed its parent; orders its parents in time
    previous_parents: list[str]  # which are to forget this child
    zone: str
    origin_age_ms: int  # since the origin was heard from; AGE_UNKNOWN if it was not
    incomplete_target: Position  # of the delta that is being assembled
    missing_chunks: list[int]  # of that delta
    rejection: Rejection | None = None
    summary: FleetSummary | None = None


class PollResponse(Struct, frozen=True, array_like=True, tag=11, forbid_unknown_fields=True):
    """The answer to a poll."""

    echo: int
    token: int
    lineage: int
    term: int
    latest_position: Position
    origin_age_ms: int
    log_covers_child: bool  # the parent's log leads from the child's position to the latest one
    poll_count: int  # the envelope's count of the poll
    is_child: bool  # the poll has registered its sender as a child


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
    """Requests the digests of a range's parts. Level -1 is the whole keyspace."""

    echo: int
    token: int
    level: int
    prefix: int


class DigestResponse(Struct, frozen=True, array_like=True, tag=14, forbid_unknown_fields=True):
    """The digests of a range's parts, as of a position."""

    echo: int
    lineage: int
    position: Position
    root_digest: int  # of the whole keyspace
    level: int
    prefix: int
    digests: list[int]


class EntriesRequest(Struct, frozen=True, array_like=True, tag=15, forbid_unknown_fields=True):
    """Requests the entries of leaves, from after a key of the first leaf on."""

    echo: int
    token: int
    number: int  # of the request; the response repeats it
    leaf: int
    after_key: str
    end_leaf: int  # exclusive


class EntriesResponse(Struct, frozen=True, array_like=True, tag=16, forbid_unknown_fields=True):
    """As many of the requested entries as fit, as of a position.

    The next request begins at ``next_leaf``; with ``is_partial`` after the body's last key within that leaf.
    """

    echo: int
    lineage: int
    number: int
    position: Position
    next_leaf: int
    is_partial: bool
    body: bytes


class Leave(Struct, frozen=True, array_like=True, tag=17, forbid_unknown_fields=True):
    """From a child that shuts down: it is not to be reported as unreachable."""

    echo: int


class ChildMoved(Struct, frozen=True, array_like=True, tag=18, forbid_unknown_fields=True):
    """From a relay to another one: it is the parent of this child now."""

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
    """Queries the other control machines for children. The parent of one, or of a later process of its
    name, answers ``ChildMoved``.

    It is needed because a restarted proxy does not know its previous parent.
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
    """Returns how many digests describe a range of this level."""
    bits = LEVEL_BITS[level] if level >= 0 else 0
    return 1 << (LEVEL_BITS[level + 1] - bits)
