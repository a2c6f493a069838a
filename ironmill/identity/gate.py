"""The gate: from a credential and where it came from to a caller, or to the reason why not.

It holds a bounded cache of tokens whose signature was found good, so a crowd that comes again costs no
signatures, and a budget for those that have failed. Both only ever save work: the key's state, the token's
times and the rules are asked each time, so a rotation, a retirement or a denial holds once it was taken in.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeAlias

from ironmill.identity.certificates import Certificate, read_certificate
from ironmill.identity.keyring import KeyRing
from ironmill.identity.rules import Caller, Identity, denied, map_names, map_token
from ironmill.identity.tokens import Refusal, Token, TokenError, check_times, read, verify

# An address is suspect after so many refused signatures, more than good ones, within the span, in seconds.
SUSPECT_AFTER = 5
SUSPECT_SPAN = 10.0
ADDRESSES_MOST = 4096
BURST = 20.0  # checks that suspects may have at once
LATER = 0.5  # when one for whom the budget is spent may come again


@dataclass(frozen=True, slots=True)
class Admitted:
    """The credential is good, and this is the caller."""

    caller: Caller
    kid: str = ""  # empty for a stranger
    expires: float | None = None  # Unix time with the skew added; None for a stranger
    token: Token | None = None  # what was believed; its raw bytes are dropped
    certificate: Certificate | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The credential is not good."""

    refusal: Refusal
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Postponed:
    """Not looked at: the budget for suspects is spent. Says nothing about the credential."""

    retry_after: float


Verdict: TypeAlias = Admitted | Refused | Postponed


