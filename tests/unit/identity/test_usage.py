"""Tests of the connection limits of callers."""

from __future__ import annotations

from ironmill.identity.rate_limiter import RateLimiter
from ironmill.identity.usage import CallerUsage
from tests.support.identity import (
    rule,
)


def test_usage_is_limited_by_rights_of_caller() -> None:
    usage, now = CallerUsage(), 100.0
    limited = rule("few", max_connections=2).caller
    assert [usage.open_connection(limited, now) for _ in range(3)] == [None, None, 1.0]
    usage.close_connection(limited)
    assert usage.open_connection(limited, now) is None
    rate_limited = rule("slow", max_openings_per_s=2.0).caller
    retry_delays = [usage.open_connection(rate_limited, now) for _ in range(4)]
    assert (retry_delays[:2], retry_delays[2:]) == ([None, None], [0.5, 0.5])
    assert usage.open_connection(rate_limited, now + 0.5) is None
    assert usage.connections("slow") == 3
    for _ in range(2):
        usage.close_connection(limited)
    assert usage.connections("few") == 0
    limiter = RateLimiter(1.0, 1.0, 5.0)
    assert limiter.acquire(5.0)
    assert not limiter.acquire(4.0)  # a clock that is stepped back adds no tokens
