"""Who is found gone, how soon, and who is wrongly: simulated, and by real processes behind the switch.

The worst of the schedules and seeds counts. Plain SWIM stands beside ours in the same simulation, its times
set to find a killed member within about the same time. A plot goes to ``found/``.
"""

from __future__ import annotations

import random
import statistics
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from ironmill.membership.events import MemberRemoved
from ironmill.membership.identity import Address
from ironmill.membership.member import Member
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.faults import checker
from ironmill_testbed.faults.process_cluster import ProcessCluster
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_cluster import (
    ClusterEvent,
    ClusterOptions,
    MemberFactory,
    SimulatedCluster,
)
from ironmill_testbed.faults.swim import SwimMember
from ironmill_testbed.fleet import Client, Fleet, in_parallel, play

PLOTS = Path("found")
CLIENTS = 60
LIMIT = 600.0
SETTLED = 5.0  # seconds before anything goes wrong
KINDS: dict[str, MemberFactory] = {"ours": Member, "swim": SwimMember}


def measure(quick: bool, poller: str, program: Path | None) -> dict[str, Any]:
    """The figures by name; ``poller`` and ``program`` are not used."""
    seeds = (1, 2) if quick else (1, 2, 3, 4, 5)
    sizes = (10, 30, 100) if quick else (10, 30, 100, 300, 1000)
    found: dict[str, Any] = {}
    detection = {kind: [_detection(kind, size, seeds[:2]) for size in sizes] for kind in KINDS}
    found["detect_p99_s"] = max(most for _, most in detection["ours"])
    found["detect_p99_s_swim"] = max(most for _, most in detection["swim"])
    shares = (0.1, 0.3) if quick else (0.0, 0.1, 0.2, 0.3, 0.4)
    size, span = (20, 20.0) if quick else (60, 60.0)
    loss = {
        kind: [_removed(kind, size, [_loss(share, span)], span, seeds) for share in shares] for kind in KINDS
    }
    wrong: dict[str, dict[str, int]] = {"loss": {kind: loss[kind][shares.index(0.3)] for kind in KINDS}}
    for name, faults in _schedules(size, span).items():
        wrong[name] = {kind: _removed(kind, size, faults, span, seeds) for kind in KINDS}
    print("wrongly removed, all members of all seeds:")
    for name, by in wrong.items():
        print(f"  {name:10} ours {by['ours']:6}  swim {by['swim']:6}")
    found["false_removals"] = max(by["ours"] for by in wrong.values())
    found["false_removals_swim"] = max(by["swim"] for by in wrong.values())
    one_sided = [_one_sided(size, deaf, seed) for deaf in (True, False) for seed in seeds]
    found["flaps"] = sum(flaps for flaps, _, _ in one_sided)
    found["one_sided_gone_s"] = max(gone for _, gone, _ in one_sided)
    found["one_sided_back_s"] = max(back for _, _, back in one_sided)
    healed = [_halves(size, seed) for seed in seeds]
    found["whole_s"], found["heal_s"] = (max(one[at] for one in healed) for at in (0, 1))
    found["bytes_per_s"], found["memory_bytes"] = _cost(60 if quick else 200)
    found |= _processes(12 if quick else 24)
    found |= _beside(4, 600 if quick else 3000)
    _plots(sizes, detection, shares, loss, size, span)
    return {name: round(value, 3) if isinstance(value, float) else value for name, value in found.items()}


