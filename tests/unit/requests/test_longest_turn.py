"""What one turn of the scheduler does with most servers, in calls, as time depends on the machine."""

from __future__ import annotations

import sys
from collections.abc import Callable

from ironmill.balancing.interface import Stage
from ironmill.protocol.discovery import EndpointUpdate
from ironmill.protocol.request import RequestAttributes
from ironmill.requests.client_request import IncomingRequest
from ironmill.requests.gateway import Gateway
from tests.support.requests import FakeTimers, RecordingHandler, config, listed

SERVERS = 3200
CALLS_PER_S = 100_000  # of a core that is ten times slower than usual
MAX_CALLS_PER_TURN = 20 * CALLS_PER_S  # STANDING: a thread that neither waits nor ends for 20 s is a crash


def calls_of(turn: Callable[[], object]) -> int:
    """Returns how many functions a turn calls, of Python and of C."""
    calls = 0

    def count(_frame: object, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        turn()
    finally:
        sys.setprofile(None)
    return calls


def test_no_turn_of_the_largest_fleet_is_taken_for_a_crash(timers: FakeTimers) -> None:
    """Lists that name all servers, a change of all of them, and the placement of a group."""
    ready = tuple(listed(f"s-{at}") for at in range(SERVERS))
    draining = tuple(listed(f"s-{at}", Stage.DRAINING) for at in range(SERVERS // 2))
    gateway = Gateway(config(EndpointUpdate(1, True, ())), timers)
    incoming = IncomingRequest("read", gateway.now(), 5.0, RequestAttributes(key=1, group=1))
    turns = {
        "first list": lambda: gateway.on_endpoints(EndpointUpdate(2, True, ready)),
        "placement": lambda: gateway.open_request(RecordingHandler(), incoming),
        "half of them drain": lambda: gateway.on_endpoints(EndpointUpdate(3, False, draining)),
        "timers": lambda: timers.run(1.0),
        "same list again": lambda: gateway.on_endpoints(EndpointUpdate(4, True, ready)),
        "another placement": lambda: gateway.open_request(RecordingHandler(), incoming),
    }
    calls = {name: calls_of(turn) for name, turn in turns.items()}
    assert max(calls.values()) <= MAX_CALLS_PER_TURN, calls
    assert calls["first list"] > SERVERS, calls  # they are counted
