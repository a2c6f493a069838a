"""What staff may ask of a proxy at its second address, as a table of calls. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.routes import Routes
from ironmill.requests.metrics import Figures
from ironmill.runtime.lifecycle import TERMINAL_STATES, Lifecycle, LifecycleEvent


class Served(Protocol):
    """What the figures are taken from."""

    lifecycle: Lifecycle
    figures: Figures

    def known_servers(self) -> int:
        """How many servers are in the list."""

    def skipped_servers(self) -> int:
        """How many of those get nothing new now."""


class ProxyApi(Routes):
    """Answers the calls that each proxy takes."""

    def __init__(self, served: Served) -> None:
        super().__init__()
        self._served = served
        self._lifecycle = served.lifecycle
        self.more_of_health: Callable[[], dict[str, Any]] | None = None  # of what is on by setting
        self.add("/admin/health", {"GET": self._health})
        self.add("/admin/stats", {"GET": self._stats})
        self.add("/admin/quiesce", {"POST": self._quiesce})
        self.add("/admin/resume", {"POST": self._resume})

    def _health(self, _: ApiRequest) -> ApiResponse:
        ready = self._lifecycle.policy.ready
        more = {} if self.more_of_health is None else self.more_of_health()
        return self._told(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, **more)

    def _stats(self, _: ApiRequest) -> ApiResponse:
        figures = self._served.figures
        return self._told(
            HTTPStatus.OK,
            **figures.by_outcome(),
            upstream_tries=figures.upstream_tries,
            in_progress=figures.in_progress,
            known_servers=self._served.known_servers(),
            skipped_servers=self._served.skipped_servers(),
        )

    def _quiesce(self, _: ApiRequest) -> ApiResponse:
        self._lifecycle.handle(LifecycleEvent.DRAIN_REQUESTED)
        return self._told(HTTPStatus.OK)  # also where it ends: its clients are being sent away

    def _resume(self, _: ApiRequest) -> ApiResponse:
        self._lifecycle.handle(LifecycleEvent.RESUME_REQUESTED)
        return self._told(HTTPStatus.CONFLICT if self._lifecycle.state in TERMINAL_STATES else HTTPStatus.OK)

    def _told(self, status: HTTPStatus, **more: Any) -> ApiResponse:
        return ApiResponse(
            status, msgspec.json.encode({"state": self._lifecycle.state.value, **more}) + b"\n"
        )
