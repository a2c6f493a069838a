"""Sweeps of what one process does: placements, routing tables of many entries, settings of many callers.

CPU is that of the running thread. A figure is the median of several batches, each the mean of its calls, so
that a neighbour on the machine who takes the caches away for a moment does not count. Garbage is collected
as the program does it.
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
STEP = 0.05  # seconds of the virtual clock between two placements
STANDING = 500  # connections at the most, and a tenth of the entries; the oldest ends with each placement
ENTRIES = (100, 300, 1000, 3000, 10_000, 30_000, 64_000)
ENTRIES_QUICK = (100, 300, 1000, 3000, 10_000)
CALLERS = (10, 30, 100, 300, 1000, 3000)
CALLERS_QUICK = (10, 30, 100, 300, 1000)


def routing_bytes(size: int, full: bool = True, first: int = 0, weight: float = 4.0) -> bytes:
    """An answer of discovery with so many entries, in eleven zones, as it comes over the wire."""
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
    """The answer as the program reads it."""
    return parse_endpoint_update(JsonObject(parse_json(data, "routing table:"), "", "routing table"))


@contextmanager
def collecting() -> Iterator[None]:
    """Collect garbage as a proxy does: what is there now is not looked through, full collections wait."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, DISABLED_THRESHOLD)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()


class Held:
    """The table and the decisions of one proxy, with a clock of its own."""

    def __init__(self, size: int, seed: int, live: bool = False) -> None:
        """``live``: the settings say that listed weights tell what servers hold."""
        self.now = 1000.0
        self.table = RoutingTable()
        settings = platform_settings() | ({"weightSource": "live"} if live else {})
        self.balancer = Balancer(parse_settings(json.dumps(settings)), seed, self.now)
        self._most = min(STANDING, size // 10)
        self._serial = 0
        self._standing: deque[Send] = deque()
        self.take(parsed(routing_bytes(size)))

    def take(self, routing: EndpointUpdate) -> None:
        """A list came."""
        self.balancer.handle(self.table.apply(routing, self.now), self.now)

    def place(self, grouped: bool) -> float:
        """One placement; seconds of CPU of the decision. Beside the clock it stands, and the oldest ends.

        ``grouped``: of a group of its own, of which nothing stands here yet.
        """
        self._serial += 1
        self.now += STEP
        group = self._serial if grouped else None
        request = Request(f"r{self._serial}", "index-sync", self.now + 2.0, group=group)
        start = time.thread_time()
        actions = self.balancer.handle(request, self.now)
        took = time.thread_time() - start
        for action in actions:
            if isinstance(action, Send):
                self._standing.append(action)
                established = Established(action.request_id, 0, action.server_id, 0.01)
                self.balancer.handle(established, self.now)
        if len(self._standing) > self._most:
            oldest = self._standing.popleft()
            ended = Ended(oldest.request_id, 0, oldest.server_id, Outcome.OK, 0.01, final=True)
            self.balancer.handle(ended, self.now)
        return took


def _cost(action: Callable[[], object], calls: int, batches: int) -> float:
    """Seconds of CPU a call."""
    took = []
    for _ in range(batches):
        start = time.thread_time()
        for _ in range(calls):
            action()
        took.append((time.thread_time() - start) / calls)
    return statistics.median(took)


def placement(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Seconds of CPU a placement among so many entries, without groups and with them."""
    return _placement("placement", size, quick, Held(size, seed))


def placement_live(size: int, quick: bool, seed: int) -> dict[str, float]:
    """The same where listed weights are live, and what a list of one entry then costs."""
    held = Held(size, seed, live=True)
    found = _placement("placement_live", size, quick, held)
    return found | {"table_change_live_cpu": _change(size, quick, held)}


def _placement(name: str, size: int, quick: bool, held: Held) -> dict[str, float]:
    found = dict[str, float]()
    for _ in range(min(STANDING, size // 10) + 1):
        held.place(False)
    with collecting():
        for kind, grouped, work in (("_cpu", False, 2_000_000), ("_group_cpu", True, 500_000)):
            calls = max(10, min(400, (work // 4 if quick else work) // size))
            batches = BATCHES_QUICK if quick else BATCHES
            costs = [sum(held.place(grouped) for _ in range(calls)) / calls for _ in range(batches)]
            found[name + kind] = statistics.median(costs)
    return found


def _change(size: int, quick: bool, held: Held) -> float:
    """Seconds of CPU of a list that changes the weight of one entry."""
    ones = [parsed(routing_bytes(1, False, at * size // 8, weight=4.0 - at % 2)) for at in range(8)]
    batches = BATCHES_QUICK if quick else BATCHES
    calls = max(5, min(400, (100_000 if quick else 500_000) // size))
    turn = itertools.cycle(ones)
    with collecting():
        return _cost(lambda: held.take(next(turn)), calls, batches)


def changes(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Seconds of CPU of a list with one entry, of one with all of them, and of reading the latter."""
    held = Held(size, seed)
    data = routing_bytes(size)
    whole = parsed(data)
    batches, calls = BATCHES_QUICK if quick else BATCHES, max(1, min(200, 10_000 // size))
    found = {"table_change_cpu": _change(size, quick, held)}
    with collecting():
        found["table_full_cpu"] = _cost(lambda: held.take(whole), calls, batches)
        found["table_parse_cpu"] = _cost(lambda: parsed(data), calls, batches)
    return found


def memory(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Bytes that Python holds for so many entries, the list that brought them let go."""
    del quick
    Held(1, seed)  # what is made once for all
    gc.collect()
    tracemalloc.start()
    held = Held(size, seed)
    gc.collect()
    found = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(held.table.listed()) == size
    return {"table_memory": float(found)}


def settings_text(callers: int) -> str:
    """An operator's settings with so many rules of callers."""
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
    """Seconds of CPU of reading settings with so many rules, and the ring of keys beside them."""
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


def _sweep(name: str, what: str, x: str = "entries", unit: str = "s", shape: Shape = Shape.LINE) -> Sweep:
    return Sweep(name, what, x, unit, Sign.VIRTUAL, (), shape)


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
