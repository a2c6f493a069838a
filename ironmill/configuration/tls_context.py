"""Creates TLS contexts from the operators' settings and the files that these name."""

from __future__ import annotations

import hashlib
import ssl
import stat
from dataclasses import dataclass
from pathlib import Path

from ironmill.configuration.settings.model import TlsSettings, UpstreamTls
from ironmill.protocol.json_object import MalformedError

_MINIMUM_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


@dataclass(frozen=True, slots=True)
class ServerTls:
    """The context of the TLS listener and a digest of the settings and files that it was created from."""

    context: ssl.SSLContext
    digest: bytes


def upstream_tls(settings: UpstreamTls) -> ssl.SSLContext:
    """Returns the context for servers. Raises MalformedError with a one-line message for an unusable file."""
    _read(settings.authorities)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_authorities(context, settings.authorities)
    if settings.certificate:
        _load_certificate(context, settings.certificate, settings.key)
    return context


def server_tls(settings: TlsSettings) -> ServerTls:
    """Returns the context for clients. Raises MalformedError with a one-line message for an unusable file."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    digest = _digest(settings)
    context.minimum_version = _MINIMUM_VERSIONS[settings.minimum]
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION | ssl.OP_CIPHER_SERVER_PREFERENCE
    _load_certificate(context, settings.certificate, settings.key)
    if settings.clients != "none":
        context.verify_mode = ssl.CERT_REQUIRED if settings.clients == "required" else ssl.CERT_OPTIONAL
        for path in filter(None, (settings.authorities, settings.crl)):
            _load_authorities(context, path)
        if settings.crl:
            context.verify_flags |= ssl.VERIFY_CRL_CHECK_LEAF
    return ServerTls(context, digest)


def _digest(settings: TlsSettings) -> bytes:
    paths = [settings.certificate, settings.key, *filter(None, (settings.authorities, settings.crl))]
    digest = hashlib.sha256(repr(settings).encode())
    for path in paths:
        digest.update(_read(path))
    return digest.digest()


def _load_certificate(context: ssl.SSLContext, certificate: str, key: str) -> None:
    _read(certificate)
    _read(key)
    mode = stat.S_IMODE(Path(key).stat().st_mode)
    if mode & 0o077:  # other users may have read the key, so it must not be used
        raise MalformedError(
            f"{key}: its mode is {mode:04o}, so other users may read the key; it must be 0600"
        )
    try:
        context.load_cert_chain(certificate, key)
    except ssl.SSLError as error:
        raise MalformedError(
            f"{certificate}: is not a PEM certificate for the key in {key} ({error.reason})"
        ) from None


def _load_authorities(context: ssl.SSLContext, path: str) -> None:
    try:
        context.load_verify_locations(path)
    except ssl.SSLError as error:
        raise MalformedError(f"{path}: contains no usable PEM certificate or CRL ({error.reason})") from None


def _read(path: str) -> bytes:
    """Reads a file. Raises MalformedError that names the file, which the errors of ``ssl`` do not."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise MalformedError(f"{path}: cannot be read: {error.strerror}") from None
