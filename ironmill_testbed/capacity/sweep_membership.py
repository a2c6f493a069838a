"""Sweeps of membership: the program's unchanged state machines, simulated on a virtual clock.

Bytes are those of datagrams without the UDP and IP headers. Members intern equal values
(``ironmill_testbed.faults.interning``), except where memory is measured.
"""

from __future__ import annotations

import gc
import math
import random
import statistics
import time
import tracemalloc
from collections import deque

from msgspec import Raw

from ironmill.membership.codec import Codec, decode_update, encode_update
from ironmill.membership.config import MemberConfig
from ironmill.membership.events import MemberJoined, MemberRemoved
from ironmill.membership.identity import MemberIdentity
from ironmill.membership.member import Member
from ironmill.membership.messages import GossipUpdate, MemberRecord
from ironmill.membership.timing import TICK_INTERVAL_S, Timing
from ironmill_testbed.capacity.data import Shape, Sign, Sweep
from ironmill_testbed.capacity.runs import Runs
from ironmill_testbed.faults.interning import MemberInterner
from ironmill_testbed.faults.simulated_cluster import KEY, ClusterOptions, SimulatedCluster

ZONES = 11
WARM_UP_S = 5.0  # simulated time before a measurement begins
IDLE_SPAN_S, QUICK_IDLE_SPAN_S = 10, 5
ZONE_FAILURE_SPAN_S = 20.0  # simulated time that is measured after the zone was killed
RATE_THRESHOLD = 6000.0  # bytes per second sent by the mean member; time above it is counted
TICKS_PER_SECOND = round(1.0 / TICK_INTERVAL_S)
MEMORY_TICKS = 50
IDLE_SIZES = (30, 60, 100, 200, 300, 600, 1000)
QUICK_IDLE_SIZES = (30, 60, 100, 200, 300)
ZONE_SIZES = (44, 66, 110, 220, 330, 660, 1001)
QUICK_ZONE_SIZES = (44, 66, 110, 165, 220)
VIEW_SIZES = (30, 100, 300, 1000, 3000)


def _converged_cluster(size: int, seed: int) -> SimulatedCluster:
    options = ClusterOptions(zones=ZONES, make_member=MemberInterner())
    cluster = SimulatedCluster(size, [], seed, options)
    cluster.start_converged()
    cluster.run(WARM_UP_S)
    return cluster


