"""What an operator's settings say, as immutable values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironmill.identity.rules import IdentitySettings
from ironmill.runtime.logs import LogSettings

if TYPE_CHECKING:  # what is off is not imported
    from ironmill.membership.timing import Timing


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """A listener for clients that speak TLS. Paths are whole."""

    listen: tuple[str, int]
    certificate: str
    key: str
    clients: str = "none"  # whether they show a certificate: none, optional or required
    authorities: str = ""
    crl: str = ""
    minimum: str = "1.2"


@dataclass(frozen=True, slots=True)
class UpstreamTls:
    """TLS to servers. Paths are whole."""

    authorities: str
    name: str = ""  # that their certificates are for; empty: the address that discovery tells
    certificate: str = ""  # what the proxy shows, if anything
    key: str = ""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """What this proxy and the others tell each other, and where. Paths are whole."""

    cluster: str
    listen: tuple[str, int]
    keys: str
    zone: str
    region: str
    seeds: tuple[tuple[str, int], ...]
    peers: tuple[tuple[str, tuple[str, int]], ...]  # names, and addresses where those are not what cards say
    timing: Timing


@dataclass(frozen=True, slots=True)
class ControlMachine:
    """A control machine, as it is reached from here."""

    name: str
    address: tuple[str, int]
    zone: str = "none"
    region: str = "none"
    origin: bool = False


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Where configuration comes from, or who hands it on. Paths are whole, times in seconds."""

    cluster: str
    listen: tuple[str, int]  # UDP
    keys: str
    controls: tuple[ControlMachine, ...]
    zone: str = "none"
    region: str = "none"
    role: str = "subscriber"  # a proxy; of control machines: relay or origin
    store: str = ""  # the origin's
    catch_up_rate: float = 128 * 1024.0  # bytes a second
    stale_after: float = 4.0
    forget_after: float = 3600.0


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """One settings file, whole."""

    path: str
    log: LogSettings | None = None
    identity: IdentitySettings | None = None
    tls: TlsSettings | None = None
    upstream: UpstreamTls | None = None
    membership: MembershipSettings | None = None
    distribution: DistributionSettings | None = None


class SettingsError(Exception):
    """A settings file that is not fit for use: one line, with what is wrong and what would be right."""

    def __init__(self, path: str, line: int, what: str) -> None:
        super().__init__(f"{path}:{line}: {what}")
