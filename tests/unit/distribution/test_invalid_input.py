"""Malformed, forged and replayed datagrams, and those of another lineage, are counted and change nothing."""

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


def proxy_and_parent_name(fleet: SimulatedFleet) -> tuple[ProxyNode, str]:
    proxy = node_of(fleet, "p00000")
    assert isinstance(proxy, ProxyNode)
    assert proxy.subscriber.parent is not None
    return proxy, proxy.subscriber.parent.endpoint.name


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


def next_chunk(fleet: SimulatedFleet, proxy: ProxyNode, **changes: Any) -> DeltaChunk:
    """Returns a chunk with a valid next delta for the proxy, except for the given fields."""
    token = proxy.link.tokens.issue(proxy.subscriber.parent.endpoint.name, 0, fleet.now)  # type: ignore[union-attr]
    received = proxy.replica.received_position
    fields: dict[str, Any] = {
        "echo": token,
        "lineage": proxy.replica.lineage,
        "term": proxy.subscriber.term,
        "base": received,
        "target": Position(received.epoch, received.number + 1),
        "digest": proxy.replica.keyspace.digest_after({"a": b"1"}),
        "index": 0,
        "count": 1,
        "body": pack_entry("a", b"1"),
    }
    return DeltaChunk(**(fields | changes))


