"""Members in a simulated network: who is found gone, who never is, and what they agree on."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironmill.membership.identity import MemberIdentity
from ironmill.membership.member import Member
from ironmill.membership.rings import RINGS, Rings
from ironmill.membership.timing import Timing
from ironmill.membership.view import View
from ironmill.membership.wire import ACCUSES, VOUCHES, Codec, Fact, Opinion, Ping
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_cluster import KEY, SimulatedCluster

COUNT = 14
NAMES = tuple(f"p{at:05d}" for at in range(COUNT))
SEEDS = (1, 2, 3)


def world(*faults: Fault, seed: int = 1, count: int = COUNT) -> SimulatedCluster:
    """Members that have known each other for long; faults begin at 5 s."""
    it = SimulatedCluster(count, faults, seed)
    it.settle()
    it.run(5.0)
    assert it.agree()
    return it


def within(
    it: SimulatedCluster, seconds: float, names: tuple[str, ...], on: tuple[str, ...] | None = None
) -> None:
    took = it.run_until(lambda: it.agree(names, on), seconds + 1.0)
    assert took is not None, it.views(names)
    assert took <= seconds + 0.05


def member(it: SimulatedCluster, name: str) -> Member:
    found = it.nodes[name].member
    assert isinstance(found, Member)
    return found


def without(*names: str) -> tuple[str, ...]:
    return tuple(name for name in NAMES if name not in names)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("killed", [1, 4, 10])
def test_who_is_killed_is_gone_everywhere_within_5_seconds(killed: int, seed: int) -> None:
    it = world(seed=seed)
    dead = random.Random(seed).sample(NAMES, killed)
    for name in dead:
        it.kill(name)
    within(it, 5.0, without(*dead))
    assert {event.fields["member"] for event in it.removals()} == set(dead)
    for name in dead:
        it.start(name)
    within(it, 5.0, NAMES)


def _pauses(seed: int) -> list[Fault]:
    rng = random.Random(seed)
    return [Fault("pause", at, at + 2.0, names=tuple(rng.sample(NAMES, 3))) for at in range(5, 35, 3)]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "faults",
    [
        [Fault("loss", 5.0, 65.0, share=0.3)],
        [Fault("delay", 5.0, 35.0, most=1.0), Fault("duplicate", 5.0, 35.0, share=0.2, most=1.0)],
        [Fault("cut", 5.0, 35.0, NAMES[1:2], NAMES[2:3])],
        [Fault("cut", 5.0, 35.0, NAMES[1:2], NAMES[2:6])],  # a third does not hear it
        [Fault("corrupt", 5.0, 35.0, share=0.2)],
        "pauses",
    ],
    ids=["loss", "delay", "one-link", "a-third", "corrupt", "pauses"],
)
def test_nobody_who_is_well_is_ever_put_out(faults: list[Fault] | str, seed: int) -> None:
    it = world(*(_pauses(seed) if isinstance(faults, str) else faults), seed=seed)
    it.run(68.0 if faults[0] == "loss" else 38.0)
    assert it.removals() == []
    assert it.agree()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("deaf", [True, False])
def test_one_that_only_hears_or_is_only_heard_is_out_once_and_back_once(deaf: bool, seed: int) -> None:
    one = NAMES[1:2]
    cut = Fault("cut", 5.0, 25.0, () if deaf else one, one if deaf else ())
    it = world(cut, seed=seed)
    within(it, 8.0, without(*one))
    assert any(event.name in one and event.what == "cut-off" and event.at <= 8.0 for event in it.events)
    it.run(25.0)
    assert {event.fields["member"] for event in it.removals()} == set(one)
    assert len(it.removals()) == COUNT - 1  # once in each view
    within(it, 5.0, NAMES)
    it.run(35.0)
    assert len(it.removals()) == COUNT - 1


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_slept_removes_nobody_and_is_back_under_a_new_incarnation(seed: int) -> None:
    it = world(Fault("pause", 5.0, 35.0, names=NAMES[3:4]), seed=seed)
    before = member(it, NAMES[3])
    incarnation = before.card.incarnation
    within(it, 5.0, without(NAMES[3]))
    it.run(35.0)
    within(it, 5.0, NAMES)
    assert before.card.incarnation == incarnation + 1
    assert {event.fields["member"] for event in it.removals()} == {NAMES[3]}


@pytest.mark.parametrize("seed", SEEDS)
def test_two_halves_become_whole_and_one_again(seed: int) -> None:
    one, other = NAMES[:7], NAMES[7:]
    it = world(*both_ways(5.0, 30.0, one, other), seed=seed)
    whole = it.run_until(lambda: it.agree(one) and it.agree(other), 9.0)
    assert whole is not None
    assert whole <= 8.05
    it.run(30.0)
    apart = len(it.removals())
    within(it, 10.0, NAMES)
    it.run(45.0)
    assert len(it.removals()) == apart  # the healing puts nobody out


@pytest.mark.parametrize("seed", SEEDS)
def test_a_circle_in_which_nobody_hears_whom_it_reaches(seed: int) -> None:
    """The first hears the second, the second the third, the third the first, and none of them both ways."""
    a, b, c = NAMES[0::3], NAMES[1::3], NAMES[2::3]
    it = world(
        Fault("cut", 5.0, 25.0, c, a), Fault("cut", 5.0, 25.0, a, b), Fault("cut", 5.0, 25.0, b, c), seed=seed
    )
    whole = it.run_until(lambda: it.agree(a) and it.agree(b) and it.agree(c), 9.0)
    assert whole is not None
    assert whole <= 8.05
    it.run(25.0)
    within(it, 10.0, NAMES)


def test_cuts_that_shift_leave_nothing_behind() -> None:
    faults: list[Fault] = []
    rng = random.Random(5)
    for start in range(5, 45, 4):
        names = list(NAMES)
        rng.shuffle(names)
        faults += both_ways(float(start), start + 4.0, tuple(names[:5]), tuple(names[5:]))
    it = world(*faults)
    it.run(45.0)
    within(it, 10.0, NAMES)


@pytest.mark.parametrize("count", [1, 2, 3, 40])
def test_a_fleet_that_starts_at_once_finds_itself(count: int) -> None:
    it = SimulatedCluster(count, seed=4)
    it.start_all(0.2)
    assert it.run_until(it.agree, 10.0) is not None, it.views()
    assert not [event for event in it.removals() if event.fields["why"] == "decided"]


def test_seeds_that_are_gone_stop_nobody_who_was_known() -> None:
    it = world()
    for name in (NAMES[0], NAMES[1], NAMES[9]):  # both seeds, and one more
        it.kill(name)
    within(it, 5.0, without(NAMES[0], NAMES[1], NAMES[9]))
    it.start(NAMES[9])  # the others go on asking whether it is there
    within(it, 5.0, without(NAMES[0], NAMES[1]))
    it.start(NAMES[1])
    it.start(NAMES[0])  # seeds join as well, and begin no cluster of their own
    within(it, 5.0, NAMES)
    assert not [event for event in it.events if event.fields.get("why") == "first"]


def test_one_that_is_out_for_long_is_forgotten_and_may_come_again() -> None:
    it = SimulatedCluster(COUNT, seed=2, timing=Timing(forget_after=50.0))
    it.settle()
    it.run(5.0)
    it.kill(NAMES[6])
    it.run(65.0)
    assert {event.name for event in it.events if event.what == "forgotten"} == set(without(NAMES[6]))
    assert it.agree(without(NAMES[6]))
    it.start(NAMES[6])
    within(it, 5.0, NAMES)


def test_nobody_gets_news_who_has_not_proven_to_hear() -> None:
    """Guards others against an old datagram with a false source: its answer is no larger than it."""
    it = world()
    one, codec = member(it, NAMES[0]), Codec("sim", [KEY])
    it.kill(NAMES[5])
    it.run(8.0)
    assert one._spread  # there is news
    stranger = MemberIdentity("stranger", "10.9.9.9", 1, "z", "r", 5)
    ping = codec.encode(stranger, "", 1, Ping(1, 0, 0, []))
    for _ in range(3):
        ((address, data),) = one.receive(ping, ("10.9.9.9", 1), it.now)
        assert address == ("10.9.9.9", 1)
        assert len(data) < 2 * len(ping)
        assert "stranger" not in one._peers
    # Who asks by chance has no token yet, and the news must reach it all the same where it is known to be.
    known = it.nodes[NAMES[7]]
    old = member(it, NAMES[7])
    ping = codec.encode(old.card, "", 10_000, Ping(1, 0, 0, []))
    ((_, data),) = one.receive(ping, known.address, it.now)
    assert len(data) > 2 * len(ping)


def test_who_leaves_is_told_and_not_found_out() -> None:
    it = world()
    it.leave(NAMES[4])
    within(it, 2.0, without(NAMES[4]))
    assert not [event for event in it.events if event.what == "opinion"]


def test_of_two_processes_with_one_name_the_newer_stays_and_the_older_says_so() -> None:
    it = world()
    older = member(it, NAMES[2])
    it.run(6.0)
    it.start(NAMES[2])  # the world gives its address to the newer one, so the older one is asked by hand
    within(it, 5.0, NAMES)
    newer = member(it, NAMES[2])
    for _, data in newer.tick(it.now + 0.1):
        older.receive(data, ("10.0.0.2", 7000), it.now + 0.1)
    assert older.superseded
    assert older.tick(it.now + 0.2) == []
    assert [event.what for event in it.events if event.what == "superseded"] == ["superseded"]


def test_who_starts_again_by_another_wall_clock_is_a_member_again() -> None:
    """The operators' notes: a wall clock may be stepped, forward or back, by seconds or by an hour."""
    out = []
    for away in (0.5, 12.0, 60.0):
        for ahead in (-3600.0, -5.0, 3600.0):
            it = world()
            it.kill(NAMES[5])
            it.run(it.now + away)
            it.start(NAMES[5], ahead)
            it.run(it.now + 20.0)
            if not it.agree(NAMES) or member(it, NAMES[5]).superseded:
                out.append((away, ahead))
    assert not out


