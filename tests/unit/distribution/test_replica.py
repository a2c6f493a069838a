"""The replica: steps in order, each applied as a whole or not at all."""

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


class Picky:
    """Rejects values of bad/, and raises an exception at worse/."""

    lookup_prefixes: tuple[str, ...] = ("shard/",)

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


def test_rejected_step_stays_pending_until_it_passes_together_with_later_ones() -> None:
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


def test_step_that_does_not_follow_or_has_another_digest_changes_nothing() -> None:
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


def test_pending_changes_beyond_their_limit_are_discarded() -> None:
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


def test_empty_keyspace_of_a_parent_that_has_just_started_is_not_applied() -> None:
    """Position 0.0 is not a configuration: it must not be reported as applied."""
    replica, _, events = replica_of()
    replica.replace_keyspace(Keyspace(), START)
    assert events == []


def test_whole_keyspace_gives_the_consumer_the_difference_without_looked_up_keys() -> None:
    replica, consumer, _ = replica_of()
    replica.replace_keyspace(keyspace_of({"a": b"1", "b": b"1", "shard/1": b"s"}), Position(1, 3))
    assert consumer.values == {"a": b"1", "b": b"1"}
    assert replica.keyspace.get("shard/1") == b"s"
    replica.replace_keyspace(keyspace_of({"b": b"2"}), Position(1, 2))  # an older one
    replica.replace_keyspace(keyspace_of({}), START)
    assert replica.applied_position == Position(1, 3)
    replica.replace_keyspace(keyspace_of({"b": b"2"}), Position(1, 4))
    assert consumer.values == {"b": b"2"}
    replica.replace_keyspace(keyspace_of({"bad/1": b"2"}), Position(1, 5))
    assert (replica.applied_position, replica.received_position) == (Position(1, 4), Position(1, 5))
    assert replica.has_lost_pending
