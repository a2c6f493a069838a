"""Datagrams that are malformed, forged, repeated or of another history are counted and change nothing."""

from __future__ import annotations

import random
import tracemalloc
from typing import Any

import pytest
from msgspec import Struct

from ironmill.distribution import messages
from ironmill.distribution.changes import pack_entry
from ironmill.distribution.codec import Codec
from ironmill.distribution.keyspace import LEAVES
from ironmill.distribution.messages import (
    DeltaChunk,
    EntriesRequest,
    Poll,
    PollResponse,
)
from ironmill.distribution.node import Node
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.relay import Relay
from ironmill.distribution.revision import START, Position
from ironmill.membership.identity import MemberIdentity
from ironmill_testbed.faults.simulated_fleet import KEY, Plan, SimulatedFleet

PLAN = Plan(proxies=3, control=3, regions=1, zones=1, entries=40, standby=False)


def converged_fleet() -> SimulatedFleet:
    fleet = SimulatedFleet(PLAN)
    fleet.converge()
    return fleet


def node_of(fleet: SimulatedFleet, name: str) -> Node:
    node = fleet.processes[name].node
    assert node is not None
    return node


def parent_of(fleet: SimulatedFleet) -> tuple[ProxyNode, str]:
    leaf = node_of(fleet, "p00000")
    assert isinstance(leaf, ProxyNode)
    assert leaf.subscriber.parent is not None
    return leaf, leaf.subscriber.parent.endpoint.name


def signed(
    fleet: SimulatedFleet,
    sender: str,
    message: messages.Message,
    to: str = "",
    count: int = 1 << 30,
    cluster: str = "sim",
    key: bytes = KEY,
) -> bytes:
    return Codec(cluster, [key]).encode(node_of(fleet, sender).identity, to, count, message)


