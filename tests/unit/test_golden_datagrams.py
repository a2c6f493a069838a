"""Checks that datagrams of membership and distribution are encoded and decoded as recorded."""

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


def codecs(newest_key: bytes = messages.KEY) -> tuple[membership_codec.Codec, DistributionCodec]:
    keys = [newest_key, messages.OLDER_KEY]
    return membership_codec.Codec(messages.CLUSTER, keys), DistributionCodec(messages.CLUSTER, keys)


@pytest.mark.parametrize("index", range(len(messages.MEMBERSHIP)))
def test_membership_datagrams_are_as_recorded(index: int) -> None:
    kind, message = list(messages.MEMBERSHIP.items())[index]
    data = bytes.fromhex(recorded("datagrams.json")["membership"][kind])
    codec, _ = codecs()
    assert codec.encode(messages.SENDER, "n2", 1000 + index, message) == data
    assert codec.decode(data) == messages.envelope(message, "n2", 1000 + index)


@pytest.mark.parametrize("index", range(len(messages.DISTRIBUTION)))
def test_distribution_datagrams_are_as_recorded(index: int) -> None:
    kind, message = list(messages.DISTRIBUTION.items())[index]
    data = bytes.fromhex(recorded("datagrams.json")["distribution"][kind])
    _, codec = codecs()
    assert codec.encode(messages.SENDER, "c1", 2000 + index, message) == data
    assert codec.decode(data) == messages.envelope(message, "c1", 2000 + index)


@pytest.mark.parametrize("index", range(len(messages.DISTINCT)))
def test_datagrams_of_distinct_values_are_as_recorded(index: int) -> None:
    kind, message = list(messages.DISTINCT.items())[index]
    data = bytes.fromhex(recorded("datagrams_distinct.json")[kind])
    _, codec = codecs()
    assert codec.encode(messages.SENDER, "c1", 4000 + index, message) == data
    assert codec.decode(data) == messages.envelope(message, "c1", 4000 + index)


def structs_of(value: object) -> Iterator[msgspec.Struct]:
    """Yields the structs that a message contains, itself included."""
    if isinstance(value, msgspec.Struct):
        yield value
        for name in value.__struct_fields__:
            yield from structs_of(getattr(value, name))
    elif isinstance(value, list | tuple):
        for item in value:
            yield from structs_of(item)


def recorded_structs() -> dict[type[msgspec.Struct], list[msgspec.Struct]]:
    """Returns the structs in all recorded datagrams and updates, by type."""
    groups = (
        messages.RECORDS,
        messages.OPINIONS,
        messages.MEMBERSHIP,
        messages.DISTRIBUTION,
        messages.DISTINCT,
    )
    structs: dict[type[msgspec.Struct], list[msgspec.Struct]] = {}
    for message in (message for group in groups for message in group.values()):
        for struct in structs_of(messages.envelope(message, "n2", 1)):
            structs.setdefault(type(struct), []).append(struct)
    return structs


ARRAY_STRUCTS = recorded_structs()


def test_every_struct_that_travels_is_recorded() -> None:
    modules = (membership, distribution)
    defined = {
        value
        for module in modules
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, msgspec.Struct)
        and value.__struct_config__.array_like
    }
    assert defined <= set(ARRAY_STRUCTS)


@pytest.mark.parametrize("kind", ARRAY_STRUCTS, ids=lambda kind: kind.__name__)
def test_two_fields_that_change_places_change_the_recorded_bytes(kind: type[msgspec.Struct]) -> None:
    """Guards against two fields that have the same value in every record.

    Such fields could change places without a difference in the recorded bytes, and an older peer would then
    read the wrong values.
    """

    def encoded(struct: msgspec.Struct, names: Sequence[str]) -> bytes:
        return msgspec.msgpack.encode([getattr(struct, name) for name in names])

    for field, other in itertools.combinations(kind.__struct_fields__, 2):
        exchanged = {field: other, other: field}
        names = [exchanged.get(name, name) for name in kind.__struct_fields__]
        assert any(
            encoded(example, names) != encoded(example, kind.__struct_fields__)
            for example in ARRAY_STRUCTS[kind]
        ), f"{field} and {other}"


def test_every_recorded_datagram_is_of_a_known_kind() -> None:
    recorded_data = recorded("datagrams.json")
    assert list(recorded_data["membership"]) == list(messages.MEMBERSHIP)
    assert list(recorded_data["distribution"]) == list(messages.DISTRIBUTION)
    assert len(set(recorded_data["membership"].values()) | set(recorded_data["distribution"].values())) == 21


def test_gossip_updates_are_as_recorded() -> None:
    updates = {**messages.RECORDS, **messages.OPINIONS}
    recorded_data = recorded("datagrams.json")["rumours"]
    assert {
        kind: membership_codec.encode_update(update).hex() for kind, update in updates.items()
    } == recorded_data
    assert {
        kind: membership_codec.decode_update(msgspec.Raw(bytes.fromhex(data)))
        for kind, data in recorded_data.items()
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
