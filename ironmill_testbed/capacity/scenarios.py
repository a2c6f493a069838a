"""Scenarios of distribution on a virtual clock: its guarantees during faults, and its costs.

Each scenario runs the program's state machines in a ``SimulatedFleet``. Bytes are those of datagrams without
the UDP and IP headers. A guarantee is broken if its figure is above the limit; the figure ``broken`` holds
examples.
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
CONVERGED_AT = 6.0  # seconds; nothing before this time is measured
IDLE_S = 10.0  # after convergence, without changes and faults
FAULTS_AT = CONVERGED_AT + IDLE_S
RECOVERY_S = 10.0  # run after the last fault
ORDINARY_CHANGES_PER_S = 45_000 / 86_400
STORM_CHANGES_PER_S = 45_000 / 3600  # all changes of a day within an hour
BUSY_CHANGES_PER_S = 2.0  # during faults
RACK_FRACTION = 40 / 2800  # fraction of the proxies that one rack holds
RESTARTED_FRACTION = 710 / 2800  # fraction of the proxies that restart in a day
VALUE_BYTES = 100
MAX_PROXY_BYTES_PER_S = 6000.0  # sent and received
# The quantiles that are computed of the latencies of all changes at all proxies.
QUANTILES = (0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.99, 0.999, 1.0)


class OperatorLoad:
    """Pushes changes at a constant rate; every tenth revision has several keys."""

    def __init__(self, fleet: SimulatedFleet, key_count: int = 300) -> None:
        self.fleet = fleet
        self.rejected = 0
        self.origin_name = "origin"
        self._rng = random.Random(fleet.plan.seed + 17)
        self._key_count = key_count
        self._push_count = 0

    def schedule(self, start: float, end: float, rate: float) -> None:
        """Schedules ``rate`` pushes per second from ``start`` to ``end``, both in seconds of the clock."""
        for index in range(int((end - start) * rate)):
            self.fleet.schedule(start + (index + self._rng.random()) / rate, self.push_once)

    def push_once(self) -> None:
        """Pushes one revision; counts it in ``rejected`` if no origin accepts it."""
        self._push_count += 1
        changes: Changes = {}
        for _ in range(3 if self._push_count % 10 == 0 else 1):
            key = f"shard/{self._rng.randrange(self._key_count):06d}"
            is_deleted = self._push_count % 25 == 24
            changes[key] = (
                None if is_deleted else b"%d " % self._push_count + self._rng.randbytes(VALUE_BYTES // 2)
            )
        node = self.fleet.processes[self.origin_name].node
        if not isinstance(node, Origin):
            self.rejected += 1
            return
        try:
            self.fleet.push(changes, f"t{self._push_count}", self.origin_name)
        except (StoreError, NotOriginError):
            self.rejected += 1


Scenario = Callable[[SimulatedFleet, OperatorLoad, float], float]  # returns the time of its end


def rest(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Pushes changes at the ordinary rate, without faults."""
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, ORDINARY_CHANGES_PER_S)
    return FAULTS_AT + duration_s


def rack(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Kills and restarts a rack: a fraction of the proxies, all in one zone, and a control machine."""
    zone_proxies = [process.name for process in fleet.proxies if process.zone == "z1"]
    names = ["c01", *zone_proxies[: max(2, round(RACK_FRACTION * len(fleet.proxies)))]]
    for name in names:
        fleet.schedule(FAULTS_AT, fleet.kill, name)
        fleet.schedule(FAULTS_AT + duration_s / 2, fleet.start, name)
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, BUSY_CHANGES_PER_S)
    return FAULTS_AT + duration_s


def zone(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Kills a whole zone; later restarts all of it at the same time."""
    for name in fleet.names(["zone:z1"]):
        fleet.schedule(FAULTS_AT, fleet.kill, name)
        fleet.schedule(FAULTS_AT + duration_s / 2, fleet.start, name)
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, BUSY_CHANGES_PER_S)
    return FAULTS_AT + duration_s


