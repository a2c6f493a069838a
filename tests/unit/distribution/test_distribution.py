"""Parts of distribution by themselves: keyspace, log, replica, codec, and bad input at both sides."""

from __future__ import annotations

import random
import tracemalloc
from collections.abc import Mapping
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct

from ironmill.distribution import messages
from ironmill.distribution.catch_up import MAX_OVERLAY_BYTES, CatchUp
from ironmill.distribution.changes import Changes, check_changes, pack_entry, packed_size, unpack_entries
from ironmill.distribution.codec import Codec
from ironmill.distribution.errors import RevisionError
from ironmill.distribution.events import Event, RevisionApplied, RevisionRejected
from ironmill.distribution.keyspace import LEAVES, LEVEL_BITS, Keyspace, children_of, leaf_digest, leaf_of
from ironmill.distribution.messages import (
    MAX_BODY_BYTES,
    DeltaChunk,
    DigestRequest,
    DigestResponse,
    Endpoint,
    EntriesRequest,
    EntriesResponse,
    Poll,
    PollResponse,
)
from ironmill.distribution.node import Node
from ironmill.distribution.parent_selector import rank_endpoints
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.relay import Relay
from ironmill.distribution.replica import MAX_PENDING_BYTES, Replica
from ironmill.distribution.revision import START, Delta, Position, Rejection
from ironmill.distribution.revision_log import MAX_DELTA_BYTES, RevisionLog
from ironmill.membership.identity import MemberIdentity
from ironmill_testbed.faults.fleet_world import KEY, FleetWorld, Plan

KEYS = st.text("abß/", min_size=1, max_size=6) | st.integers(0, 400).map(lambda at: f"shard/{at}")
VALUES = st.binary(max_size=30) | st.integers(0, 640).map(bytes)
CHANGES = st.dictionaries(KEYS, st.none() | VALUES, min_size=1, max_size=30)


def whole(values: Mapping[str, bytes]) -> Keyspace:
    keyspace = Keyspace()
    for key, value in values.items():
        keyspace.put(key, value)
    return keyspace


def applied(values: Mapping[str, bytes], changes: Changes) -> dict[str, bytes]:
    return {key: value for key, value in {**values, **changes}.items() if value is not None}


# Keyspace


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(CHANGES, max_size=8))
def test_a_keyspace_is_a_dictionary_with_digests(steps: list[Changes]) -> None:
    keyspace, model = Keyspace(), dict[str, bytes]()
    for changes in steps:
        expected = keyspace.digest_after(changes)
        keyspace.apply(changes)
        model = applied(model, changes)
        assert keyspace.digest == expected
    assert dict(keyspace.entries()) == model
    assert keyspace.count == len(model)
    assert keyspace.size == packed_size(dict(model))
    other = whole(dict(reversed(model.items())))  # the order of changes does not matter
    assert other.digest == keyspace.digest
    for level in range(len(LEVEL_BITS) - 1):
        for prefix in {leaf_of(key.encode()) >> (LEVEL_BITS[-1] - LEVEL_BITS[level]) for key in model}:
            below = [keyspace.range_digest(level + 1, one) for one in children_of(level, prefix)]
            assert (
                keyspace.range_digest(level, prefix)
                == other.range_digest(level, prefix)
                == sum(below) % (1 << 64)
            )
    for key in model:
        assert keyspace.get(key) == model[key]
        leaf = leaf_of(key.encode())
        assert keyspace.range_digest(len(LEVEL_BITS) - 1, leaf) == leaf_digest(keyspace.leaf(leaf))


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.dictionaries(KEYS, VALUES, max_size=60), st.integers(0, LEAVES - 1), st.integers(MAX_BODY_BYTES, 2000)
)
def test_pages_hold_each_entry_of_a_range_once(values: dict[str, bytes], start: int, room: int) -> None:
    keyspace = whole(values)
    found: list[tuple[str, bytes | None]] = []
    leaf, after = start, ""
    while leaf < LEAVES:
        body, leaf, after = keyspace.page(leaf, after, LEAVES, room)
        assert len(body) <= room
        assert body or leaf == LEAVES
        found += unpack_entries(body)
    wanted = {key: value for key, value in values.items() if leaf_of(key.encode()) >= start}
    assert len(found) == len(wanted)
    assert dict(found) == wanted


