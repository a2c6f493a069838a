"""An origin whose store fails: it goes on answering, and refuses changes clearly."""

from __future__ import annotations

from typing import Any

import pytest

from ironmill.distribution.errors import StoreError
from ironmill.distribution.events import Event, StoreFailing
from ironmill.distribution.revision import Position
from ironmill_testbed.faults.fleet_world import FleetWorld, Plan, Process

PLAN = Plan(proxies=4, control=3, entries=20)


def settled() -> tuple[FleetWorld, list[Event]]:
    world = FleetWorld(PLAN)
    events: list[Event] = []
    inner = world.watch.on_event

    def on_event(process: Process, event: Event) -> None:
        inner(process, event)
        if process.role == "origin":
            events.append(event)

    world.watch.on_event = on_event  # type: ignore[method-assign]
    world.settle()
    return world, events


def test_origin_survives_a_fleet_ahead_of_its_failing_store() -> None:
    """The store was told from within ``receive``, and what it raised ended the process."""
    world, events = settled()
    world.push({"a": b"1"})
    world.run(world.now + 1.0)
    world.kill("origin")
    world.disk.position = Position(1, 1)  # an older copy of the store was put back
    world.disk.epoch = 0
    del world.disk.values["a"]
    world.disk.trouble = "fails"
    world.start("origin")
    world.run(world.now + 5.0)
    assert [type(event) for event in events].count(StoreFailing) == 1
    with pytest.raises(StoreError):
        world.push({"b": b"1"})
    world.disk.trouble = ""
    world.run(world.now + 2.0)
    assert world.disk.observed == 1


def test_origin_with_a_higher_epoch_writes_while_the_fleet_is_ahead_of_its_store() -> None:
    """It told to start again for a higher epoch, and refused again after each start, for ever."""
    world, _ = settled()
    world.push({"a": b"1"})
    world.run(world.now + 1.0)
    world.kill("origin")
    world.disk.position = Position(1, 1)
    del world.disk.values["a"]
    world.start("origin")
    world.run(world.now + 5.0)
    world.push({"b": b"1"})
    world.run(world.now + 3.0)
    assert world.disk.position > Position(1, 2)
    assert {one.in_force for name, one in world.watch.seen.items() if name.startswith("p")} == {
        world.disk.position
    }


@pytest.mark.parametrize("trouble", ["fails", "full"])
def test_change_that_the_store_does_not_commit_is_applied_nowhere(trouble: Any) -> None:
    world, _ = settled()
    before = world.disk.position
    world.disk.trouble = trouble
    with pytest.raises(StoreError):
        world.push({"a": b"1"})
    world.run(world.now + 2.0)
    assert {one.in_force for name, one in world.watch.seen.items() if name.startswith("p")} == {before}
    world.disk.trouble = ""
    position = world.push({"a": b"1"})
    world.run(world.now + 2.0)
    assert position in world.watch.everywhere
    assert world.watch.broken == []
