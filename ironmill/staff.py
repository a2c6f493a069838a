"""What staff may ask of the process at its second address, as a table of calls. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from ironmill.figures import Figures
from ironmill.lifecycle import LAST, Event, Lifecycle
from ironmill.protocol.call import Answer, Call


class Served(Protocol):
    """What the figures are taken from."""

    lifecycle: Lifecycle
    figures: Figures

    def known_servers(self) -> int:
        """How many servers are in the list."""

    def skipped_servers(self) -> int:
        """How many of those get nothing new now."""


class Staff:
    """Answers staff's calls."""

    def __init__(self, served: Served) -> None:
        self._served = served
        self._lifecycle = served.lifecycle
        # By path and method; another front for staff asks the same table.
        self.routes: dict[str, dict[str, Callable[[], Answer]]] = {
            "/admin/health": {"GET": self._health},
            "/admin/stats": {"GET": self._stats},
            "/admin/quiesce": {"POST": self._quiesce},
            "/admin/resume": {"POST": self._resume},
        }

    def answer(self, call: Call) -> Answer:
        """Carry out the call. 404 for a path that is not there, 405 for another method."""
        methods = self.routes.get(call.path)
        if methods is None:
            return Answer(HTTPStatus.NOT_FOUND)
        action = methods.get(call.method)
        if action is None:
            return Answer(HTTPStatus.METHOD_NOT_ALLOWED, headers={"Allow": ", ".join(methods)})
        return action()

    def _health(self) -> Answer:
        ready = self._lifecycle.policy.ready
        return self._told(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def _stats(self) -> Answer:
        figures = self._served.figures
        return self._told(
            HTTPStatus.OK, **figures.by_outcome(), upstream_tries=figures.upstream_tries,
            in_progress=figures.in_progress,
            known_servers=self._served.known_servers(), skipped_servers=self._served.skipped_servers(),
        )

    def _quiesce(self) -> Answer:
        self._lifecycle.tell(Event.QUIESCE)
        return self._told(HTTPStatus.OK)  # also where it ends: its clients are being sent away

    def _resume(self) -> Answer:
        self._lifecycle.tell(Event.RESUME)
        return self._told(HTTPStatus.CONFLICT if self._lifecycle.state in LAST else HTTPStatus.OK)

    def _told(self, status: HTTPStatus, **more: Any) -> Answer:
        return Answer(status, msgspec.json.encode({"state": self._lifecycle.state.value, **more}) + b"\n")