@settings(max_examples=60, derandomize=True, deadline=None)
@given(CHANGES)
def test_packed_entries_come_back_and_cut_ones_do_not(changes: Changes) -> None:
    data = b"".join(pack_entry(key, value) for key, value in changes.items())
    assert dict(unpack_entries(data)) == changes
    assert len(data) == packed_size(changes)
    ends = {0}
    for key, value in changes.items():
        ends.add(max(ends) + len(pack_entry(key, value)))
    for cut in range(0, len(data), 7):
        if cut not in ends:
            with pytest.raises(ValueError, match=r"cut off|out of bounds"):
                list(unpack_entries(data[:cut]))


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"": b"1"},
        {"a" * 201: b""},
        {"a\n": b""},
        {"\ud800": b""},
        {"a": bytes(641)},
        {f"{at}": None for at in range(4097)},
        {f"{at}": bytes(640) for at in range(110)},
    ],
)
def test_what_is_no_revision_is_refused(changes: Changes) -> None:
    with pytest.raises(RevisionError):
        check_changes(changes)


# Log


def steps_of(count: int, size: int = 10) -> list[tuple[Delta, dict[str, bytes]]]:
    """Steps of one history, with the state after each."""
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


def test_a_log_leads_from_each_base_it_reaches_to_the_newest_state() -> None:
    log, steps = RevisionLog(max_steps=20), steps_of(50)
    for delta, _ in steps:
        log.append(delta)
    assert len(log) == 20
    for at, (delta, values) in enumerate(steps[:-1]):
        folded = log.delta_since(delta.target)
        assert log.covers(delta.target) is (folded is not None) is (at >= 29)
        if folded is not None:
            assert (folded.base, folded.target, folded.digest) == (
                delta.target,
                steps[-1][0].target,
                steps[-1][0].digest,
            )
            assert applied(values, folded.changes) == steps[-1][1]
    assert log.delta_since(steps[-1][0].target) is None
    assert log.delta_since(Position(2, 0)) is None


def test_a_base_between_two_steps_gets_the_whole_of_the_step_that_it_lies_in() -> None:
    log, steps = RevisionLog(), steps_of(30)
    states = {delta.target: values for delta, values in steps}
    for at in range(0, 30, 3):  # a relay that took three at a time
        part = [delta for delta, _ in steps[at : at + 3]]
        changes: Changes = {}
        for delta in part:
            changes |= delta.changes
        log.append(Delta(part[0].base, part[-1].target, part[-1].digest, changes, packed_size(changes)))
    for target, values in states.items():
        folded = log.delta_since(target)
        if folded is not None:
            assert folded.base == target
            assert applied(values, folded.changes) == states[folded.target]


def test_a_log_is_bounded_in_bytes_and_so_is_one_step_of_it() -> None:
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
    folded = log.delta_since(START)
    assert folded is not None
    assert folded.size <= MAX_DELTA_BYTES
    assert folded.target < base
    following = log.delta_since(folded.target)
    assert following is not None
    assert following.base == folded.target


# Replica


class Picky:
    """Refuses values of bad/, and falls over at worse/."""

    looked_up: tuple[str, ...] = ("shard/",)

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        for key, value in changes.items():
            if key.startswith("worse/") and value is not None:
                raise RuntimeError("fell over")
            if key.startswith("bad/") and value is not None:
                return Rejection(key, "bad" * 100)
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        self.values = applied(self.values, dict(changes))


def replica_of() -> tuple[Replica, Picky, list[Event]]:
    consumer, events = Picky(), list[Event]()
    return Replica(events.append, consumer), consumer, events


def step(replica: Replica, at: Position, full: Keyspace, changes: Changes) -> Delta:
    full.apply(changes)
    return Delta(replica.received_position, at, full.digest, changes, packed_size(changes))


def test_a_refused_step_waits_whole_until_what_it_is_with_later_ones_passes() -> None:
    replica, consumer, events = replica_of()
    full = Keyspace()
    for number, changes in enumerate(
        [{"a": b"1"}, {"a": b"2", "bad/1": b"x"}, {"b": b"1"}, {"worse/1": b"x"}], start=1
    ):
        assert replica.apply_delta(step(replica, Position(1, number), full, dict(changes)))
        assert (replica.applied_position, replica.received_position) == (Position(1, 1), Position(1, number))
        assert consumer.values == {"a": b"1"} == dict(replica.keyspace.entries())
    assert [type(event) for event in events] == [
        RevisionApplied,
        RevisionRejected,
        RevisionRejected,
        RevisionRejected,
    ]
    assert replica.rejection is not None
    assert len(replica.rejection.reason) <= messages.MAX_REASON_LENGTH
    assert replica.apply_delta(step(replica, Position(1, 5), full, {"bad/1": None, "worse/1": None}))
    assert replica.applied_position == Position(1, 5)
    assert consumer.values == {"a": b"2", "b": b"1"} == dict(replica.keyspace.entries())
    assert replica.rejection is None


