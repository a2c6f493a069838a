"""Sweeps of one process: placements, endpoint lists of many servers, settings of many callers.

CPU is that of the running thread. A figure is the median of several batches, each the mean of its calls, so
that other load on the machine does not count. Garbage is collected as the program does it.
"""

from __future__ import annotations

import gc
import itertools
import json
import statistics
import tempfile
import time
import tracemalloc
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from ironmill.balancing import Balancer
from ironmill.balancing.interface import Ended, Established, Outcome, Request, Send
from ironmill.configuration.operator_files import read_operator_files
from ironmill.configuration.site_settings import parse_settings
from ironmill.protocol.discovery import EndpointUpdate, parse_endpoint_update
from ironmill.protocol.json_object import JsonObject, parse_json
from ironmill.requests.routing_table import RoutingTable
from ironmill.runtime.gc_schedule import DISABLED_THRESHOLD, MIDDLE_THRESHOLD, YOUNG_THRESHOLD
from ironmill_testbed.capacity.data import Shape, Sign, Sweep
from ironmill_testbed.capacity.runs import Runs
from ironmill_testbed.credentials import Issuer
from ironmill_testbed.settings import platform_settings

ZONES = 11
BATCHES, BATCHES_QUICK = 9, 5
PLACEMENT_INTERVAL_S = 0.05  # of the virtual clock
MAX_CONNECTIONS = 500  # and a tenth of the servers; the oldest one ends with each placement
ENTRIES = (100, 300, 1000, 3000, 10_000, 30_000, 64_000)
ENTRIES_QUICK = (100, 300, 1000, 3000, 10_000)
CALLERS = (10, 30, 100, 300, 1000, 3000)
CALLERS_QUICK = (10, 30, 100, 300, 1000)


def routing_bytes(size: int, full: bool = True, first: int = 0, weight: float = 4.0) -> bytes:
    """Returns a response of discovery with this number of servers, in eleven zones."""
    targets = [
        {
            "uid": f"server-{at:06d}",
            "endpoint": f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:9000",
            "state": "up",
            "az": f"zone-{at % ZONES}",
            "pod_group": at % 40,
            "capacity_hint": weight,
            "boot_ms": 0,
        }
        for at in range(first, first + size)
    ]
    return json.dumps({"rev": 1, "all": full, "targets": targets}).encode()


def parsed(data: bytes) -> EndpointUpdate:
    """Returns the response as the program parses it."""
    return parse_endpoint_update(JsonObject(parse_json(data, "routing table:"), "", "routing table"))


@contextmanager
def collecting() -> Iterator[None]:
    """Collects garbage as a proxy does: existing objects are not examined, full collections are deferred."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, DISABLED_THRESHOLD)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()


class SimulatedDecisions:
    """The routing table and the decisions of one proxy, on a virtual clock."""

    def __init__(self, size: int, seed: int, live: bool = False) -> None:
        """``live``: the settings enable live weights."""
        self.now = 1000.0
        self.table = RoutingTable()
        settings = platform_settings() | ({"weightSource": "live"} if live else {})
        self.balancer = Balancer(parse_settings(json.dumps(settings)), seed, self.now)
        self._max_connections = min(MAX_CONNECTIONS, size // 10)
        self._serial = 0
        self._established: deque[Send] = deque()
        self.take(parsed(routing_bytes(size)))

    def take(self, routing: EndpointUpdate) -> None:
        """Applies an endpoint list."""
        self.balancer.handle(self.table.apply(routing, self.now), self.now)

    def place(self, grouped: bool) -> float:
        """Places a request and returns the seconds of CPU that the decision took.

        The connection is then established and the oldest one ends, which is not measured. ``grouped``: the
        request has a group without any connection.
        """
        self._serial += 1
        self.now += PLACEMENT_INTERVAL_S
        group = self._serial if grouped else None
        request = Request(f"r{self._serial}", "index-sync", self.now + 2.0, group=group)
        start = time.thread_time()
        actions = self.balancer.handle(request, self.now)
        took = time.thread_time() - start
        for action in actions:
            if isinstance(action, Send):
                self._established.append(action)
                established = Established(action.request_id, 0, action.server_id, 0.01)
                self.balancer.handle(established, self.now)
        if len(self._established) > self._max_connections:
            oldest = self._established.popleft()
            ended = Ended(oldest.request_id, 0, oldest.server_id, Outcome.OK, 0.01, final=True)
            self.balancer.handle(ended, self.now)
        return took


def _cost(action: Callable[[], object], calls: int, batches: int) -> float:
    """Returns the seconds of CPU per call."""
    took = []
    for _ in range(batches):
        start = time.thread_time()
        for _ in range(calls):
            action()
        took.append((time.thread_time() - start) / calls)
    return statistics.median(took)


def placement(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the seconds of CPU per placement, without groups and with them."""
    return _placement("placement", size, quick, SimulatedDecisions(size, seed))


