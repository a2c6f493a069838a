"""A revision is never reported as fully applied too early, nor late because a proxy changed its parent."""

from __future__ import annotations

import pytest
from msgspec import structs

from ironmill.distribution.proxy_node import ProxyNode
from ironmill_testbed.faults.fleet_process import SimulatedConsumer
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_fleet import Plan, SimulatedFleet

PLAN = Plan(proxies=22, control=5, entries=50)


def converged_fleet(*faults: Fault) -> SimulatedFleet:
    fleet = SimulatedFleet(PLAN, faults)
    fleet.converge()
    return fleet


def test_proxy_restarted_at_another_parent_is_not_unreachable_at_the_previous_one() -> None:
    """A restarted proxy does not know its previous parent, which must find out the proxy's new parent."""
    fleet = converged_fleet()
    names = [process.name for process in fleet.proxies if process.zone == "z1"]
    fleet.kill("c01")
    fleet.run(fleet.now + 3.0)
    for name in names:
        fleet.kill(name)
    fleet.run(fleet.now + 3.0)
    fleet.start("c01")
    fleet.run(fleet.now + 5.0)
    for name in names:
        fleet.start(name)
    fleet.run(fleet.now + 10.0)
    assert fleet.origin.status(fleet.now).lagging_nodes == []
    position = fleet.push({"shard/1": b"new"})
    fleet.run(fleet.now + 3.0)
    assert position in fleet.observer.fully_applied
    assert fleet.observer.false_fully_applied == 0


def test_proxy_cut_off_stays_unreachable_after_its_relay_restarts() -> None:
    """A restarted relay does not know the proxy; the origin must keep a record of it."""
    fleet = converged_fleet(*both_ways(8.0, 50.0, ("p00001",), ("control",)))
    fleet.run(13.0)
    fleet.kill("c01")
    fleet.run(15.0)
    fleet.start("c01")
    fleet.run(20.0)
    position = fleet.push({"shard/1": b"new"})
    fleet.run(30.0)
    status = fleet.origin.status(fleet.now)
    assert [(node.name, node.state) for node in status.lagging_nodes] == [("p00001", "unreachable")]
    assert position not in fleet.observer.fully_applied
    fleet.run(60.0)
    assert position in fleet.observer.fully_applied
    assert fleet.observer.false_fully_applied == 0
    assert fleet.origin.status(fleet.now).lagging_nodes == []


@pytest.mark.parametrize("seed", range(1, 9))
def test_proxy_that_changes_its_parent_is_always_in_a_summary(seed: int) -> None:
    """The previous relay must not remove the proxy before the origin has a summary of the new one."""
    fleet = SimulatedFleet(structs.replace(PLAN, seed=seed))
    rejecting = [process for process in fleet.proxies if process.zone == "z1"][:1]
    for process in rejecting:
        process.consumer = SimulatedConsumer(("bad/",))
    fleet.converge(0.0)
    fleet.kill("c01")
    fleet.run(8.0)
    fleet.start("c01")
    position = fleet.push({"bad/1": b"x"})
    fleet.run(60.0)  # by then the proxies have returned to their preferred relay
    parents = {
        node.subscriber.parent.endpoint.name
        for rejecting_proxy in rejecting
        if isinstance(node := rejecting_proxy.node, ProxyNode) and node.subscriber.parent is not None
    }
    assert parents == {"c01"}
    assert position not in fleet.observer.fully_applied
    assert fleet.observer.false_fully_applied == 0
    fleet.push({"bad/1": None})
    fleet.run(fleet.now + 3.0)
    assert fleet.disk.position in fleet.observer.fully_applied


def test_process_restarted_with_a_stepped_wall_clock_receives_the_next_change_in_time() -> None:
    """Incarnations are taken from the wall clock, which may be set forward or back, by seconds or an hour."""
    lagging = []
    for name in ("p00000", "c01"):
        for downtime_s in (0.5, 5.0, 30.0):
            for clock_offset_s in (-3600.0, -5.0, 3600.0):
                fleet = SimulatedFleet(PLAN)
                fleet.converge()
                fleet.push({"a": b"1"})
                fleet.run(fleet.now + 3.0)
                fleet.kill(name)
                fleet.run(fleet.now + downtime_s)
                fleet.start(name, clock_offset_s)
                fleet.run(fleet.now + 8.0)
                position = fleet.push({"a": b"2"})
                fleet.run(fleet.now + 3.0)
                node = fleet.processes[name].node
                assert node is not None
                if node.replica.received_position != fleet.origin.replica.received_position:
                    lagging.append((name, downtime_s, clock_offset_s, position))
    assert not lagging
