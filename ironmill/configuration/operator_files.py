"""What the operators' files say, read together: the settings and the key ring that they name."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ironmill.configuration.settings.model import OperatorSettings, SettingsError
from ironmill.identity.keyring import KeyRing, RingError, parse_ring
from ironmill.identity.rules import Identity
from ironmill.protocol.json_object import MalformedError

if TYPE_CHECKING:
    import ssl

    from ironmill.configuration.tls_context import ServerTls


@dataclass(frozen=True, slots=True)
class OperatorFiles:
    """One reading of all files, which belongs together."""

    settings: OperatorSettings
    ring: KeyRing | None = None  # there if the settings hold an identity
    tls: ServerTls | None = None  # there if the settings hold a listener for TLS
    upstream: ssl.SSLContext | None = None  # there if the settings ask for TLS to servers
    member_keys: tuple[bytes, ...] = ()  # there if the settings hold a membership
    distribution_keys: tuple[bytes, ...] = ()  # there if the settings hold a distribution


def read_operator_files(path: str, classes: Collection[str]) -> OperatorFiles:
    """The settings file and what it names; MalformedError, one line, if any of it is not fit for use."""
    try:
        from ironmill.configuration.settings.load import (
            load_settings,  # here, for what is off is not imported
        )
    except ImportError as error:
        raise MalformedError(
            f"settings: {error.name} is not installed; the package group 'hosted' brings it"
        ) from None
    try:
        settings = load_settings(path, classes)
    except SettingsError as error:
        raise MalformedError(str(error)) from None
    identity: Identity | None = settings.identity
    ring = None if identity is None else read_ring(identity.keys)
    member_keys = () if settings.membership is None else read_keys(settings.membership.keys, "members'")
    distribution = settings.distribution
    distribution_keys = () if distribution is None else read_keys(distribution.keys, "distribution's")
    if settings.tls is None and settings.upstream is None:
        return OperatorFiles(settings, ring, member_keys=member_keys, distribution_keys=distribution_keys)
    from ironmill.configuration.tls_context import server_tls, upstream_tls

    return OperatorFiles(
        settings,
        ring,
        None if settings.tls is None else server_tls(settings.tls),
        None if settings.upstream is None else upstream_tls(settings.upstream),
        member_keys,
        distribution_keys,
    )


def read_keys(path: str, whose: str) -> tuple[bytes, ...]:
    """One or two keys, a line each in hexadecimal; MalformedError, one line, if they are not fit for use."""
    from ironmill.membership.envelope import check_keys
    from ironmill.membership.limits import MAX_KEY_BYTES, MIN_KEY_BYTES

    digits = f"{2 * MIN_KEY_BYTES} to {2 * MAX_KEY_BYTES}"
    right = f"one or two lines of {digits} hexadecimal digits, the signing one first"
    try:
        return check_keys([bytes.fromhex(line) for line in Path(path).read_text("ascii").split()])
    except OSError as error:
        raise MalformedError(f"{path}: the {whose} keys cannot be read: {error.strerror}") from None
    except ValueError:
        raise MalformedError(f"{path}: the {whose} keys are not {right}") from None


def read_ring(path: str) -> KeyRing:
    """The key ring in the file; MalformedError, one line, if it is not fit for use."""
    try:
        return parse_ring(Path(path).read_bytes())
    except OSError as error:
        raise MalformedError(f"{path}: the key ring cannot be read: {error.strerror}") from None
    except RingError as error:
        raise MalformedError(f"{path}: the key ring is not fit for use: {error}") from None
