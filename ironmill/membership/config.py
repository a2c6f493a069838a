"""The configuration of one member."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from ironmill.membership.identity import Address, MemberIdentity
from ironmill.membership.timing import Timing


class MemberConfig(Struct, frozen=True):
    """Who a member is, how it finds others and how fast it acts."""

    identity: MemberIdentity
    timing: Timing
    seeds: Sequence[Address]  # through which it joins
    # By name, for members that are not reachable at the address that they announce.
    peer_addresses: Mapping[str, Address] = field(default_factory=dict)
