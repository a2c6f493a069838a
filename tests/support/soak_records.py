"""The records of a soak test, and the rules that they are checked against."""

from __future__ import annotations

import math
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ironmill_testbed.dependency_status import AttemptHistory
from ironmill_testbed.processes import Dependencies, ProxyProcess
from ironmill_testbed.settings import write_config
from tests.faults import FaultPlan

MAX_ATTEMPTS = 3
MAX_ATTEMPT_AFTER_CLOSE_S = 0.1  # latest begin of an attempt after its client has closed
CLOCK_TOLERANCE_S = 0.15  # how late the test may read the clock
CLASSES = {"index-sync": "pure", "archive-fetch": "pure", "order": "side_effect"}


@dataclass
class SoakRequest:
    """The connection of one client, and its outcome."""

    name: str
    class_name: str
    proxy: SoakProxy
    process: ProxyProcess
    outcome: str = ""
    written: bool = False
    left_at: float | None = None
    is_established: bool = False
    server_id: str = ""
    ended_at: float = 0.0
    received: list[bytes] = field(default_factory=list)  # lines that are not processed yet


@dataclass
class SoakProxy:
    """The address of a proxy, and the process that serves there."""

    value: dict[str, Any]
    folder: Path
    plan: FaultPlan
    control: tuple[str, int]
    process: ProxyProcess | None = None
    accepts_clients: bool = False
    is_reserved: bool = False  # by a fault, which no other may overlap
    killed: dict[ProxyProcess, float] = field(
        default_factory=dict
    )  # time of the SIGKILL, after which nothing is checked

    def start(self, stack: ExitStack) -> None:
        config = write_config(self.folder, self.value)
        self.process = stack.enter_context(ProxyProcess(config, self.folder, launcher=self.plan.launcher()))


@dataclass(frozen=True)
class SoakRecords:
    """What clients and servers have recorded by the end of a soak test."""

    requests: list[SoakRequest]
    violations: list[str]  # found while the soak ran
    crashed: dict[str, float]  # times of the crashes, by server id
    dependencies: Dependencies


def check(records: SoakRecords) -> list[str]:
    """Returns the violations of the rules, one line for each."""
    violations = list(records.violations)
    for request in records.requests:
        if request.ended_at >= request.proxy.killed.get(request.process, math.inf):
            continue
        if request.is_established:
            crashed = request.ended_at >= records.crashed.get(request.server_id, math.inf)
            if request.outcome not in ("ended", "MOVE") and not crashed:
                violations.append(f"{request.name}: established at {request.server_id}, {request.outcome}")
        elif request.written and request.outcome not in ("BUSY", "ERR", "UP", "left"):
            violations.append(f"{request.name}: {request.outcome} at {request.process.log.name}")
    violations += _check_attempts(records.requests, records.dependencies.attempts())
    for server in records.dependencies.status().servers:
        counts = {"late": server.counts.late, "malformed": server.counts.malformed}
        violations += [f"{server.server_id}: {name} {count}" for name, count in counts.items() if count]
    return violations


def _check_attempts(requests: list[SoakRequest], history: AttemptHistory) -> list[str]:
    violations = [f"{name}: two attempts at once" for name in history.overlaps]
    by_name = {request.name: request for request in requests}
    counts = Counter(attempt.request_id for attempt in history.attempts)
    violations += [f"{name}: {count} attempts" for name, count in counts.items() if count > MAX_ATTEMPTS]
    runs = Counter(attempt.request_id for attempt in history.attempts if attempt.may_have_run)
    for name, count in runs.items():
        request = by_name.get(name)
        if request is not None and CLASSES[request.class_name] == "side_effect" and count > 1:
            violations.append(f"{name}: may have run {count} times")
    for attempt in history.attempts:
        request = by_name.get(attempt.request_id)
        if request is not None and request.left_at is not None:
            late = attempt.received_at - request.left_at
            if late > MAX_ATTEMPT_AFTER_CLOSE_S + CLOCK_TOLERANCE_S:
                violations.append(f"{request.name}: an attempt {late:.3f} s after its client left")
    return violations
