"""What control machines and proxies tell each other: typed structs in the cluster's envelope.

Tags begin at 10, so that no datagram of membership is ever taken for one of these, nor the other way round.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from msgspec import Struct

from ironmill.distribution.changes import MAX_KEY_BYTES
from ironmill.distribution.keyspace import LEAVES, LEVEL_BITS
from ironmill.distribution.revision import NUMBER_LIMIT, Position, Rejection
from ironmill.membership.envelope import DroppedError, Envelope, SignedCodec
from ironmill.membership.identity import Address
from ironmill.membership.limits import fits_text, is_name

BODY_MOST = 940  # bytes of packed entries in a datagram; with all else it stays under what one may hold
PARTS_MOST = 256  # of one delta
MISSING_MOST = 32  # parts named in one poll
LAGGARD_BYTES = 420  # of laggards in one poll
TALLIES_MOST = 24
PREVIOUS_MOST = 3  # parents named that have had a child before
REASON_MOST = 120  # characters
SOUGHT_BYTES = 900  # of children in one question for them
SOUGHT_MOST = 64
AGE_NEVER = -1

BEHIND, REFUSED, UNREACHABLE = "behind", "refused", "unreachable"


class Place(Struct, frozen=True):
    """A control machine, as settings name it and as it is reached from here."""

    name: str
    address: Address
    zone: str = "none"
    region: str = "none"


class Tally(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Proxies of one zone, counted."""

    zone: str
    proxies: int  # reachable ones, those that refuse among them
    lowest: Position  # in force at all of those that are reachable and do not refuse
    refused: int
    unreachable: int
    stale: int