def region(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Pushes changes while a region is cut off from the others (``region_faults``)."""
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, BUSY_CHANGES_PER_S)
    return FAULTS_AT + duration_s


def region_faults(plan: Plan, duration_s: float) -> list[Fault]:
    """Returns the faults that cut a region without the origin off from the others."""
    others = tuple(f"region:r{number}" for number in range(plan.regions) if number != 1)
    return both_ways(FAULTS_AT, FAULTS_AT + duration_s, ("region:r1",), others)


def restarts(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Restarts as many proxies as in a day within a few minutes, every other one gracefully."""
    rng = random.Random(fleet.plan.seed + 5)
    count = round(RESTARTED_FRACTION * len(fleet.proxies))
    for index, process in enumerate(rng.sample(fleet.proxies, count)):
        stop_at = FAULTS_AT + duration_s * (index + rng.random()) / count
        fleet.schedule(stop_at, fleet.leave if index % 2 else fleet.kill, process.name)
        fleet.schedule(stop_at + 1.0 + 2.0 * rng.random(), fleet.start, process.name)
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, ORDINARY_CHANGES_PER_S)
    return FAULTS_AT + duration_s + 3.0


def storm(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Pushes changes at the rate at which all changes of a day take one hour."""
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, STORM_CHANGES_PER_S)
    return FAULTS_AT + duration_s


def control_killed(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Kills a third of the relays one after another and restarts them; pauses another relay."""
    count = max(1, len(fleet.relays) // 3)
    for index, process in enumerate(fleet.relays[:count]):
        kill_at = FAULTS_AT + index * duration_s / 2 / count
        fleet.schedule(kill_at, fleet.kill, process.name)
        fleet.schedule(kill_at + duration_s / 2, fleet.start, process.name)
    fleet.schedule(FAULTS_AT + 1.0, fleet.pause, fleet.relays[-1].name, FAULTS_AT + 1.0 + duration_s / 4)
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, BUSY_CHANGES_PER_S)
    return FAULTS_AT + duration_s


def loss(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Pushes changes while links lose, duplicate and delay datagrams (``loss_faults``)."""
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, BUSY_CHANGES_PER_S)
    return FAULTS_AT + duration_s


def loss_faults(plan: Plan, duration_s: float) -> list[Fault]:
    """Returns faults: 10 % of datagrams are lost, 5 % duplicated, and 5 % delayed by up to 0.3 s."""
    end = FAULTS_AT + duration_s
    return [
        Fault("loss", FAULTS_AT, end, fraction=0.1),
        Fault("duplicate", FAULTS_AT, end, fraction=0.05, max_delay_s=0.3),
        Fault("delay", FAULTS_AT, end, fraction=0.05, max_delay_s=0.3),
    ]


def origin_restart(fleet: SimulatedFleet, load: OperatorLoad, duration_s: float) -> float:
    """Kills the origin and restarts it on its store; then a second origin opens the same store."""
    fleet.schedule(FAULTS_AT, fleet.kill, "origin")
    fleet.schedule(FAULTS_AT + duration_s / 4, fleet.start, "origin")

    def start_second_origin() -> None:
        fleet.start("origin-b")

    def use_second_origin() -> None:
        load.origin_name = "origin-b"

    fleet.schedule(FAULTS_AT + duration_s / 2, start_second_origin)
    fleet.schedule(
        FAULTS_AT + duration_s / 2 + 0.5, use_second_origin
    )  # until then pushes go to the first origin, which rejects them
    load.schedule(FAULTS_AT, FAULTS_AT + duration_s, BUSY_CHANGES_PER_S)
    return FAULTS_AT + duration_s


SCENARIOS: dict[str, tuple[Scenario, float, float, Callable[[Plan, float], list[Fault]] | None]] = {
    # The scenario, its duration in seconds in a full and in a quick run, and the faults of links.
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


def simulate(name: str, plan: Plan = FULL_PLAN, quick: bool = False) -> dict[str, Any]:
    """Runs one scenario and returns its figures; ``peak_memory_mb`` is the peak of this process so far."""
    scenario, full_duration_s, quick_duration_s, faults_of = SCENARIOS[name]
    duration_s = quick_duration_s if quick else full_duration_s
    start = time.perf_counter()
    with _gc_disabled():
        faults = faults_of(plan, duration_s) if faults_of else []
        fleet = SimulatedFleet(plan, faults)
        fleet.converge(CONVERGED_AT)
        fleet.observer.measure_traffic()
        load = OperatorLoad(fleet, plan.entries)
        end = scenario(fleet, load, duration_s)
        fleet.run(end + RECOVERY_S)
        result = figures(fleet)
    result["refused_pushes"] = load.rejected
    result["story_s"] = duration_s
    result["wall_s"] = round(time.perf_counter() - start, 1)
    result["peak_memory_mb"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1)
    return result


def figures(fleet: SimulatedFleet) -> dict[str, Any]:
    """Returns the figures of guarantees and of costs; None for a figure without values."""
    observer = fleet.observer
    latencies, seconds = sorted(observer.latencies), observer.traffic.seconds
    idle_seconds, busy_seconds = seconds[: int(IDLE_S)], seconds[int(IDLE_S) :]
    lost, differing = observer.count_lost_changes(), observer.count_differing_proxies()
    return {
        "members_run": len(fleet.processes),
        "changes": len(observer.pushed_at),
        "change_p50_s": _quantile(latencies, 0.5),
        "change_p99_s": _quantile(latencies, 0.99),
        "change_max_s": _quantile(latencies, 1.0),
        "in_force_by": [[_quantile(latencies, quantile), quantile] for quantile in QUANTILES]
        if latencies
        else None,
        "control_bytes_per_s": _mean(idle_seconds, _all_sent),
        "control_bytes_highest_s": _highest(busy_seconds, _all_sent),
        "proxy_bytes_per_s": _mean(idle_seconds, lambda second: second.proxy_sent / max(1, second.proxies)),
        "proxy_bytes_highest_s": _highest(
            busy_seconds, lambda second: second.proxy_sent / max(1, second.proxies)
        ),
        "proxy_received_per_s": _mean(
            idle_seconds, lambda second: second.proxy_received / max(1, second.proxies)
        ),
        "proxy_received_highest_s": _highest(
            busy_seconds, lambda second: second.proxy_received / max(1, second.proxies)
        ),
        "worst_proxy_both_ways_highest_s": _highest(busy_seconds, lambda second: second.proxy_highest),
        "relay_bytes_per_s": _mean(idle_seconds, lambda second: second.relay_sent / max(1, second.relays)),
        "relay_bytes_highest_s": _highest(busy_seconds, lambda second: second.relay_highest),
        "relay_datagrams_highest_s": _highest(busy_seconds, lambda second: second.relay_datagrams_highest),
        "origin_bytes_per_s": _mean(idle_seconds, lambda second: second.origin_sent),
        "origin_bytes_highest_s": _highest(busy_seconds, lambda second: second.origin_sent),
        "origin_received_highest_s": _highest(busy_seconds, lambda second: second.origin_received),
        "origin_datagrams_highest_s": _highest(busy_seconds, lambda second: second.origin_datagrams),
        "over_budget_s": sum(1 for second in seconds if _both_ways(second) > MAX_PROXY_BYTES_PER_S),
        "worst_proxy_over_budget_s": sum(
            1 for second in seconds if second.proxy_highest > MAX_PROXY_BYTES_PER_S
        ),
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


def broken_guarantees(result: dict[str, Any]) -> list[str]:
    """Returns the guarantees that a scenario has broken, each with its figure and limit."""
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
        f"{name} {result[name]} > {limit}"
        for name, limit in limits.items()
        if result[name] is not None and result[name] > limit
    ]


def scaled_plan(proxies: int, control: int | None = None, seed: int = 1) -> Plan:
    """Returns a plan with this many proxies, by default with a control machine per 104, at least three."""
    return structs.replace(
        FULL_PLAN, proxies=proxies, control=control or max(3, round(proxies / 104)), seed=seed
    )


def _both_ways(second: TrafficSecond) -> float:
    """Returns the bytes that the mean proxy sends and receives."""
    return (second.proxy_sent + second.proxy_received) / max(1, second.proxies)


def _all_sent(second: TrafficSecond) -> float:
    """Returns the bytes sent by proxies, relays and the origin."""
    return second.proxy_sent + second.relay_sent + second.origin_sent


def _mean(seconds: Sequence[TrafficSecond], cost: Callable[[TrafficSecond], float]) -> float | None:
    return round(sum(map(cost, seconds)) / len(seconds), 1) if seconds else None


def _highest(seconds: Sequence[TrafficSecond], cost: Callable[[TrafficSecond], float]) -> float | None:
    return round(max(map(cost, seconds)), 1) if seconds else None


def _quantile(values: Sequence[float], quantile: float) -> float | None:
    return round(values[min(len(values) - 1, int(quantile * len(values)))], 4) if values else None


@contextmanager
def _gc_disabled() -> Iterator[None]:
    """Disables the garbage collector: its collections would take most of the time and free little."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