def _converged_cluster(kind: str, size: int, faults: Sequence[Fault], seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(size, faults, seed, ClusterOptions(make_member=KINDS[kind]))
    cluster.start_converged()
    cluster.run(SETTLED)
    return cluster


def _detection(kind: str, size: int, seeds: Sequence[int]) -> tuple[float, float]:
    """Seconds until a killed member is out of every view: the mean, and the 99th percentile of all views."""
    took: list[float] = []
    for seed in seeds:
        cluster = _converged_cluster(kind, size, [], seed)
        dead = random.Random(seed).choice(list(cluster.processes))
        cluster.kill(dead)
        since = cluster.now
        cluster.run(since + 12.0)
        at = {one.observer: one.at_s - since for one in cluster.removals(since) if _member(one) == dead}
        took += [at.get(name, float("inf")) for name in cluster.processes if name != dead]
    took.sort()
    return sum(took) / len(took), took[int(0.99 * (len(took) - 1))]


def _member(removal: ClusterEvent) -> str:
    assert isinstance(removal.event, MemberRemoved)
    return removal.event.member


def _loss(share: float, span: float) -> Fault:
    return Fault("loss", SETTLED, SETTLED + span, fraction=share)


def _schedules(size: int, span: float) -> dict[str, list[Fault]]:
    names = [f"p{at:05d}" for at in range(size)]
    end = SETTLED + span
    rng = random.Random(7)
    pauses = [
        Fault("pause", SETTLED + at, SETTLED + at + 2.0, names=tuple(rng.sample(names, size // 5)))
        for at in range(0, int(span) - 2, 3)
    ]
    return {
        "delay": [
            Fault("delay", SETTLED, end, max_delay_s=1.0),
            Fault("duplicate", SETTLED, end, fraction=0.2, max_delay_s=1.0),
        ],
        "pauses": pauses,
        "one link": [Fault("cut", SETTLED, end, (names[1],), (names[2],))],
        "a third": [Fault("cut", SETTLED, end, (names[1],), tuple(names[2 : 2 + (size - 1) // 3]))],
    }


def _removed(kind: str, size: int, faults: Sequence[Fault], span: float, seeds: Sequence[int]) -> int:
    """How often anybody who is well was put out of a view."""
    count = 0
    for seed in seeds:
        cluster = _converged_cluster(kind, size, faults, seed)
        cluster.run(SETTLED + span)
        count += len(cluster.removals(SETTLED))
    return count


def _one_sided(size: int, deaf: bool, seed: int) -> tuple[int, float, float]:
    """Removals beyond one in each view; seconds until it was out everywhere, and in again after the cut."""
    one = ("p00001",)
    cut = Fault("cut", SETTLED, SETTLED + 20.0, () if deaf else one, one if deaf else ())
    cluster = _converged_cluster("ours", size, [cut], seed)
    rest = [name for name in cluster.processes if name not in one]
    gone = cluster.run_until(lambda: cluster.agree(rest), 20.0)
    cluster.run(SETTLED + 20.0)
    back = cluster.run_until(cluster.agree, 20.0)
    return len(cluster.removals(SETTLED)) - len(rest), _or_never(gone), _or_never(back)


def _halves(size: int, seed: int) -> tuple[float, float]:
    """Seconds until both halves were whole, and until all were one again."""
    names = tuple(f"p{at:05d}" for at in range(size))
    one, other = names[: size // 2], names[size // 2 :]
    cluster = _converged_cluster("ours", size, both_ways(SETTLED, SETTLED + 25.0, one, other), seed)
    whole = cluster.run_until(lambda: cluster.agree(one) and cluster.agree(other), 25.0)
    cluster.run(SETTLED + 25.0)
    return _or_never(whole), _or_never(cluster.run_until(cluster.agree, 25.0))


def _or_never(took: float | None) -> float:
    return float("inf") if took is None else took


def _cost(size: int) -> tuple[float, float]:
    """Bytes a second that the busiest member sends at rest; bytes that one more member costs each."""
    import tracemalloc

    cluster = _converged_cluster("ours", size, [], 1)
    before = [member.sent_bytes for member in cluster.running_members()]
    cluster.run(SETTLED + 10.0)
    sent = [m.sent_bytes - was for m, was in zip(cluster.running_members(), before, strict=True)]
    held = []
    for count in (size, 2 * size):
        tracemalloc.start()
        one = SimulatedCluster(count, [], 1)
        one.start_converged()
        held.append(tracemalloc.get_traced_memory()[0] / count)
        tracemalloc.stop()
    return max(sent) / 10.0, (held[1] - held[0]) / size


def _processes(count: int) -> dict[str, Any]:
    """Real ones: kills, a deaf one, a sleeper, two halves, loss; judged by their logs."""
    found: dict[str, Any] = {"processes": count}
    with tempfile.TemporaryDirectory() as name, ProcessCluster(Path(name), count) as cluster:
        names = cluster.names
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(names))
        began, cpu = time.monotonic(), [process.usage().cpu for process in cluster.processes.values()]
        time.sleep(5.0)
        spent = [
            process.usage().cpu - was for process, was in zip(cluster.processes.values(), cpu, strict=True)
        ]
        found["cpu_percent"] = 100.0 * max(spent) / (time.monotonic() - began)
        load = Load([cluster.client_addresses[one] for one in names[:3]])  # which stay well
        dead = names[-count // 4 :]
        rest = [one for one in names if one not in dead]
        at = cluster.kill(*dead)
        cluster.wait_until(lambda: cluster.agree(rest))
        seen = cluster.logged_events()
        found["real_detect_s"] = max(max(checker.detection_delays(seen, rest, one, at)) for one in dead)
        cluster.start(*dead)
        found["real_back_s"] = cluster.wait_until(lambda: cluster.agree(names))
        at = cluster.inject([Fault("loss", 0.0, 6.0, fraction=0.3)])
        time.sleep(6.0)
        found["real_false_removals"] = len(checker.removals(cluster.logged_events(), at))
        deaf, rest = names[3], [one for one in names if one != names[3]]
        at = cluster.inject([Fault("cut", 0.0, 8.0, (), (deaf,))])
        cluster.wait_until(lambda: cluster.agree(rest))
        time.sleep(max(0.0, at + 8.0 - time.monotonic()))
        found["real_one_sided_back_s"] = cluster.wait_until(lambda: cluster.agree(names))
        seen = cluster.logged_events()
        found["real_one_sided_gone_s"] = max(checker.detection_delays(seen, rest, deaf, at))
        found["real_flaps"] = checker.count_flaps(seen, at, at + 8.0)
        one, other = names[: count // 2], names[count // 2 :]
        cluster.inject(both_ways(0.0, 1e9, tuple(one), tuple(other)))
        found["real_whole_s"] = cluster.wait_until(lambda: cluster.agree(one) and cluster.agree(other))
        cluster.inject([])
        at = time.monotonic()
        found["real_heal_s"] = cluster.wait_until(lambda: cluster.agree(names))
        found["sequences"] = checker.count_view_sequences(cluster.logged_events(), names, at)
        found["clients_lost"], found["clients_lines"] = load.stop()
    return found


class Load:
    """Clients that stay, in a thread of their own, at proxies that no fault hits."""

    def __init__(self, addresses: list[Address]) -> None:
        self._ending = False
        self._counts = (0, 0)
        self._thread = threading.Thread(target=self._run, args=(addresses,), daemon=True)
        self._thread.start()

    def _run(self, addresses: list[Address]) -> None:
        scheduler = Scheduler()

        def story() -> None:
            fleet = Fleet(scheduler, addresses, CLIENTS)
            while not self._ending:
                scheduler.sleep(0.1)
            counts = fleet.counts
            lost = counts.lost + counts.unanswered + counts.failed + counts.unreached
            self._counts = lost, counts.lines
            fleet.end()

        play(scheduler, story, LIMIT)

    def stop(self) -> tuple[int, int]:
        """What was lost, of connections and requests; the lines that came back."""
        self._ending = True
        self._thread.join()
        return self._counts


def _beside(count: int, setups: int) -> dict[str, Any]:
    """Milliseconds from the connect to UP at the 99th percentile, with membership and without, in turns."""
    took: dict[bool, list[float]] = {True: [], False: []}
    for on in (True, False, True, False):
        with (
            tempfile.TemporaryDirectory() as name,
            ProcessCluster(Path(name), count, membership=on) as cluster,
        ):
            cluster.start()
            for one in cluster.names:
                cluster.proxy(one).wait_ready()
            if on:
                cluster.wait_until(lambda: cluster.agree(cluster.names))
            took[on] += _setups(list(cluster.client_addresses.values()), setups // 2)
    cuts = {on: statistics.quantiles(took[on], n=100)[98] for on in took}
    return {
        "setup_p99_ms": cuts[True],
        "setup_p99_ms_off": cuts[False],
        "setup_p99_over": cuts[True] / cuts[False],
    }


def _setups(addresses: list[Address], count: int) -> list[float]:
    scheduler, took = Scheduler(), list[float]()

    def one(at: int) -> None:
        client = Client(scheduler, addresses[at % len(addresses)])
        start = time.monotonic()
        client.open()
        took.append((time.monotonic() - start) * 1000.0)
        client.close()

    play(scheduler, lambda: in_parallel(scheduler, 4, range(count), one), LIMIT)
    return took


def _plots(
    sizes: Sequence[int],
    detection: dict[str, list[tuple[float, float]]],
    shares: Sequence[float],
    loss: dict[str, list[int]],
    size: int,
    span: float,
) -> None:
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    PLOTS.mkdir(exist_ok=True)
    figure, (left, right) = plt.subplots(1, 2, figsize=(11.0, 4.2))
    for kind, style in (("ours", "C0-o"), ("swim", "C1--s")):
        left.plot(sizes, [most for _, most in detection[kind]], style, label=f"{kind}, 99th percentile")
        left.plot(sizes, [mean for mean, _ in detection[kind]], style, alpha=0.4, label=f"{kind}, mean")
        right.plot([100.0 * share for share in shares], loss[kind], style, label=kind)
    left.set(xscale="log", xlabel="members", ylabel="seconds until a killed one is out", ylim=(0.0, None))
    right.set(
        xlabel="datagrams lost, per cent",
        ylabel=f"wrong removals, {size} members in {span:g} s",
        yscale="symlog",
    )
    for axes in (left, right):
        axes.legend()
        axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(PLOTS / "membership.png", dpi=110)
    plt.close(figure)
