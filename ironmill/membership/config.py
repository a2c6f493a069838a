"""The configuration of one member."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from ironmill.membership.identity import Address, MemberIdentity
from ironmill.membership.timing import Timing


class MemberConfig(Struct, frozen=True):
    """The identity of a member, the addresses through which it joins, and its timeouts."""

    identity: MemberIdentity
    timing: Timing
    seeds: Sequence[Address]  # the addresses that the member pings to join
    # Addresses by member name, for members that are not reachable at the address that they announce.
    peer_addresses: Mapping[str, Address] = field(default_factory=dict)
