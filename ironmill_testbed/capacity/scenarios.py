"""Scenarios of distribution on the virtual clock: faults, the guarantees kept meanwhile, and the cost.

Each runs the program's state machines in a ``SimulatedFleet``. Bytes are those of datagrams without the
headers of UDP and IP. A broken guarantee is a figure above its limit, with examples in ``broken``.
"""

from __future__ import annotations

import gc
import random
import resource
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

from msgspec import structs

from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import NotOriginError, StoreError
from ironmill.distribution.origin import Origin
from ironmill_testbed.faults.fleet_traffic import TrafficSecond
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_fleet import Plan, SimulatedFleet

FULL_PLAN = Plan(proxies=2800, control=27)
SMALL_PLAN = Plan(proxies=60, control=6)
CONVERGED_AT = 6.0  # seconds; what comes before is not counted
IDLE_S = 10.0  # without changes and faults
FAULTS_AT = CONVERGED_AT + IDLE_S
RECOVERY_S = 10.0  # after the last fault
ORDINARY_CHANGES_PER_S = 45_000 / 86_400
STORM_CHANGES_PER_S = 45_000 / 3600
BUSY_CHANGES_PER_S = 2.0  # during faults
RACK_FRACTION = 40 / 2800  # of the proxies
RESTARTED_FRACTION = 710 / 2800
VALUE_BYTES = 100
MAX_PROXY_BYTES_PER_S = 6000.0  # both ways
QUANTILES = (0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.99, 0.999, 1.0)  # of all changes at all proxies


