"""Authentication: maps a credential to a caller, or to the reason for its rejection.

Verified tokens are cached, so that a client that reconnects needs no further signature check, and signature
checks for suspect addresses are rate-limited. Both only save CPU time: the state of the key, the validity
period of the credential and the rules are checked at each use, so a key rotation, a retired key or a denial
takes effect at once.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeAlias

from ironmill.identity.certificates import Certificate, parse_certificate
from ironmill.identity.errors import CredentialError, RejectionReason
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rate_limiter import RateLimiter
from ironmill.identity.rules import (
    Caller,
    IdentitySettings,
    caller_of_claims,
    caller_of_names,
    is_denied,
)
from ironmill.identity.suspect_addresses import SuspectAddresses
from ironmill.identity.tokens import Token, check_times, parse_token, verify_signature

SUSPECT_CHECK_BURST = 20.0
MIN_RETRY_AFTER_S = 0.5  # for a client whose token was not verified because of the rate limit


@dataclass(frozen=True, slots=True)
class Admitted:
    """The verdict that a credential is valid and belongs to a caller."""

    caller: Caller
    kid: str = ""  # the id of the key that signed the token; empty without a token
    expires_at: float | None = None  # Unix time, with the clock skew added; None without a credential
    token: Token | None = None  # its raw bytes are removed
    certificate: Certificate | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The verdict that a credential is not valid."""

    reason: RejectionReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Throttled:
    """The verdict that a token was not verified, because too many invalid ones came from its address."""

    retry_after: float  # seconds


Verdict: TypeAlias = Admitted | Rejected | Throttled


@dataclass(frozen=True, slots=True)
class _VerifiedToken:
    thumbprint: str  # of the key that verified the signature
    token: Token


