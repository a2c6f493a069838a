"""What a certificate says of whom it is for. Its chain is TLS's business, and is found good before."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from ironmill.identity.tokens import Refusal, TokenError

NAMES_MOST = 64  # of one certificate


@dataclass(frozen=True, slots=True)
class Certificate:
    """A certificate whose chain was found good."""

    fingerprint: str  # SHA-256 of its DER form, hexadecimal, lower case
    names: tuple[str, ...]  # its subject alternative names, as dns:NAME, uri:URI and email:ADDRESS
    not_before: float  # Unix time
    expires: float


def read_certificate(der: bytes) -> Certificate:
    """The certificate's facts; TokenError if it is not in form or names nobody."""
    from cryptography import x509  # here, for a proxy that knows no callers does not import it

    try:
        found = x509.load_der_x509_certificate(der)
        extension = found.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        kinds = ((x509.DNSName, "dns"), (x509.UniformResourceIdentifier, "uri"), (x509.RFC822Name, "email"))
        names = tuple(
            f"{kind}:{name}" for of, kind in kinds for name in extension.value.get_values_for_type(of)
        )
        times = found.not_valid_before_utc.timestamp(), found.not_valid_after_utc.timestamp()
    except (ValueError, x509.ExtensionNotFound, x509.DuplicateExtension):
        raise TokenError(Refusal.MALFORMED, "a certificate without subject alternative names") from None
    if len(names) > NAMES_MOST:
        raise TokenError(Refusal.MALFORMED, "a certificate with too many names")
    return Certificate(hashlib.sha256(der).hexdigest(), names, *times)
