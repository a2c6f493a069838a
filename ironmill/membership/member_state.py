"""The state that the components of one member share."""

from __future__ import annotations

import math
import random

from msgspec import Struct

from ironmill.membership.config import MemberConfig
from ironmill.membership.contact_tokens import ContactTokens
from ironmill.membership.events import EventListener
from ironmill.membership.identity import Address
from ironmill.membership.messages import MemberRecord
from ironmill.membership.replay_window import ReplayWindow
from ironmill.membership.view import View

NEVER = -math.inf  # the time of an event that has not happened
_TOKEN_SECRET_BYTES = 16


class Peer(Struct):
    """What a member stores about another member besides its record. Times are on the clock of ``now``."""

    incarnation: int = 0
    replay_window: ReplayWindow | None = None
    address: Address | None = None  # the source of its last datagram that proved two-way contact
    token: int = 0  # the token from its last ack, which datagrams to it echo
    last_alive_at: float = NEVER  # the last ack to a ping of this member, direct or relayed
    last_ack_at: float = NEVER  # the last direct ack to a ping of this member
    last_contact_at: float = NEVER  # the last proof of two-way contact, by an ack or an echoed token
    next_ping_at: float = 0.0
    indirect_ping_at: float = NEVER
    observed_since: float = NEVER
    opinion_sent_at: float = NEVER
    quorum_since: float = NEVER  # since when a quorum has supported a change
    changed_at: float = 0.0  # when its record last changed
    differs_since: float = math.inf  # since when its view has differed; infinite while it is the same


class MemberState:
    """The state that the components of one member share. ``Member`` sets ``now`` before calling any."""

    __slots__ = (
        "identity",
        "is_superseded",
        "now",
        "on_event",
        "peer_addresses",
        "peers",
        "rng",
        "timing",
        "tokens",
        "view",
    )

    def __init__(
        self, config: MemberConfig, rng: random.Random, now: float, on_event: EventListener, view: View
    ) -> None:
        """Creates the state without peers; draws the secret of the contact tokens from ``rng``."""
        self.identity = config.identity
        self.timing = config.timing
        self.peer_addresses = config.peer_addresses
        self.rng = rng
        self.now = now
        self.on_event = on_event
        self.view = view
        self.peers: dict[str, Peer] = {}
        self.tokens = ContactTokens(rng.randbytes(_TOKEN_SECRET_BYTES))
        self.is_superseded = False

    @property
    def name(self) -> str:
        """The name of this member."""
        return self.identity.name

    @property
    def record(self) -> MemberRecord:
        """The record of this member."""
        return self.view.records[self.identity.name]

    @property
    def is_joined(self) -> bool:
        """Whether this member is in its own view."""
        return self.record.is_present

    def peer(self, name: str) -> Peer:
        """Returns the stored data about a member, which it creates on the first call."""
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = Peer()
        return peer

    def address_of(self, name: str, reported: MemberRecord | None = None) -> Address:
        """Returns the address of a member; ``reported`` takes precedence over its record in the view."""
        address = self.peer_addresses.get(name)
        if address is not None:
            return address
        record = reported or self.view.records.get(name)
        if record is not None:
            return record.identity.address
        peer = self.peers.get(name)
        assert peer is not None and peer.address is not None, name
        return peer.address
