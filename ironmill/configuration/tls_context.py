"""The TLS contexts that settings ask for, made from the files that they name."""

from __future__ import annotations

import hashlib
import ssl
import stat
from dataclasses import dataclass
from pathlib import Path

from ironmill.configuration.settings.model import TlsSettings, UpstreamTls
from ironmill.protocol.json_object import MalformedError

_MINIMUM = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


@dataclass(frozen=True, slots=True)
class ServerTls:
    """A context for clients, and a digest of all it was made from."""

    context: ssl.SSLContext
    digest: bytes


def upstream_tls(settings: UpstreamTls) -> ssl.SSLContext:
    """The context to servers; MalformedError, one line, where a file will not do."""
    _bytes(settings.authorities)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _trust(context, settings.authorities)
    if settings.certificate:
        _show(context, settings.certificate, settings.key)
    return context


def server_tls(settings: TlsSettings) -> ServerTls:
    """The context for clients; MalformedError, one line, where a file will not do."""
    files = [settings.certificate, settings.key, *filter(None, (settings.authorities, settings.crl))]
    digest = hashlib.sha256(repr(settings).encode())
    for path in files:
        digest.update(_bytes(path))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = _MINIMUM[settings.minimum]
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION | ssl.OP_CIPHER_SERVER_PREFERENCE
    _show(context, settings.certificate, settings.key)
    if settings.clients != "none":
        context.verify_mode = ssl.CERT_REQUIRED if settings.clients == "required" else ssl.CERT_OPTIONAL
        for path in filter(None, (settings.authorities, settings.crl)):
            _trust(context, path)
        if settings.crl:
            context.verify_flags |= ssl.VERIFY_CRL_CHECK_LEAF
    return ServerTls(context, digest.digest())


def _show(context: ssl.SSLContext, certificate: str, key: str) -> None:
    _bytes(certificate)
    _bytes(key)
    mode = stat.S_IMODE(Path(key).stat().st_mode)
    if mode & 0o077:  # guards a secret that others could have read
        raise MalformedError(f"{key}: its mode is {mode:04o}, so others may read the key; it must be 0600")
    try:
        context.load_cert_chain(certificate, key)
    except ssl.SSLError as error:
        raise MalformedError(
            f"{certificate}: is no certificate in PEM for the key in {key} ({error.reason})"
        ) from None


def _trust(context: ssl.SSLContext, path: str) -> None:
    try:
        context.load_verify_locations(path)
    except ssl.SSLError as error:
        raise MalformedError(f"{path}: holds nothing in PEM of use ({error.reason})") from None


def _bytes(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise MalformedError(f"{path}: cannot be read: {error.strerror}") from None
