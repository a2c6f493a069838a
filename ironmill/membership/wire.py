"""What members tell each other: typed structs in the cluster's envelope, 1,200 bytes at the most.

Nothing here knows a socket or a clock. ``Codec.read`` says why it drops what it drops; whatever is dropped
leaves nothing behind but a count.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from msgspec import Struct

from ironmill.membership.envelope import DroppedError, Envelope, SignedCodec
from ironmill.membership.identity import MemberIdentity
from ironmill.membership.limits import INTEGER_LIMIT, fits_text, is_name


class Fact(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A member's place in the view. Facts of one name are ordered; the higher one holds everywhere."""

    card: MemberIdentity
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


Rumour = Fact | Opinion
_ENVELOPE = msgspec.msgpack.Decoder(Envelope[Message])
_FACT = msgspec.msgpack.Decoder(Fact)
_OPINION = msgspec.msgpack.Decoder(Opinion)
_ENCODER = msgspec.msgpack.Encoder()


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
        fits = 0 <= rumour.flips < INTEGER_LIMIT
    else:
        fits = (
            is_name(rumour.observer)
            and is_name(rumour.subject)
            and ACCUSES <= rumour.value <= VOUCHES
            and all(0 <= n < INTEGER_LIMIT for n in (rumour.stamp, rumour.incarnation, rumour.flips))
        )
    if not fits:
        raise DroppedError("malformed")


def check_card(card: MemberIdentity) -> None:
    """The same for a card."""
    texts = is_name(card.name) and is_name(card.host) and fits_text(card.zone) and fits_text(card.region)
    if not (texts and 0 < card.port < 65536 and 0 < card.incarnation < INTEGER_LIMIT):
        raise DroppedError("malformed")


class Codec(SignedCodec[Message]):
    """Datagrams of members."""

    def __init__(self, cluster: str, keys: Sequence[bytes]) -> None:
        """The first key signs; at most one more is taken as well, while keys are being replaced."""
        super().__init__(cluster, keys, _ENVELOPE)

    def validate(self, message: Message) -> None:
        """Facts of a page are looked at here, rumours where they are unpacked."""
        if isinstance(message, Page):
            for fact in message.facts:
                check(fact)


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
