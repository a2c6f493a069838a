"""The admin API of a proxy: health, metrics, drain and resume. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from msgspec import UNSET, Struct, UnsetType

from ironmill.administration.messages import ApiRequest, ApiResponse
from ironmill.administration.routes import Routes
from ironmill.requests.metrics import RequestMetrics
from ironmill.runtime.lifecycle import TERMINAL_STATES, Lifecycle, LifecycleEvent

if TYPE_CHECKING:  # not imported without distribution
    from ironmill.distribution.status import ConfigurationHealth


class MetricsSource(Protocol):
    """The source of the request metrics and server counts."""

    lifecycle: Lifecycle
    metrics: RequestMetrics

    def known_servers(self) -> int:
        """Returns the number of servers in the endpoint list."""

    def skipped_servers(self) -> int:
        """Returns the number of these servers that currently get no new connections."""


class StateBody(Struct, kw_only=True):
    """Response with the state of the process. ``configuration`` is set if distribution is on."""

    state: str
    configuration: ConfigurationHealth | UnsetType = UNSET


class StatsBody(Struct, kw_only=True):
    """Response of ``/admin/stats``: counters since the start, some by request class, and current gauges."""

    state: str
    taken: dict[str, int]
    passed: dict[str, int]
    dropped: dict[str, int]
    bad_gateway: dict[str, int]
    abandoned: dict[str, int]
    upstream_tries: int
    in_progress: int
    known_servers: int
    skipped_servers: int


class ProxyApi(Routes):
    """The routes that every proxy has."""

    def __init__(self, source: MetricsSource) -> None:
        """Adds the routes. ``source`` must outlive this object."""
        super().__init__()
        self._source = source
        self._lifecycle = source.lifecycle
        # None if distribution is off.
        self.configuration_health: Callable[[], ConfigurationHealth] | None = None
        self.add("/admin/health", {"GET": self._health})
        self.add("/admin/stats", {"GET": self._stats})
        self.add("/admin/quiesce", {"POST": self._drain})
        self.add("/admin/resume", {"POST": self._resume})

    def _health(self, _: ApiRequest) -> ApiResponse:
        status = HTTPStatus.OK if self._lifecycle.policy.ready else HTTPStatus.SERVICE_UNAVAILABLE
        body = self._state_body()
        if self.configuration_health is not None:
            body.configuration = self.configuration_health()
        return ApiResponse.from_json(status, body)

    def _stats(self, _: ApiRequest) -> ApiResponse:
        metrics = self._source.metrics
        outcomes = metrics.by_outcome()
        body = StatsBody(
            state=self._lifecycle.state.value,
            taken=outcomes["received"],
            passed=outcomes["established"],
            dropped=outcomes["rejected"],
            bad_gateway=outcomes["failed"],
            abandoned=outcomes["abandoned"],
            upstream_tries=metrics.attempts,
            in_progress=metrics.in_progress,
            known_servers=self._source.known_servers(),
            skipped_servers=self._source.skipped_servers(),
        )
        return ApiResponse.from_json(HTTPStatus.OK, body)

    def _drain(self, _: ApiRequest) -> ApiResponse:
        self._lifecycle.handle(LifecycleEvent.DRAIN_REQUESTED)
        # The status is also OK during a shutdown, because a shutdown migrates the clients too.
        return ApiResponse.from_json(HTTPStatus.OK, self._state_body())

    def _resume(self, _: ApiRequest) -> ApiResponse:
        self._lifecycle.handle(LifecycleEvent.RESUME_REQUESTED)
        shutting_down = self._lifecycle.state in TERMINAL_STATES
        status = HTTPStatus.CONFLICT if shutting_down else HTTPStatus.OK
        return ApiResponse.from_json(status, self._state_body())

    def _state_body(self) -> StateBody:
        return StateBody(state=self._lifecycle.state.value)