def test_who_hears_nobody_removes_nobody() -> None:
    it = world(*both_ways(5.0, 40.0, NAMES[:1], NAMES[1:]))
    it.run(40.0)
    assert member(it, NAMES[0]).cut_off
    assert [event for event in it.removals() if event.name == NAMES[0]] == []


def test_a_datagram_that_comes_again_or_from_elsewhere_changes_nothing() -> None:
    it = world()
    other = member(it, NAMES[1])
    kept: list[bytes] = []
    carry = it.links.carry

    def listen(now: float, source: str, target: str, data: bytes) -> Iterator[tuple[float, bytes]]:
        if target == NAMES[1]:
            kept.append(data)
        return carry(now, source, target, data)

    it.links.carry = listen  # type: ignore[method-assign]
    it.run(8.0)
    assert kept
    before = dict(other.dropped)
    for data in kept:
        assert other.receive(data, ("10.9.9.9", 1), it.now) == []
    assert other.dropped["replayed"] == before.get("replayed", 0) + len(kept)
    third = member(it, NAMES[2])
    third.receive(kept[0], ("10.9.9.9", 1), it.now)
    assert third.dropped["misdirected"] == 1


def test_cost_at_rest() -> None:
    it = world(count=40)
    before = {one.card.name: one.sent_bytes for one in it.running()}
    it.run(25.0)
    most = max(one.sent_bytes - before[one.card.name] for one in it.running())
    assert most / 20.0 <= 2048.0