def test_a_step_that_does_not_follow_or_gives_another_digest_changes_nothing() -> None:
    replica, consumer, _ = replica_of()
    full = Keyspace()
    assert replica.apply_delta(step(replica, Position(1, 1), full, {"a": b"1"}))
    before = (replica.received_position, replica.digest, dict(consumer.values))
    digest = full.digest_after({"a": b"2"})
    for base, target, wrong in (
        (START, Position(1, 2), digest),
        (Position(1, 1), Position(1, 1), digest),
        (Position(1, 1), Position(0, 9), digest),
        (Position(1, 1), Position(1, 2), digest + 1),
    ):
        assert not replica.apply_delta(Delta(base, target, wrong, {"a": b"2"}, 5))
        assert (replica.received_position, replica.digest, consumer.values) == before


def test_what_waits_beyond_its_bound_is_let_go_and_asked_for_again() -> None:
    replica, _, _ = replica_of()
    full = Keyspace()
    number = 0
    while not replica.has_lost_pending:
        number += 1
        changes: Changes = {f"k{number}/{at}": bytes(600) for at in range(80)} | {"bad/1": b"x"}
        assert replica.apply_delta(step(replica, Position(1, number), full, changes))
        assert number < MAX_PENDING_BYTES // 40_000 + 2
    assert not replica.apply_delta(step(replica, Position(1, number + 1), full, {"a": b"1"}))
    replica.discard_pending()
    assert (replica.received_position, replica.digest) == (replica.applied_position, replica.keyspace.digest)


def test_the_nothing_of_a_parent_that_has_just_started_does_not_come_into_force() -> None:
    """A proxy that was catching up when its parent changed told position 0.0 as in force."""
    replica, _, events = replica_of()
    replica.replace_keyspace(Keyspace(), START)
    assert events == []


def test_a_whole_keyspace_brings_the_consumer_the_difference_and_nothing_that_is_looked_up() -> None:
    replica, consumer, _ = replica_of()
    replica.replace_keyspace(whole({"a": b"1", "b": b"1", "shard/1": b"s"}), Position(1, 3))
    assert consumer.values == {"a": b"1", "b": b"1"}
    assert replica.keyspace.get("shard/1") == b"s"
    replica.replace_keyspace(whole({"b": b"2"}), Position(1, 2))  # an older one
    replica.replace_keyspace(whole({}), START)
    assert replica.applied_position == Position(1, 3)
    replica.replace_keyspace(whole({"b": b"2"}), Position(1, 4))
    assert consumer.values == {"b": b"2"}
    replica.replace_keyspace(whole({"bad/1": b"2"}), Position(1, 5))
    assert (replica.applied_position, replica.received_position) == (Position(1, 4), Position(1, 5))
    assert replica.has_lost_pending


# Catching up


class Parent:
    """The state that a parent has at any moment."""

    def __init__(self, values: Mapping[str, bytes]) -> None:
        self.keyspace = whole(values)
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
def test_catching_up_gives_one_state_though_pages_are_lost_doubled_and_late(seed: int) -> None:
    """Changes, a change of parent, and answers in any order; what comes out is the parent's state, whole."""
    rng = random.Random(seed)
    parent = Parent(VALUES_OF)
    old = whole({f"shard/{at}": b"old" for at in range(0, 900 if seed % 2 else 3, 2)})
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
        for delta in pushes:  # sent again until it is held
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


def test_a_catching_up_that_is_overrun_by_changes_begins_again() -> None:
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


# Bad input


PLAN = Plan(proxies=3, control=3, regions=1, zones=1, entries=40, standby=False)


def settled() -> FleetWorld:
    world = FleetWorld(PLAN)
    world.settle()
    return world


def node_of(world: FleetWorld, name: str) -> Node:
    node = world.processes[name].node
    assert node is not None
    return node


