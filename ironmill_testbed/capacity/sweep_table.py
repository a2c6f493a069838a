"""Sweeps of work in one process: placements, routing tables of many entries, settings of many callers.

CPU is that of the calling thread. A figure is the median of several batches, each the mean of its calls, so
that other processes which are busy for a short time do not affect it. The garbage collector is configured as
in a proxy.
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
from ironmill_testbed.capacity.runs import Costs, Runs
from ironmill_testbed.credentials import Issuer
from ironmill_testbed.settings import platform_settings

ZONES = 11
BATCHES, QUICK_BATCHES = 9, 5
PLACEMENT_INTERVAL_S = 0.05  # between two placements, on the virtual clock
MAX_ESTABLISHED = 500  # connections, but at most a tenth of the number of entries
ENTRY_COUNTS = (100, 300, 1000, 3000, 10_000, 30_000, 64_000)
QUICK_ENTRY_COUNTS = (100, 300, 1000, 3000, 10_000)
CALLER_COUNTS = (10, 30, 100, 300, 1000, 3000)
QUICK_CALLER_COUNTS = (10, 30, 100, 300, 1000)


def endpoint_list(size: int, *, full: bool = True, first: int = 0, weight: float = 4.0) -> bytes:
    """Encodes a discovery response of ``size`` entries in eleven zones, numbered from ``first``."""
    targets = [
        {
            "uid": f"server-{number:06d}",
            "endpoint": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
            "state": "up",
            "az": f"zone-{number % ZONES}",
            "pod_group": number % 40,
            "capacity_hint": weight,
            "boot_ms": 0,
        }
        for number in range(first, first + size)
    ]
    return json.dumps({"rev": 1, "all": full, "targets": targets}).encode()


def parse_list(data: bytes) -> EndpointUpdate:
    """Parses a discovery response as the proxy does."""
    return parse_endpoint_update(JsonObject(parse_json(data, "routing table:"), "", "routing table"))


@contextmanager
def proxy_gc() -> Iterator[None]:
    """Configures the garbage collector as in a proxy: freezes all objects and disables full collections."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, DISABLED_THRESHOLD)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()


