"""Catching up by ranges: many at once, and while the parent goes on changing."""

from __future__ import annotations

from ironmill.distribution.timing import Timing
from ironmill_testbed.faults.fleet_world import FleetWorld, Plan


def test_small_answers_use_up_no_more_of_the_rate_than_they_are() -> None:
    """Each was charged as the largest: 127 cold proxies of a zone waited 4.9 s for 300 keys."""
    plan = Plan(proxies=40, control=2, entries=300, standby=False)
    world = FleetWorld(plan, timing=Timing(serve_bytes_per_s=1 << 20))
    world.settle()
    for process in world.proxies:
        world.kill(process.name)
    world.run(world.now + 2.0)
    for process in world.proxies:
        world.start(process.name)
    world.run(world.now + 10.0)
    assert len(world.watch.catch_ups) == 40
    assert max(world.watch.catch_ups) < 3.0


def received_by_a_cold_start(regions: int, entries: int) -> tuple[int, int]:
    """Bytes of datagrams, and of the keys and values in them."""
    plan = Plan(proxies=1, control=2, regions=regions, entries=entries, standby=False)
    world = FleetWorld(plan)
    world.settle()
    world.kill("p00000")
    world.run(world.now + 2.0)
    world.start("p00000")
    world.run(world.now + 5.0)
    assert len(world.watch.catch_ups) == 1
    return world.processes["p00000"].received_bytes, world.origin.replica.keyspace.size


def test_a_cold_start_of_few_keys_takes_few_answers() -> None:
    """128 ranges were asked for one by one, though all keys fit into a dozen datagrams."""
    received, size = received_by_a_cold_start(1, 300)
    assert received < 1.6 * size


def test_a_parent_in_another_region_is_not_asked_twice() -> None:
    """A question was sent again after 0.15 s, which is less than there and back: each page came twice."""
    received, size = received_by_a_cold_start(5, 3000)
    assert received < 1.5 * size
