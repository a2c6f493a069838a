"""Schedules of faults of links and processes. A schedule and a seed reproduce a run.

A schedule file is a JSON list of faults. Each has a ``kind``, a ``start`` and ``end`` in seconds, and either
the links (names of ``sources`` and ``targets``; an empty list means all) or the processes (``names``) that it
affects.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct, field

LINK_FAULTS = ("loss", "delay", "duplicate", "corrupt", "cut")
MIN_LINK_DELAY_S, MAX_LINK_DELAY_S = 0.0002, 0.001  # seconds, without a fault


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, from ``start`` until before ``end``, in seconds of the scenario."""

    kind: Literal["loss", "delay", "duplicate", "corrupt", "cut", "pause", "kill", "start"]
    start: float
    end: float = math.inf
    sources: tuple[str, ...] = ()  # of links; empty means all processes
    targets: tuple[str, ...] = ()  # of links; empty means all processes
    fraction: float = field(default=1.0, name="share")  # of the datagrams that it affects
    min_delay_s: float = field(default=0.0, name="least")  # delays are uniformly distributed
    max_delay_s: float = field(default=0.0, name="most")
    names: tuple[str, ...] = ()  # of the processes that it affects

    def is_active(self, now: float, source: str, target: str) -> bool:
        """Returns True if the fault affects a link at a time."""
        return (
            self.start <= now < self.end
            and (not self.sources or source in self.sources)
            and (not self.targets or target in self.targets)
        )


def load(path: Path) -> list[Fault]:
    """Reads a schedule from a file. Raises ``msgspec.ValidationError`` if it is invalid."""
    return msgspec.json.decode(path.read_bytes(), type=list[Fault])


def both_ways(start: float, end: float, side_a: tuple[str, ...], side_b: tuple[str, ...]) -> list[Fault]:
    """Returns the faults of a partition: two sets of processes that cannot reach each other."""
    return [Fault("cut", start, end, side_a, side_b), Fault("cut", start, end, side_b, side_a)]


class Links:
    """Links between processes, which the faults of a schedule affect."""

    def __init__(self, faults: list[Fault], seed: int) -> None:
        """Creates links. Faults of processes in ``faults`` are ignored; ``seed`` determines random values."""
        self._faults = [fault for fault in faults if fault.kind in LINK_FAULTS]
        self._rng = random.Random(seed)

    def deliver(self, now: float, source: str, target: str, data: bytes) -> Iterator[tuple[float, bytes]]:
        """Yields the copies of a datagram that arrive, each with its delay in seconds."""
        rng = self._rng
        base_delay_s = self.delay(source, target)
        delays_s = [base_delay_s]
        for fault in self._faults:
            if not self.is_active(fault, now, source, target):
                continue
            if fault.kind == "cut":
                return
            if rng.random() >= fault.fraction:
                continue
            if fault.kind == "loss":
                return
            if fault.kind == "delay":
                range_s = fault.max_delay_s - fault.min_delay_s
                delays_s = [delay_s + fault.min_delay_s + range_s * rng.random() for delay_s in delays_s]
            elif fault.kind == "duplicate":
                delays_s.append(base_delay_s + fault.max_delay_s * rng.random())
            elif fault.kind == "corrupt" and data:
                data = self._flip_bit(data)
        for delay_s in delays_s:
            yield delay_s, data

    def delay(self, source: str, target: str) -> float:
        """Returns the delay in seconds between two processes without a fault."""
        return MIN_LINK_DELAY_S + (MAX_LINK_DELAY_S - MIN_LINK_DELAY_S) * self._rng.random()

    def is_active(self, fault: Fault, now: float, source: str, target: str) -> bool:
        """Returns True if a fault affects a link at a time."""
        return fault.is_active(now, source, target)

    def is_cut(self, now: float, source: str, target: str) -> bool:
        """Returns True if no datagram passes from the source to the target at a time."""
        cuts = (fault for fault in self._faults if fault.kind == "cut")
        return any(self.is_active(fault, now, source, target) for fault in cuts)

    def _flip_bit(self, data: bytes) -> bytes:
        index = int(self._rng.random() * len(data))
        return data[:index] + bytes([data[index] ^ (1 << int(self._rng.random() * 8))]) + data[index + 1 :]
