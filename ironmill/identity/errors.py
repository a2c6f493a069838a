"""Exceptions for credentials and the key ring."""

from __future__ import annotations

from enum import Enum

from ironmill.errors import IronmillError


class RejectionReason(Enum):
    """The reason why a credential was rejected. It is logged and counted, but not sent to the client."""

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
    """Raised for a credential that is rejected."""

    def __init__(self, reason: RejectionReason, detail: str = "") -> None:
        """Creates an error. ``detail`` describes what is malformed."""
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason


class KeyRingError(IronmillError):
    """Raised for an invalid key ring, none of whose keys is used, or a change that would make it invalid."""
