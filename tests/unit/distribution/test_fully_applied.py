"""A revision is reported as fully applied: never too early, and not late because of a proxy that moved."""

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
    """A new process does not know its previous parent, which must find out where it is now."""
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
    """A restarted relay does not know the proxy; the origin must remember it."""
    fleet = converged_fleet(*both_ways(8.0, 50.0, ("p00001",), ("control",)))
    fleet.run(13.0)
    fleet.kill("c01")
    fleet.run(15.0)
    fleet.start("c01")
    fleet.run(20.0)
    position = fleet.push({"shard/1": b"new"})
    fleet.run(30.0)
    status = fleet.origin.status(fleet.now)
    assert [(one.name, one.state) for one in status.lagging_nodes] == [("p00001", "unreachable")]
    assert position not in fleet.observer.fully_applied
    fleet.run(60.0)
    assert position in fleet.observer.fully_applied
    assert fleet.observer.false_fully_applied == 0
    assert fleet.origin.status(fleet.now).lagging_nodes == []


@pytest.mark.parametrize("seed", range(1, 9))
def test_proxy_that_changes_its_parent_is_always_in_a_summary(seed: int) -> None:
    """The previous relay must not forget it before the origin has the summary of the new one."""
    fleet = SimulatedFleet(structs.replace(PLAN, seed=seed))
    rejecting = [process for process in fleet.proxies if process.zone == "z1"][:1]
    for process in rejecting:
        process.consumer = SimulatedConsumer(("bad/",))
    fleet.converge(0.0)
    fleet.kill("c01")
    fleet.run(8.0)
    fleet.start("c01")
    position = fleet.push({"bad/1": b"x"})
    fleet.run(60.0)  # they return to the preferred relay meanwhile
    homes = {
        node.subscriber.parent.endpoint.name
        for one in rejecting
        if isinstance(node := one.node, ProxyNode) and node.subscriber.parent is not None
    }
    assert homes == {"c01"}
    assert position not in fleet.observer.fully_applied
    assert fleet.observer.false_fully_applied == 0
    fleet.push({"bad/1": None})
    fleet.run(fleet.now + 3.0)
    assert fleet.disk.position in fleet.observer.fully_applied


def test_process_restarted_with_a_stepped_wall_clock_receives_the_next_change_in_time() -> None:
    """A wall clock may be stepped, forward or back, by seconds or by an hour."""
    late = []
    for name in ("p00000", "c01"):
        for away in (0.5, 5.0, 30.0):
            for ahead in (-3600.0, -5.0, 3600.0):
                fleet = SimulatedFleet(PLAN)
                fleet.converge()
                fleet.push({"a": b"1"})
                fleet.run(fleet.now + 3.0)
                fleet.kill(name)
                fleet.run(fleet.now + away)
                fleet.start(name, ahead)
                fleet.run(fleet.now + 8.0)
                position = fleet.push({"a": b"2"})
                fleet.run(fleet.now + 3.0)
                node = fleet.processes[name].node
                assert node is not None
                if node.replica.received_position != fleet.origin.replica.received_position:
                    late.append((name, away, ahead, position))
    assert not late