def measure_idle(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the bytes and CPU time per second of the mean member in a cluster without changes."""
    cluster = _converged_cluster(size, seed)
    span_s = QUICK_IDLE_SPAN_S if quick else IDLE_SPAN_S
    sent_before = sum(member.sent_bytes for member in cluster.running_members())
    cpu_s: list[float] = []
    for second in range(span_s):
        start = time.process_time()
        cluster.run(WARM_UP_S + second + 1.0)
        cpu_s.append(time.process_time() - start)
    sent = sum(member.sent_bytes for member in cluster.running_members()) - sent_before
    return {
        "membership_rest_bytes": sent / span_s / size,
        "membership_rest_cpu": statistics.median(cpu_s) / size,
    }


def measure_zone_failure(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Kills one of eleven zones; measures the survivors' traffic and the time until all dead are removed."""
    del quick
    cluster = _converged_cluster(size, seed)
    # The zones of the seed members, z0 and z1, are never killed: joining is not part of the measurement.
    killed_zone = f"z{random.Random(seed).randrange(2, ZONES)}"
    dead = {process.name for process in cluster.processes.values() if process.zone == killed_zone}
    for name in dead:
        cluster.kill(name)
    alive = cluster.running_members()
    watch = _RemovalWatch(cluster, dead, len(alive) * len(dead))
    sent_at_tick: deque[int] = deque([sum(member.sent_bytes for member in alive)], TICKS_PER_SECOND + 1)
    max_rate, ticks_above_threshold = 0.0, 0
    for tick in range(1, round(ZONE_FAILURE_SPAN_S / TICK_INTERVAL_S) + 1):
        cluster.run(WARM_UP_S + tick * TICK_INTERVAL_S)
        sent_at_tick.append(sum(member.sent_bytes for member in alive))
        if len(sent_at_tick) > TICKS_PER_SECOND:
            rate = (sent_at_tick[-1] - sent_at_tick[0]) / len(alive)
            max_rate = max(max_rate, rate)
            ticks_above_threshold += rate > RATE_THRESHOLD
        watch.update()
    return {
        "membership_zone_bytes": max_rate,
        "membership_zone_span": ticks_above_threshold * TICK_INTERVAL_S,
        "membership_zone_gone": watch.complete_at_s,
    }


class _RemovalWatch:
    """Finds the time at which all surviving members have removed all dead ones from their views."""

    def __init__(self, cluster: SimulatedCluster, dead: set[str], expected_count: int) -> None:
        self._cluster = cluster
        self._dead = dead
        self._expected_count = expected_count
        self._removed: set[tuple[str, str]] = set()  # pairs of the observing and the removed member
        self._read_count = len(cluster.events)
        self.complete_at_s = math.inf  # seconds after the failure; infinite until all are removed

    def update(self) -> None:
        """Evaluates the events since the last call."""
        for entry in self._cluster.events[self._read_count :]:
            if not isinstance(entry.event, MemberJoined | MemberRemoved):
                continue
            member = entry.event.member
            if member not in self._dead or entry.observer in self._dead:
                continue
            if isinstance(entry.event, MemberRemoved):
                self._removed.add((entry.observer, member))
            else:
                self._removed.discard((entry.observer, member))
            is_complete = len(self._removed) == self._expected_count
            self.complete_at_s = entry.at_s - WARM_UP_S if is_complete else math.inf
        self._read_count = len(self._cluster.events)


def measure_memory(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Measures the bytes that one member allocates with ``size`` members in its view.

    Each record is decoded separately, as from a datagram, and not interned.
    """
    del quick
    encoded_records = [encode_update(MemberRecord(_identity(index), 2)) for index in range(size)]
    gc.collect()
    tracemalloc.start()
    own = decode_update(Raw(encoded_records[0]))
    assert isinstance(own, MemberRecord)
    config = MemberConfig(own.identity, Timing(), [own.identity.address])
    member = Member(config, Codec("sim", [KEY]), random.Random(seed), 0.0, lambda event: None)
    member.restore(_decode_records(encoded_records), 0.0)
    for tick in range(1, MEMORY_TICKS):  # allocates the state of its own checks, which nobody answers
        member.tick(tick * TICK_INTERVAL_S)
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"membership_memory": float(allocated_bytes)}


def _identity(index: int) -> MemberIdentity:
    return MemberIdentity(
        f"p{index:05d}", f"10.0.{index >> 8}.{index & 255}", 7000, f"z{index % ZONES}", "r1", 1
    )


def _decode_records(encoded_records: list[bytes]) -> list[MemberRecord]:
    updates: list[GossipUpdate] = [decode_update(Raw(encoded)) for encoded in encoded_records]
    return [update for update in updates if isinstance(update, MemberRecord)]


def _sweep(name: str, description: str, unit: str, shape: Shape = Shape.LINE) -> Sweep:
    return Sweep(name, description, "members", unit, Sign.VIRTUAL, (), shape)


RUNS = (
    Runs(
        measure_zone_failure,
        (
            _sweep(
                "membership_zone_bytes",
                "B/s that the mean surviving member sends in the highest second "
                "after one of eleven zones was killed, simulated; it grows less and less, also "
                "less than the power law at the largest sizes.",
                "B/s",
                Shape.POWER,
            ),
            _sweep(
                "membership_zone_span",
                "Seconds during which that mean, over the last second, is above 6,000 B/s.",
                "s",
            ),
            _sweep(
                "membership_zone_gone",
                "Seconds until the last of the zone is out of the last view, watched for 20 s.",
                "s",
            ),
        ),
        ZONE_SIZES,
        QUICK_ZONE_SIZES,
        repeats=3,
    ),
    Runs(
        measure_idle,
        (
            _sweep(
                "membership_rest_bytes",
                "B/s that the mean member sends at rest, simulated; nearly the same at all sizes.",
                "B/s",
                Shape.POWER,
            ),
            _sweep(
                "membership_rest_cpu",
                "CPU a second of the mean member at rest: simulated, so the work "
                "of carrying datagrams is the simulation's, and no system call is in it.",
                "s/s",
                Shape.POWER,
            ),
        ),
        IDLE_SIZES,
        QUICK_IDLE_SIZES,
        repeats=3,
    ),
    Runs(
        measure_memory,
        (
            _sweep(
                "membership_memory",
                "Bytes of one member whose view has so many, by tracemalloc; the "
                "slope is what one more costs each.",
                "B",
            ),
        ),
        VIEW_SIZES,
        VIEW_SIZES,
    ),
)
