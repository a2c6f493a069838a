"""Runs the membership protocol of this process on a UDP socket of the scheduler."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import msgspec

from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.configuration.settings.model import MembershipSettings
from ironmill.membership import events
from ironmill.membership.codec import Codec
from ironmill.membership.config import MemberConfig
from ironmill.membership.identity import Address, MemberIdentity, format_address
from ironmill.membership.member import Member
from ironmill.membership.messages import MemberRecord
from ironmill.membership.timing import TICK_INTERVAL_S
from ironmill.net.datagrams import Datagrams
from ironmill.runtime.logs import EventLog
from ironmill.runtime.scheduler import Scheduler

log = EventLog("ironmill.membership")

EVENT_NAMES: dict[type[events.Event], str] = {
    events.MemberJoined: "joined",
    events.MemberLeft: "left",
    events.MemberRemoved: "removed",
    events.MemberForgotten: "forgotten",
    events.OpinionChanged: "opinion",
    events.IsolationStarted: "isolated",
    events.IsolationEnded: "in-contact",
    events.PauseDetected: "paused",
    events.RemovedByOthers: "removed-by-others",
    events.Superseded: "superseded",
}
_WARNINGS = (events.Superseded, events.IsolationStarted, events.RemovedByOthers)


class Membership:
    """This process as a member of its cluster."""

    def __init__(
        self, scheduler: Scheduler, name: str, settings: MembershipSettings, keys: Sequence[bytes]
    ) -> None:
        """Binds the socket. Raises ``OSError`` if that fails."""
        self.settings = settings
        self._datagrams = Datagrams(scheduler, settings.listen)
        self.codec = Codec(settings.cluster, keys)
        incarnation = max(1, int(time.time() * 1000.0))
        identity = MemberIdentity(name, *settings.listen, settings.zone, settings.region, incarnation)
        config = MemberConfig(identity, settings.timing, settings.seeds, dict(settings.peers))
        self.member = Member(config, self.codec, random.Random(), time.monotonic(), _log_event)

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        return self._datagrams.address

    def start(self) -> None:
        """Starts to exchange datagrams with the cluster."""
        log.info("membership", address=format_address(self.address), cluster=self.settings.cluster)
        self._datagrams.start(self.member, TICK_INTERVAL_S)

    def leave(self) -> None:
        """Announces a graceful shutdown and closes the socket. Further calls do nothing."""
        if self._datagrams.closed:
            return
        self._datagrams.send(self.member.leave(time.monotonic()))
        self._datagrams.close()

    def answer_members_request(self, _: ApiRequest) -> ApiResponse:
        """Answers ``GET /admin/members`` with the current view of the cluster."""
        member = self.member
        removed = [record for _, record in sorted(member.view.records.items()) if not record.is_present]
        body = {
            "name": member.identity.name,
            "cluster": self.settings.cluster,
            "view": f"{member.view.digest:x}",
            "joined": member.is_joined,
            "cut_off": member.is_isolated,
            "superseded": member.is_superseded,
            "members": [self._describe(record) for record in member.members()],
            "out": [
                {"name": record.identity.name, "state": "left" if record.left else "out"}
                for record in removed
            ],
            "differs": {name: round(since_s, 1) for name, since_s in member.lasting_differences().items()},
            "dropped": member.dropped,
        }
        return ApiResponse(HTTPStatus.OK, msgspec.json.encode(body) + b"\n")

    def _describe(self, record: MemberRecord) -> dict[str, Any]:
        identity = record.identity
        return {
            "name": identity.name,
            "address": format_address(identity.address),
            "zone": identity.zone,
            "region": identity.region,
            "incarnation": identity.incarnation,
            "state": self._state(identity.name),
        }

    def _state(self, name: str) -> str:
        if name == self.member.identity.name:
            return "this one"
        return "accused" if self.member.view.suspecting_observers(name) else "in"


def _log_event(event: events.Event) -> None:
    write = log.warning if isinstance(event, _WARNINGS) else log.info
    write(f"member {EVENT_NAMES[type(event)]}", at=round(time.monotonic(), 4), **msgspec.to_builtins(event))