def parent_of(world: FleetWorld) -> tuple[ProxyNode, str]:
    leaf = node_of(world, "p00000")
    assert isinstance(leaf, ProxyNode)
    assert leaf.subscriber.parent is not None
    return leaf, leaf.subscriber.parent.endpoint.name


def signed(
    world: FleetWorld,
    sender: str,
    message: messages.Message,
    to: str = "",
    count: int = 1 << 30,
    cluster: str = "sim",
    key: bytes = KEY,
) -> bytes:
    return Codec(cluster, [key]).encode(node_of(world, sender).identity, to, count, message)


def part(world: FleetWorld, leaf: ProxyNode, **changes: Any) -> DeltaChunk:
    """A good next step for the proxy, but for what is changed."""
    token = leaf.link.tokens.issue(leaf.subscriber.parent.endpoint.name, 0, world.now)  # type: ignore[union-attr]
    held = leaf.replica.received_position
    fields: dict[str, Any] = {
        "echo": token,
        "lineage": leaf.replica.lineage,
        "term": leaf.subscriber.term,
        "base": held,
        "target": Position(held.epoch, held.number + 1),
        "digest": leaf.replica.keyspace.digest_after({"a": b"1"}),
        "index": 0,
        "count": 1,
        "body": pack_entry("a", b"1"),
    }
    return DeltaChunk(**(fields | changes))


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({"echo": 0}, "unproven"),
        ({"echo": 12345}, "unproven"),
        ({"lineage": 5}, "lineage"),
        ({"term": 0}, "old term"),
        ({"base": Position(0, 5)}, "out of order"),
        ({"target": Position(1, 1), "base": Position(1, 0)}, "out of order"),
        ({"count": 257}, "malformed"),
        ({"index": 1}, "malformed"),
        ({"index": -1}, "malformed"),
        ({"count": 0}, "malformed"),
        ({"target": Position(1 << 62, 1)}, "malformed"),
        ({"body": b"\x05ab"}, "malformed"),
        ({"digest": 1}, "digest"),
    ],
)
def test_a_step_that_is_not_good_is_counted_and_changes_nothing(changes: dict[str, Any], why: str) -> None:
    world = settled()
    leaf, parent = parent_of(world)
    before = (leaf.replica.received_position, leaf.replica.applied_position, leaf.replica.keyspace.digest)
    address = node_of(world, parent).identity.address
    leaf.receive(signed(world, parent, part(world, leaf, **changes), leaf.identity.name), address, world.now)
    assert leaf.dropped.get(why) == 1
    assert (
        leaf.replica.received_position,
        leaf.replica.applied_position,
        leaf.replica.keyspace.digest,
    ) == before
    leaf.receive(signed(world, parent, part(world, leaf), leaf.identity.name), address, world.now)
    if why != "digest":  # after that one it looks for what differs
        assert leaf.lookup("a") == b"1"


def test_a_good_step_twice_counts_once() -> None:
    world = settled()
    leaf, parent = parent_of(world)
    address = node_of(world, parent).identity.address
    data = signed(world, parent, part(world, leaf), leaf.identity.name)
    leaf.receive(data, address, world.now)
    held = leaf.replica.received_position
    leaf.receive(data, address, world.now)
    assert leaf.replica.received_position == held
    assert leaf.dropped == {"out of order": 1}


@pytest.mark.parametrize("name", ["p00000", "c01", "origin"])
def test_datagrams_that_are_not_of_this_cluster_are_counted_and_dropped(name: str) -> None:
    world = settled()
    node, other = node_of(world, name), "c02"
    address = node_of(world, other).identity.address
    word = PollResponse(1, 1, 77, 1, START, 0, True, 1, True)
    good = signed(world, other, word)
    for data, why in (
        (b"", "truncated"),
        (good[:16], "truncated"),
        (good[:40], "forged"),
        (good[:-1] + b"\x7f", "forged"),
        (bytes(1201), "oversized"),
        (signed(world, other, word, key=bytes(16)), "forged"),
        (signed(world, other, word, cluster="else"), "foreign"),
        (signed(world, other, word, to="nobody"), "misdirected"),
        (signed(world, name, word), "misdirected"),
    ):
        before = node.dropped.get(why, 0)
        assert node.receive(data, address, world.now) == []
        assert node.dropped[why] == before + 1