def part(fleet: SimulatedFleet, leaf: ProxyNode, **changes: Any) -> DeltaChunk:
    """Returns a valid next delta for the proxy, with some fields changed."""
    token = leaf.link.tokens.issue(leaf.subscriber.parent.endpoint.name, 0, fleet.now)  # type: ignore[union-attr]
    received = leaf.replica.received_position
    fields: dict[str, Any] = {
        "echo": token,
        "lineage": leaf.replica.lineage,
        "term": leaf.subscriber.term,
        "base": received,
        "target": Position(received.epoch, received.number + 1),
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
def test_invalid_delta_is_counted_and_changes_nothing(changes: dict[str, Any], why: str) -> None:
    fleet = converged_fleet()
    leaf, parent = parent_of(fleet)
    before = (leaf.replica.received_position, leaf.replica.applied_position, leaf.replica.keyspace.digest)
    address = node_of(fleet, parent).identity.address
    leaf.receive(signed(fleet, parent, part(fleet, leaf, **changes), leaf.identity.name), address, fleet.now)
    assert leaf.dropped.get(why) == 1
    assert (
        leaf.replica.received_position,
        leaf.replica.applied_position,
        leaf.replica.keyspace.digest,
    ) == before
    leaf.receive(signed(fleet, parent, part(fleet, leaf), leaf.identity.name), address, fleet.now)
    if why != "digest":  # after that one it looks for what differs
        assert leaf.lookup("a") == b"1"


def test_repeated_delta_is_applied_once() -> None:
    fleet = converged_fleet()
    leaf, parent = parent_of(fleet)
    address = node_of(fleet, parent).identity.address
    data = signed(fleet, parent, part(fleet, leaf), leaf.identity.name)
    leaf.receive(data, address, fleet.now)
    received = leaf.replica.received_position
    leaf.receive(data, address, fleet.now)
    assert leaf.replica.received_position == received
    assert leaf.dropped == {"out of order": 1}


@pytest.mark.parametrize("name", ["p00000", "c01", "origin"])
def test_datagrams_that_are_not_of_this_cluster_are_counted_and_dropped(name: str) -> None:
    fleet = converged_fleet()
    node, other = node_of(fleet, name), "c02"
    address = node_of(fleet, other).identity.address
    word = PollResponse(1, 1, 77, 1, START, 0, True, 1, True)
    good = signed(fleet, other, word)
    for data, why in (
        (b"", "truncated"),
        (good[:16], "truncated"),
        (good[:40], "forged"),
        (good[:-1] + b"\x7f", "forged"),
        (bytes(1201), "oversized"),
        (signed(fleet, other, word, key=bytes(16)), "forged"),
        (signed(fleet, other, word, cluster="else"), "foreign"),
        (signed(fleet, other, word, to="nobody"), "misdirected"),
        (signed(fleet, name, word), "misdirected"),
    ):
        before = node.dropped.get(why, 0)
        assert node.receive(data, address, fleet.now) == []
        assert node.dropped[why] == before + 1


def test_unknown_message_type_is_malformed() -> None:
    fleet = converged_fleet()
    leaf, parent = parent_of(fleet)
    codec = Codec("sim", [KEY])

    class Other(Struct, array_like=True, tag=77):
        text: str

    data = codec.encode(node_of(fleet, parent).identity, "", 1 << 30, Other("x"))  # type: ignore[arg-type]
    leaf.receive(data, node_of(fleet, parent).identity.address, fleet.now)
    assert leaf.dropped == {"malformed": 1}


def test_replayed_poll_is_dropped_and_leaves_the_child_unchanged() -> None:
    fleet = converged_fleet()
    leaf, parent = parent_of(fleet)
    relay = node_of(fleet, parent)
    assert isinstance(relay, Relay)
    polls: list[bytes] = []
    now = fleet.now
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
    """Nothing is stored for senders whose address is not proven, though they have the cluster's key."""
    fleet = converged_fleet()
    relay = node_of(fleet, "c01")
    assert isinstance(relay, Relay)
    codec, rng = Codec("sim", [KEY]), random.Random(3)

    def flood(count: int) -> None:
        for at in range(count):
            card = MemberIdentity(f"stranger{rng.random()}", "10.9.9.9", 7, "z0", "r0", 5)
            echo = rng.randrange(1 << 30)
            poll = Poll(echo, 1, bool(at % 2), 77, START, START, 1, 0, ["c02"], "z0", 0, START, [])
            relay.receive(codec.encode(card, "", at, poll), card.address, fleet.now)
            fetch = EntriesRequest(rng.randrange(1 << 30), 1, at, 0, "", LEAVES)
            relay.receive(codec.encode(card, "", at, fetch), card.address, fleet.now)
            moved = messages.ChildMoved(card.name, 5, 1)
            relay.receive(codec.encode(card, "", at, moved), card.address, fleet.now)
            sought = messages.FindChildRequest([messages.UnreachableChild(card.name, "z0", START, 5, 1)])
            relay.receive(codec.encode(card, "", at, sought), card.address, fleet.now)
            relay.receive(rng.randbytes(200), card.address, fleet.now)

    flood(200)
    children = len(relay.publisher.children)
    tracemalloc.start()
    flood(2000)
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(relay.publisher.children) == children
    assert grown < 20_000
    assert set(relay.dropped) <= {"unproven", "stranger", "forged"}


def test_messages_of_another_lineage_are_dropped() -> None:
    """A parent of another lineage, under the same key: the proxy goes on with what it has."""
    fleet = converged_fleet()
    leaf, parent = parent_of(fleet)
    card = node_of(fleet, parent).identity
    token = leaf.link.tokens.issue(parent, 0, fleet.now)
    word = PollResponse(token, 1, 78, 9, Position(9, 9), 0, True, 1, True)
    leaf.receive(signed(fleet, parent, word, leaf.identity.name), card.address, fleet.now)
    assert leaf.dropped == {"lineage": 1}
    assert leaf.subscriber.term == 1
