"""Stories of distribution on the virtual clock: what goes wrong, what is kept meanwhile, and what it costs.

Each runs the program's state machines in a simulated fleet (``ironmill_testbed.faults.fleet_world``) and ends
in properties and costs. Bytes are those of the datagrams without the headers of UDP and IP. What is broken is
a figure above 0 and named in ``broken``.
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
from ironmill_testbed.faults.fleet_watch import BUDGET, Second
from ironmill_testbed.faults.fleet_world import FleetWorld, Plan
from ironmill_testbed.faults.schedule import Fault, both_ways

FULL = Plan(proxies=2800, control=27)
SMALL = Plan(proxies=60, control=6)
SETTLED = 6.0  # seconds before anything is counted
REST = 10.0  # seconds in which nothing happens
BEGIN = SETTLED + REST  # of what goes wrong
HEALED = 10.0  # seconds after it, in which all has to be well again
ORDINARY = 45_000 / 86_400  # changes a second
STORM = 45_000 / 3600
BUSY = 2.0  # changes a second beside other trouble
RACK = 40 / 2800  # of the proxies
RESTARTS = 710 / 2800
VALUE = 100  # bytes
PARTS = (0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.99, 0.999, 1.0)  # of all changes at all proxies


class Told:
    """Staff who make changes: evenly in time, now and then several keys at once."""

    def __init__(self, world: FleetWorld, keys: int = 300) -> None:
        self.world = world
        self.refused = 0
        self.origin = "origin"
        self._rng = random.Random(world.plan.seed + 17)
        self._keys = keys
        self._made = 0

    def tell(self, start: float, end: float, rate: float) -> None:
        """So many changes a second from then to then."""
        for at in range(int((end - start) * rate)):
            self.world.at(start + (at + self._rng.random()) / rate, self.once)

    def once(self) -> None:
        """One revision, if there is an origin that takes it."""
        self._made += 1
        changes: Changes = {}
        for _ in range(3 if self._made % 10 == 0 else 1):
            key = f"shard/{self._rng.randrange(self._keys):06d}"
            deleted = self._made % 25 == 24
            changes[key] = None if deleted else b"%d " % self._made + self._rng.randbytes(VALUE // 2)
        node = self.world.processes[self.origin].node
        if not isinstance(node, Origin):
            self.refused += 1
            return
        try:
            self.world.push(changes, f"t{self._made}", self.origin)
        except (StoreError, NotOriginError):
            self.refused += 1


Story = Callable[[FleetWorld, Told, float], float]  # gives back when it is over


def rest(world: FleetWorld, told: Told, length: float) -> float:
    """An ordinary minute."""
    told.tell(BEGIN, BEGIN + length, ORDINARY)
    return BEGIN + length


def rack(world: FleetWorld, told: Told, length: float) -> float:
    """A rack is killed and comes back: a part of a zone's proxies and a control machine."""
    of_zone = [process.name for process in world.proxies if process.zone == "z1"]
    names = ["c01", *of_zone[: max(2, round(RACK * len(world.proxies)))]]
    for name in names:
        world.at(BEGIN, world.kill, name)
        world.at(BEGIN + length / 2, world.start, name)
    told.tell(BEGIN, BEGIN + length, BUSY)
    return BEGIN + length


def zone(world: FleetWorld, told: Told, length: float) -> float:
    """All of a zone is killed, and back all at once."""
    for name in world.names(["zone:z1"]):
        world.at(BEGIN, world.kill, name)
        world.at(BEGIN + length / 2, world.start, name)
    told.tell(BEGIN, BEGIN + length, BUSY)
    return BEGIN + length


def region(world: FleetWorld, told: Told, length: float) -> float:
    """A region is cut off from the others (``region_faults``) while changes go on."""
    told.tell(BEGIN, BEGIN + length, BUSY)
    return BEGIN + length


def region_faults(plan: Plan, length: float) -> list[Fault]:
    """A region without the origin, for all of the time."""
    others = tuple(f"region:r{at}" for at in range(plan.regions) if at != 1)
    return both_ways(BEGIN, BEGIN + length, ("region:r1",), others)


