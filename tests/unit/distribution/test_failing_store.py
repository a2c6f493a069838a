"""An origin whose store fails stays available and rejects changes."""

from __future__ import annotations

from typing import Any

import pytest

from ironmill.distribution.errors import StoreError
from ironmill.distribution.events import Event, StoreFailing
from ironmill.distribution.revision import Position
from ironmill_testbed.faults.fleet_process import FleetProcess
from ironmill_testbed.faults.simulated_fleet import Plan, SimulatedFleet

PLAN = Plan(proxies=4, control=3, entries=20)


def converged_fleet() -> tuple[SimulatedFleet, list[Event]]:
    fleet = SimulatedFleet(PLAN)
    events: list[Event] = []
    observe_event = fleet.observer.on_event

    def on_event(process: FleetProcess, event: Event) -> None:
        observe_event(process, event)
        if process.role == "origin":
            events.append(event)

    fleet.observer.on_event = on_event  # type: ignore[method-assign]
    fleet.converge()
    return fleet, events


def test_origin_survives_a_fleet_ahead_of_its_failing_store() -> None:
    """A store that fails while the origin records the fleet's epoch must not end the process."""
    fleet, events = converged_fleet()
    fleet.push({"a": b"1"})
    fleet.run(fleet.now + 1.0)
    fleet.kill("origin")
    fleet.disk.position = Position(1, 1)  # an older copy of the store was restored
    fleet.disk.epoch = 0
    del fleet.disk.values["a"]
    fleet.disk.failure = "fails"
    fleet.start("origin")
    fleet.run(fleet.now + 5.0)
    assert [type(event) for event in events].count(StoreFailing) == 1
    with pytest.raises(StoreError):
        fleet.push({"b": b"1"})
    fleet.disk.failure = ""
    fleet.run(fleet.now + 2.0)
    assert fleet.disk.observed == 1


def test_origin_with_a_higher_epoch_writes_while_the_fleet_is_ahead_of_its_store() -> None:
    """A restarted origin has a higher epoch than the fleet, and must accept pushes again."""
    fleet, _ = converged_fleet()
    fleet.push({"a": b"1"})
    fleet.run(fleet.now + 1.0)
    fleet.kill("origin")
    fleet.disk.position = Position(1, 1)
    del fleet.disk.values["a"]
    fleet.start("origin")
    fleet.run(fleet.now + 5.0)
    fleet.push({"b": b"1"})
    fleet.run(fleet.now + 3.0)
    assert fleet.disk.position > Position(1, 2)
    assert {
        observed.applied_position
        for name, observed in fleet.observer.processes.items()
        if name.startswith("p")
    } == {fleet.disk.position}


@pytest.mark.parametrize("failure", ["fails", "full"])
def test_change_that_the_store_does_not_commit_is_applied_nowhere(failure: Any) -> None:
    fleet, _ = converged_fleet()
    before = fleet.disk.position
    fleet.disk.failure = failure
    with pytest.raises(StoreError):
        fleet.push({"a": b"1"})
    fleet.run(fleet.now + 2.0)
    assert {
        observed.applied_position
        for name, observed in fleet.observer.processes.items()
        if name.startswith("p")
    } == {before}
    fleet.disk.failure = ""
    position = fleet.push({"a": b"1"})
    fleet.run(fleet.now + 2.0)
    assert position in fleet.observer.fully_applied
    assert fleet.observer.broken == []
