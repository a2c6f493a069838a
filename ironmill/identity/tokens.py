"""Signed tokens: JSON Web Signatures in compact form (RFC 7515) with the claims of RFC 7519.

Parsing is stricter than the standards require and rejects input that two parsers could interpret differently:
duplicate names, numbers that are not finite, deep nesting and padded base64url. Signatures are verified by
PyJWT and cryptography, with EdDSA (Ed25519) or ES256, and only with the algorithm of the key.
"""

from __future__ import annotations

import base64
import binascii
import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NoReturn

from ironmill.identity.errors import CredentialError, RejectionReason
from ironmill.identity.keyring import ALGORITHMS, Key

MAX_TOKEN_BYTES = 4000  # the protocol line that carries a token has at most 4,096 bytes
MAX_DEPTH = 5  # of nested objects and lists
MAX_MEMBERS = 64  # of all JSON objects in one part of a token together
MAX_KID_LENGTH = 128
MAX_SUBJECT_LENGTH = 255
MAX_INTEGER_DIGITS = 20  # the time to convert digits grows with the square of their number
MAX_TIME = 253_402_300_800.0  # Unix time of the start of the year 10000, which cannot be formatted
_PART = re.compile(rb"[A-Za-z0-9_-]+")


@dataclass(frozen=True, slots=True)
class Token:
    """A parsed token. Its content must not be trusted before ``verify_signature`` has succeeded."""

    raw: bytes
    algorithm: str
    kid: str
    claims: Mapping[str, Any]
    expires_at: float  # Unix time
    not_before: float  # Unix time; 0 if the token has no such claim


def parse_token(raw: bytes) -> Token:
    """Parses a token without verifying its signature. Raises CredentialError if it is malformed."""
    if len(raw) > MAX_TOKEN_BYTES:
        _raise_malformed("token is too long")
    parts = raw.split(b".")
    if len(parts) != 3 or not all(_PART.fullmatch(part) for part in parts):
        _raise_malformed("token does not have three base64url parts")
    header = _parse_object(parts[0])
    claims = _parse_object(parts[1])
    _decode_base64url(parts[2])
    algorithm = header.get("alg")
    if algorithm not in ALGORITHMS:
        raise CredentialError(RejectionReason.ALGORITHM)
    if "crit" in header or "b64" in header:  # extensions that change how the token is interpreted
        _raise_malformed("header has an unsupported extension (crit or b64)")
    kid = header.get("kid")
    if not isinstance(kid, str) or not 0 < len(kid) <= MAX_KID_LENGTH:
        _raise_malformed("kid")
    subject = claims.get("sub")
    if (
        not isinstance(subject, str)
        or not 0 < len(subject) <= MAX_SUBJECT_LENGTH
        or not subject.isprintable()
    ):
        _raise_malformed("sub")
    expires_at = _parse_time(claims, "exp", None)
    not_before = _parse_time(claims, "nbf", 0.0)
    return Token(raw, str(algorithm), kid, claims, expires_at, not_before)


def verify_signature(token: Token, key: Key) -> None:
    """Raises CredentialError unless the key made the token's signature. Takes about 0.1 ms of CPU."""
    from jwt import PyJWS  # imported here because proxies without callers do not need it
    from jwt.exceptions import PyJWTError

    if token.algorithm != key.algorithm:  # a key must be used only with its own algorithm
        raise CredentialError(RejectionReason.ALGORITHM)
    try:
        PyJWS().decode(token.raw, key.public_key, algorithms=[key.algorithm])
    except PyJWTError:
        raise CredentialError(RejectionReason.SIGNATURE) from None


def check_times(token: Token, now: float, clock_skew_s: float) -> None:
    """Raises CredentialError if the token is not valid at this Unix time, give or take the clock skew."""
    if now >= token.expires_at + clock_skew_s:
        raise CredentialError(RejectionReason.EXPIRED)
    if now < token.not_before - clock_skew_s:
        raise CredentialError(RejectionReason.NOT_YET_VALID)


def _raise_malformed(detail: str) -> NoReturn:
    raise CredentialError(RejectionReason.MALFORMED, detail)


def _decode_base64url(part: bytes) -> bytes:
    """Decodes one part. Rejects padding and unused bits that are not 0, as the encoding must be unique."""
    try:
        data = base64.b64decode(part + b"=" * (-len(part) % 4), b"-_", validate=True)
    except (binascii.Error, ValueError):
        raise CredentialError(RejectionReason.MALFORMED, "base64url") from None
    if base64.urlsafe_b64encode(data).rstrip(b"=") != part:
        _raise_malformed("base64url")
    return data


class _MemberCollector:
    """Builds the JSON objects of one token part and limits the number of their members."""

    __slots__ = ("_remaining",)

    def __init__(self) -> None:
        self._remaining = MAX_MEMBERS

    def collect(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        self._remaining -= len(pairs)
        members = dict(pairs)
        if len(members) < len(pairs):
            _raise_malformed("JSON object has a duplicate name")
        if self._remaining < 0:
            _raise_malformed("JSON has too many members")
        return members


def _parse_object(part: bytes) -> dict[str, Any]:
    data = _decode_base64url(part)
    # This is checked before parsing because the JSON parser is recursive.
    if data.count(b"[") + data.count(b"{") > MAX_MEMBERS:
        _raise_malformed("JSON has too many objects and lists")
    try:
        value = json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_MemberCollector().collect,
            parse_constant=_reject_constant,
            parse_int=_parse_integer,
            parse_float=_parse_float,
        )
    except (ValueError, RecursionError):
        raise CredentialError(RejectionReason.MALFORMED, "token part is not valid JSON") from None
    if not isinstance(value, dict) or _depth(value) > MAX_DEPTH:
        _raise_malformed("token part is not a JSON object or is nested too deeply")
    return value


def _reject_constant(_: str) -> NoReturn:
    """Rejects NaN and Infinity, which the standard library's parser accepts."""
    _raise_malformed("JSON has a number that is not finite")


def _parse_integer(text: str) -> int:
    if len(text) > MAX_INTEGER_DIGITS:
        _raise_malformed("JSON has an integer with too many digits")
    return int(text)


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        _raise_malformed("JSON has a number that is not finite")
    return value


def _depth(value: object) -> int:
    if isinstance(value, dict):
        return 1 + max(map(_depth, value.values()), default=0)
    if isinstance(value, list):
        return 1 + max(map(_depth, value), default=0)
    return 0


def _parse_time(claims: Mapping[str, Any], name: str, default: float | None) -> float:
    value = claims.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0.0 <= value <= MAX_TIME:
        _raise_malformed(name)
    return float(value)