# The parts


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 20))), st.sets(st.integers(0, 20)))
def test_rings_agree_with_a_plain_search(steps: list[tuple[bool, int]], doubted: set[int]) -> None:
    rings, present = Rings(), set[str]()
    for add, at in steps:
        name = f"m{at}"
        if add:
            rings.add(name)
            present.add(name)
        else:
            rings.discard(name)
            present.discard(name)
    doubt = {f"m{at}" for at in doubted}
    assert len(rings) == len(present)
    observed = {name: rings.observers(name, doubt.__contains__) for name in present}
    for name in present:
        assert len(observed[name]) <= RINGS
        assert set(observed[name]) <= present - doubt - {name}
        if present - doubt - {name}:
            assert observed[name]
    for name in present - doubt:
        subjects = rings.subjects(name, doubt.__contains__)
        assert set(subjects) == {other for other in present if name in observed[other]}


def _fact(name: str, flips: int, incarnation: int = 5, left: bool = False) -> Fact:
    return Fact(MemberIdentity(name, "127.0.0.1", 7000, "a", "r", incarnation), flips, left)


FACTS = st.builds(_fact, st.sampled_from("abcd"), st.integers(0, 5), st.integers(1, 3), st.booleans())


@given(st.lists(FACTS), st.randoms(use_true_random=False))
@settings(max_examples=60)
def test_the_same_facts_give_the_same_view_in_any_order(facts: list[Fact], rng: random.Random) -> None:
    views = []
    for _ in range(2):
        view = View()
        for fact in facts:
            old = view.facts.get(fact.card.name)
            if old is None or fact.order > old.order:
                view.put(fact)
        views.append((view.digest, view.members()))
        facts = [*facts, *facts]
        rng.shuffle(facts)
    assert views[0] == views[1]


