"""When a change is told as in force everywhere: never too early, nor late for who is elsewhere now."""

from __future__ import annotations

import pytest
from msgspec import structs

from ironmill.distribution.proxy_node import ProxyNode
from ironmill_testbed.faults.fleet_world import FleetWorld, HollowConsumer, Plan
from ironmill_testbed.faults.schedule import Fault, both_ways

PLAN = Plan(proxies=22, control=5, entries=50)


def settled(*faults: Fault) -> FleetWorld:
    world = FleetWorld(PLAN, faults)
    world.settle()
    return world


def test_proxy_restarted_at_another_parent_is_not_unreachable_at_the_previous_one() -> None:
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
    assert world.origin.status(world.now).lagging_nodes == []
    position = world.push({"shard/1": b"new"})
    world.run(world.now + 3.0)
    assert position in world.watch.everywhere
    assert world.watch.false_everywhere == 0


def test_proxy_cut_off_stays_unreachable_after_its_relay_restarts() -> None:
    """The relay had forgotten it, and the origin told a change as everywhere that the proxy did not have."""
    world = settled(*both_ways(8.0, 50.0, ("p00001",), ("control",)))
    world.run(13.0)
    world.kill("c01")
    world.run(15.0)
    world.start("c01")
    world.run(20.0)
    position = world.push({"shard/1": b"new"})
    world.run(30.0)
    status = world.origin.status(world.now)
    assert [(one.name, one.state) for one in status.lagging_nodes] == [("p00001", "unreachable")]
    assert position not in world.watch.everywhere
    world.run(60.0)
    assert position in world.watch.everywhere
    assert world.watch.false_everywhere == 0
    assert world.origin.status(world.now).lagging_nodes == []


@pytest.mark.parametrize("seed", range(1, 9))
def test_proxy_that_changes_its_parent_is_always_in_a_summary(seed: int) -> None:
    """Its old relay forgot it before the origin had the new one's sum: a refused change was everywhere."""
    world = FleetWorld(structs.replace(PLAN, seed=seed))
    refusing = [process for process in world.proxies if process.zone == "z1"][:1]
    for process in refusing:
        process.consumer = HollowConsumer(("bad/",))
    world.settle(0.0)
    world.kill("c01")
    world.run(8.0)
    world.start("c01")
    position = world.push({"bad/1": b"x"})
    world.run(60.0)  # they go home meanwhile, each in its own time
    homes = {
        node.subscriber.parent.endpoint.name
        for one in refusing
        if isinstance(node := one.node, ProxyNode) and node.subscriber.parent is not None
    }
    assert homes == {"c01"}
    assert position not in world.watch.everywhere
    assert world.watch.false_everywhere == 0
    world.push({"bad/1": None})
    world.run(world.now + 3.0)
    assert world.disk.position in world.watch.everywhere


def test_process_restarted_with_a_stepped_wall_clock_receives_the_next_change_in_time() -> None:
    """The operators' notes: a wall clock may be stepped, forward or back, by seconds or by an hour."""
    late = []
    for name in ("p00000", "c01"):
        for away in (0.5, 5.0, 30.0):
            for ahead in (-3600.0, -5.0, 3600.0):
                world = FleetWorld(PLAN)
                world.settle()
                world.push({"a": b"1"})
                world.run(world.now + 3.0)
                world.kill(name)
                world.run(world.now + away)
                world.start(name, ahead)
                world.run(world.now + 8.0)
                position = world.push({"a": b"2"})
                world.run(world.now + 3.0)
                node = world.processes[name].node
                assert node is not None
                if node.replica.received_position != world.origin.replica.received_position:
                    late.append((name, away, ahead, position))
    assert not late
