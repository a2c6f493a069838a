"""The operators' settings as immutable values. Paths are absolute or relative to the working directory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironmill.identity.rules import IdentitySettings
from ironmill.runtime.logs import LogSettings

if TYPE_CHECKING:  # not imported without membership
    from ironmill.membership.timing import Timing


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Settings of the TLS listener for clients. Files are named by their paths."""

    listen: tuple[str, int]
    certificate: str
    key: str
    clients: str = "none"  # client certificates: none, optional or required
    authorities: str = ""  # CA certificates that sign the client certificates; empty: no file
    crl: str = ""  # empty: no file
    minimum: str = "1.2"  # lowest TLS version


@dataclass(frozen=True, slots=True)
class UpstreamTls:
    """Settings of TLS to servers. Files are named by their paths."""

    authorities: str  # CA certificates that sign the server certificates
    name: str = ""  # expected in server certificates; empty: the address in the endpoint list
    certificate: str = ""  # the proxy's client certificate; empty: none
    key: str = ""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of fleet membership. ``keys`` is the path of a key file."""

    cluster: str
    listen: tuple[str, int]
    keys: str
    zone: str
    region: str
    seeds: tuple[tuple[str, int], ...]
    peers: tuple[tuple[str, tuple[str, int]], ...]  # names with addresses that replace the announced ones
    timing: Timing


@dataclass(frozen=True, slots=True)
class ControlMachine:
    """Name and location of a control machine, and the address at which this process reaches it."""

    name: str
    address: tuple[str, int]
    zone: str = "none"
    region: str = "none"
    origin: bool = False


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Settings of configuration distribution. Times are in seconds. ``keys`` is the path of a key file."""

    cluster: str
    listen: tuple[str, int]  # UDP
    keys: str
    controls: tuple[ControlMachine, ...]
    zone: str = "none"
    region: str = "none"
    role: str = "subscriber"  # subscriber for a proxy; relay or origin for a control machine
    store: str = ""  # path of the revision store; only with role origin
    catch_up_rate: float = 128 * 1024.0  # bytes per second
    stale_after: float = 4.0
    forget_after: float = 3600.0


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The settings of one file."""

    path: str
    log: LogSettings | None = None
    identity: IdentitySettings | None = None
    tls: TlsSettings | None = None
    upstream_tls: UpstreamTls | None = None
    membership: MembershipSettings | None = None
    distribution: DistributionSettings | None = None
