"""Tests of the routes of a proxy's admin API."""

from __future__ import annotations

from typing import Any

import orjson

from ironmill.administration.messages import ApiRequest
from ironmill.administration.proxy_api import ProxyApi
from ironmill.requests.metrics import RequestMetrics
from ironmill.runtime.lifecycle import Lifecycle, LifecycleEvent, ProcessState


class StubMetricsSource:
    """A metrics source with fixed numbers of servers."""

    def __init__(self, state: ProcessState = ProcessState.SERVING) -> None:
        self.lifecycle = Lifecycle(state)
        self.metrics = RequestMetrics(["read"])

    def known_servers(self) -> int:
        return 4

    def skipped_servers(self) -> int:
        return 1


def test_routes_of_a_proxy() -> None:
    source = StubMetricsSource()
    api = ProxyApi(source)

    def dispatch(method: str, path: str) -> tuple[int, Any]:
        response = api.dispatch(ApiRequest(method, path))
        return int(response.status), orjson.loads(response.body) if response.body else dict(response.headers)

    assert dispatch("GET", "/admin/health") == (200, {"state": "serving"})
    assert dispatch("POST", "/admin/quiesce") == (200, {"state": "draining"})
    assert dispatch("POST", "/admin/quiesce") == (200, {"state": "draining"})
    assert dispatch("GET", "/admin/health")[0] == 503
    assert dispatch("POST", "/admin/resume") == (200, {"state": "serving"})
    assert dispatch("POST", "/admin/resume")[0] == 200
    assert dispatch("GET", "/admin/nothing")[0] == 404
    assert dispatch("GET", "/admin/quiesce") == (405, {"Allow": "POST"})
    assert dispatch("DELETE", "/admin/stats") == (405, {"Allow": "GET"})
    source.metrics.start("read").established()
    source.metrics.start("read").rejected()
    status, stats = dispatch("GET", "/admin/stats")
    assert (status, stats["passed"], stats["dropped"], stats["bad_gateway"]) == (
        200,
        {"read": 1},
        {"read": 1},
        {"read": 0},
    )
    assert (stats["in_progress"], stats["known_servers"], stats["skipped_servers"]) == (1, 4, 1)
    # The platform expects a single number here, not one for each class.
    assert stats["upstream_tries"] == 0
    source.lifecycle.handle(LifecycleEvent.SHUTDOWN_REQUESTED)
    assert dispatch("GET", "/admin/health")[0] == 503
    assert dispatch("POST", "/admin/quiesce")[0] == 200
    assert dispatch("POST", "/admin/resume")[0] == 409
