"""The work of a single scheduler turn with the maximum number of servers.

Work is counted in function calls, because its duration depends on the machine.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from ironmill.balancing.interface import Stage
from ironmill.protocol.discovery import EndpointUpdate
from ironmill.protocol.request import RequestAttributes
from ironmill.requests.client_request import IncomingRequest
from ironmill.requests.gateway import Gateway
from tests.support.requests import FakeTimers, RecordingHandler, config, listed

SERVER_COUNT = 3200
CALLS_PER_S = 100_000  # on a core that is ten times slower than usual
MAX_CALLS_PER_TURN = 20 * CALLS_PER_S  # a thread that neither waits nor ends for 20 s counts as crashed


def count_calls(turn: Callable[[], object]) -> int:
    """Returns how many Python and C functions a turn calls."""
    call_count = 0

    def count(_frame: object, event: str, _argument: object) -> None:
        nonlocal call_count
        call_count += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        turn()
    finally:
        sys.setprofile(None)
    return call_count


def test_no_turn_of_the_largest_fleet_is_taken_for_a_crash(timers: FakeTimers) -> None:
    """Covers full endpoint lists, a change of half of the servers, and the placement of a group."""
    ready = tuple(listed(f"s-{index}") for index in range(SERVER_COUNT))
    draining = tuple(listed(f"s-{index}", Stage.DRAINING) for index in range(SERVER_COUNT // 2))
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
    call_counts = {name: count_calls(turn) for name, turn in turns.items()}
    assert max(call_counts.values()) <= MAX_CALLS_PER_TURN, call_counts
    assert call_counts["first list"] > SERVER_COUNT, call_counts  # checks that calls are counted at all
