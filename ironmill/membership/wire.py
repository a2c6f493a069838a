"""Datagrams between members: MessagePack of typed structs under a keyed hash, 1,200 bytes at the most.

Nothing here knows a socket or a clock. ``Codec.read`` says why it drops what it drops; whatever is dropped
leaves nothing behind but a count.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec
from msgspec import Struct

DATAGRAM_MOST = 1200  # bytes; a datagram of it crosses every common link in one piece
MAC_SIZE = 16
KEY_LEAST, KEY_MOST = 16, 64  # bytes; the longest that blake2b takes
TEXT_MOST = 64  # bytes of a name, a zone, a region, a host or the cluster's name

Address = tuple[str, int]


def spelled(address: Address) -> str:
    """HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def check_keys(keys: Sequence[bytes]) -> tuple[bytes, ...]:
    """The keys; ValueError if there are none, too many, or any of the wrong length."""
    if not 1 <= len(keys) <= 2 or not all(KEY_LEAST <= len(key) <= KEY_MOST for key in keys):
        raise ValueError(f"one or two keys of {KEY_LEAST} to {KEY_MOST} bytes")
    return tuple(keys)


class DroppedError(Exception):
    """A datagram that is not taken; its text is one of a few words, to be counted by."""


class Card(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What one process says of itself. A restart takes a higher incarnation under the same name."""

    name: str
    host: str
    port: int
    zone: str
    region: str
    incarnation: int  # at first the Unix time of the start, in milliseconds

    @property
    def address(self) -> Address:
        """Where its datagrams go."""
        return self.host, self.port


class Fact(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A member's place in the view. Facts of one name are ordered; the higher one holds everywhere."""

    card: Card
    flips: int  # even: in the view; odd: out of it
    left: bool = False  # it said that it goes, which is final for this incarnation

    @property
    def order(self) -> tuple[int, bool, int]:
        """What decides between two facts of one name."""
        return self.card.incarnation, self.left, self.flips

    @property
    def present(self) -> bool:
        """True if it is in the view."""
        return not self.left and self.flips % 2 == 0


class Opinion(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What an observer holds of one of its subjects. The higher stamp of one observer holds.

    It speaks of one place of the subject, by its incarnation and flips, and means nothing of any other: what
    was said before a cut healed must not count against whom the healing brought back.
    """

    observer: str
    subject: str
    incarnation: int
    flips: int
    stamp: int  # by the observer's count
    value: int  # ACCUSES, NOTHING or VOUCHES


ACCUSES, NOTHING, VOUCHES = -1, 0, 1


class Ping(Struct, frozen=True, array_like=True, tag=0, forbid_unknown_fields=True):
    """Asks for an ack. ``echo`` is the token of the last ack that came back, which proves both ways."""

    number: int
    echo: int
    digest: int
    rumours: list[msgspec.Raw]


class Ack(Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True):
    """Answers a ping; ``of`` is the one that it was asked for, where another member did the asking."""

    number: int
    token: int
    digest: int
    rumours: list[msgspec.Raw]
    of: str = ""


class Seek(Struct, frozen=True, array_like=True, tag=2, forbid_unknown_fields=True):
    """Asks the receiver to ping another member and to pass its ack on."""

    number: int
    echo: int
    subject: str


class Want(Struct, frozen=True, array_like=True, tag=3, forbid_unknown_fields=True):
    """Asks for a page of facts, of the names after this one. The page brings the ``token`` back."""

    echo: int
    token: int
    after: str


class Page(Struct, frozen=True, array_like=True, tag=4, forbid_unknown_fields=True):
    """Facts in the order of their names; ``last`` if no name follows."""

    echo: int
    facts: list[Fact]
    last: bool


Message = Ping | Ack | Seek | Want | Page


class Envelope(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What the hash covers. ``to`` is empty where the receiver's name is not known yet."""

    cluster: str
    sender: str
    incarnation: int
    to: str
    count: int  # of this incarnation's datagrams; a number seen twice is a replay
    message: Message


Rumour = Fact | Opinion
_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_FACT = msgspec.msgpack.Decoder(Fact)
_OPINION = msgspec.msgpack.Decoder(Opinion)
_ENCODER = msgspec.msgpack.Encoder()
_INT_MOST = 1 << 62


def pack(rumour: Rumour) -> bytes:
    """One rumour as it goes into a ping or an ack."""
    return _ENCODER.encode(rumour)


def unpack(raw: msgspec.Raw) -> Rumour:
    """A rumour; ``DroppedError`` if it is none."""
    data = bytes(raw)
    # An opinion has six plain fields, a fact a card and two more: told apart by the length of the array.
    try:
        rumour: Rumour = _OPINION.decode(data) if data[:1] == b"\x96" else _FACT.decode(data)
    except (msgspec.DecodeError, RecursionError):
        raise DroppedError("malformed") from None
    check(rumour)
    return rumour


def check(rumour: Rumour) -> None:
    """Bounds that types do not say. Guards memory, and sums, against a member that is out of its mind."""
    if isinstance(rumour, Fact):
        check_card(rumour.card)
        fits = 0 <= rumour.flips < _INT_MOST
    else:
        fits = (
            _fits(rumour.observer) and _fits(rumour.subject) and ACCUSES <= rumour.value <= VOUCHES
            and all(0 <= n < _INT_MOST for n in (rumour.stamp, rumour.incarnation, rumour.flips))
        )
    if not fits:
        raise DroppedError("malformed")


def check_card(card: Card) -> None:
    """The same for a card."""
    texts = _fits(card.name) and _fits(card.host) and _short(card.zone) and _short(card.region)
    if not (texts and 0 < card.port < 65536 and 0 < card.incarnation < _INT_MOST):
        raise DroppedError("malformed")


def _short(text: str) -> bool:
    return len(text) <= TEXT_MOST and len(text.encode(errors="replace")) <= TEXT_MOST


def _fits(text: str) -> bool:
    return bool(text) and _short(text)


class Codec:
    """Writes and reads datagrams of one cluster, under the newest key, and under the older one as well."""

    def __init__(self, cluster: str, keys: Sequence[bytes]) -> None:
        """The first key signs; at most one more is taken as well, while keys are being replaced."""
        if not _fits(cluster):
            raise ValueError(f"the cluster's name has 1 to {TEXT_MOST} bytes")
        self._cluster = cluster
        self.keys = keys

    @property
    def keys(self) -> Sequence[bytes]:
        """The keys in force."""
        return self._keys

    @keys.setter
    def keys(self, keys: Sequence[bytes]) -> None:
        self._keys = check_keys(keys)

    def write(self, sender: Card, to: str, count: int, message: Message) -> bytes:
        """The datagram. ValueError if it is too large, which is the caller's fault."""
        envelope = Envelope(self._cluster, sender.name, sender.incarnation, to, count, message)
        body = _ENCODER.encode(envelope)
        data = self._mac(self._keys[0], body) + body
        if len(data) > DATAGRAM_MOST:
            raise ValueError(f"a datagram of {len(data)} bytes")
        return data

    def read(self, data: bytes) -> Envelope:
        """What it says; ``DroppedError`` if it is not of this cluster's members."""
        if len(data) > DATAGRAM_MOST:
            raise DroppedError("oversized")
        if len(data) <= MAC_SIZE:
            raise DroppedError("truncated")
        mac, body = data[:MAC_SIZE], data[MAC_SIZE:]
        if not any(hmac.compare_digest(self._mac(key, body), mac) for key in self._keys):
            raise DroppedError("forged")
        try:
            envelope = _ENVELOPE.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise DroppedError("malformed") from None
        if envelope.cluster != self._cluster:
            raise DroppedError("foreign")
        numbers = 0 <= envelope.count < _INT_MOST and 0 < envelope.incarnation < _INT_MOST
        if not (numbers and _fits(envelope.sender)):
            raise DroppedError("malformed")
        if isinstance(envelope.message, Page):
            for fact in envelope.message.facts:
                check(fact)
        return envelope

    @staticmethod
    def _mac(key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=key, digest_size=MAC_SIZE).digest()


class Replays:
    """The counts of one sender's datagrams that were taken: a window, so that some may come late."""

    WINDOW = 512  # a member sends some 25 datagrams a second, and one may be a second late

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = -1
        self._seen = 0  # one bit a count, the highest one's the lowest

    def take(self, count: int) -> bool:
        """False if this one was taken before, or is too old to tell."""
        ahead = count - self._highest
        if ahead > 0:
            self._seen = ((self._seen << min(ahead, self.WINDOW)) | 1) & ((1 << self.WINDOW) - 1)
            self._highest = count
            return True
        bit = 1 << -ahead
        if -ahead >= self.WINDOW or self._seen & bit:
            return False
        self._seen |= bit
        return True