class Laggard(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One that is not at the newest revision."""

    name: str
    zone: str
    in_force: Position
    why: str
    key: str = ""
    reason: str = ""


class Summary(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a relay knows of its children."""

    settled: bool
    tallies: list[Tally]
    laggards: list[Laggard]
    more: int  # laggards that are not named here


class Poll(Struct, frozen=True, array_like=True, tag=10, forbid_unknown_fields=True):
    """A child to its parent: what it holds. Lease, acknowledgement and question in one.

    ``echo`` is the parent's token that proves both ways, ``token`` the child's own for the answer.
    """

    echo: int
    token: int
    probe: bool  # asks only whether it is there: no child for it
    lineage: int
    held: Position
    in_force: Position
    term: int  # the highest epoch of a writer that was heard of
    attached: int  # how often it has changed its parent; tells the later of two parents
    previous: list[str]  # parents before, which are to forget it
    zone: str
    age: int  # milliseconds since the origin's word, AGE_NEVER if there was none
    target: Position  # the delta that is being put together
    missing: list[int]  # what it lacks of that
    refusal: Rejection | None = None
    summary: Summary | None = None


class Word(Struct, frozen=True, array_like=True, tag=11, forbid_unknown_fields=True):
    """The answer to a poll."""

    echo: int
    token: int
    lineage: int
    term: int
    head: Position
    age: int
    reaches: bool  # the log reaches back to what the child holds
    answers: int  # the count of the poll
    counted: bool  # the child is counted by that poll: it has proven itself, and was no probe


class Part(Struct, frozen=True, array_like=True, tag=12, forbid_unknown_fields=True):
    """A piece of a delta."""

    echo: int
    lineage: int
    term: int
    base: Position
    target: Position
    digest: int
    index: int
    count: int
    body: bytes


class Ask(Struct, frozen=True, array_like=True, tag=13, forbid_unknown_fields=True):
    """Asks for the digests of a range's parts; level -1 is the whole."""

    echo: int
    token: int
    level: int
    prefix: int


class Digests(Struct, frozen=True, array_like=True, tag=14, forbid_unknown_fields=True):
    """Those digests, as of a position."""

    echo: int
    lineage: int
    at: Position
    digest: int  # of all
    level: int
    prefix: int
    sums: list[int]


class Fetch(Struct, frozen=True, array_like=True, tag=15, forbid_unknown_fields=True):
    """Asks for the entries of leaves, from after this key of the first of them on."""

    echo: int
    token: int
    number: int  # of the question
    leaf: int
    after: str
    until: int


class Page(Struct, frozen=True, array_like=True, tag=16, forbid_unknown_fields=True):
    """Those entries, as far as they fit, as of a position; it goes on at ``next_leaf``.

    A ``partial`` one stops within that leaf, after the last key of the body.
    """

    echo: int
    lineage: int
    number: int
    at: Position
    next_leaf: int
    partial: bool
    body: bytes


class Leave(Struct, frozen=True, array_like=True, tag=17, forbid_unknown_fields=True):
    """A child ends in an orderly way: it is not to be named as unreachable."""

    echo: int


class Moved(Struct, frozen=True, array_like=True, tag=18, forbid_unknown_fields=True):
    """A relay to another one: this child is here now."""

    name: str
    incarnation: int
    attached: int


class Noted(Struct, frozen=True, array_like=True, tag=19, forbid_unknown_fields=True):
    """The answer to that."""

    name: str
    attached: int


class Missed(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A child that does not answer."""

    name: str
    zone: str
    in_force: Position
    incarnation: int
    attached: int


class Sought(Struct, frozen=True, array_like=True, tag=20, forbid_unknown_fields=True):
    """A relay to the other control machines: who has one of these, or a later one of its name, says Moved.

    A proxy that was started anew does not know who had it before.
    """

    children: list[Missed]


Message = Poll | Word | Part | Ask | Digests | Fetch | Page | Leave | Moved | Noted | Sought
_DECODER = msgspec.msgpack.Decoder(Envelope[Message])


def sums_wanted(level: int) -> int:
    """How many digests a range of this level has."""
    below = LEVEL_BITS[level + 1]
    return 1 << (below - (LEVEL_BITS[level] if level >= 0 else 0))


def _number(value: int) -> bool:
    return 0 <= value < NUMBER_LIMIT


def _position(position: Position) -> bool:
    return _number(position.epoch) and _number(position.number)


def _range(level: int, prefix: int) -> bool:
    return -1 <= level < len(LEVEL_BITS) - 1 and 0 <= prefix < (1 << LEVEL_BITS[level] if level >= 0 else 1)


def _key(key: str) -> bool:
    return len(key) <= MAX_KEY_BYTES and len(key.encode(errors="replace")) <= MAX_KEY_BYTES


def _refusal(key: str, reason: str) -> bool:
    return _key(key) and len(reason) <= REASON_MOST


class Codec(SignedCodec[Message]):
    """Datagrams of distribution."""

    def __init__(self, cluster: str, keys: Sequence[bytes]) -> None:
        """The first key signs; at most one more is taken as well, while keys are being replaced."""
        super().__init__(cluster, keys, _DECODER)

    def validate(self, message: Message) -> None:
        """Bounds that types do not say. Guards memory against a process that is out of its mind."""
        if not _fits(message):
            raise DroppedError("malformed")


def _fits(message: Message) -> bool:
    match message:
        case Poll():
            return _poll_fits(message)
        case Word():
            return (
                _number(message.lineage)
                and _number(message.term)
                and _position(message.head)
                and _number(message.answers)
            )
        case Part():
            return (
                _number(message.lineage)
                and _number(message.term)
                and 0 < message.count <= PARTS_MOST
                and 0 <= message.index < message.count
                and message.base < message.target
                and _position(message.base)
                and _position(message.target)
                and len(message.body) <= BODY_MOST
            )
        case Ask():
            return _range(message.level, message.prefix)
        case Digests():
            return (
                _range(message.level, message.prefix)
                and _position(message.at)
                and len(message.sums) == sums_wanted(message.level)
            )
        case Fetch():
            return 0 <= message.leaf < message.until <= LEAVES and _key(message.after)
        case Page():
            return (
                0 <= message.next_leaf <= LEAVES
                and _position(message.at)
                and len(message.body) <= BODY_MOST
                and (not message.partial or message.body != b"")
            )
        case Moved() | Noted():
            return is_name(message.name) and _number(message.attached)
        case Sought():
            return len(message.children) <= SOUGHT_MOST and all(
                is_name(one.name)
                and fits_text(one.zone)
                and _position(one.in_force)
                and 0 < one.incarnation < NUMBER_LIMIT
                and _number(one.attached)
                for one in message.children
            )
        case Leave():
            return True


def _poll_fits(poll: Poll) -> bool:
    summary, refusal = poll.summary, poll.refusal
    plain = (
        all(_position(one) for one in (poll.held, poll.in_force, poll.target))
        and _number(poll.lineage)
        and _number(poll.term)
        and _number(poll.attached)
        and fits_text(poll.zone)
        and len(poll.missing) <= MISSING_MOST
        and len(poll.previous) <= PREVIOUS_MOST
        and all(fits_text(one) for one in poll.previous)
    )
    if refusal is not None and not _refusal(refusal.key, refusal.reason):
        return False
    if summary is None:
        return plain
    return (
        plain
        and len(summary.tallies) <= TALLIES_MOST
        and summary.more >= 0
        and all(
            fits_text(one.zone)
            and _position(one.lowest)
            and min(one.proxies, one.refused, one.unreachable, one.stale) >= 0
            for one in summary.tallies
        )
        and all(
            is_name(one.name)
            and fits_text(one.zone)
            and _refusal(one.key, one.reason)
            and _position(one.in_force)
            for one in summary.laggards
        )
    )
