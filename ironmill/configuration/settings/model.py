"""Operators' settings as immutable values. Paths are absolute or relative to the working directory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironmill.identity.rules import IdentitySettings
from ironmill.runtime.logs import LogSettings

if TYPE_CHECKING:  # not needed without membership
    from ironmill.membership.timing import Timing


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """A TLS listener for clients."""

    listen: tuple[str, int]
    certificate: str
    key: str
    clients: str = "none"  # whether clients present a certificate: none, optional or required
    authorities: str = ""
    crl: str = ""
    minimum: str = "1.2"


@dataclass(frozen=True, slots=True)
class UpstreamTls:
    """TLS to servers."""

    authorities: str
    name: str = ""  # of their certificates; empty: the address that discovery lists
    certificate: str = ""  # of the proxy, if it presents one
    key: str = ""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Membership of the fleet. ``keys`` is the path of a key file."""

    cluster: str
    listen: tuple[str, int]
    keys: str
    zone: str
    region: str
    seeds: tuple[tuple[str, int], ...]
    peers: tuple[tuple[str, tuple[str, int]], ...]  # addresses by name that replace announced ones
    timing: Timing


@dataclass(frozen=True, slots=True)
class ControlMachine:
    """A control machine, as it is reached from this process."""

    name: str
    address: tuple[str, int]
    zone: str = "none"
    region: str = "none"
    origin: bool = False


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Distribution of configuration. Times are in seconds."""

    cluster: str
    listen: tuple[str, int]  # UDP
    keys: str
    controls: tuple[ControlMachine, ...]
    zone: str = "none"
    region: str = "none"
    role: str = "subscriber"  # a proxy; of control machines: relay or origin
    store: str = ""  # the origin's
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
    upstream: UpstreamTls | None = None
    membership: MembershipSettings | None = None
    distribution: DistributionSettings | None = None
