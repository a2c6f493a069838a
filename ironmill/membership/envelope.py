"""The envelope of every datagram between processes of one cluster: MessagePack under a keyed hash.

Membership and distribution put their messages into it. Nothing here knows a socket or a clock. ``read`` says
why it drops what it drops; whatever is dropped leaves nothing behind but a count.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from typing import Generic, TypeVar

import msgspec
from msgspec import Struct

DATAGRAM_MOST = 1200  # bytes; a datagram of it crosses every common link in one piece
MAC_SIZE = 16
KEY_LEAST, KEY_MOST = 16, 64  # bytes; the longest that blake2b takes
TEXT_MOST = 64  # bytes of a name, a zone, a region, a host or the cluster's name
INT_MOST = 1 << 62

Address = tuple[str, int]
Datagram = tuple[Address, bytes]
Message = TypeVar("Message")

_ENCODER = msgspec.msgpack.Encoder()


def spelled(address: Address) -> str:
    """HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def check_keys(keys: Sequence[bytes]) -> tuple[bytes, ...]:
    """The keys; ValueError if there are none, too many, or any of the wrong length."""
    if not 1 <= len(keys) <= 2 or not all(KEY_LEAST <= len(key) <= KEY_MOST for key in keys):
        raise ValueError(f"one or two keys of {KEY_LEAST} to {KEY_MOST} bytes")
    return tuple(keys)


def short(text: str) -> bool:
    """True if a text is no longer than names may be."""
    return len(text) <= TEXT_MOST and len(text.encode(errors="replace")) <= TEXT_MOST


def named(text: str) -> bool:
    """True if a text is a name."""
    return bool(text) and short(text)


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


class Envelope(Struct, Generic[Message], frozen=True, array_like=True, forbid_unknown_fields=True):
    """What the hash covers. ``to`` is empty where the receiver's name is not known yet."""

    cluster: str
    sender: str
    incarnation: int
    to: str
    count: int  # of this incarnation's datagrams; a number seen twice is a replay
    message: Message


class SignedCodec(Generic[Message]):
    """Writes and reads datagrams of one cluster, under the newest key, and under the older one as well."""

    def __init__(
        self, cluster: str, keys: Sequence[bytes], decoder: msgspec.msgpack.Decoder[Envelope[Message]]
    ) -> None:
        """The first key signs; at most one more is taken as well, while keys are being replaced."""
        if not named(cluster):
            raise ValueError(f"the cluster's name has 1 to {TEXT_MOST} bytes")
        self._cluster = cluster
        self._decoder = decoder
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

    def read(self, data: bytes) -> Envelope[Message]:
        """What it says; ``DroppedError`` if it is not of this cluster's members."""
        if len(data) > DATAGRAM_MOST:
            raise DroppedError("oversized")
        if len(data) <= MAC_SIZE:
            raise DroppedError("truncated")
        mac, body = data[:MAC_SIZE], data[MAC_SIZE:]
        if not any(hmac.compare_digest(self._mac(key, body), mac) for key in self._keys):
            raise DroppedError("forged")
        try:
            envelope = self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise DroppedError("malformed") from None
        if envelope.cluster != self._cluster:
            raise DroppedError("foreign")
        numbers = 0 <= envelope.count < INT_MOST and 0 < envelope.incarnation < INT_MOST
        if not (numbers and named(envelope.sender)):
            raise DroppedError("malformed")
        self.check(envelope.message)
        return envelope

    def check(self, message: Message) -> None:
        """Bounds of a message that types do not say; ``DroppedError`` where they are not kept."""

    @staticmethod
    def _mac(key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=key, digest_size=MAC_SIZE).digest()


class Tokens:
    """What proves, when it comes back, that the other has heard this process lately; costs no memory."""

    EVERY = 1.0  # seconds in which the same token is given; the last three are taken

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def give(self, name: str, incarnation: int, now: float, back: int = 0) -> int:
        """The token of this moment for one process, never 0."""
        text = f"{name}\n{incarnation}\n{int(now / self.EVERY) - back}".encode()
        return int.from_bytes(hashlib.blake2b(text, key=self._secret, digest_size=4).digest()) | 1

    def proves(self, name: str, incarnation: int, echo: int, now: float) -> bool:
        """True for a token that was given to that process within the last seconds."""
        return echo != 0 and any(echo == self.give(name, incarnation, now, back) for back in range(3))
