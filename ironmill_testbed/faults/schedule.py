"""What goes wrong, when, and between whom. A schedule and a seed give the same faults again.

A schedule is JSON: a list of faults, each with its ``kind``, ``start`` and ``end`` in seconds, and what it
says of links (``sources`` and ``targets``: names, or none for all) or of processes (``names``).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct

LINK_KINDS = ("loss", "delay", "duplicate", "corrupt", "cut")


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One thing that goes wrong from ``start`` until before ``end``, in seconds of the story."""

    kind: Literal["loss", "delay", "duplicate", "corrupt", "cut", "pause", "kill", "start"]
    start: float
    end: float = math.inf
    sources: tuple[str, ...] = ()  # links: from these, or from all
    targets: tuple[str, ...] = ()  # to these, or to all
    share: float = 1.0  # of the datagrams that it hits
    least: float = 0.0  # a delay, in seconds, drawn evenly
    most: float = 0.0
    names: tuple[str, ...] = ()  # processes

    def hits(self, now: float, source: str, target: str) -> bool:
        """True if it is on for this link now."""
        return (
            self.start <= now < self.end
            and (not self.sources or source in self.sources)
            and (not self.targets or target in self.targets)
        )


def load(path: Path) -> list[Fault]:
    """The schedule in a file; ``msgspec.ValidationError`` says what is wrong with it."""
    return msgspec.json.decode(path.read_bytes(), type=list[Fault])


def both_ways(start: float, end: float, one: tuple[str, ...], other: tuple[str, ...]) -> list[Fault]:
    """Two sets that cannot reach each other."""
    return [Fault("cut", start, end, one, other), Fault("cut", start, end, other, one)]


class Links:
    """What becomes of each datagram, by the schedule and chance."""

    def __init__(self, faults: list[Fault], seed: int, least: float = 0.0002, most: float = 0.001) -> None:
        self._faults = [fault for fault in faults if fault.kind in LINK_KINDS]
        self._rng = random.Random(seed)
        self._least, self._most = least, most

    def carry(self, now: float, source: str, target: str, data: bytes) -> Iterator[tuple[float, bytes]]:
        """The copies that arrive, each after so many seconds."""
        rng = self._rng
        delay = self.delay(source, target)
        copies = [delay]
        for fault in self._faults:
            if not self.hits(fault, now, source, target):
                continue
            if fault.kind == "cut":
                return
            if rng.random() >= fault.share:
                continue
            if fault.kind == "loss":
                return
            if fault.kind == "delay":
                copies = [one + fault.least + (fault.most - fault.least) * rng.random() for one in copies]
            elif fault.kind == "duplicate":
                copies = [*copies, delay + fault.most * rng.random()]
            elif fault.kind == "corrupt" and data:
                at = int(rng.random() * len(data))
                data = data[:at] + bytes([data[at] ^ (1 << int(rng.random() * 8))]) + data[at + 1 :]
        for one in copies:
            yield one, data

    def delay(self, source: str, target: str) -> float:
        """Seconds on the way between these two, where nothing is wrong."""
        return self._least + (self._most - self._least) * self._rng.random()

    def hits(self, fault: Fault, now: float, source: str, target: str) -> bool:
        """True if the fault is on for this link now."""
        return fault.hits(now, source, target)

    def cut(self, now: float, source: str, target: str) -> bool:
        """True if nothing gets from the one to the other now."""
        return any(fault.kind == "cut" and self.hits(fault, now, source, target) for fault in self._faults)
