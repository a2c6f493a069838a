"""Measures failure detection: simulated and compared with plain SWIM, and with real processes.

The datagrams of real processes pass ``ironmill_testbed.faults.switch``, which injects faults. Each figure is
the worst of all schedules and seeds. The intervals of plain SWIM are set so that it removes a killed member
within about the same time. A plot is written to ``found/membership.png``.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from msgspec import Struct

from ironmill.membership.events import MemberRemoved
from ironmill.membership.member import Member
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_cluster import (
    ClusterEvent,
    ClusterOptions,
    MemberFactory,
    SimulatedCluster,
)
from ironmill_testbed.faults.swim import SwimMember
from ironmill_testbed.measures.membership_processes import measure_processes, measure_setup_times
from ironmill_testbed.measures.options import MeasurementOptions

PLOTS = Path("found")
WARM_UP_S = 5.0  # simulated time before a fault begins
DETECTION_SPAN_S = 12.0
CUT_SPAN_S, ONE_WAY_LIMIT_S = 20.0, 20.0
PARTITION_SPAN_S, PARTITION_LIMIT_S = 25.0, 25.0
COST_SPAN_S = 10.0
PUBLISHED_LOSS = 0.3  # the loss fraction whose false removals are returned as a figure
KINDS: dict[str, MemberFactory] = {"ours": Member, "swim": SwimMember}


class Extent(Struct, frozen=True):
    """The sizes and durations of a measurement."""

    seeds: tuple[int, ...]
    sizes: tuple[int, ...]  # members of the clusters in which one is killed
    loss_fractions: tuple[float, ...]
    size: int  # members of all other clusters
    span_s: float  # duration of a fault
    cost_size: int  # members of the cluster whose traffic and memory are measured
    processes: int
    setups: int


FULL = Extent(
    seeds=(1, 2, 3, 4, 5),
    sizes=(10, 30, 100, 300, 1000),
    loss_fractions=(0.0, 0.1, 0.2, 0.3, 0.4),
    size=60,
    span_s=60.0,
    cost_size=200,
    processes=24,
    setups=3000,
)
QUICK = Extent(
    seeds=(1, 2),
    sizes=(10, 30, 100),
    loss_fractions=(0.1, 0.3),
    size=20,
    span_s=20.0,
    cost_size=60,
    processes=12,
    setups=600,
)
SETUP_PROXIES = 4


class DetectionTime(Struct, frozen=True):
    """The seconds until a killed member was removed from a view, over all views."""

    mean_s: float
    p99_s: float


class PlotData(Struct, frozen=True):
    """The series of the plot, by kind of member."""

    extent: Extent
    detection: dict[str, list[DetectionTime]]
    false_removals: dict[str, list[int]]


def measure(options: MeasurementOptions) -> dict[str, Any]:
    """Returns the figures by name; only ``is_quick`` is used."""
    extent = QUICK if options.is_quick else FULL
    figures: dict[str, Any] = {}
    detection = {
        kind: [_measure_detection(kind, size, extent.seeds[:2]) for size in extent.sizes] for kind in KINDS
    }
    figures["detect_p99_s"] = max(time.p99_s for time in detection["ours"])
    figures["detect_p99_s_swim"] = max(time.p99_s for time in detection["swim"])
    by_loss = {
        kind: [_count_removals(kind, extent, [_loss(fraction, extent)]) for fraction in extent.loss_fractions]
        for kind in KINDS
    }
    figures |= _measure_false_removals(extent, by_loss)
    figures |= _measure_one_way_contact(extent)
    healed = [_measure_partition(extent.size, seed) for seed in extent.seeds]
    figures["whole_s"] = max(complete_s for complete_s, _ in healed)
    figures["heal_s"] = max(merge_s for _, merge_s in healed)
    figures["bytes_per_s"], figures["memory_bytes"] = _measure_cost(extent.cost_size)
    figures |= measure_processes(extent.processes)
    figures |= measure_setup_times(SETUP_PROXIES, extent.setups)
    _plot(PlotData(extent, detection, by_loss))
    return {name: round(value, 3) if isinstance(value, float) else value for name, value in figures.items()}


def _converged_cluster(kind: str, size: int, faults: Sequence[Fault], seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(size, faults, seed, ClusterOptions(make_member=KINDS[kind]))
    cluster.start_converged()
    cluster.run(WARM_UP_S)
    return cluster


def _measure_detection(kind: str, size: int, seeds: Sequence[int]) -> DetectionTime:
    """Kills one member of a cluster for each seed, and measures its removal from all other views."""
    times_s: list[float] = []
    for seed in seeds:
        cluster = _converged_cluster(kind, size, [], seed)
        dead = random.Random(seed).choice(list(cluster.processes))
        cluster.kill(dead)
        killed_at = cluster.now
        cluster.run(killed_at + DETECTION_SPAN_S)
        removed_at = {
            removal.observer: removal.at_s - killed_at
            for removal in cluster.removals(killed_at)
            if _removed_member(removal) == dead
        }
        times_s += [removed_at.get(name, float("inf")) for name in cluster.processes if name != dead]
    times_s.sort()
    return DetectionTime(sum(times_s) / len(times_s), times_s[int(0.99 * (len(times_s) - 1))])


def _removed_member(removal: ClusterEvent) -> str:
    assert isinstance(removal.event, MemberRemoved)
    return removal.event.member


def _loss(fraction: float, extent: Extent) -> Fault:
    return Fault("loss", WARM_UP_S, WARM_UP_S + extent.span_s, fraction=fraction)


def _schedules(extent: Extent) -> dict[str, list[Fault]]:
    """Returns schedules of faults, by name, during which no member may be removed."""
    names = [f"p{index:05d}" for index in range(extent.size)]
    end = WARM_UP_S + extent.span_s
    rng = random.Random(7)
    pauses = [
        Fault(
            "pause",
            WARM_UP_S + offset_s,
            WARM_UP_S + offset_s + 2.0,
            names=tuple(rng.sample(names, extent.size // 5)),
        )
        for offset_s in range(0, int(extent.span_s) - 2, 3)
    ]
    third = tuple(names[2 : 2 + (extent.size - 1) // 3])
    return {
        "delay": [
            Fault("delay", WARM_UP_S, end, max_delay_s=1.0),
            Fault("duplicate", WARM_UP_S, end, fraction=0.2, max_delay_s=1.0),
        ],
        "pauses": pauses,
        "one link": [Fault("cut", WARM_UP_S, end, (names[1],), (names[2],))],
        "a third": [Fault("cut", WARM_UP_S, end, (names[1],), third)],
    }


def _count_removals(kind: str, extent: Extent, faults: Sequence[Fault]) -> int:
    """Counts the removals of healthy members from views, over all seeds."""
    count = 0
    for seed in extent.seeds:
        cluster = _converged_cluster(kind, extent.size, faults, seed)
        cluster.run(WARM_UP_S + extent.span_s)
        count += len(cluster.removals(WARM_UP_S))
    return count


def _measure_false_removals(extent: Extent, by_loss: dict[str, list[int]]) -> dict[str, Any]:
    published_index = extent.loss_fractions.index(PUBLISHED_LOSS)
    counts = {"loss": {kind: by_loss[kind][published_index] for kind in KINDS}}
    for name, faults in _schedules(extent).items():
        counts[name] = {kind: _count_removals(kind, extent, faults) for kind in KINDS}
    print("wrongly removed, all members of all seeds:")
    for name, by_kind in counts.items():
        print(f"  {name:10} ours {by_kind['ours']:6}  swim {by_kind['swim']:6}")
    return {
        "false_removals": max(by_kind["ours"] for by_kind in counts.values()),
        "false_removals_swim": max(by_kind["swim"] for by_kind in counts.values()),
    }


def _measure_one_way_contact(extent: Extent) -> dict[str, Any]:
    """Measures, for each seed, a member that cannot receive and one that cannot send."""
    affected = ("p00001",)
    flaps, removal_s, rejoin_s = 0, 0.0, 0.0
    for sources, targets in (((), affected), (affected, ())):
        for seed in extent.seeds:
            cut = Fault("cut", WARM_UP_S, WARM_UP_S + CUT_SPAN_S, sources, targets)
            cluster = _converged_cluster("ours", extent.size, [cut], seed)
            unaffected = [name for name in cluster.processes if name not in affected]
            removal_s = max(removal_s, _wait_for_agreement(cluster, [unaffected], ONE_WAY_LIMIT_S))
            cluster.run(WARM_UP_S + CUT_SPAN_S)
            rejoin_s = max(rejoin_s, _wait_for_agreement(cluster, [None], ONE_WAY_LIMIT_S))
            flaps += len(cluster.removals(WARM_UP_S)) - len(unaffected)  # every other member removes it once
    return {"flaps": flaps, "one_sided_gone_s": removal_s, "one_sided_back_s": rejoin_s}


def _measure_partition(size: int, seed: int) -> tuple[float, float]:
    """Returns the seconds until the views of both halves were complete, and until they had merged."""
    names = tuple(f"p{index:05d}" for index in range(size))
    first_half, second_half = names[: size // 2], names[size // 2 :]
    faults = both_ways(WARM_UP_S, WARM_UP_S + PARTITION_SPAN_S, first_half, second_half)
    cluster = _converged_cluster("ours", size, faults, seed)
    complete_s = _wait_for_agreement(cluster, [first_half, second_half], PARTITION_LIMIT_S)
    cluster.run(WARM_UP_S + PARTITION_SPAN_S)
    return complete_s, _wait_for_agreement(cluster, [None], PARTITION_LIMIT_S)


def _wait_for_agreement(
    cluster: SimulatedCluster, groups: Sequence[Sequence[str] | None], limit_s: float
) -> float:
    """Returns the seconds until the views of each group's members consist of the group.

    A group of None is all members. The result is infinite if the limit is exceeded.
    """
    duration_s = cluster.run_until(lambda: all(cluster.agree(group) for group in groups), limit_s)
    return float("inf") if duration_s is None else duration_s


def _measure_cost(size: int) -> tuple[float, float]:
    """Returns the highest bytes per second of an idle member, and the bytes of memory per further member."""
    import tracemalloc

    cluster = _converged_cluster("ours", size, [], 1)
    sent_before = [member.sent_bytes for member in cluster.running_members()]
    cluster.run(WARM_UP_S + COST_SPAN_S)
    members = cluster.running_members()
    sent = [member.sent_bytes - before for member, before in zip(members, sent_before, strict=True)]
    bytes_per_member = []
    for count in (size, 2 * size):
        tracemalloc.start()
        measured_cluster = SimulatedCluster(count, [], 1)
        measured_cluster.start_converged()
        bytes_per_member.append(tracemalloc.get_traced_memory()[0] / count)
        tracemalloc.stop()
    return max(sent) / COST_SPAN_S, (bytes_per_member[1] - bytes_per_member[0]) / size


def _plot(data: PlotData) -> None:
    """Plots detection times by size, and false removals by loss."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    extent = data.extent
    PLOTS.mkdir(exist_ok=True)
    figure, (left, right) = plt.subplots(1, 2, figsize=(11.0, 4.2))
    loss_percent = [100.0 * fraction for fraction in extent.loss_fractions]
    for kind, style in (("ours", "C0-o"), ("swim", "C1--s")):
        times = data.detection[kind]
        left.plot(extent.sizes, [time.p99_s for time in times], style, label=f"{kind}, 99th percentile")
        left.plot(extent.sizes, [time.mean_s for time in times], style, alpha=0.4, label=f"{kind}, mean")
        right.plot(loss_percent, data.false_removals[kind], style, label=kind)
    left.set(xscale="log", xlabel="members", ylabel="seconds until a killed one is out", ylim=(0.0, None))
    right.set(
        xlabel="datagrams lost, per cent",
        ylabel=f"wrong removals, {extent.size} members in {extent.span_s:g} s",
        yscale="symlog",
    )
    for axes in (left, right):
        axes.legend()
        axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(PLOTS / "membership.png", dpi=110)
    plt.close(figure)
