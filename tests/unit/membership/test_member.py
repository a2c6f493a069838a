"""Tests of members in a simulated network: which ones are removed, and on which views they agree."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest
from msgspec import structs

from ironmill.membership import events
from ironmill.membership.codec import Codec
from ironmill.membership.events import ChangeCause, ViewChanged
from ironmill.membership.identity import MemberIdentity
from ironmill.membership.member import Member
from ironmill.membership.messages import MemberRecord, Ping
from ironmill.membership.timing import Timing
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_cluster import KEY, ClusterOptions, SimulatedCluster

COUNT = 14
NAMES = tuple(f"p{index:05d}" for index in range(COUNT))
SEEDS = (1, 2, 3)
MAX_CONVERGENCE_S = 10.0  # after the last fault has ended


def converged_cluster(*faults: Fault, seed: int = 1, count: int = COUNT) -> SimulatedCluster:
    """Returns a cluster at 5 s, when the faults begin; every member has the complete view."""
    cluster = SimulatedCluster(count, faults, seed)
    cluster.start_converged()
    cluster.run(5.0)
    assert cluster.agree()
    return cluster


def assert_agree_within(
    cluster: SimulatedCluster,
    limit_s: float,
    names: tuple[str, ...],
    expected_view: tuple[str, ...] | None = None,
) -> None:
    elapsed_s = cluster.run_until(lambda: cluster.agree(names, expected_view), limit_s + 1.0)
    assert elapsed_s is not None, cluster.views(names)
    assert elapsed_s <= limit_s + 0.05


def member_of(cluster: SimulatedCluster, name: str) -> Member:
    member = cluster.processes[name].member
    assert isinstance(member, Member)
    return member


def all_except(*names: str) -> tuple[str, ...]:
    return tuple(name for name in NAMES if name not in names)


def removed_members(cluster: SimulatedCluster) -> set[str]:
    return {entry.event.member for entry in cluster.removals() if isinstance(entry.event, ViewChanged)}


def changes_by_cause(cluster: SimulatedCluster, cause: ChangeCause) -> list[events.Event]:
    all_events = [entry.event for entry in cluster.events]
    return [event for event in all_events if isinstance(event, ViewChanged) and event.cause is cause]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("killed_count", [1, 4, 10])
def test_killed_member_is_out_of_every_view_within_5_seconds(killed_count: int, seed: int) -> None:
    cluster = converged_cluster(seed=seed)
    killed_names = random.Random(seed).sample(NAMES, killed_count)
    for name in killed_names:
        cluster.kill(name)
    assert_agree_within(cluster, 5.0, all_except(*killed_names))
    assert removed_members(cluster) == set(killed_names)
    for name in killed_names:
        cluster.start(name)
    assert_agree_within(cluster, 5.0, NAMES)


def _random_pauses(seed: int) -> list[Fault]:
    rng = random.Random(seed)
    return [
        Fault("pause", start_s, start_s + 2.0, names=tuple(rng.sample(NAMES, 3)))
        for start_s in range(5, 35, 3)
    ]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "faults",
    [
        [Fault("loss", 5.0, 65.0, fraction=0.3)],
        [
            Fault("delay", 5.0, 35.0, max_delay_s=1.0),
            Fault("duplicate", 5.0, 35.0, fraction=0.2, max_delay_s=1.0),
        ],
        [Fault("cut", 5.0, 35.0, NAMES[1:2], NAMES[2:3])],
        [Fault("cut", 5.0, 35.0, NAMES[1:2], NAMES[2:6])],  # 4 of the 13 other members do not receive from it
        [Fault("corrupt", 5.0, 35.0, fraction=0.2)],
        "pauses",
    ],
    ids=["loss", "delay", "one-link", "a-third", "corrupt", "pauses"],
)
def test_healthy_member_is_never_removed(faults: list[Fault] | str, seed: int) -> None:
    cluster = converged_cluster(*(_random_pauses(seed) if isinstance(faults, str) else faults), seed=seed)
    cluster.run(68.0 if faults[0] == "loss" else 38.0)
    assert cluster.removals() == []
    assert cluster.agree()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("cannot_receive", [True, False])
def test_member_with_one_way_contact_is_removed_and_rejoins_once(cannot_receive: bool, seed: int) -> None:
    affected = NAMES[1:2]
    cut = Fault("cut", 5.0, 25.0, () if cannot_receive else affected, affected if cannot_receive else ())
    cluster = converged_cluster(cut, seed=seed)
    assert_agree_within(cluster, 8.0, all_except(*affected))
    assert any(
        entry.observer in affected and isinstance(entry.event, events.IsolationStarted) and entry.at_s <= 8.0
        for entry in cluster.events
    )
    cluster.run(25.0)
    assert removed_members(cluster) == set(affected)
    assert len(cluster.removals()) == COUNT - 1  # each other member removes it once
    assert_agree_within(cluster, 5.0, NAMES)
    cluster.run(35.0)
    assert len(cluster.removals()) == COUNT - 1


@pytest.mark.parametrize("seed", SEEDS)
def test_paused_member_removes_no_other_and_rejoins_under_a_new_incarnation(seed: int) -> None:
    cluster = converged_cluster(Fault("pause", 5.0, 35.0, names=NAMES[3:4]), seed=seed)
    paused = member_of(cluster, NAMES[3])
    incarnation = paused.identity.incarnation
    assert_agree_within(cluster, 5.0, all_except(NAMES[3]))
    cluster.run(35.0)
    assert_agree_within(cluster, 5.0, NAMES)
    assert paused.identity.incarnation == incarnation + 1
    assert removed_members(cluster) == {NAMES[3]}


@pytest.mark.parametrize("seed", SEEDS)
def test_halves_of_a_partition_complete_their_views_and_merge_again(seed: int) -> None:
    first_half, second_half = NAMES[:7], NAMES[7:]
    cluster = converged_cluster(*both_ways(5.0, 30.0, first_half, second_half), seed=seed)
    elapsed_s = cluster.run_until(lambda: cluster.agree(first_half) and cluster.agree(second_half), 9.0)
    assert elapsed_s is not None
    assert elapsed_s <= 8.05
    cluster.run(30.0)
    removal_count = len(cluster.removals())
    assert_agree_within(cluster, 10.0, NAMES)
    cluster.run(45.0)
    assert len(cluster.removals()) == removal_count  # no member is removed during the merge


@pytest.mark.parametrize("seed", SEEDS)
def test_groups_in_a_circle_of_one_way_contact_complete_their_views_and_merge(seed: int) -> None:
    """Each of three groups can receive only from one of the others and send only to the other one."""
    group_a, group_b, group_c = NAMES[0::3], NAMES[1::3], NAMES[2::3]
    cluster = converged_cluster(
        Fault("cut", 5.0, 25.0, group_c, group_a),
        Fault("cut", 5.0, 25.0, group_a, group_b),
        Fault("cut", 5.0, 25.0, group_b, group_c),
        seed=seed,
    )
    elapsed_s = cluster.run_until(
        lambda: cluster.agree(group_a) and cluster.agree(group_b) and cluster.agree(group_c), 9.0
    )
    assert elapsed_s is not None
    assert elapsed_s <= 8.05
    cluster.run(25.0)
    assert_agree_within(cluster, 10.0, NAMES)


def test_members_merge_after_a_series_of_partitions() -> None:
    faults: list[Fault] = []
    rng = random.Random(5)
    for start_s in range(5, 45, 4):
        names = list(NAMES)
        rng.shuffle(names)
        faults += both_ways(float(start_s), start_s + 4.0, tuple(names[:5]), tuple(names[5:]))
    cluster = converged_cluster(*faults)
    cluster.run(45.0)
    assert_agree_within(cluster, 10.0, NAMES)


@pytest.mark.parametrize("count", [1, 2, 3, 40])
def test_members_that_start_together_agree_on_one_view(count: int) -> None:
    cluster = SimulatedCluster(count, seed=4)
    cluster.start_all(0.2)
    assert cluster.run_until(cluster.agree, 10.0) is not None, cluster.views()
    assert not [
        entry
        for entry in cluster.removals()
        if isinstance(entry.event, ViewChanged) and entry.event.cause is ChangeCause.DECIDED
    ]


def test_known_members_rejoin_while_all_seeds_are_down() -> None:
    cluster = converged_cluster()
    for name in (NAMES[0], NAMES[1], NAMES[9]):  # both seeds and one other member
        cluster.kill(name)
    assert_agree_within(cluster, 5.0, all_except(NAMES[0], NAMES[1], NAMES[9]))
    cluster.start(NAMES[9])  # its observers still ping it
    assert_agree_within(cluster, 5.0, all_except(NAMES[0], NAMES[1]))
    cluster.start(NAMES[1])
    cluster.start(NAMES[0])  # a restarted seed joins too and does not bootstrap a second cluster
    assert_agree_within(cluster, 5.0, NAMES)
    assert not changes_by_cause(cluster, ChangeCause.BOOTSTRAPPED)


@pytest.mark.parametrize("count", [5, 9])
def test_seeds_whose_restarts_overlap_merge_with_the_other_members(count: int) -> None:
    """The restarted seeds bootstrap their own cluster, which must merge with that of the other members."""
    for seed in range(20):
        cluster = SimulatedCluster(count, seed=seed)
        cluster.start_converged()
        cluster.schedule(3.6, cluster.leave, NAMES[1])
        cluster.schedule(5.35, cluster.leave, NAMES[0])
        cluster.schedule(5.63, cluster.start, NAMES[0])
        cluster.schedule(6.9, cluster.start, NAMES[1])
        cluster.run(7.0)
        assert_agree_within(cluster, MAX_CONVERGENCE_S, NAMES[:count], NAMES[:count])


def test_view_that_differs_for_long_is_reported_by_both_members() -> None:
    """A lasting difference of views must be visible in the status of both members."""
    cluster = converged_cluster(count=5)
    first, second = member_of(cluster, NAMES[0]), member_of(cluster, NAMES[1])
    first.view.apply(
        MemberRecord(structs.replace(first.identity, name="ghost"), 2)
    )  # a record that is never sent to other members
    first.view.page = lambda after, max_bytes: ([], True)  # type: ignore[method-assign]
    cluster.run(cluster.now + MAX_CONVERGENCE_S)
    assert NAMES[1] not in first.lasting_differences()
    cluster.run(cluster.now + 4.0)
    assert first.lasting_differences()[NAMES[1]] > MAX_CONVERGENCE_S
    assert second.lasting_differences()[NAMES[0]] > MAX_CONVERGENCE_S
    assert NAMES[2] not in second.lasting_differences()


def test_removed_member_is_forgotten_and_can_join_again() -> None:
    options = ClusterOptions(timing=Timing(forget_delay_s=50.0))
    cluster = SimulatedCluster(COUNT, seed=2, options=options)
    cluster.start_converged()
    cluster.run(5.0)
    cluster.kill(NAMES[6])
    cluster.run(65.0)
    forgetting_members = {
        entry.observer for entry in cluster.events if isinstance(entry.event, events.MemberForgotten)
    }
    assert forgetting_members == set(all_except(NAMES[6]))
    assert cluster.agree(all_except(NAMES[6]))
    cluster.start(NAMES[6])
    assert_agree_within(cluster, 5.0, NAMES)


def test_gossip_is_not_sent_to_an_address_without_proven_contact() -> None:
    """A replayed datagram with a forged source address must not cause a larger answer to a third party."""
    cluster = converged_cluster()
    member, codec = member_of(cluster, NAMES[0]), Codec("sim", [KEY])
    cluster.kill(NAMES[5])
    cluster.run(8.0)
    assert member._broadcasts  # gossip is pending
    stranger = MemberIdentity("stranger", "10.9.9.9", 1, "z", "r", 5)
    ping = codec.encode(stranger, "", 1, Ping(1, 0, 0, []))
    for _ in range(3):
        ((address, data),) = member.receive(ping, ("10.9.9.9", 1), cluster.now)
        assert address == ("10.9.9.9", 1)
        assert len(data) < 2 * len(ping)
        assert "stranger" not in member._state.peers
    # A member at its known address receives gossip even before it echoes a token.
    known_process = cluster.processes[NAMES[7]]
    known_member = member_of(cluster, NAMES[7])
    ping = codec.encode(known_member.identity, "", 10_000, Ping(1, 0, 0, []))
    ((_, data),) = member.receive(ping, known_process.address, cluster.now)
    assert len(data) > 2 * len(ping)


def test_graceful_shutdown_is_announced_rather_than_detected() -> None:
    cluster = converged_cluster()
    cluster.leave(NAMES[4])
    assert_agree_within(cluster, 2.0, all_except(NAMES[4]))
    assert not [entry for entry in cluster.events if isinstance(entry.event, events.OpinionChanged)]


def test_newer_process_supersedes_older_one_of_the_same_name() -> None:
    cluster = converged_cluster()
    older = member_of(cluster, NAMES[2])
    cluster.run(6.0)
    cluster.start(NAMES[2])  # the address now belongs to the newer process
    assert_agree_within(cluster, 5.0, NAMES)
    newer = member_of(cluster, NAMES[2])
    for _, data in newer.tick(cluster.now + 0.1):
        older.receive(data, ("10.0.0.2", 7000), cluster.now + 0.1)
    assert older.is_superseded
    assert older.tick(cluster.now + 0.2) == []
    assert len([entry for entry in cluster.events if isinstance(entry.event, events.Superseded)]) == 1


def test_process_restarted_under_a_stepped_wall_clock_joins_again() -> None:
    failed_cases = []
    for down_s in (0.5, 12.0, 60.0):
        for clock_offset_s in (-3600.0, -5.0, 3600.0):
            cluster = converged_cluster()
            cluster.kill(NAMES[5])
            cluster.run(cluster.now + down_s)
            cluster.start(NAMES[5], clock_offset_s)
            cluster.run(cluster.now + 20.0)
            if not cluster.agree(NAMES) or member_of(cluster, NAMES[5]).is_superseded:
                failed_cases.append((down_s, clock_offset_s))
    assert not failed_cases


def test_isolated_member_removes_no_other() -> None:
    cluster = converged_cluster(*both_ways(5.0, 40.0, NAMES[:1], NAMES[1:]))
    cluster.run(40.0)
    assert member_of(cluster, NAMES[0]).is_isolated
    assert [entry for entry in cluster.removals() if entry.observer == NAMES[0]] == []


def test_replayed_or_misdirected_datagram_is_dropped() -> None:
    cluster = converged_cluster()
    receiver = member_of(cluster, NAMES[1])
    recorded: list[bytes] = []
    deliver = cluster.links.deliver

    def record(now: float, source: str, target: str, data: bytes) -> Iterator[tuple[float, bytes]]:
        if target == NAMES[1]:
            recorded.append(data)
        return deliver(now, source, target, data)

    cluster.links.deliver = record  # type: ignore[method-assign]
    cluster.run(8.0)
    assert recorded
    dropped_before = dict(receiver.dropped)
    for data in recorded:
        assert receiver.receive(data, ("10.9.9.9", 1), cluster.now) == []
    assert receiver.dropped["replayed"] == dropped_before.get("replayed", 0) + len(recorded)
    third = member_of(cluster, NAMES[2])
    third.receive(recorded[0], ("10.9.9.9", 1), cluster.now)
    assert third.dropped["misdirected"] == 1


def test_idle_member_sends_at_most_2_kib_per_second() -> None:
    cluster = converged_cluster(count=40)
    sent_before = {member.identity.name: member.sent_bytes for member in cluster.running_members()}
    cluster.run(25.0)
    max_sent_bytes = max(
        member.sent_bytes - sent_before[member.identity.name] for member in cluster.running_members()
    )
    assert max_sent_bytes / 20.0 <= 2048.0