def restarts(world: FleetWorld, told: Told, length: float) -> float:
    """A day's restarts in a few minutes; every other one ends in an orderly way."""
    rng = random.Random(world.plan.seed + 5)
    count = round(RESTARTS * len(world.proxies))
    for at, process in enumerate(rng.sample(world.proxies, count)):
        when = BEGIN + length * (at + rng.random()) / count
        world.at(when, world.leave if at % 2 else world.kill, process.name)
        world.at(when + 1.0 + 2.0 * rng.random(), world.start, process.name)
    told.tell(BEGIN, BEGIN + length, ORDINARY)
    return BEGIN + length + 3.0


def storm(world: FleetWorld, told: Told, length: float) -> float:
    """A day's changes at the pace of one hour."""
    told.tell(BEGIN, BEGIN + length, STORM)
    return BEGIN + length


def control_killed(world: FleetWorld, told: Told, length: float) -> float:
    """A third of the control machines is killed, one after another; one more does not run for a while."""
    count = max(1, len(world.relays) // 3)
    for at, process in enumerate(world.relays[:count]):
        when = BEGIN + at * length / 2 / count
        world.at(when, world.kill, process.name)
        world.at(when + length / 2, world.start, process.name)
    world.at(BEGIN + 1.0, world.pause, world.relays[-1].name, BEGIN + 1.0 + length / 4)
    told.tell(BEGIN, BEGIN + length, BUSY)
    return BEGIN + length


def loss(world: FleetWorld, told: Told, length: float) -> float:
    """Links that lose, double and delay (``loss_faults``), with changes."""
    told.tell(BEGIN, BEGIN + length, BUSY)
    return BEGIN + length


def loss_faults(plan: Plan, length: float) -> list[Fault]:
    """A tenth of all datagrams is lost, a twentieth doubled, a twentieth up to 0.3 s late."""
    end = BEGIN + length
    return [
        Fault("loss", BEGIN, end, fraction=0.1),
        Fault("duplicate", BEGIN, end, fraction=0.05, max_delay_s=0.3),
        Fault("delay", BEGIN, end, fraction=0.05, max_delay_s=0.3),
    ]


def origin_restart(world: FleetWorld, told: Told, length: float) -> float:
    """The origin is killed and started again on its store; then a second writer takes the store over."""
    world.at(BEGIN, world.kill, "origin")
    world.at(BEGIN + length / 4, world.start, "origin")

    def second() -> None:
        world.start("origin-b")

    def changed() -> None:
        told.origin = "origin-b"

    world.at(BEGIN + length / 2, second)
    world.at(BEGIN + length / 2 + 0.5, changed)  # until then the first one is asked, and refuses
    told.tell(BEGIN, BEGIN + length, BUSY)
    return BEGIN + length


STORIES: dict[str, tuple[Story, float, float, Callable[[Plan, float], list[Fault]] | None]] = {
    # what happens, how long it is in seconds in full and in short, faults of links
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


def play(name: str, plan: Plan = FULL, quick: bool = False) -> dict[str, Any]:
    """Run one story; its figures by name. ``peak_memory_mb`` is the whole process's so far."""
    story, full, short, faults_of = STORIES[name]
    length = short if quick else full
    began = time.perf_counter()
    with _collecting():
        faults = faults_of(plan, length) if faults_of else []
        world = FleetWorld(plan, faults)
        world.settle(SETTLED)
        world.watch.count_seconds()
        told = Told(world, plan.entries)
        over = story(world, told, length)
        world.run(over + HEALED)
        found = figures(world)
    found["refused_pushes"] = told.refused
    found["story_s"] = length
    found["wall_s"] = round(time.perf_counter() - began, 1)
    found["peak_memory_mb"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1)
    return found


def figures(world: FleetWorld) -> dict[str, Any]:
    """What was kept and what it cost; None where there is nothing to tell."""
    watch = world.watch
    changes, seconds = sorted(watch.latencies), watch.seconds
    quiet, busy = seconds[: int(REST)], seconds[int(REST) :]
    lost, differing = watch.lost(), watch.differing()
    return {
        "members_run": len(world.processes),
        "changes": len(watch.pushed_at),
        "change_p50_s": _quantile(changes, 0.5),
        "change_p99_s": _quantile(changes, 0.99),
        "change_max_s": _quantile(changes, 1.0),
        "in_force_by": [[_quantile(changes, part), part] for part in PARTS] if changes else None,
        "control_bytes_per_s": _mean(quiet, _all_sent),
        "control_bytes_highest_s": _most(busy, _all_sent),
        "proxy_bytes_per_s": _mean(quiet, lambda one: one.proxy_sent / max(1, one.proxies)),
        "proxy_bytes_highest_s": _most(busy, lambda one: one.proxy_sent / max(1, one.proxies)),
        "proxy_received_per_s": _mean(quiet, lambda one: one.proxy_received / max(1, one.proxies)),
        "proxy_received_highest_s": _most(busy, lambda one: one.proxy_received / max(1, one.proxies)),
        "worst_proxy_both_ways_highest_s": _most(busy, lambda one: one.proxy_worst),
        "relay_bytes_per_s": _mean(quiet, lambda one: one.relay_sent / max(1, one.relays)),
        "relay_bytes_highest_s": _most(busy, lambda one: one.relay_worst),
        "relay_datagrams_highest_s": _most(busy, lambda one: one.relay_datagrams_worst),
        "origin_bytes_per_s": _mean(quiet, lambda one: one.origin_sent),
        "origin_bytes_highest_s": _most(busy, lambda one: one.origin_sent),
        "origin_received_highest_s": _most(busy, lambda one: one.origin_received),
        "origin_datagrams_highest_s": _most(busy, lambda one: one.origin_datagrams),
        "over_budget_s": sum(1 for one in seconds if _both_ways(one) > BUDGET),
        "worst_proxy_over_budget_s": sum(1 for one in seconds if one.proxy_worst > BUDGET),
        "lost_changes": lost,
        "older_after_newer": watch.older_after_newer,
        "older_after_restart": watch.older_after_restart,
        "half_in_force": watch.half_in_force + differing,
        "stale_unnoticed": watch.stale_unnoticed,
        "stale_told": watch.counts.get("stale", 0),
        "catch_up_s": max(watch.catch_ups, default=None),
        "catch_ups": len(watch.catch_ups),
        "reattach_s": max(watch.reattached, default=None),
        "reattached": len(watch.reattached),
        "reattach_p50_s": _quantile(sorted(watch.reattached), 0.5),
        "false_everywhere": watch.false_everywhere,
        "everywhere": len(watch.everywhere),
        "everywhere_p50_s": _quantile(sorted(watch.everywhere.values()), 0.5),
        "superseded": watch.superseded,
        "broken": watch.broken,
    }


def broken(found: dict[str, Any]) -> list[str]:
    """Which promises a story has not kept, with the figure."""
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
    """A plan of that many proxies, with a control machine for each 104 of them, three at the least."""
    return structs.replace(FULL, proxies=proxies, control=control or max(3, round(proxies / 104)), seed=seed)


def _both_ways(one: Second) -> float:
    return (one.proxy_sent + one.proxy_received) / max(1, one.proxies)


def _all_sent(one: Second) -> float:
    """By all: proxies, relays, origin."""
    return one.proxy_sent + one.relay_sent + one.origin_sent


def _mean(seconds: Sequence[Second], cost: Callable[[Second], float]) -> float | None:
    return round(sum(map(cost, seconds)) / len(seconds), 1) if seconds else None


def _most(seconds: Sequence[Second], cost: Callable[[Second], float]) -> float | None:
    return round(max(map(cost, seconds)), 1) if seconds else None


def _quantile(values: Sequence[float], part: float) -> float | None:
    return round(values[min(len(values) - 1, int(part * len(values)))], 4) if values else None


@contextmanager
def _collecting() -> Iterator[None]:
    """Nothing here is a cycle that matters: looking for them would take most of the time."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()
