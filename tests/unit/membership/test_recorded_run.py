"""Tests that simulated runs send the same datagrams as when their digests were recorded.

The datagrams depend on every decision of the members and on every number that their generators draw. The
digests were recorded at commit f1ef118; they may only change with a deliberate change of the protocol.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

from ironmill_testbed.faults.schedule import Fault
from ironmill_testbed.faults.simulated_cluster import SimulatedCluster

COUNT = 14
NAMES = tuple(f"p{index:05d}" for index in range(COUNT))


class RecordedCluster:
    """A converged cluster, and the digest of all its datagrams with their times, senders and receivers."""

    def __init__(self, faults: list[Fault], seed: int) -> None:
        self.cluster = SimulatedCluster(COUNT, faults, seed)
        self._hash = hashlib.sha256()
        self._deliver = self.cluster.links.deliver
        self.cluster.links.deliver = self._record  # type: ignore[method-assign]
        self.cluster.start_converged()

    def _record(self, now: float, source: str, target: str, data: bytes) -> Iterator[tuple[float, bytes]]:
        self._hash.update(f"{now!r}{source}{target}".encode())
        self._hash.update(data)
        return self._deliver(now, source, target, data)

    @property
    def digest(self) -> str:
        return self._hash.hexdigest()[:16]


def test_run_with_kills_restarts_and_a_graceful_shutdown_is_as_recorded() -> None:
    recorded = RecordedCluster([], seed=1)
    cluster = recorded.cluster
    cluster.run(5.0)
    for name in NAMES[3:7]:
        cluster.kill(name)
    cluster.run(12.0)
    cluster.start(NAMES[3])
    cluster.start(NAMES[4], clock_offset_s=-3600.0)
    cluster.run(20.0)
    cluster.leave(NAMES[8])
    cluster.run(25.0)
    assert (recorded.digest, cluster.datagrams, len(cluster.events)) == ("da67cf0ef317b53e", 5867, 132)


def test_run_with_loss_duplicates_and_corruption_is_as_recorded() -> None:
    faults = [
        Fault("loss", 5.0, 45.0, fraction=0.3),
        Fault("duplicate", 5.0, 25.0, fraction=0.2, max_delay_s=1.0),
        Fault("corrupt", 5.0, 35.0, fraction=0.2),
    ]
    recorded = RecordedCluster(faults, seed=4)
    recorded.cluster.run(50.0)
    measured = (recorded.digest, recorded.cluster.datagrams, len(recorded.cluster.events))
    assert measured == ("936e4252d4ac3be6", 24407, 100)


def test_run_with_a_pause_is_as_recorded() -> None:
    recorded = RecordedCluster([Fault("pause", 5.0, 35.0, names=NAMES[3:4])], seed=8)
    recorded.cluster.run(45.0)
    measured = (recorded.digest, recorded.cluster.datagrams, len(recorded.cluster.events))
    assert measured == ("8f2e2e73e64f7244", 10347, 47)