class SimulatedBalancer:
    """The routing table and balancer of one proxy on a virtual clock."""

    def __init__(self, size: int, seed: int, *, live_weights: bool = False) -> None:
        """Applies a list of ``size`` entries; with ``live_weights`` the balancer uses the list's weights."""
        self.now = 1000.0
        self.table = RoutingTable()
        settings = platform_settings() | ({"weightSource": "live"} if live_weights else {})
        self.balancer = Balancer(parse_settings(json.dumps(settings)), seed, self.now)
        self._max_established = min(MAX_ESTABLISHED, size // 10)
        self._request_count = 0
        self._established: deque[Send] = deque()
        self.apply(parse_list(endpoint_list(size)))

    def apply(self, update: EndpointUpdate) -> None:
        """Applies an endpoint list to the routing table and the balancer."""
        self.balancer.handle(self.table.apply(update, self.now), self.now)

    def place(self, *, new_group: bool) -> float:
        """Places and establishes one request; ends the oldest connection if there are too many.

        Returns the CPU seconds of the placement. With ``new_group`` the request is the first of a connection
        group.
        """
        self._request_count += 1
        self.now += PLACEMENT_INTERVAL_S
        group = self._request_count if new_group else None
        request = Request(f"r{self._request_count}", "index-sync", self.now + 2.0, group=group)
        start = time.thread_time()
        actions = self.balancer.handle(request, self.now)
        cpu_s = time.thread_time() - start
        for action in actions:
            if isinstance(action, Send):
                self._established.append(action)
                established = Established(action.request_id, 0, action.server_id, 0.01)
                self.balancer.handle(established, self.now)
        if len(self._established) > self._max_established:
            oldest = self._established.popleft()
            ended = Ended(oldest.request_id, 0, oldest.server_id, Outcome.OK, 0.01, final=True)
            self.balancer.handle(ended, self.now)
        return cpu_s


def _cpu_per_call(action: Callable[[], object], calls: int, batches: int) -> float:
    """Measures the CPU seconds per call, as the median of the batches."""
    batch_cpu_s = []
    for _ in range(batches):
        start = time.thread_time()
        for _ in range(calls):
            action()
        batch_cpu_s.append((time.thread_time() - start) / calls)
    return statistics.median(batch_cpu_s)


def measure_placement(size: int, quick: bool, seed: int) -> Costs:
    """Measures the CPU seconds of placing a request without a group, and the first of a group."""
    return _measure_placement("placement", size, SimulatedBalancer(size, seed), quick=quick)


def measure_live_placement(size: int, quick: bool, seed: int) -> Costs:
    """Measures the CPU seconds of a placement and of a change of one entry, with live weights."""
    balancer = SimulatedBalancer(size, seed, live_weights=True)
    costs = _measure_placement("placement_live", size, balancer, quick=quick)
    return costs | {"table_change_live_cpu": _measure_change(size, balancer, quick=quick)}


def _measure_placement(name: str, size: int, balancer: SimulatedBalancer, *, quick: bool) -> Costs:
    costs: Costs = {}
    for _ in range(min(MAX_ESTABLISHED, size // 10) + 1):
        balancer.place(new_group=False)
    with proxy_gc():
        for suffix, new_group, entries_per_batch in (
            ("_cpu", False, 2_000_000),
            ("_group_cpu", True, 500_000),
        ):
            calls = max(10, min(400, (entries_per_batch // 4 if quick else entries_per_batch) // size))
            batches = QUICK_BATCHES if quick else BATCHES
            batch_cpu_s = [
                sum(balancer.place(new_group=new_group) for _ in range(calls)) / calls for _ in range(batches)
            ]
            costs[name + suffix] = statistics.median(batch_cpu_s)
    return costs


def _measure_change(size: int, balancer: SimulatedBalancer, *, quick: bool) -> float:
    """Measures the CPU seconds of applying an endpoint list that changes the weight of one entry."""
    updates = [
        parse_list(endpoint_list(1, full=False, first=index * size // 8, weight=4.0 - index % 2))
        for index in range(8)
    ]
    batches = QUICK_BATCHES if quick else BATCHES
    calls = max(5, min(400, (100_000 if quick else 500_000) // size))
    cycle = itertools.cycle(updates)
    with proxy_gc():
        return _cpu_per_call(lambda: balancer.apply(next(cycle)), calls, batches)


def measure_lists(size: int, quick: bool, seed: int) -> Costs:
    """Measures the CPU seconds of applying a list of one entry and a full list, and of parsing the latter."""
    balancer = SimulatedBalancer(size, seed)
    data = endpoint_list(size)
    full_list = parse_list(data)
    batches = QUICK_BATCHES if quick else BATCHES
    calls = max(1, min(200, 10_000 // size))
    costs = {"table_change_cpu": _measure_change(size, balancer, quick=quick)}
    with proxy_gc():
        costs["table_full_cpu"] = _cpu_per_call(lambda: balancer.apply(full_list), calls, batches)
        costs["table_parse_cpu"] = _cpu_per_call(lambda: parse_list(data), calls, batches)
    return costs


def measure_memory(size: int, quick: bool, seed: int) -> Costs:
    """Measures the bytes that Python allocates for the entries, not counting the list that it parses."""
    del quick
    SimulatedBalancer(1, seed)  # allocates the objects that all instances share
    gc.collect()
    tracemalloc.start()
    balancer = SimulatedBalancer(size, seed)
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(balancer.table.listed()) == size
    return {"table_memory": float(allocated_bytes)}


def settings_text(caller_count: int) -> str:
    """Formats operators' settings with this many caller rules."""
    rules = "\n".join(
        f'<caller name="caller-{number}" tenant="tenant-{number % 100}">'
        f'<token issuer="https://issuer.example" audience="ironmill" subject="farm-{number}-*"/>'
        f'<rights classes="index-sync" connections="100" openings="10/s"/></caller>'
        for number in range(caller_count)
    )
    return (
        f'<ironmill xmlns="urn:ironmill:settings:1">\n<identity keys="ring.json">\n{rules}\n</identity>\n'
        "</ironmill>\n"
    )


def measure_reload(size: int, quick: bool, seed: int) -> Costs:
    """Measures the CPU seconds of reading settings of ``size`` caller rules and their key ring."""
    del seed
    with tempfile.TemporaryDirectory() as directory:
        path = Issuer(Path(directory)).settings
        path.write_text(settings_text(size))
        classes = ("index-sync", "archive-fetch")
        read_operator_files(str(path), classes)
        calls = max(1, 100 // size)
        batches = QUICK_BATCHES if quick else BATCHES
        with proxy_gc():
            cpu_s = _cpu_per_call(lambda: read_operator_files(str(path), classes), calls, batches)
        return {"reload_cpu": cpu_s}


def _sweep(
    name: str, description: str, x: str = "entries", unit: str = "s", shape: Shape = Shape.LINE
) -> Sweep:
    return Sweep(name, description, x, unit, Sign.VIRTUAL, (), shape)


_ABOVE_LINE = (
    "Beyond 10,000 entries each one costs more than by the line, most likely by the processor's caches."
)


RUNS = (
    Runs(
        measure_placement,
        (
            _sweep(
                "placement_cpu",
                "CPU of Balancer.handle for a request without a group that is placed, "
                "up to 500 connections established, 20 placements a second of the virtual clock. "
                + _ABOVE_LINE,
            ),
            _sweep(
                "placement_group_cpu",
                "The same for a request of a group that has no connection here.",
                shape=Shape.POWER,
            ),
        ),
        ENTRY_COUNTS,
        QUICK_ENTRY_COUNTS,
        repeats=3,
    ),
    Runs(
        measure_live_placement,
        (
            _sweep(
                "placement_live_cpu",
                "The same without a group, with live weights in the list. " + _ABOVE_LINE,
            ),
            _sweep(
                "placement_live_group_cpu",
                "The same with a group that has no connection here, with live weights.",
                shape=Shape.POWER,
            ),
            _sweep(
                "table_change_live_cpu",
                "CPU of RoutingTable.apply and Balancer.handle for a list that "
                "changes one entry, with live weights.",
                shape=Shape.POWER,
            ),
        ),
        ENTRY_COUNTS,
        QUICK_ENTRY_COUNTS,
        repeats=3,
    ),
    Runs(
        measure_lists,
        (
            _sweep(
                "table_change_cpu",
                "CPU of RoutingTable.apply and Balancer.handle for a list that "
                "changes the weight of one entry. " + _ABOVE_LINE,
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
        ENTRY_COUNTS,
        QUICK_ENTRY_COUNTS,
        repeats=3,
    ),
    Runs(
        measure_memory,
        (
            _sweep(
                "table_memory",
                "Bytes allocated by RoutingTable and Balancer for all entries together, by tracemalloc.",
                unit="B",
            ),
        ),
        ENTRY_COUNTS,
        QUICK_ENTRY_COUNTS,
    ),
    Runs(
        measure_reload,
        (
            _sweep(
                "reload_cpu",
                "CPU of read_operator_files, as at SIGHUP: settings of so many caller rules, the "
                "schema's check of them, and a ring of two keys.",
                "caller rules",
            ),
        ),
        CALLER_COUNTS,
        QUICK_CALLER_COUNTS,
        repeats=3,
    ),
)