def test_what_was_said_of_another_place_does_not_count() -> None:
    """After a cut had healed, old accusations put out whom the healing had brought back."""
    view = View()
    for name in "abcdefgh":
        view.put(_fact(name, 2))
    said = [Opinion(name, "a", 5, 2, 9, ACCUSES) for name in view.observers("a")]
    for opinion in said:
        assert view.hear(opinion, 10.0)
    assert view.speaks_for_change("a")
    view.put(_fact("a", 4))
    assert not any(view.hear(opinion, 10.0) for opinion in said)
    assert not view.speaks_for_change("a")


def test_most_observers_that_are_not_in_doubt_decide() -> None:
    view = View()
    for name in "abcdefghijkl":
        view.put(_fact(name, 2))
    first = view.observers("a")
    for at, name in enumerate(first[:-2]):
        view.hear(Opinion(name, "a", 5, 2, at, ACCUSES), 10.0)
    assert not view.speaks_for_change("a")
    for name in first[-2:]:  # the others are accused themselves, and others stand in for them
        for accuser in view.observers(name)[:2]:
            view.hear(Opinion(accuser, name, 5, 2, 1, ACCUSES), 10.0)
        assert view.doubted(name)
    stand_in = [name for name in view.observers("a") if name not in first]
    assert stand_in
    for name in stand_in:
        view.hear(Opinion(name, "a", 5, 2, 1, ACCUSES), 10.0)
    assert view.speaks_for_change("a")
    view.put(_fact("a", 3))
    observers = view.observers("a")
    need = math.ceil(0.6 * len(observers))
    for at, name in enumerate(observers[:need]):
        assert not view.speaks_for_change("a"), at
        view.hear(Opinion(name, "a", 5, 3, 1, VOUCHES), 10.0)
    assert view.speaks_for_change("a")
    view.expire(11.0)
    assert not view.speaks_for_change("a")


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({}, ""),
        ({"suspect_after": 2.5}, "suspect-after"),
        ({"pause_borne": 2.2}, "suspect-after"),
        ({"gone_within": 4.0}, "gone-within"),
        ({"alone_after": 3.0}, "alone-after"),
        ({"ping_every": 0.1}, "ping-every"),
        ({"forget_after": 10.0}, "forget-after"),
    ],
)
def test_times_that_do_not_fit_are_named(changes: dict[str, float], word: str) -> None:
    wrong = Timing(**changes).wrong()
    assert bool(wrong) is bool(word)
    assert wrong.startswith(word)
