"""The signed envelope of every membership and distribution datagram: a keyed hash, then MessagePack."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from enum import StrEnum
from typing import Generic, TypeVar

import msgspec
from msgspec import Struct

from ironmill.errors import IronmillError
from ironmill.membership.identity import MemberIdentity
from ironmill.membership.limits import (
    INTEGER_LIMIT,
    MAX_DATAGRAM_BYTES,
    MAX_KEY_BYTES,
    MAX_TEXT_BYTES,
    MIN_KEY_BYTES,
    is_name,
)

MAC_BYTES = 16
MAX_KEYS = 2  # the signing key, and a second key during key rotation

Message = TypeVar("Message")

_ENCODER = msgspec.msgpack.Encoder()


class DropReason(StrEnum):
    """Why a datagram is dropped. The values are keys of ``dropped`` in the admin API."""

    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    FORGED = "forged"
    MALFORMED = "malformed"
    FOREIGN_CLUSTER = "foreign"
    MISDIRECTED = "misdirected"
    REPLAYED = "replayed"
    UNPROVEN = "unproven"
    UNSOLICITED = "unasked"
    STALE = "stale"
    BUSY = "busy"
    UNKNOWN_MEMBER = "unknown"
    OWN_NAME = "own name"
    SUPERSEDED = "superseded"


class DroppedError(IronmillError):
    """Raised to drop a datagram. Its text is the reason, under which the drop is counted."""

    def __init__(self, reason: str) -> None:
        """Creates the error; ``reason`` is a value of ``DropReason`` here or in another package."""
        super().__init__(reason)
        self.reason = reason


class Envelope(Struct, Generic[Message], frozen=True, array_like=True, forbid_unknown_fields=True):
    """The content that the hash covers. ``to`` is empty if the sender does not know the receiver's name."""

    cluster: str
    sender: str
    incarnation: int
    to: str
    count: int  # the sequence number within this incarnation; a repeated number is a replay
    message: Message


def check_keys(keys: Sequence[bytes]) -> tuple[bytes, ...]:
    """Returns the keys; raises ``ValueError`` if their number or the length of any key is out of range."""
    if not 1 <= len(keys) <= MAX_KEYS or not all(MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in keys):
        lengths, limits = [len(key) for key in keys], f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
        raise ValueError(f"keys of {lengths} bytes are invalid; expected one or two keys of {limits} bytes")
    return tuple(keys)


class SignedCodec(Generic[Message]):
    """Encodes and decodes the datagrams of one cluster.

    The first key signs datagrams; a received datagram may be signed with any of the keys.
    """

    def __init__(
        self, cluster: str, keys: Sequence[bytes], decoder: msgspec.msgpack.Decoder[Envelope[Message]]
    ) -> None:
        """Creates a codec for one cluster; raises ``ValueError`` if its name or the keys are out of range."""
        if not is_name(cluster):
            raise ValueError(f"cluster name {cluster!r} is invalid; expected 1 to {MAX_TEXT_BYTES} bytes")
        self._cluster = cluster
        self._decoder = decoder
        self.keys = keys

    @property
    def keys(self) -> Sequence[bytes]:
        """The keys in use; the first one signs datagrams."""
        return self._keys

    @keys.setter
    def keys(self, keys: Sequence[bytes]) -> None:
        self._keys = check_keys(keys)

    def encode(self, sender: MemberIdentity, to: str, count: int, message: Message) -> bytes:
        """Returns the signed datagram; raises ``ValueError`` if it exceeds ``MAX_DATAGRAM_BYTES``."""
        envelope = Envelope(self._cluster, sender.name, sender.incarnation, to, count, message)
        body = _ENCODER.encode(envelope)
        data = self._mac(self._keys[0], body) + body
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram has {len(data)} bytes; expected at most {MAX_DATAGRAM_BYTES}")
        return data

    def decode(self, data: bytes) -> Envelope[Message]:
        """Returns the envelope; raises ``DroppedError`` if it is not a valid datagram of this cluster."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DroppedError(DropReason.OVERSIZED)
        if len(data) <= MAC_BYTES:
            raise DroppedError(DropReason.TRUNCATED)
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(hmac.compare_digest(self._mac(key, body), mac) for key in self._keys):
            raise DroppedError(DropReason.FORGED)
        try:
            envelope = self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise DroppedError(DropReason.MALFORMED) from None
        if envelope.cluster != self._cluster:
            raise DroppedError(DropReason.FOREIGN_CLUSTER)
        has_valid_numbers = 0 <= envelope.count < INTEGER_LIMIT and 0 < envelope.incarnation < INTEGER_LIMIT
        if not (has_valid_numbers and is_name(envelope.sender)):
            raise DroppedError(DropReason.MALFORMED)
        self.validate(envelope.message)
        return envelope

    def validate(self, message: Message) -> None:
        """Checks ranges that types cannot express; raises ``DroppedError`` if a value is out of range."""

    @staticmethod
    def _mac(key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()
