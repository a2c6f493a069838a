"""When a change is told as in force everywhere: never too early, and not late for those that are elsewhere."""

from __future__ import annotations

from ironmill_lab.faults.fleet_world import FleetWorld, Plan
from ironmill_lab.faults.schedule import Fault

PLAN = Plan(proxies=22, control=5, entries=50)


def settled(*faults: Fault) -> FleetWorld:
    world = FleetWorld(PLAN, faults)
    world.settle()
    return world


def test_a_proxy_that_starts_anew_elsewhere_is_not_missed_where_it_was() -> None:
    """Its old parent named it as unreachable for an hour: a new process does not know who had it before."""
    world = settled()
    names = [process.name for process in world.proxies if process.zone == "z1"]
    world.kill("c01")
    world.run(world.now + 3.0)
    for name in names:
        world.kill(name)
    world.run(world.now + 3.0)
    world.start("c01")
    world.run(world.now + 5.0)
    for name in names:
        world.start(name)
    world.run(world.now + 10.0)
    assert world.origin.status(world.now)["laggards"] == []
    position = world.push({"shard/1": b"new"})
    world.run(world.now + 3.0)
    assert position in world.watch.everywhere
    assert world.watch.false_everywhere == 0