def placement_live(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the same with live weights, and the cost of a list of one server."""
    decisions = SimulatedDecisions(size, seed, live=True)
    found = _placement("placement_live", size, quick, decisions)
    return found | {"table_change_live_cpu": _change(size, quick, decisions)}


def _placement(name: str, size: int, quick: bool, decisions: SimulatedDecisions) -> dict[str, float]:
    found = dict[str, float]()
    for _ in range(min(MAX_CONNECTIONS, size // 10) + 1):
        decisions.place(False)
    with collecting():
        for kind, grouped, work in (("_cpu", False, 2_000_000), ("_group_cpu", True, 500_000)):
            calls = max(10, min(400, (work // 4 if quick else work) // size))
            batches = BATCHES_QUICK if quick else BATCHES
            costs = [sum(decisions.place(grouped) for _ in range(calls)) / calls for _ in range(batches)]
            found[name + kind] = statistics.median(costs)
    return found


def _change(size: int, quick: bool, decisions: SimulatedDecisions) -> float:
    """Measures the seconds of CPU of a list that changes the weight of one server."""
    ones = [parsed(routing_bytes(1, False, at * size // 8, weight=4.0 - at % 2)) for at in range(8)]
    batches = BATCHES_QUICK if quick else BATCHES
    calls = max(5, min(400, (100_000 if quick else 500_000) // size))
    turn = itertools.cycle(ones)
    with collecting():
        return _cost(lambda: decisions.take(next(turn)), calls, batches)


def changes(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the seconds of CPU of a list of one server, of one of all, and of parsing the latter."""
    decisions = SimulatedDecisions(size, seed)
    data = routing_bytes(size)
    whole = parsed(data)
    batches, calls = BATCHES_QUICK if quick else BATCHES, max(1, min(200, 10_000 // size))
    found = {"table_change_cpu": _change(size, quick, decisions)}
    with collecting():
        found["table_full_cpu"] = _cost(lambda: decisions.take(whole), calls, batches)
        found["table_parse_cpu"] = _cost(lambda: parsed(data), calls, batches)
    return found


def memory(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the bytes allocated for so many servers, without the list that they came with."""
    del quick
    SimulatedDecisions(1, seed)  # allocates what is shared
    gc.collect()
    tracemalloc.start()
    decisions = SimulatedDecisions(size, seed)
    gc.collect()
    found = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(decisions.table.listed()) == size
    return {"table_memory": float(found)}


def settings_text(callers: int) -> str:
    """Returns operators' settings with this number of caller rules."""
    rules = "\n".join(
        f'<caller name="caller-{at}" tenant="tenant-{at % 100}">'
        f'<token issuer="https://issuer.example" audience="ironmill" subject="farm-{at}-*"/>'
        f'<rights classes="index-sync" connections="100" openings="10/s"/></caller>'
        for at in range(callers)
    )
    return (
        f'<ironmill xmlns="urn:ironmill:settings:1">\n<identity keys="ring.json">\n{rules}\n</identity>\n'
        "</ironmill>\n"
    )


def reload(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the seconds of CPU of reading settings with so many rules, and a key ring."""
    del seed
    with tempfile.TemporaryDirectory() as name:
        path = Issuer(Path(name)).settings
        path.write_text(settings_text(size))
        classes = ("index-sync", "archive-fetch")
        read_operator_files(str(path), classes)
        calls = max(1, 100 // size)
        batches = BATCHES_QUICK if quick else BATCHES
        with collecting():
            return {"reload_cpu": _cost(lambda: read_operator_files(str(path), classes), calls, batches)}


def _sweep(
    name: str, description: str, x: str = "entries", unit: str = "s", shape: Shape = Shape.LINE
) -> Sweep:
    return Sweep(name, description, x, unit, Sign.VIRTUAL, (), shape)


BENDS = "Beyond 10,000 entries each one costs more than the line says, most likely by the processor's caches."


RUNS = (
    Runs(
        placement,
        (
            _sweep(
                "placement_cpu",
                "CPU of Balancer.handle for a request without a group that is placed, "
                "up to 500 connections standing, 20 placements a second of the virtual clock. " + BENDS,
            ),
            _sweep(
                "placement_group_cpu",
                "The same for a request of a group of which nothing stands here.",
                shape=Shape.POWER,
            ),
        ),
        ENTRIES,
        ENTRIES_QUICK,
        repeats=3,
    ),
    Runs(
        placement_live,
        (
            _sweep("placement_live_cpu", "The same without a group, with live weights in the list. " + BENDS),
            _sweep(
                "placement_live_group_cpu",
                "The same with a group of which nothing stands here, with live weights.",
                shape=Shape.POWER,
            ),
            _sweep(
                "table_change_live_cpu",
                "CPU of RoutingTable.apply and Balancer.handle for a list that "
                "changes one entry, with live weights.",
                shape=Shape.POWER,
            ),
        ),
        ENTRIES,
        ENTRIES_QUICK,
        repeats=3,
    ),
    Runs(
        changes,
        (
            _sweep(
                "table_change_cpu",
                "CPU of RoutingTable.apply and Balancer.handle for a list that "
                "changes the weight of one entry. " + BENDS,
            ),
            _sweep(
                "table_full_cpu",
                "CPU of the same for a full list of all entries, which are known.",
                shape=Shape.POWER,
            ),
            _sweep(
                "table_parse_cpu",
                "CPU of parse_json and parse_endpoint_update for a full list's bytes.",
                shape=Shape.POWER,
            ),
        ),
        ENTRIES,
        ENTRIES_QUICK,
        repeats=3,
    ),
    Runs(
        memory,
        (
            _sweep(
                "table_memory",
                "Bytes held by RoutingTable and Balancer for all entries together, by tracemalloc.",
                unit="B",
            ),
        ),
        ENTRIES,
        ENTRIES_QUICK,
    ),
    Runs(
        reload,
        (
            _sweep(
                "reload_cpu",
                "CPU of read_operator_files, as at SIGHUP: settings of so many caller rules, the "
                "schema's check of them, and a ring of two keys.",
                "caller rules",
            ),
        ),
        CALLERS,
        CALLERS_QUICK,
        repeats=3,
    ),
)