class Authenticator:
    """Decides whether credentials are valid. ``now`` is Unix time in all methods.

    The argument ``settings`` of a method is the settings that were in effect when the request began. If it is
    None, the current settings apply.
    """

    def __init__(self, settings: IdentitySettings, key_ring: KeyRing, now: float) -> None:
        """Creates an authenticator with an empty cache."""
        self.settings = settings
        self.key_ring = key_ring
        self.counts: dict[str, int] = {}
        self.signatures_verified = 0
        self._suspects = SuspectAddresses()
        self._suspect_checks = RateLimiter(settings.suspect_checks_per_s, SUSPECT_CHECK_BURST, now)
        self._verified: OrderedDict[bytes, _VerifiedToken] = OrderedDict()  # by SHA-256 of the whole token

    def __len__(self) -> int:
        """Returns the number of cached tokens."""
        return len(self._verified)

    def reconfigure(self, settings: IdentitySettings, key_ring: KeyRing, now: float) -> None:
        """Replaces the settings and the key ring. Keeps the cache, as its tokens are checked at each use."""
        if settings.suspect_checks_per_s != self.settings.suspect_checks_per_s:
            self._suspect_checks = RateLimiter(settings.suspect_checks_per_s, SUSPECT_CHECK_BURST, now)
        self.settings = settings
        self.key_ring = key_ring

    def authenticate_anonymous(self, settings: IdentitySettings | None = None) -> Verdict:
        """Returns the verdict on a client without a credential."""
        caller = (settings or self.settings).anonymous
        if caller is None:
            return self.reject(RejectionReason.MISSING)
        self._count_verdict("anonymous")
        return Admitted(caller)

    def authenticate_token(
        self, raw: bytes, address: str, now: float, settings: IdentitySettings | None = None
    ) -> Verdict:
        """Returns the verdict on a token that a client at the address presented."""
        settings = settings or self.settings
        digest = hashlib.sha256(raw).digest()
        try:
            token = self._cached_token(digest)
            if token is not None:
                self._check_validity(token, now, settings)
            else:
                unverified = parse_token(raw)
                self._check_validity(unverified, now, settings)
                self._suspects.forget_old(now)
                if address in self._suspects and not self._suspect_checks.acquire(now):
                    self._count_verdict("throttled")
                    return Throttled(max(MIN_RETRY_AFTER_S, self._suspect_checks.retry_after()))
                token = self._verify_and_cache(unverified, digest, address, now)
            admitted = self._admit_token(token, settings)
        except CredentialError as error:
            return self._count_rejection(error)
        self._count_verdict("admitted")
        return admitted

    def authenticate_certificate(
        self, der: bytes, now: float, settings: IdentitySettings | None = None
    ) -> Verdict:
        """Returns the verdict on a certificate whose chain was verified."""
        try:
            admitted = self._admit_certificate(parse_certificate(der), now, settings or self.settings)
        except CredentialError as error:
            return self._count_rejection(error)
        self._count_verdict("admitted")
        return admitted

    def reauthenticate(
        self, admitted: Admitted, now: float, settings: IdentitySettings | None = None
    ) -> Admitted | Rejected:
        """Returns a new verdict on a credential that was admitted before. Does not count the verdict."""
        settings = settings or self.settings
        if admitted.certificate is None and admitted.token is None:
            return admitted if settings.anonymous is not None else Rejected(RejectionReason.MISSING)
        try:
            if admitted.certificate is not None:
                return self._admit_certificate(admitted.certificate, now, settings)
            assert admitted.token is not None
            self._check_validity(admitted.token, now, settings)
            return self._admit_token(admitted.token, settings)
        except CredentialError as error:
            return Rejected(error.reason)

    def reject(self, reason: RejectionReason) -> Rejected:
        """Counts a rejection for the given reason, and returns it."""
        return self._count_rejection(CredentialError(reason))

    def _cached_token(self, digest: bytes) -> Token | None:
        verified = self._verified.get(digest)
        if verified is None:
            return None
        key = self.key_ring.get(verified.token.kid)
        if key is None or key.thumbprint != verified.thumbprint:
            del self._verified[digest]  # the id now belongs to another key, which did not sign the token
            return None
        self._verified.move_to_end(digest)
        return verified.token

    def _check_validity(self, token: Token, now: float, settings: IdentitySettings) -> None:
        """Checks the conditions that may change between two uses of a token."""
        key = self.key_ring.get(token.kid)
        if key is None:
            raise CredentialError(RejectionReason.UNKNOWN_KEY)
        if key.is_retired(now):
            raise CredentialError(RejectionReason.KEY_RETIRED)
        if now < key.valid_from - settings.clock_skew_s:
            raise CredentialError(RejectionReason.KEY_NOT_YET_VALID)
        check_times(token, now, settings.clock_skew_s)

    def _verify_and_cache(self, token: Token, digest: bytes, address: str, now: float) -> Token:
        """Verifies the signature, and returns and caches the token without its raw bytes."""
        key = self.key_ring.get(token.kid)
        assert key is not None
        self.signatures_verified += 1
        try:
            verify_signature(token, key)
        except CredentialError:
            self._suspects.record_failure(address, now)
            raise
        self._suspects.record_success(address)
        verified = Token(b"", token.algorithm, token.kid, token.claims, token.expires_at, token.not_before)
        if self.settings.cache_size:
            self._verified[digest] = _VerifiedToken(key.thumbprint, verified)
            while len(self._verified) > self.settings.cache_size:
                self._verified.popitem(last=False)
        return verified

    @staticmethod
    def _admit_token(token: Token, settings: IdentitySettings) -> Admitted:
        if is_denied(settings, token.claims):
            raise CredentialError(RejectionReason.DENIED)
        caller = caller_of_claims(settings, token.claims)
        if caller is None:
            raise CredentialError(RejectionReason.NO_CALLER)
        return Admitted(caller, token.kid, token.expires_at + settings.clock_skew_s, token)

    @staticmethod
    def _admit_certificate(certificate: Certificate, now: float, settings: IdentitySettings) -> Admitted:
        skew = settings.clock_skew_s
        fingerprint = certificate.fingerprint
        denied = settings.denied_fingerprints
        if fingerprint in denied or fingerprint in settings.distributed_denials.fingerprints:
            raise CredentialError(RejectionReason.DENIED)
        if now >= certificate.expires_at + skew:
            raise CredentialError(RejectionReason.EXPIRED)
        if now < certificate.not_before - skew:
            raise CredentialError(RejectionReason.NOT_YET_VALID)
        caller = caller_of_names(settings, certificate.names)
        if caller is None:
            raise CredentialError(RejectionReason.NO_CALLER)
        return Admitted(caller, expires_at=certificate.expires_at + skew, certificate=certificate)

    def _count_rejection(self, error: CredentialError) -> Rejected:
        self._count_verdict(f"rejected {error.reason.value}")
        return Rejected(error.reason, str(error))

    def _count_verdict(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
