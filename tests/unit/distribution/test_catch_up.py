"""Catching up by ranges: the state that results, and what it costs."""

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
    """A parent's keyspace, and its answers."""

    def __init__(self, values: Mapping[str, bytes]) -> None:
        self.keyspace = keyspace_of(values)
        self.position = Position(1, 1)

    def change(self, changes: Changes) -> Delta:
        base, self.position = self.position, Position(1, self.position.number + 1)
        self.keyspace.apply(changes)
        return Delta(base, self.position, self.keyspace.digest, changes, packed_size(changes))

    def answer(self, question: DigestRequest | EntriesRequest) -> DigestResponse | EntriesResponse:
        keyspace = self.keyspace
        if isinstance(question, DigestRequest):
            level = question.level + 1
            prefixes = children_of(question.level, question.prefix) if level else range(64)
            sums = [keyspace.range_digest(level, prefix) for prefix in prefixes]
            return DigestResponse(0, 1, self.position, keyspace.digest, question.level, question.prefix, sums)
        body, leaf, after = keyspace.page(
            question.leaf, question.after_key, question.end_leaf, MAX_BODY_BYTES
        )
        return EntriesResponse(0, 1, question.number, self.position, leaf, after != "", body)


VALUES_OF = {f"shard/{at}": b"%d" % at * 9 for at in range(900)}


@pytest.mark.parametrize("seed", range(12))
def test_catch_up_yields_one_state_despite_lost_duplicated_and_late_answers(seed: int) -> None:
    """Changes, another parent and answers in any order: the result is a state that the parent had."""
    rng = random.Random(seed)
    parent = Parent(VALUES_OF)
    old = keyspace_of({f"shard/{at}": b"old" for at in range(0, 900 if seed % 2 else 3, 2)})
    catch_up = CatchUp(old, 1e6, 0.0)
    now, late, pushes = 0.0, list[DigestResponse | EntriesResponse](), list[Delta]()
    states = {parent.position: dict(parent.keyspace.entries())}
    for turn in range(4000):
        now += 0.05
        answers = [parent.answer(question) for question in catch_up.due_requests(now)]
        answers = [one for one in answers if rng.random() > 0.2]
        late += [one for one in answers if rng.random() < 0.3] + rng.sample(answers, len(answers) // 4)
        rng.shuffle(late)
        for answer in answers + [late.pop() for _ in range(min(len(late), rng.randrange(3)))]:
            if isinstance(answer, DigestResponse):
                catch_up.on_digests(answer)
            else:
                catch_up.on_entries(answer)
        if turn < 40 and rng.random() < 0.5:
            key = f"shard/{rng.randrange(950)}"
            pushes.append(parent.change({key: rng.choice([None, b"new" * rng.randrange(9)])}))
            states[parent.position] = dict(parent.keyspace.entries())
        for delta in pushes:  # sent again until it is received
            if rng.random() > 0.2:
                catch_up.on_delta(delta)
        if turn == 15:
            catch_up.restart()  # another parent
            late.clear()
        result = catch_up.result()
        if result is not None:
            keyspace, position = result
            assert dict(keyspace.entries()) == states[position]
            return
    pytest.fail("it does not end")


def test_catch_up_overrun_by_changes_restarts() -> None:
    parent = Parent(VALUES_OF)
    catch_up = CatchUp(Keyspace(), 1e9, 0.0)
    [question] = list(catch_up.due_requests(0.0))
    answer = parent.answer(question)
    assert isinstance(answer, DigestResponse)
    catch_up.on_digests(answer)
    assert catch_up.frontier == parent.position
    for at in range(MAX_OVERLAY_BYTES // 600 + 9):
        catch_up.on_delta(parent.change({f"large/{at}": bytes(600)}))
        if catch_up.frontier is None:
            break
    assert catch_up.frontier is None
    for at in range(2000):
        for question in list(catch_up.due_requests(float(at))):
            answer = parent.answer(question)
            if isinstance(answer, DigestResponse):
                catch_up.on_digests(answer)
            else:
                catch_up.on_entries(answer)
        if (result := catch_up.result()) is not None:
            assert result[0].digest == parent.keyspace.digest
            return
    pytest.fail("it does not end")


def test_small_answers_are_charged_at_their_actual_size() -> None:
    """Prevents a whole zone that restarts from waiting for a rate that it does not use."""
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


def received_by_a_cold_start(regions: int, entries: int) -> tuple[int, int]:
    """Bytes of datagrams, and of the keys and values in them."""
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
    """Prevents a request for each range, where all keys fit into a few datagrams."""
    received, size = received_by_a_cold_start(1, 300)
    assert received < 1.6 * size


def test_requests_to_another_region_are_not_repeated_within_the_round_trip() -> None:
    """A retry within the round-trip time would fetch each answer twice."""
    received, size = received_by_a_cold_start(5, 3000)
    assert received < 1.5 * size
