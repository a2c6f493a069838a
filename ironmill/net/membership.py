"""The driver of membership, beside whatever clients do."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from http import HTTPStatus

import msgspec

from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.configuration.settings.model import MembershipSettings
from ironmill.membership.identity import Address, MemberIdentity, format_address
from ironmill.membership.member import Member
from ironmill.membership.timing import TICK
from ironmill.membership.wire import Codec
from ironmill.net.datagrams import Datagrams
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Scheduler

log = EventLog("ironmill.membership")


class Membership:
    """This process among the others."""

    def __init__(
        self, scheduler: Scheduler, name: str, settings: MembershipSettings, keys: Sequence[bytes]
    ) -> None:
        self.settings = settings
        self._datagrams = Datagrams(scheduler, settings.listen)
        self.codec = Codec(settings.cluster, keys)
        card = MemberIdentity(
            name, *settings.listen, settings.zone, settings.region, max(1, int(time.time() * 1000.0))
        )
        self.member = Member(
            card,
            self.codec,
            settings.timing,
            settings.seeds,
            random.Random(),
            time.monotonic(),
            self._told,
            dict(settings.peers),
        )

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._datagrams.address

    def start(self) -> None:
        """Take part from now on."""
        log.info("membership", address=format_address(self.address), cluster=self.settings.cluster)
        self._datagrams.start(self.member, TICK)

    def leave(self) -> None:
        """Tell the others that it goes. What still comes is read no more."""
        if self._datagrams.closed:
            return  # a second time changes nothing
        self._datagrams.send(self.member.leave(time.monotonic()))
        self._datagrams.close()

    def shown(self, _: ApiRequest) -> ApiResponse:
        """The view, as staff ask for it."""
        member = self.member
        members = [
            {
                "name": fact.card.name,
                "address": format_address(fact.card.address),
                "zone": fact.card.zone,
                "region": fact.card.region,
                "incarnation": fact.card.incarnation,
                "state": self._state(fact.card.name),
            }
            for fact in member.members()
        ]
        out = [
            {"name": fact.card.name, "state": "left" if fact.left else "out"}
            for _, fact in sorted(member.view.facts.items())
            if not fact.present
        ]
        told = {
            "name": member.card.name,
            "cluster": self.settings.cluster,
            "view": f"{member.view.digest:x}",
            "joined": member.joined,
            "cut_off": member.cut_off,
            "superseded": member.superseded,
            "members": members,
            "out": out,
            "dropped": member.dropped,
        }
        return ApiResponse(HTTPStatus.OK, msgspec.json.encode(told) + b"\n")

    def _state(self, name: str) -> str:
        if name == self.member.card.name:
            return "this one"
        return "accused" if self.member.view.accusers(name) else "in"

    def _told(self, what: str, fields: dict[str, object]) -> None:
        loud = what in ("superseded", "cut-off", "was-removed")
        (log.warning if loud else log.info)(f"member {what}", at=round(time.monotonic(), 4), **fields)