class Bucket:
    """So many events a second in the long run, and some at once."""

    __slots__ = ("_at", "_level", "burst", "rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst = rate, burst
        self._level, self._at = burst, now

    def take(self, now: float) -> bool:
        """True if there was one left; it is gone then."""
        self._level = min(self.burst, self._level + max(0.0, now - self._at) * self.rate)
        self._at = max(now, self._at)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def wait(self) -> float:
        """Seconds until there is one again."""
        return max(0.0, 1.0 - self._level) / self.rate if self.rate > 0.0 else LATER


class Suspects:
    """Addresses from which signatures that are not good have come lately. Bounded; the oldest go first."""

    def __init__(self) -> None:
        self._failures: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __contains__(self, address: str) -> bool:
        return self._failures.get(address, (0, 0.0))[0] >= SUSPECT_AFTER

    def failed(self, address: str, now: float) -> None:
        """One more from there."""
        count, since = self._failures.pop(address, (0, now))
        self._failures[address] = (count + 1, now) if now - since < SUSPECT_SPAN else (1, now)
        while len(self._failures) > ADDRESSES_MOST:
            self._failures.popitem(last=False)

    def proved(self, address: str) -> None:
        """A signature from there was good: it makes up for one that was not.

        Guards valid callers who share an address with a forger. One that is cached proves nothing.
        """
        count, since = self._failures.get(address, (0, 0.0))
        if count > 0:
            self._failures[address] = (count - 1, since)

    def forget_old(self, now: float) -> None:
        """Those that have been quiet for the span are as any other."""
        while self._failures:
            address, (_, at) = next(iter(self._failures.items()))
            if now - at < SUSPECT_SPAN:
                break
            del self._failures[address]


class Gate:
    """Decides on credentials. ``now`` is Unix time in all of it."""

    def __init__(self, identity: Identity, ring: KeyRing, now: float) -> None:
        self.identity = identity
        self.ring = ring
        self.counts: dict[str, int] = {}
        self.verified = 0  # signatures that were computed
        self._suspects = Suspects()
        self._budget = Bucket(identity.suspect_checks, BURST, now)
        # By digest of the whole token: the key that made its signature, by its thumbprint, and what it says.
        self._cache: OrderedDict[bytes, tuple[str, Token]] = OrderedDict()

    def replace(self, identity: Identity, ring: KeyRing, now: float) -> None:
        """Others from now on. What was verified is kept: it is asked again whether it still counts."""
        if identity.suspect_checks != self.identity.suspect_checks:
            self._budget = Bucket(identity.suspect_checks, BURST, now)
        self.identity, self.ring = identity, ring

    # Where a snapshot is handed in it is what was in force when the request began; else what is in force now.

    def stranger(self, snapshot: Identity | None = None) -> Verdict:
        """Somebody who shows no credential."""
        caller = (snapshot or self.identity).stranger
        if caller is None:
            return self._refused(TokenError(Refusal.MISSING))
        self._count("stranger")
        return Admitted(caller)

    def present(self, raw: bytes, address: str, now: float, snapshot: Identity | None = None) -> Verdict:
        """Somebody at the address shows a token."""
        identity = snapshot or self.identity
        digest = hashlib.sha256(raw).digest()
        try:
            known = self._known(digest)
            if known is None:
                token = read(raw)
                self._check(token, now, identity)
                self._suspects.forget_old(now)
                # Guards valid callers against a flood of forged tokens, each of which costs a signature.
                if address in self._suspects and not self._budget.take(now):
                    self._count("postponed")
                    return Postponed(max(LATER, self._budget.wait()))
                known = self._verify(token, digest, address, now)
            else:
                self._check(known, now, identity)
            return self._admit(known, identity)
        except TokenError as error:
            return self._refused(error)

    def certificate(self, der: bytes, now: float, snapshot: Identity | None = None) -> Verdict:
        """Somebody shows a certificate whose chain is good."""
        try:
            verdict = self._admit_certificate(read_certificate(der), now, snapshot or self.identity)
        except TokenError as error:
            return self._refused(error)
        self._count("admitted")
        return verdict

    def _admit_certificate(self, certificate: Certificate, now: float, identity: Identity) -> Admitted:
        """All that is asked each time."""
        skew = identity.skew
        fingerprint = certificate.fingerprint
        if fingerprint in identity.denied_certificates or fingerprint in identity.distributed.fingerprints:
            raise TokenError(Refusal.DENIED)
        if now >= certificate.expires + skew:
            raise TokenError(Refusal.EXPIRED)
        if now < certificate.not_before - skew:
            raise TokenError(Refusal.NOT_YET)
        caller = map_names(identity, certificate.names)
        if caller is None:
            raise TokenError(Refusal.NO_CALLER)
        return Admitted(caller, expires=certificate.expires + skew, certificate=certificate)

    def still(self, admitted: Admitted, now: float, snapshot: Identity | None = None) -> Verdict:
        """Would the credential that was admitted before be admitted now?"""
        identity = snapshot or self.identity
        if admitted.certificate is None and admitted.token is None:
            return admitted if identity.stranger is not None else Refused(Refusal.MISSING)
        try:
            if admitted.certificate is not None:
                return self._admit_certificate(admitted.certificate, now, identity)
            assert admitted.token is not None
            self._check(admitted.token, now, identity)
            return self._admit(admitted.token, identity, count=False)
        except TokenError as error:
            return Refused(error.refusal)

    def __len__(self) -> int:
        """How many verified tokens are remembered."""
        return len(self._cache)

    def _known(self, digest: bytes) -> Token | None:
        entry = self._cache.get(digest)
        if entry is None:
            return None
        thumbprint, token = entry
        key = self.ring.get(token.kid)
        if key is None or key.thumbprint != thumbprint:
            del self._cache[digest]  # another key under the same name: what the old one signed is not its
            return None
        self._cache.move_to_end(digest)
        return token

    def _check(self, token: Token, now: float, identity: Identity) -> None:
        """All that is asked each time."""
        key = self.ring.get(token.kid)
        if key is None:
            raise TokenError(Refusal.UNKNOWN_KEY)
        if key.retired(now):
            raise TokenError(Refusal.KEY_RETIRED)
        if now < key.since - identity.skew:
            raise TokenError(Refusal.KEY_NOT_YET)
        check_times(token, now, identity.skew)

    def _verify(self, token: Token, digest: bytes, address: str, now: float) -> Token:
        key = self.ring.get(token.kid)
        assert key is not None
        self.verified += 1
        try:
            verify(token, key)
        except TokenError:
            self._suspects.failed(address, now)
            raise
        self._suspects.proved(address)
        kept = Token(b"", token.algorithm, token.kid, token.claims, token.expires, token.not_before)
        if self.identity.cache:
            self._cache[digest] = (key.thumbprint, kept)
            while len(self._cache) > self.identity.cache:
                self._cache.popitem(last=False)
        return kept

    def _admit(self, token: Token, identity: Identity, count: bool = True) -> Admitted:
        if denied(identity, token.claims):
            raise TokenError(Refusal.DENIED)
        caller = map_token(identity, token.claims)
        if caller is None:
            raise TokenError(Refusal.NO_CALLER)
        if count:
            self._count("admitted")
        return Admitted(caller, token.kid, token.expires + identity.skew, token)

    def refuse(self, refusal: Refusal) -> Refused:
        """A credential that is good, and yet not enough for what was asked."""
        return self._refused(TokenError(refusal))

    def _refused(self, error: TokenError) -> Refused:
        self._count(f"refused {error.refusal.value}")
        return Refused(error.refusal, str(error))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
