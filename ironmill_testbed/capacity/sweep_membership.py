"""Sweeps of membership: simulated members on a virtual clock, the program's state machines unchanged.

Bytes are those of the datagrams without the headers of UDP and IP. Members keep equal facts once for all of
them (``ironmill_testbed.faults.shared``), but where memory is measured.
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

from ironmill.membership.identity import MemberIdentity
from ironmill.membership.member import Member
from ironmill.membership.timing import TICK, Timing
from ironmill.membership.wire import Codec, Fact, Rumour, pack, unpack
from ironmill_testbed.capacity.data import Shape, Sign, Sweep
from ironmill_testbed.capacity.runs import Runs
from ironmill_testbed.faults.shared import Shared
from ironmill_testbed.faults.simulated_cluster import KEY, SimulatedCluster

ZONES = 11
SETTLED = 5.0  # seconds before anything is measured
REST, REST_QUICK = 10, 5  # seconds
WATCH = 20.0  # seconds after the zone was killed
LIMIT = 6000.0  # bytes a second of the mean member, which the span is measured over
SECOND = round(1.0 / TICK)  # ticks
MEMBERS = (30, 60, 100, 200, 300, 600, 1000)
MEMBERS_QUICK = (30, 60, 100, 200, 300)
IN_ZONES = (44, 66, 110, 220, 330, 660, 1001)
IN_ZONES_QUICK = (44, 66, 110, 165, 220)
VIEWS = (30, 100, 300, 1000, 3000)


def _world(size: int, seed: int) -> SimulatedCluster:
    world = SimulatedCluster(size, [], seed, zones=ZONES, make=Shared())
    world.settle()
    world.run(SETTLED)
    return world


def rest(size: int, quick: bool, seed: int) -> dict[str, float]:
    """What the mean member sends and computes a second while nothing happens."""
    world = _world(size, seed)
    seconds = REST_QUICK if quick else REST
    before, took = sum(member.sent_bytes for member in world.running()), list[float]()
    for second in range(seconds):
        start = time.process_time()
        world.run(SETTLED + second + 1.0)
        took.append(time.process_time() - start)
    sent = sum(member.sent_bytes for member in world.running()) - before
    return {
        "membership_rest_bytes": sent / seconds / size,
        "membership_rest_cpu": statistics.median(took) / size,
    }


def zone(size: int, quick: bool, seed: int) -> dict[str, float]:
    """One of eleven zones is killed: what the survivors send, and until when the dead are in a view."""
    del quick
    world = _world(size, seed)
    chosen = f"z{random.Random(seed).randrange(2, ZONES)}"  # without the two seeds: joining is no part of it
    dead = {node.name for node in world.nodes.values() if node.zone == chosen}
    for name in dead:
        world.kill(name)
    alive = world.running()
    wanted, out = len(alive) * len(dead), set[tuple[str, str]]()
    sums: deque[int] = deque([sum(member.sent_bytes for member in alive)], SECOND + 1)
    highest, over, gone, read = 0.0, 0, math.inf, len(world.events)
    for tick in range(1, round(WATCH / TICK) + 1):
        world.run(SETTLED + tick * TICK)
        sums.append(sum(member.sent_bytes for member in alive))
        if len(sums) > SECOND:
            rate = (sums[-1] - sums[0]) / len(alive)
            highest = max(highest, rate)
            over += rate > LIMIT
        for event in world.events[read:]:
            if event.what in ("in", "out") and event.fields["member"] in dead and event.name not in dead:
                pair = event.name, event.fields["member"]
                (out.add if event.what == "out" else out.discard)(pair)
                gone = event.at - SETTLED if len(out) == wanted else math.inf
        read = len(world.events)
    return {
        "membership_zone_bytes": highest,
        "membership_zone_span": over * TICK,
        "membership_zone_gone": gone,
    }


def memory(size: int, quick: bool, seed: int) -> dict[str, float]:
    """Bytes of one member whose view has so many, each fact as it comes off the wire."""
    del quick
    data = [
        pack(
            Fact(
                MemberIdentity(f"p{at:05d}", f"10.0.{at >> 8}.{at & 255}", 7000, f"z{at % ZONES}", "r1", 1), 2
            )
        )
        for at in range(size)
    ]
    gc.collect()
    tracemalloc.start()
    own = unpack(Raw(data[0]))
    assert isinstance(own, Fact)
    member = Member(
        own.card,
        Codec("sim", [KEY]),
        Timing(),
        [own.card.address],
        random.Random(seed),
        0.0,
        lambda what, fields: None,
    )
    member.adopt(_facts(data), 0.0)
    for tick in range(1, 50):  # its own looks, without an answer
        member.tick(tick * TICK)
    gc.collect()
    found = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"membership_memory": float(found)}


def _facts(data: list[bytes]) -> list[Fact]:
    rumours: list[Rumour] = [unpack(Raw(one)) for one in data]
    return [rumour for rumour in rumours if isinstance(rumour, Fact)]


def _sweep(name: str, what: str, unit: str, shape: Shape = Shape.LINE) -> Sweep:
    return Sweep(name, what, "members", unit, Sign.VIRTUAL, (), shape)


RUNS = (
    Runs(
        zone,
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
        IN_ZONES,
        IN_ZONES_QUICK,
        repeats=3,
    ),
    Runs(
        rest,
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
        MEMBERS,
        MEMBERS_QUICK,
        repeats=3,
    ),
    Runs(
        memory,
        (
            _sweep(
                "membership_memory",
                "Bytes of one member whose view has so many, by tracemalloc; the "
                "slope is what one more costs each.",
                "B",
            ),
        ),
        VIEWS,
        VIEWS,
    ),
)
