"""Catch-up by ranges: the resulting state and the traffic it takes."""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest

from ironmill.distribution.catch_up import MAX_OVERLAY_BYTES, CatchUp
from ironmill.distribution.changes import Changes, packed_size
from ironmill.distribution.keyspace import Keyspace, children_of
from ironmill.distribution.messages import (
    MAX_BODY_BYTES,
    DigestRequest,
    DigestResponse,
    EntriesRequest,
    EntriesResponse,
)
from ironmill.distribution.revision import Delta, Position
from ironmill.distribution.timing import Timing
from ironmill_testbed.faults.simulated_fleet import Plan, SimulatedFleet
from tests.unit.distribution.keyspaces import keyspace_of


class Parent:
    """A parent's keyspace, with its responses to range requests."""

    def __init__(self, values: Mapping[str, bytes]) -> None:
        self.keyspace = keyspace_of(values)
        self.position = Position(1, 1)

    def change(self, changes: Changes) -> Delta:
        base, self.position = self.position, Position(1, self.position.number + 1)
        self.keyspace.apply(changes)
        return Delta(base, self.position, self.keyspace.digest, changes, packed_size(changes))

    def respond(self, request: DigestRequest | EntriesRequest) -> DigestResponse | EntriesResponse:
        keyspace = self.keyspace
        if isinstance(request, DigestRequest):
            level = request.level + 1
            prefixes = children_of(request.level, request.prefix) if level else range(64)
            digests = [keyspace.range_digest(level, prefix) for prefix in prefixes]
            return DigestResponse(
                0, 1, self.position, keyspace.digest, request.level, request.prefix, digests
            )
        body, next_leaf, after_key = keyspace.page(
            request.leaf, request.after_key, request.end_leaf, MAX_BODY_BYTES
        )
        return EntriesResponse(0, 1, request.number, self.position, next_leaf, after_key != "", body)


PARENT_VALUES = {f"shard/{number}": b"%d" % number * 9 for number in range(900)}


@pytest.mark.parametrize("seed", range(12))
def test_catch_up_yields_one_state_despite_lost_duplicated_and_late_answers(seed: int) -> None:
    """Guards against a mixed state if the parent or its keyspace changes, or responses are out of order."""
    rng = random.Random(seed)
    parent = Parent(PARENT_VALUES)
    old = keyspace_of({f"shard/{number}": b"old" for number in range(0, 900 if seed % 2 else 3, 2)})
    catch_up = CatchUp(old, 1e6, 0.0)
    now, delayed, deltas = 0.0, list[DigestResponse | EntriesResponse](), list[Delta]()
    states = {parent.position: dict(parent.keyspace.entries())}
    for iteration in range(4000):
        now += 0.05
        responses = [parent.respond(request) for request in catch_up.due_requests(now)]
        responses = [one for one in responses if rng.random() > 0.2]
        delayed += [one for one in responses if rng.random() < 0.3] + rng.sample(
            responses, len(responses) // 4
        )
        rng.shuffle(delayed)
        for response in responses + [delayed.pop() for _ in range(min(len(delayed), rng.randrange(3)))]:
            if isinstance(response, DigestResponse):
                catch_up.on_digests(response)
            else:
                catch_up.on_entries(response)
        if iteration < 40 and rng.random() < 0.5:
            key = f"shard/{rng.randrange(950)}"
            deltas.append(parent.change({key: rng.choice([None, b"new" * rng.randrange(9)])}))
            states[parent.position] = dict(parent.keyspace.entries())
        for delta in deltas:  # resent until received
            if rng.random() > 0.2:
                catch_up.on_delta(delta)
        if iteration == 15:
            catch_up.restart()  # as after a change of parent
            delayed.clear()
        result = catch_up.result()
        if result is not None:
            keyspace, position = result
            assert dict(keyspace.entries()) == states[position]
            return
    pytest.fail("catch-up did not complete")


def test_catch_up_overrun_by_changes_restarts() -> None:
    parent = Parent(PARENT_VALUES)
    catch_up = CatchUp(Keyspace(), 1e9, 0.0)
    [request] = list(catch_up.due_requests(0.0))
    response = parent.respond(request)
    assert isinstance(response, DigestResponse)
    catch_up.on_digests(response)
    assert catch_up.frontier == parent.position
    for number in range(MAX_OVERLAY_BYTES // 600 + 9):
        catch_up.on_delta(parent.change({f"large/{number}": bytes(600)}))
        if catch_up.frontier is None:
            break
    assert catch_up.frontier is None
    for second in range(2000):
        for request in list(catch_up.due_requests(float(second))):
            response = parent.respond(request)
            if isinstance(response, DigestResponse):
                catch_up.on_digests(response)
            else:
                catch_up.on_entries(response)
        if (result := catch_up.result()) is not None:
            assert result[0].digest == parent.keyspace.digest
            return
    pytest.fail("catch-up did not complete")


def test_small_answers_are_charged_at_their_actual_size() -> None:
    """Charging each response at its maximum size would slow down the catch-up when a whole zone restarts."""
    plan = Plan(proxies=40, control=2, entries=300, standby=False)
    fleet = SimulatedFleet(plan, timing=Timing(serve_bytes_per_s=1 << 20))
    fleet.converge()
    for process in fleet.proxies:
        fleet.kill(process.name)
    fleet.run(fleet.now + 2.0)
    for process in fleet.proxies:
        fleet.start(process.name)
    fleet.run(fleet.now + 10.0)
    assert len(fleet.observer.catch_ups) == 40
    assert max(fleet.observer.catch_ups) < 3.0


def measure_first_start(regions: int, entries: int) -> tuple[int, int]:
    """Returns the bytes that a proxy without state receives, and the bytes of all keys and values."""
    plan = Plan(proxies=1, control=2, regions=regions, entries=entries, standby=False)
    fleet = SimulatedFleet(plan)
    fleet.converge()
    fleet.kill("p00000")
    fleet.run(fleet.now + 2.0)
    fleet.start("p00000")
    fleet.run(fleet.now + 5.0)
    assert len(fleet.observer.catch_ups) == 1
    return fleet.processes["p00000"].received_bytes, fleet.origin.replica.keyspace.size


def test_first_start_with_few_keys_needs_few_answers() -> None:
    """Requesting each range separately would be wasteful if all keys fit into a few datagrams."""
    received, size = measure_first_start(1, 300)
    assert received < 1.6 * size


def test_requests_to_another_region_are_not_repeated_within_the_round_trip() -> None:
    """A retry within the round-trip time would fetch each response twice."""
    received, size = measure_first_start(5, 3000)
    assert received < 1.5 * size