class OperatorLoad:
    """Pushes changes, evenly in time; every tenth revision has several keys."""

    def __init__(self, fleet: SimulatedFleet, keys: int = 300) -> None:
        self.fleet = fleet
        self.refused = 0
        self.origin = "origin"
        self._rng = random.Random(fleet.plan.seed + 17)
        self._keys = keys
        self._made = 0

    def schedule(self, start: float, end: float, rate: float) -> None:
        """Schedules pushes from ``start`` to ``end`` at a rate per second."""
        for at in range(int((end - start) * rate)):
            self.fleet.schedule(start + (at + self._rng.random()) / rate, self.once)

    def once(self) -> None:
        """Pushes one revision; counts it if there is no origin that accepts it."""
        self._made += 1
        changes: Changes = {}
        for _ in range(3 if self._made % 10 == 0 else 1):
            key = f"shard/{self._rng.randrange(self._keys):06d}"
            deleted = self._made % 25 == 24
            changes[key] = None if deleted else b"%d " % self._made + self._rng.randbytes(VALUE_BYTES // 2)
        node = self.fleet.processes[self.origin].node
        if not isinstance(node, Origin):
            self.refused += 1
            return
        try:
            self.fleet.push(changes, f"t{self._made}", self.origin)
        except (StoreError, NotOriginError):
            self.refused += 1


Scenario = Callable[[SimulatedFleet, OperatorLoad, float], float]  # returns its end


def rest(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """Ordinary changes without faults."""
    load.schedule(FAULTS_AT, FAULTS_AT + length, ORDINARY_CHANGES_PER_S)
    return FAULTS_AT + length


def rack(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """A rack fails and returns: a fraction of a zone's proxies and a control machine."""
    of_zone = [process.name for process in fleet.proxies if process.zone == "z1"]
    names = ["c01", *of_zone[: max(2, round(RACK_FRACTION * len(fleet.proxies)))]]
    for name in names:
        fleet.schedule(FAULTS_AT, fleet.kill, name)
        fleet.schedule(FAULTS_AT + length / 2, fleet.start, name)
    load.schedule(FAULTS_AT, FAULTS_AT + length, BUSY_CHANGES_PER_S)
    return FAULTS_AT + length


def zone(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """A whole zone fails, and returns at once."""
    for name in fleet.names(["zone:z1"]):
        fleet.schedule(FAULTS_AT, fleet.kill, name)
        fleet.schedule(FAULTS_AT + length / 2, fleet.start, name)
    load.schedule(FAULTS_AT, FAULTS_AT + length, BUSY_CHANGES_PER_S)
    return FAULTS_AT + length


def region(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """A region is cut off from the others (``region_faults``) while changes go on."""
    load.schedule(FAULTS_AT, FAULTS_AT + length, BUSY_CHANGES_PER_S)
    return FAULTS_AT + length


def region_faults(plan: Plan, length: float) -> list[Fault]:
    """Cuts a region without the origin off from the others."""
    others = tuple(f"region:r{at}" for at in range(plan.regions) if at != 1)
    return both_ways(FAULTS_AT, FAULTS_AT + length, ("region:r1",), others)


def restarts(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """A day's restarts within a few minutes, every other one graceful."""
    rng = random.Random(fleet.plan.seed + 5)
    count = round(RESTARTED_FRACTION * len(fleet.proxies))
    for at, process in enumerate(rng.sample(fleet.proxies, count)):
        when = FAULTS_AT + length * (at + rng.random()) / count
        fleet.schedule(when, fleet.leave if at % 2 else fleet.kill, process.name)
        fleet.schedule(when + 1.0 + 2.0 * rng.random(), fleet.start, process.name)
    load.schedule(FAULTS_AT, FAULTS_AT + length, ORDINARY_CHANGES_PER_S)
    return FAULTS_AT + length + 3.0


def storm(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """A day's changes at the rate of one hour."""
    load.schedule(FAULTS_AT, FAULTS_AT + length, STORM_CHANGES_PER_S)
    return FAULTS_AT + length


def control_killed(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """A third of the control machines is killed, one after another; another one is paused."""
    count = max(1, len(fleet.relays) // 3)
    for at, process in enumerate(fleet.relays[:count]):
        when = FAULTS_AT + at * length / 2 / count
        fleet.schedule(when, fleet.kill, process.name)
        fleet.schedule(when + length / 2, fleet.start, process.name)
    fleet.schedule(FAULTS_AT + 1.0, fleet.pause, fleet.relays[-1].name, FAULTS_AT + 1.0 + length / 4)
    load.schedule(FAULTS_AT, FAULTS_AT + length, BUSY_CHANGES_PER_S)
    return FAULTS_AT + length


def loss(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """Links lose, duplicate and delay datagrams (``loss_faults``) while changes go on."""
    load.schedule(FAULTS_AT, FAULTS_AT + length, BUSY_CHANGES_PER_S)
    return FAULTS_AT + length


def loss_faults(plan: Plan, length: float) -> list[Fault]:
    """A tenth of all datagrams is lost, a twentieth duplicated, a twentieth up to 0.3 s late."""
    end = FAULTS_AT + length
    return [
        Fault("loss", FAULTS_AT, end, fraction=0.1),
        Fault("duplicate", FAULTS_AT, end, fraction=0.05, max_delay_s=0.3),
        Fault("delay", FAULTS_AT, end, fraction=0.05, max_delay_s=0.3),
    ]


def origin_restart(fleet: SimulatedFleet, load: OperatorLoad, length: float) -> float:
    """The origin is killed and restarted on its store; then another writer opens the store."""
    fleet.schedule(FAULTS_AT, fleet.kill, "origin")
    fleet.schedule(FAULTS_AT + length / 4, fleet.start, "origin")

    def second() -> None:
        fleet.start("origin-b")

    def changed() -> None:
        load.origin = "origin-b"

    fleet.schedule(FAULTS_AT + length / 2, second)
    fleet.schedule(
        FAULTS_AT + length / 2 + 0.5, changed
    )  # until then pushes go to the first one, which rejects them
    load.schedule(FAULTS_AT, FAULTS_AT + length, BUSY_CHANGES_PER_S)
    return FAULTS_AT + length


SCENARIOS: dict[str, tuple[Scenario, float, float, Callable[[Plan, float], list[Fault]] | None]] = {
    # scenario, its length in seconds in full and when quick, faults of links
    "rest": (rest, 60.0, 20.0, None),
    "rack": (rack, 30.0, 16.0, None),
    "zone": (zone, 30.0, 16.0, None),
    "region": (region, 180.0, 20.0, region_faults),
    "restarts": (restarts, 600.0, 40.0, None),
    "storm": (storm, 60.0, 10.0, None),
    "control_killed": (control_killed, 60.0, 20.0, None),
    "loss": (loss, 60.0, 20.0, loss_faults),
    "origin_restart": (origin_restart, 40.0, 32.0, None),
}


def play(name: str, plan: Plan = FULL_PLAN, quick: bool = False) -> dict[str, Any]:
    """Runs one scenario and returns its figures. ``peak_memory_mb`` is the whole process's so far."""
    scenario, full, short, faults_of = SCENARIOS[name]
    length = short if quick else full
    began = time.perf_counter()
    with _collecting():
        faults = faults_of(plan, length) if faults_of else []
        fleet = SimulatedFleet(plan, faults)
        fleet.converge(CONVERGED_AT)
        fleet.observer.measure_traffic()
        load = OperatorLoad(fleet, plan.entries)
        end = scenario(fleet, load, length)
        fleet.run(end + RECOVERY_S)
        found = figures(fleet)
    found["refused_pushes"] = load.refused
    found["story_s"] = length
    found["wall_s"] = round(time.perf_counter() - began, 1)
    found["peak_memory_mb"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1)
    return found


def figures(fleet: SimulatedFleet) -> dict[str, Any]:
    """Returns what was kept and what it cost; None for a figure without values."""
    observer = fleet.observer
    changes, seconds = sorted(observer.latencies), observer.traffic.seconds
    quiet, busy = seconds[: int(IDLE_S)], seconds[int(IDLE_S) :]
    lost, differing = observer.count_lost_changes(), observer.count_differing_proxies()
    return {
        "members_run": len(fleet.processes),
        "changes": len(observer.pushed_at),
        "change_p50_s": _quantile(changes, 0.5),
        "change_p99_s": _quantile(changes, 0.99),
        "change_max_s": _quantile(changes, 1.0),
        "in_force_by": [[_quantile(changes, quantile), quantile] for quantile in QUANTILES]
        if changes
        else None,
        "control_bytes_per_s": _mean(quiet, _all_sent),
        "control_bytes_highest_s": _highest(busy, _all_sent),
        "proxy_bytes_per_s": _mean(quiet, lambda one: one.proxy_sent / max(1, one.proxies)),
        "proxy_bytes_highest_s": _highest(busy, lambda one: one.proxy_sent / max(1, one.proxies)),
        "proxy_received_per_s": _mean(quiet, lambda one: one.proxy_received / max(1, one.proxies)),
        "proxy_received_highest_s": _highest(busy, lambda one: one.proxy_received / max(1, one.proxies)),
        "worst_proxy_both_ways_highest_s": _highest(busy, lambda one: one.proxy_highest),
        "relay_bytes_per_s": _mean(quiet, lambda one: one.relay_sent / max(1, one.relays)),
        "relay_bytes_highest_s": _highest(busy, lambda one: one.relay_highest),
        "relay_datagrams_highest_s": _highest(busy, lambda one: one.relay_datagrams_highest),
        "origin_bytes_per_s": _mean(quiet, lambda one: one.origin_sent),
        "origin_bytes_highest_s": _highest(busy, lambda one: one.origin_sent),
        "origin_received_highest_s": _highest(busy, lambda one: one.origin_received),
        "origin_datagrams_highest_s": _highest(busy, lambda one: one.origin_datagrams),
        "over_budget_s": sum(1 for one in seconds if _both_ways(one) > MAX_PROXY_BYTES_PER_S),
        "worst_proxy_over_budget_s": sum(1 for one in seconds if one.proxy_highest > MAX_PROXY_BYTES_PER_S),
        "lost_changes": lost,
        "older_after_newer": observer.older_after_newer,
        "older_after_restart": observer.older_after_restart,
        "half_in_force": observer.partially_applied + differing,
        "stale_unnoticed": observer.stale_unnoticed,
        "stale_told": observer.counts.get("stale", 0),
        "catch_up_s": max(observer.catch_ups, default=None),
        "catch_ups": len(observer.catch_ups),
        "reattach_s": max(observer.reattached, default=None),
        "reattached": len(observer.reattached),
        "reattach_p50_s": _quantile(sorted(observer.reattached), 0.5),
        "false_everywhere": observer.false_fully_applied,
        "everywhere": len(observer.fully_applied),
        "everywhere_p50_s": _quantile(sorted(observer.fully_applied.values()), 0.5),
        "superseded": observer.superseded,
        "broken": observer.broken,
    }


def broken(found: dict[str, Any]) -> list[str]:
    """Returns which guarantees a scenario has broken, with the figure and its limit."""
    limits = {
        "lost_changes": 0,
        "older_after_newer": 0,
        "older_after_restart": 0,
        "half_in_force": 0,
        "stale_unnoticed": 0,
        "false_everywhere": 0,
        "change_max_s": 3.0,
        "catch_up_s": 3.0,
        "reattach_s": 1.0,
    }
    return [
        f"{name} {found[name]} > {limit}"
        for name, limit in limits.items()
        if found[name] is not None and found[name] > limit
    ]


def scaled(proxies: int, control: int | None = None, seed: int = 1) -> Plan:
    """Returns a plan of that many proxies, with a control machine for each 104 of them, at least three."""
    return structs.replace(
        FULL_PLAN, proxies=proxies, control=control or max(3, round(proxies / 104)), seed=seed
    )


def _both_ways(one: TrafficSecond) -> float:
    return (one.proxy_sent + one.proxy_received) / max(1, one.proxies)


def _all_sent(one: TrafficSecond) -> float:
    """Bytes sent by proxies, relays and the origin."""
    return one.proxy_sent + one.relay_sent + one.origin_sent


def _mean(seconds: Sequence[TrafficSecond], cost: Callable[[TrafficSecond], float]) -> float | None:
    return round(sum(map(cost, seconds)) / len(seconds), 1) if seconds else None


def _highest(seconds: Sequence[TrafficSecond], cost: Callable[[TrafficSecond], float]) -> float | None:
    return round(max(map(cost, seconds)), 1) if seconds else None


def _quantile(values: Sequence[float], quantile: float) -> float | None:
    return round(values[min(len(values) - 1, int(quantile * len(values)))], 4) if values else None


@contextmanager
def _collecting() -> Iterator[None]:
    """Disables the garbage collector: it would take most of the time and find little."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()
