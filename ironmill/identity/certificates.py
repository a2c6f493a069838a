"""Parses client certificates. The TLS handshake has verified their chain before."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from ironmill.identity.errors import CredentialError, RejectionReason

MAX_NAMES = 64  # subject alternative names of one certificate


@dataclass(frozen=True, slots=True)
class Certificate:
    """A certificate whose chain was verified. Times are Unix times."""

    fingerprint: str  # SHA-256 of its DER form, in lower-case hexadecimal
    names: tuple[str, ...]  # its subject alternative names, as dns:NAME, uri:URI and email:ADDRESS
    not_before: float
    expires_at: float


def parse_certificate(der: bytes) -> Certificate:
    """Parses a certificate in DER. Raises CredentialError if it is malformed or has no or too many names."""
    from cryptography import x509  # imported here because proxies without callers do not need it

    try:
        certificate = x509.load_der_x509_certificate(der)
        extension = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        kinds = ((x509.DNSName, "dns"), (x509.UniformResourceIdentifier, "uri"), (x509.RFC822Name, "email"))
        names = tuple(
            f"{prefix}:{name}" for kind, prefix in kinds for name in extension.value.get_values_for_type(kind)
        )
        not_before = certificate.not_valid_before_utc.timestamp()
        expires_at = certificate.not_valid_after_utc.timestamp()
    except (ValueError, x509.ExtensionNotFound, x509.DuplicateExtension):
        raise CredentialError(
            RejectionReason.MALFORMED, "certificate is invalid or has no subject alternative names"
        ) from None
    if len(names) > MAX_NAMES:
        raise CredentialError(RejectionReason.MALFORMED, "certificate has too many subject alternative names")
    return Certificate(hashlib.sha256(der).hexdigest(), names, not_before, expires_at)
