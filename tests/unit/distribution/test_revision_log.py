"""The revision log returns a delta from every covered position, limited in size."""

from __future__ import annotations

import random

import pytest

from ironmill.distribution.changes import MAX_REVISION_BYTES, MAX_REVISION_CHANGES, Changes, packed_size
from ironmill.distribution.keyspace import Keyspace
from ironmill.distribution.revision import START, Delta, Position
from ironmill.distribution.revision_log import MAX_DELTA_BYTES, RevisionLog
from ironmill_testbed.faults.simulated_fleet import Plan, SimulatedFleet
from tests.unit.distribution.keyspaces import applied


def steps_of(count: int, size: int = 10) -> list[tuple[Delta, dict[str, bytes]]]:
    """Returns steps of one history, each with the keys and values after it."""
    values: dict[str, bytes] = {}
    steps, keyspace, rng = [], Keyspace(), random.Random(4)
    for number in range(1, count + 1):
        changes: Changes = {f"k{rng.randrange(6)}": rng.choice([None, bytes([number % 256]) * size])}
        base = Position(1, number - 1) if number > 1 else START
        values = applied(values, changes)
        keyspace.apply(changes)
        steps.append(
            (Delta(base, Position(1, number), keyspace.digest, changes, packed_size(changes)), dict(values))
        )
    return steps


def test_log_leads_from_each_covered_base_to_the_latest_state() -> None:
    log, steps = RevisionLog(max_steps=20), steps_of(50)
    for delta, _ in steps:
        log.append(delta)
    assert len(log) == 20
    for index, (delta, values) in enumerate(steps[:-1]):
        merged = log.delta_since(delta.target)
        assert log.covers(delta.target) is (merged is not None) is (index >= 29)
        if merged is not None:
            assert (merged.base, merged.target, merged.digest) == (
                delta.target,
                steps[-1][0].target,
                steps[-1][0].digest,
            )
            assert applied(values, merged.changes) == steps[-1][1]
    assert log.delta_since(steps[-1][0].target) is None
    assert log.delta_since(Position(2, 0)) is None


def test_base_within_a_merged_step_gets_all_of_that_step() -> None:
    log, steps = RevisionLog(), steps_of(30)
    states = {delta.target: values for delta, values in steps}
    for first in range(0, 30, 3):  # as in a relay that receives three steps merged into one
        merged_steps = [delta for delta, _ in steps[first : first + 3]]
        changes: Changes = {}
        for delta in merged_steps:
            changes |= delta.changes
        log.append(
            Delta(
                merged_steps[0].base,
                merged_steps[-1].target,
                merged_steps[-1].digest,
                changes,
                packed_size(changes),
            )
        )
    for target, values in states.items():
        merged = log.delta_since(target)
        if merged is not None:
            assert merged.base == target
            assert applied(values, merged.changes) == states[merged.target]


def test_log_and_each_delta_are_limited_in_bytes() -> None:
    log = RevisionLog(max_bytes=100_000)
    base = START
    for number in range(1, 2000):
        changes: Changes = {f"k{number}": bytes(300)}
        target = Position(1, number)
        log.append(Delta(base, target, number, changes, packed_size(changes)))
        base = target
    assert log.size <= 100_000
    assert len(log) < 400
    log = RevisionLog()
    base = START
    for number in range(1, 2000):
        changes = {f"k{number}": bytes(300)}
        log.append(Delta(base, Position(1, number), number, changes, packed_size(changes)))
        base = Position(1, number)
    merged = log.delta_since(START)
    assert merged is not None
    assert merged.size <= MAX_DELTA_BYTES
    assert merged.target < base
    following = log.delta_since(merged.target)
    assert following is not None
    assert following.base == merged.target


@pytest.mark.parametrize("entry_bytes", [30, 312, 471, 600, 843])
def test_merged_delta_fits_into_the_datagrams_of_one_delta(entry_bytes: int) -> None:
    """A child would never catch up if the log returned a delta with too many datagrams to be sent."""
    fleet = SimulatedFleet(Plan(proxies=3, control=2, regions=1, zones=1, entries=20))
    fleet.converge()
    fleet.pause("p00001", fleet.now + 2.5)
    value_bytes = min(640, entry_bytes - 20)
    key_bytes = entry_bytes - 3 - value_bytes
    for revision in "abc":
        keys = [
            f"{revision}{index:04d}".ljust(key_bytes, "x")
            for index in range(MAX_REVISION_BYTES // entry_bytes)
        ]
        fleet.push(dict.fromkeys(keys[:MAX_REVISION_CHANGES], bytes(value_bytes)))
        fleet.run(fleet.now + 0.3)
    fleet.run(fleet.now + 10.0)
    positions = {process.node.replica.applied_position for process in fleet.proxies}
    assert positions == {fleet.disk.position}
