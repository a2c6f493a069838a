"""Reads the operators' files together: the settings, and the key and certificate files that they name."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ironmill.configuration.settings.errors import SettingsError
from ironmill.configuration.settings.model import OperatorSettings
from ironmill.identity.errors import KeyRingError
from ironmill.identity.keyring import KeyRing, parse_ring
from ironmill.protocol.json_object import MalformedError

if TYPE_CHECKING:
    import ssl

    from ironmill.configuration.tls_context import ServerTls


@dataclass(frozen=True, slots=True)
class OperatorFiles:
    """The contents of all files, read at one time. An optional field is set if the settings need it."""

    settings: OperatorSettings
    ring: KeyRing | None = None  # set with identity
    tls: ServerTls | None = None  # set with a TLS listener; the context for clients
    upstream_tls: ssl.SSLContext | None = None  # set with TLS to servers
    member_keys: tuple[bytes, ...] = ()  # set with membership
    distribution_keys: tuple[bytes, ...] = ()  # set with distribution


def read_operator_files(path: str, classes: Collection[str]) -> OperatorFiles:
    """Reads the settings and all files that they name.

    ``classes`` are the names of the request classes that the settings may refer to. Raises ``MalformedError``
    with a one-line message if a file is not valid.
    """
    settings = _read_settings(path, classes)
    identity, membership, distribution = settings.identity, settings.membership, settings.distribution
    ring = None if identity is None else read_ring(identity.key_ring_path)
    member_keys = () if membership is None else read_keys(membership.keys, "members'")
    distribution_keys = () if distribution is None else read_keys(distribution.keys, "distribution's")
    tls, upstream = _read_tls(settings)
    return OperatorFiles(settings, ring, tls, upstream, member_keys, distribution_keys)


def _read_settings(path: str, classes: Collection[str]) -> OperatorSettings:
    try:
        from ironmill.configuration.settings.load import load_settings  # imported only if used
    except ImportError as error:
        raise MalformedError(
            f"settings: {error.name} is not installed; it is part of the optional dependencies 'hosted'"
        ) from None
    try:
        return load_settings(path, classes)
    except SettingsError as error:
        raise MalformedError(str(error)) from None


def _read_tls(settings: OperatorSettings) -> tuple[ServerTls | None, ssl.SSLContext | None]:
    """Returns the context for clients and the context for servers; None without TLS."""
    if settings.tls is None and settings.upstream_tls is None:
        return None, None
    from ironmill.configuration.tls_context import server_tls, upstream_tls  # imported only if used

    tls = None if settings.tls is None else server_tls(settings.tls)
    upstream = None if settings.upstream_tls is None else upstream_tls(settings.upstream_tls)
    return tls, upstream


def read_keys(path: str, whose: str) -> tuple[bytes, ...]:
    """Reads one or two keys, one per line in hexadecimal.

    ``whose`` names their owner in errors. Raises ``MalformedError`` with a one-line message.
    """
    from ironmill.membership.envelope import check_keys
    from ironmill.membership.limits import MAX_KEY_BYTES, MIN_KEY_BYTES

    digits = f"{2 * MIN_KEY_BYTES} to {2 * MAX_KEY_BYTES}"
    expected = f"one or two lines of {digits} hexadecimal digits, the signing key first"
    try:
        return check_keys([bytes.fromhex(line) for line in Path(path).read_text("ascii").split()])
    except OSError as error:
        raise MalformedError(f"{path}: the {whose} keys cannot be read: {error.strerror}") from None
    except ValueError:
        raise MalformedError(f"{path}: the {whose} keys are not valid; expected {expected}") from None


def read_ring(path: str) -> KeyRing:
    """Reads a key ring. Raises ``MalformedError`` with a one-line message."""
    try:
        return parse_ring(Path(path).read_bytes())
    except OSError as error:
        raise MalformedError(f"{path}: the key ring cannot be read: {error.strerror}") from None
    except KeyRingError as error:
        raise MalformedError(f"{path}: the key ring is not valid: {error}") from None
