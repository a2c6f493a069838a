"""The replica: deltas in order, each applied completely or not at all."""

from __future__ import annotations

from collections.abc import Mapping

from ironmill.distribution import messages
from ironmill.distribution.changes import Changes, packed_size
from ironmill.distribution.events import Event, RevisionApplied, RevisionRejected
from ironmill.distribution.keyspace import Keyspace
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.replica import MAX_PENDING_BYTES, Replica
from ironmill.distribution.revision import START, Delta, Position
from tests.unit.distribution.keyspaces import applied, keyspace_of


class SelectiveConsumer:
    """A consumer that rejects values of keys under bad/ and raises an exception for keys under raising/."""

    lookup_prefixes: tuple[str, ...] = ("shard/",)

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        for key, value in changes.items():
            if key.startswith("raising/") and value is not None:
                raise RuntimeError("consumer failed")
            if key.startswith("bad/") and value is not None:
                return Rejection(key, "bad" * 100)
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        self.values = applied(self.values, dict(changes))


def replica_with_consumer() -> tuple[Replica, SelectiveConsumer, list[Event]]:
    consumer, events = SelectiveConsumer(), list[Event]()
    return Replica(events.append, consumer), consumer, events


def next_delta(replica: Replica, target: Position, parent: Keyspace, changes: Changes) -> Delta:
    parent.apply(changes)
    return Delta(replica.received_position, target, parent.digest, changes, packed_size(changes))


def test_rejected_delta_stays_pending_until_it_passes_together_with_later_ones() -> None:
    replica, consumer, events = replica_with_consumer()
    parent = Keyspace()
    for number, changes in enumerate(
        [{"a": b"1"}, {"a": b"2", "bad/1": b"x"}, {"b": b"1"}, {"raising/1": b"x"}], start=1
    ):
        assert replica.apply_delta(next_delta(replica, Position(1, number), parent, dict(changes)))
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
    assert replica.apply_delta(
        next_delta(replica, Position(1, 5), parent, {"bad/1": None, "raising/1": None})
    )
    assert replica.applied_position == Position(1, 5)
    assert consumer.values == {"a": b"2", "b": b"1"} == dict(replica.keyspace.entries())
    assert replica.rejection is None


def test_delta_that_does_not_follow_or_has_another_digest_changes_nothing() -> None:
    replica, consumer, _ = replica_with_consumer()
    parent = Keyspace()
    assert replica.apply_delta(next_delta(replica, Position(1, 1), parent, {"a": b"1"}))
    before = (replica.received_position, replica.digest, dict(consumer.values))
    correct_digest = parent.digest_after({"a": b"2"})
    for base, target, digest in (
        (START, Position(1, 2), correct_digest),
        (Position(1, 1), Position(1, 1), correct_digest),
        (Position(1, 1), Position(0, 9), correct_digest),
        (Position(1, 1), Position(1, 2), correct_digest + 1),
    ):
        assert not replica.apply_delta(Delta(base, target, digest, {"a": b"2"}, 5))
        assert (replica.received_position, replica.digest, consumer.values) == before


def test_pending_changes_beyond_their_limit_are_discarded() -> None:
    replica, _, _ = replica_with_consumer()
    parent = Keyspace()
    number = 0
    while not replica.has_lost_pending:
        number += 1
        changes: Changes = {f"k{number}/{index}": bytes(600) for index in range(80)} | {"bad/1": b"x"}
        assert replica.apply_delta(next_delta(replica, Position(1, number), parent, changes))
        assert number < MAX_PENDING_BYTES // 40_000 + 2
    assert not replica.apply_delta(next_delta(replica, Position(1, number + 1), parent, {"a": b"1"}))
    replica.discard_pending()
    assert (replica.received_position, replica.digest) == (replica.applied_position, replica.keyspace.digest)


def test_empty_keyspace_of_a_parent_that_has_just_started_is_not_applied() -> None:
    """Guards against reporting position 0.0 as applied, which precedes the first revision."""
    replica, _, events = replica_with_consumer()
    replica.replace_keyspace(Keyspace(), START)
    assert events == []


def test_whole_keyspace_gives_the_consumer_the_difference_without_looked_up_keys() -> None:
    replica, consumer, _ = replica_with_consumer()
    replica.replace_keyspace(keyspace_of({"a": b"1", "b": b"1", "shard/1": b"s"}), Position(1, 3))
    assert consumer.values == {"a": b"1", "b": b"1"}
    assert replica.keyspace.get("shard/1") == b"s"
    replica.replace_keyspace(keyspace_of({"b": b"2"}), Position(1, 2))  # an older keyspace is ignored
    replica.replace_keyspace(keyspace_of({}), START)
    assert replica.applied_position == Position(1, 3)
    replica.replace_keyspace(keyspace_of({"b": b"2"}), Position(1, 4))
    assert consumer.values == {"b": b"2"}
    replica.replace_keyspace(keyspace_of({"bad/1": b"2"}), Position(1, 5))
    assert (replica.applied_position, replica.received_position) == (Position(1, 4), Position(1, 5))
    assert replica.has_lost_pending
