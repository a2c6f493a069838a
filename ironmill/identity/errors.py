"""Errors of credentials and of the key ring."""

from __future__ import annotations

from enum import Enum

from ironmill.errors import IronmillError


class RejectionReason(Enum):
    """Why a credential was rejected. It is logged and counted; the client does not learn it."""

    MISSING = "missing"
    MALFORMED = "malformed"
    ALGORITHM = "algorithm"
    UNKNOWN_KEY = "unknown key"
    KEY_NOT_YET_VALID = "key not yet valid"
    KEY_RETIRED = "key retired"
    SIGNATURE = "signature"
    NOT_YET_VALID = "not yet valid"
    EXPIRED = "expired"
    DENIED = "denied"
    NO_CALLER = "no caller"
    CLASS = "class not allowed"


class CredentialError(IronmillError):
    """A credential that is rejected."""

    def __init__(self, reason: RejectionReason, detail: str = "") -> None:
        """``detail`` says what is malformed."""
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason


class KeyRingError(IronmillError):
    """An invalid key ring, of which no key is used, or an operation that would make it invalid."""
