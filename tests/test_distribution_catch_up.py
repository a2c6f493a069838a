"""Catching up by ranges: many at once, and while the parent goes on changing."""

from __future__ import annotations

from ironmill.distribution.timing import Timing
from ironmill_lab.faults.fleet_world import FleetWorld, Plan


def test_small_answers_use_up_no_more_of_the_rate_than_they_are() -> None:
    """Each was charged as the largest: 127 cold proxies of a zone waited 4.9 s for 300 keys."""
    plan = Plan(proxies=40, control=2, entries=300, standby=False)
    world = FleetWorld(plan, timing=Timing(serve_rate=1 << 20))
    world.settle()
    for process in world.proxies:
        world.kill(process.name)
    world.run(world.now + 2.0)
    for process in world.proxies:
        world.start(process.name)
    world.run(world.now + 10.0)
    assert len(world.watch.catch_ups) == 40
    assert max(world.watch.catch_ups) < 3.0
