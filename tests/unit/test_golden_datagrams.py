"""Datagrams of membership and distribution as recorded: bytes on the wire never change."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence

import msgspec
import pytest

from ironmill.distribution import messages as distribution
from ironmill.distribution.codec import Codec as DistributionCodec
from ironmill.membership import codec as membership_codec
from ironmill.membership import messages as membership
from tests.golden import messages
from tests.support.golden import recorded


def codecs(newest: bytes = messages.KEY) -> tuple[membership_codec.Codec, DistributionCodec]:
    keys = [newest, messages.OLDER_KEY]
    return membership_codec.Codec(messages.CLUSTER, keys), DistributionCodec(messages.CLUSTER, keys)


@pytest.mark.parametrize("at", range(len(messages.MEMBERSHIP)))
def test_membership_datagrams_are_as_recorded(at: int) -> None:
    kind, message = list(messages.MEMBERSHIP.items())[at]
    data = bytes.fromhex(recorded("datagrams.json")["membership"][kind])
    codec, _ = codecs()
    assert codec.encode(messages.SENDER, "n2", 1000 + at, message) == data
    assert codec.decode(data) == messages.envelope(message, "n2", 1000 + at)


@pytest.mark.parametrize("at", range(len(messages.DISTRIBUTION)))
def test_distribution_datagrams_are_as_recorded(at: int) -> None:
    kind, message = list(messages.DISTRIBUTION.items())[at]
    data = bytes.fromhex(recorded("datagrams.json")["distribution"][kind])
    _, codec = codecs()
    assert codec.encode(messages.SENDER, "c1", 2000 + at, message) == data
    assert codec.decode(data) == messages.envelope(message, "c1", 2000 + at)


@pytest.mark.parametrize("at", range(len(messages.DISTINCT)))
def test_datagrams_of_distinct_values_are_as_recorded(at: int) -> None:
    kind, message = list(messages.DISTINCT.items())[at]
    data = bytes.fromhex(recorded("datagrams_distinct.json")[kind])
    _, codec = codecs()
    assert codec.encode(messages.SENDER, "c1", 4000 + at, message) == data
    assert codec.decode(data) == messages.envelope(message, "c1", 4000 + at)


def structs_of(value: object) -> Iterator[msgspec.Struct]:
    """Yields the structs that travel in a message."""
    if isinstance(value, msgspec.Struct):
        yield value
        for name in value.__struct_fields__:
            yield from structs_of(getattr(value, name))
    elif isinstance(value, list | tuple):
        for one in value:
            yield from structs_of(one)


def recorded_structs() -> dict[type[msgspec.Struct], list[msgspec.Struct]]:
    """Returns the structs of all recorded datagrams and updates, by their type."""
    groups = (
        messages.RECORDS,
        messages.OPINIONS,
        messages.MEMBERSHIP,
        messages.DISTRIBUTION,
        messages.DISTINCT,
    )
    found: dict[type[msgspec.Struct], list[msgspec.Struct]] = {}
    for message in (message for group in groups for message in group.values()):
        for one in structs_of(messages.envelope(message, "n2", 1)):
            found.setdefault(type(one), []).append(one)
    return found


ARRAY_STRUCTS = recorded_structs()


def test_every_struct_that_travels_is_recorded() -> None:
    modules = (membership, distribution)
    defined = {
        one
        for module in modules
        for one in vars(module).values()
        if isinstance(one, type) and issubclass(one, msgspec.Struct) and one.__struct_config__.array_like
    }
    assert defined <= set(ARRAY_STRUCTS)


@pytest.mark.parametrize("kind", ARRAY_STRUCTS, ids=lambda kind: kind.__name__)
def test_two_fields_that_change_places_change_the_recorded_bytes(kind: type[msgspec.Struct]) -> None:
    """Fields of the same value in all records could be exchanged unnoticed, and an older peer would not."""

    def encoded(one: msgspec.Struct, names: Sequence[str]) -> bytes:
        return msgspec.msgpack.encode([getattr(one, name) for name in names])

    for one, other in itertools.combinations(kind.__struct_fields__, 2):
        exchanged = {one: other, other: one}
        names = [exchanged.get(name, name) for name in kind.__struct_fields__]
        assert any(
            encoded(example, names) != encoded(example, kind.__struct_fields__)
            for example in ARRAY_STRUCTS[kind]
        ), f"{one} and {other}"


def test_every_recorded_datagram_is_of_a_known_kind() -> None:
    found = recorded("datagrams.json")
    assert list(found["membership"]) == list(messages.MEMBERSHIP)
    assert list(found["distribution"]) == list(messages.DISTRIBUTION)
    assert len(set(found["membership"].values()) | set(found["distribution"].values())) == 21


def test_gossip_updates_are_as_recorded() -> None:
    updates = {**messages.RECORDS, **messages.OPINIONS}
    found = recorded("datagrams.json")["rumours"]
    assert {kind: membership_codec.encode_update(update).hex() for kind, update in updates.items()} == found
    assert {
        kind: membership_codec.decode_update(msgspec.Raw(bytes.fromhex(data))) for kind, data in found.items()
    } == (updates)


def test_a_datagram_under_the_older_key_is_read() -> None:
    data = bytes.fromhex(recorded("datagrams.json")["older key"])
    codec, _ = codecs()
    ping = messages.MEMBERSHIP["ping"]
    assert codec.decode(data) == messages.envelope(ping, "n2", 3000)
    older = membership_codec.Codec(messages.CLUSTER, [messages.OLDER_KEY])
    assert older.encode(messages.SENDER, "n2", 3000, ping) == data


def test_words_that_travel_are_as_recorded() -> None:
    assert (distribution.BEHIND, distribution.REJECTING, distribution.UNREACHABLE) == (
        "behind",
        "refused",
        "unreachable",
    )
    assert (membership.SUSPECT, membership.NEUTRAL, membership.ALIVE) == (-1, 0, 1)