def test_a_format_that_is_not_known_is_malformed() -> None:
    world = settled()
    leaf, parent = parent_of(world)
    codec = Codec("sim", [KEY])

    class Other(Struct, array_like=True, tag=77):
        text: str

    data = codec.encode(node_of(world, parent).identity, "", 1 << 30, Other("x"))  # type: ignore[arg-type]
    leaf.receive(data, node_of(world, parent).identity.address, world.now)
    assert leaf.dropped == {"malformed": 1}


def test_an_old_poll_is_a_replay_and_does_not_put_a_child_back() -> None:
    world = settled()
    leaf, parent = parent_of(world)
    relay = node_of(world, parent)
    assert isinstance(relay, Relay)
    polls: list[bytes] = []
    now = world.now
    while len(polls) < 2:
        now += 0.1
        made = [
            data
            for address, data in leaf.tick(now)
            if address == relay.identity.address
            and isinstance(Codec("sim", [KEY]).decode(data).message, Poll)
        ]
        polls += made
        for data in made:
            for _, answer in relay.receive(data, leaf.identity.address, now):
                leaf.receive(answer, relay.identity.address, now)
    before = relay.publisher.children["p00000"].poll_count
    relay.receive(polls[0], leaf.identity.address, now)
    assert relay.dropped.get("replayed") == 1
    assert relay.publisher.children["p00000"].poll_count == before


def test_memory_does_not_grow_with_bad_datagrams() -> None:
    """Strangers under the right key, each with another name: nothing is kept of whom nothing is proven of."""
    world = settled()
    relay = node_of(world, "c01")
    assert isinstance(relay, Relay)
    codec, rng = Codec("sim", [KEY]), random.Random(3)

    def flood(count: int) -> None:
        for at in range(count):
            card = MemberIdentity(f"stranger{rng.random()}", "10.9.9.9", 7, "z0", "r0", 5)
            echo = rng.randrange(1 << 30)
            poll = Poll(echo, 1, bool(at % 2), 77, START, START, 1, 0, ["c02"], "z0", 0, START, [])
            relay.receive(codec.encode(card, "", at, poll), card.address, world.now)
            fetch = EntriesRequest(rng.randrange(1 << 30), 1, at, 0, "", LEAVES)
            relay.receive(codec.encode(card, "", at, fetch), card.address, world.now)
            moved = messages.ChildMoved(card.name, 5, 1)
            relay.receive(codec.encode(card, "", at, moved), card.address, world.now)
            sought = messages.FindChildRequest([messages.UnreachableChild(card.name, "z0", START, 5, 1)])
            relay.receive(codec.encode(card, "", at, sought), card.address, world.now)
            relay.receive(rng.randbytes(200), card.address, world.now)

    flood(200)
    children = len(relay.publisher.children)
    tracemalloc.start()
    flood(2000)
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(relay.publisher.children) == children
    assert grown < 20_000
    assert set(relay.dropped) <= {"unproven", "stranger", "forged"}


def test_another_history_is_never_taken_for_this_one() -> None:
    """A parent of another lineage, under the same key: the proxy goes on with what it has."""
    world = settled()
    leaf, parent = parent_of(world)
    card = node_of(world, parent).identity
    token = leaf.link.tokens.issue(parent, 0, world.now)
    word = PollResponse(token, 1, 78, 9, Position(9, 9), 0, True, 1, True)
    leaf.receive(signed(world, parent, word, leaf.identity.name), card.address, world.now)
    assert leaf.dropped == {"lineage": 1}
    assert leaf.subscriber.term == 1


def test_a_place_is_preferred_by_zone_then_region_and_evenly_within() -> None:
    places = [Endpoint(f"c{at:02d}", ("h", at), f"z{at % 11}", f"r{at % 11 % 5}") for at in range(26)]
    firsts: dict[str, int] = {}
    for at in range(2800):
        zone = f"z{at % 11}"
        order = rank_endpoints(f"p{at}", zone, f"r{at % 11 % 5}", places)
        assert order[0].zone == zone
        ranks = [0 if p.zone == zone else 1 if p.region == f"r{at % 11 % 5}" else 2 for p in order]
        assert ranks == sorted(ranks)
        firsts[order[0].name] = firsts.get(order[0].name, 0) + 1
    assert max(firsts.values()) < 1.5 * 2800 / 22
    assert len(firsts) == 26
