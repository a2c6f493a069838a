"""Identities and addresses of the processes in a cluster, shared by membership and distribution."""

from __future__ import annotations

from msgspec import Struct

Address = tuple[str, int]  # host and port
Datagram = tuple[Address, bytes]  # the destination and the payload


def format_address(address: Address) -> str:
    """Returns an address as ``HOST:PORT``."""
    return f"{address[0]}:{address[1]}"


class MemberIdentity(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The identity that a process announces. A restart keeps the name and increases the incarnation."""

    name: str
    host: str
    port: int
    zone: str
    region: str
    incarnation: int  # initially the Unix time of the start in milliseconds

    @property
    def address(self) -> Address:
        """The address at which the process receives datagrams."""
        return self.host, self.port