@pytest.mark.parametrize(
    ("changes", "reason"),
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
def test_invalid_delta_is_counted_and_changes_nothing(changes: dict[str, Any], reason: str) -> None:
    fleet = converged_fleet()
    proxy, parent = proxy_and_parent_name(fleet)
    before = (proxy.replica.received_position, proxy.replica.applied_position, proxy.replica.keyspace.digest)
    address = node_of(fleet, parent).identity.address
    proxy.receive(
        signed(fleet, parent, next_chunk(fleet, proxy, **changes), proxy.identity.name), address, fleet.now
    )
    assert proxy.dropped.get(reason) == 1
    assert (
        proxy.replica.received_position,
        proxy.replica.applied_position,
        proxy.replica.keyspace.digest,
    ) == before
    proxy.receive(signed(fleet, parent, next_chunk(fleet, proxy), proxy.identity.name), address, fleet.now)
    if reason != "digest":  # a wrong digest starts a catch-up, which drops the valid delta
        assert proxy.lookup("a") == b"1"


def test_repeated_delta_is_applied_once() -> None:
    fleet = converged_fleet()
    proxy, parent = proxy_and_parent_name(fleet)
    address = node_of(fleet, parent).identity.address
    data = signed(fleet, parent, next_chunk(fleet, proxy), proxy.identity.name)
    proxy.receive(data, address, fleet.now)
    received = proxy.replica.received_position
    proxy.receive(data, address, fleet.now)
    assert proxy.replica.received_position == received
    assert proxy.dropped == {"out of order": 1}


@pytest.mark.parametrize("name", ["p00000", "c01", "origin"])
def test_datagrams_that_are_not_of_this_cluster_are_counted_and_dropped(name: str) -> None:
    fleet = converged_fleet()
    node, other = node_of(fleet, name), "c02"
    address = node_of(fleet, other).identity.address
    response = PollResponse(1, 1, 77, 1, START, 0, True, 1, True)
    valid_datagram = signed(fleet, other, response)
    for data, reason in (
        (b"", "truncated"),
        (valid_datagram[:16], "truncated"),
        (valid_datagram[:40], "forged"),
        (valid_datagram[:-1] + b"\x7f", "forged"),
        (bytes(1201), "oversized"),
        (signed(fleet, other, response, key=bytes(16)), "forged"),
        (signed(fleet, other, response, cluster="else"), "foreign"),
        (signed(fleet, other, response, to="nobody"), "misdirected"),
        (signed(fleet, name, response), "misdirected"),
    ):
        before = node.dropped.get(reason, 0)
        assert node.receive(data, address, fleet.now) == []
        assert node.dropped[reason] == before + 1


def test_unknown_message_type_is_malformed() -> None:
    fleet = converged_fleet()
    proxy, parent = proxy_and_parent_name(fleet)
    codec = Codec("sim", [KEY])

    class UnknownMessage(Struct, array_like=True, tag=77):
        text: str

    data = codec.encode(node_of(fleet, parent).identity, "", 1 << 30, UnknownMessage("x"))  # type: ignore[arg-type]
    proxy.receive(data, node_of(fleet, parent).identity.address, fleet.now)
    assert proxy.dropped == {"malformed": 1}


def test_replayed_poll_is_dropped_and_leaves_the_child_unchanged() -> None:
    fleet = converged_fleet()
    proxy, parent = proxy_and_parent_name(fleet)
    relay = node_of(fleet, parent)
    assert isinstance(relay, Relay)
    polls: list[bytes] = []
    now = fleet.now
    while len(polls) < 2:
        now += 0.1
        poll_datagrams = [
            data
            for address, data in proxy.tick(now)
            if address == relay.identity.address
            and isinstance(Codec("sim", [KEY]).decode(data).message, Poll)
        ]
        polls += poll_datagrams
        for data in poll_datagrams:
            for _, response in relay.receive(data, proxy.identity.address, now):
                proxy.receive(response, relay.identity.address, now)
    before = relay.publisher.children["p00000"].poll_count
    relay.receive(polls[0], proxy.identity.address, now)
    assert relay.dropped.get("replayed") == 1
    assert relay.publisher.children["p00000"].poll_count == before


def test_memory_does_not_grow_with_bad_datagrams() -> None:
    """Nothing is stored for a sender whose address is not proven, even if it has the cluster's key."""
    fleet = converged_fleet()
    relay = node_of(fleet, "c01")
    assert isinstance(relay, Relay)
    codec, rng = Codec("sim", [KEY]), random.Random(3)

    def flood(count: int) -> None:
        for index in range(count):
            identity = MemberIdentity(f"stranger{rng.random()}", "10.9.9.9", 7, "z0", "r0", 5)
            echo = rng.randrange(1 << 30)
            poll = Poll(echo, 1, bool(index % 2), 77, START, START, 1, 0, ["c02"], "z0", 0, START, [])
            relay.receive(codec.encode(identity, "", index, poll), identity.address, fleet.now)
            entries_request = EntriesRequest(rng.randrange(1 << 30), 1, index, 0, "", LEAVES)
            relay.receive(codec.encode(identity, "", index, entries_request), identity.address, fleet.now)
            moved = messages.ChildMoved(identity.name, 5, 1)
            relay.receive(codec.encode(identity, "", index, moved), identity.address, fleet.now)
            find_request = messages.FindChildRequest(
                [messages.UnreachableChild(identity.name, "z0", START, 5, 1)]
            )
            relay.receive(codec.encode(identity, "", index, find_request), identity.address, fleet.now)
            relay.receive(rng.randbytes(200), identity.address, fleet.now)

    flood(200)
    children = len(relay.publisher.children)
    tracemalloc.start()
    flood(2000)
    grown_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(relay.publisher.children) == children
    assert grown_bytes < 20_000
    assert set(relay.dropped) <= {"unproven", "stranger", "forged"}


def test_messages_of_another_lineage_are_dropped() -> None:
    """A parent of another lineage but with the same key must not change a proxy's configuration or term."""
    fleet = converged_fleet()
    proxy, parent = proxy_and_parent_name(fleet)
    identity = node_of(fleet, parent).identity
    token = proxy.link.tokens.issue(parent, 0, fleet.now)
    response = PollResponse(token, 1, 78, 9, Position(9, 9), 0, True, 1, True)
    proxy.receive(signed(fleet, parent, response, proxy.identity.name), identity.address, fleet.now)
    assert proxy.dropped == {"lineage": 1}
    assert proxy.subscriber.term == 1
