"""The scenario on loopback sockets: simulated proxies, control machines and real proxies.

It checks the guarantees of distribution and measures the costs. Its phases are: no changes; changes at the
ordinary rate; changes at the rate of a storm; a relay is killed and restarted, and another one paused, while
changes continue; the origin is paused until all proxies report themselves as stale. A figure that could not
be measured is None.

All processes share one machine: simulated proxies, clients and operators run beside the control machines.
``machine_busy_percent`` gives the load under which the times were measured.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import psutil
from msgspec import Struct, field

from ironmill.commands.config import ConfigError, to_position
from ironmill.distribution.revision import START, Position
from ironmill_testbed.client_load import ClientLoad
from ironmill_testbed.faults.checker import LoggedEvent
from ironmill_testbed.faults.simulated_proxies import PAIRED_KEYS
from ironmill_testbed.faults.socket_fleet import CHECK_INTERVAL_S, ORIGIN, SocketFleet
from ironmill_testbed.processes import Usage

ORDINARY_CHANGES_PER_S, STORM_CHANGES_PER_S = 2.0, 12.5
KEY_COUNT = 200
VALUE_LENGTH = 60  # characters, as many as in a long server identifier
MAX_STALENESS_DETECTION_S = 5.0  # from the pause of the origin until a proxy reports itself as stale
RECOVERY_S = 20.0  # maximum wait for the last change, or for stale reports beyond the bound
MAX_ATTACH_S = 120.0  # until all proxies have a parent; dozens of processes start at once
PAUSE_S = 3.0  # duration of a relay's pause


class PushedChange(Struct, frozen=True):
    """A change that the origin has accepted."""

    position: Position
    pushed_at: float  # of the monotonic clock, before the call
    phase: str


class OperatorLoad(Struct):
    """Pushes changes, and records those that the origin accepts."""

    fleet: SocketFleet
    pushed: list[PushedChange] = field(default_factory=list)
    rejected: int = 0
    rejection: str = ""  # the error message of the last rejected change
    push_count: int = 0

    def push_once(self, phase: str) -> None:
        """Pushes one change of the paired keys and another key; every tenth change has three other keys."""
        self.push_count += 1
        value = f"s-{self.push_count}-".ljust(VALUE_LENGTH, "x")
        changes: dict[str, str | None] = dict.fromkeys(PAIRED_KEYS, value)
        for offset in range(3 if self.push_count % 10 == 0 else 1):
            changes[f"shard/{(self.push_count + offset) % KEY_COUNT:06d}"] = (
                None if self.push_count % 25 == 24 else value
            )
        pushed_at = time.monotonic()
        try:
            self.pushed.append(PushedChange(self.fleet.push(changes), pushed_at, phase))
        except ConfigError as error:
            self.rejected += 1
            self.rejection = str(error)

    def run(
        self,
        phase: str,
        rate: float,
        seconds: float,
        actions: Iterable[tuple[float, Callable[[], object]]] = (),
    ) -> None:
        """Pushes ``rate`` changes per second; calls each action at its time in seconds since the start."""
        start, pending_actions = time.monotonic(), list(actions)
        push_count = 0
        while (elapsed_s := time.monotonic() - start) < seconds or pending_actions:
            if pending_actions and elapsed_s >= pending_actions[0][0]:
                pending_actions.pop(0)[1]()
            elif elapsed_s >= push_count / rate and elapsed_s < seconds:
                push_count += 1
                self.push_once(phase)
            else:
                time.sleep(0.005)


def run(
    proxies: int, control: int, simulated_processes: int, real: int, seconds: float, quick: bool
) -> dict[str, Any]:
    """Runs the scenario and returns its figures.

    ``seconds`` is divided equally among the time without changes, ordinary changes and the storm. ``control``
    is the number of control machines, the origin included, and at least 3. ``real`` is the number of real
    proxies with distribution, and of those without. ``quick`` shortens the faults. Raises ``RuntimeError``
    if the fleet does not start.
    """
    start = time.monotonic()
    figures: dict[str, Any] = {"load_before": round(os.getloadavg()[0], 2)}
    with (
        tempfile.TemporaryDirectory() as directory,
        SocketFleet(Path(directory), proxies, control, simulated_processes, real) as fleet,
    ):
        fleet.start(*fleet.controls)
        fleet.start_simulated()
        fleet.start(*fleet.real_proxies, *fleet.plain_proxies)
        fleet.wait_ready(*fleet.real_proxies, *fleet.plain_proxies)
        fleet.wait_until(
            lambda: fleet.counted_proxies() == proxies + real, "all proxies are counted", MAX_ATTACH_S
        )
        figures["attached_s"] = time.monotonic() - start
        figures |= _idle(fleet, seconds / 3.0)
        for plain_name in fleet.plain_proxies:
            fleet.end(plain_name)
        client_load = ClientLoad([fleet.client_addresses[real_name] for real_name in fleet.real_proxies])
        load = OperatorLoad(fleet)
        before = fleet.usage(), time.monotonic()
        load.run("ordinary", ORDINARY_CHANGES_PER_S, seconds / 3.0)
        figures |= _cores(fleet, before, "ordinary_")
        before = fleet.usage(), time.monotonic()
        load.run("storm", STORM_CHANGES_PER_S, seconds / 3.0)
        figures |= _cores(fleet, before, "storm_")
        _await_last(fleet, load)
        figures |= _faults(fleet, load, quick)
        _await_last(fleet, load)
        figures |= _stale(fleet, load)
        _await_last(fleet, load)
        clients = client_load.stop()
        figures["clients_lost"] = clients.lost if clients.lines else None
        figures["clients_lines"] = clients.lines
        figures |= _guarantees(fleet, load)
        figures["control_memory_mb"] = _memory(fleet)
        figures["peak_memory_mb"] = fleet.peak_resident_bytes / 2**20
    figures |= {
        "hollow_on_sockets": proxies,
        "real_proxies": real,
        "real_processes": control + real,
        "hollow_processes": simulated_processes,
        "control": control,
        "wall_s": time.monotonic() - start,
        "load_after": round(os.getloadavg()[0], 2),
    }
    return {name: round(value, 4) if isinstance(value, float) else value for name, value in figures.items()}


def _await_last(fleet: SocketFleet, load: OperatorLoad) -> None:
    """Waits until all proxies have applied the last change, or for ``RECOVERY_S``.

    ``_guarantees`` counts the proxies that lack it afterwards.
    """
    if load.pushed:
        last, deadline = load.pushed[-1].position, time.monotonic() + RECOVERY_S
        while not fleet.all_at(last) and time.monotonic() < deadline:
            time.sleep(CHECK_INTERVAL_S)


# Costs


def _idle(fleet: SocketFleet, seconds: float) -> dict[str, Any]:
    """Measures the costs without changes and without clients.

    The cost of distribution in a real proxy is the mean of those with it minus the mean of those without it.
    """
    time.sleep(2.0)  # processes that have just started use more CPU
    sent_before, usage_before, start = _sent(fleet), fleet.usage(), time.monotonic()
    psutil.cpu_percent()
    time.sleep(seconds)
    busy_percent = psutil.cpu_percent()
    elapsed_s, core_percent = (
        time.monotonic() - start,
        _core_percent(usage_before, fleet.usage(), time.monotonic() - start),
    )
    sent_after = _sent(fleet)
    relays = [core_percent[name] for name in fleet.controls if name != ORIGIN]
    simulated = sum(core_percent[f"hollow{number:02d}"] for number in range(len(fleet.simulated)))
    real_and_plain = [
        statistics.fmean(core_percent[process_name] for process_name in names)
        for names in (fleet.real_proxies, fleet.plain_proxies)
        if names
    ]
    bytes_per_s = {
        name: (sent_after[name] - sent_before[name]) / elapsed_s for name in sent_before if name in sent_after
    }
    is_complete = len(bytes_per_s) == len(sent_before)
    sent_per_proxy = bytes_per_s["proxies"] / fleet.proxies
    return {
        "rest_s": elapsed_s,
        "machine_busy_percent": busy_percent,
        "control_core_percent": max(relays),
        "control_core_mean_percent": statistics.fmean(relays),
        "origin_core_percent": core_percent[ORIGIN],
        "proxy_core_percent": simulated / fleet.proxies,
        "serve_core_percent": real_and_plain[0] - real_and_plain[1] if len(real_and_plain) == 2 else None,
        # As in the scenarios on the virtual clock, this is what all nodes send, proxies included.
        "control_bytes_per_s": sum(bytes_per_s.values()) - bytes_per_s["received"] if is_complete else None,
        "proxy_bytes_per_s": sent_per_proxy + bytes_per_s["received"] / fleet.proxies,
    }


def _sent(fleet: SocketFleet) -> dict[str, int]:
    """Returns the bytes that each node has sent, and those of all simulated proxies: sent and received.

    A node that does not answer is missing.
    """
    reports = [process.execute("summary") for process in fleet.simulated]
    sent_bytes = {
        "proxies": sum(report["sent"] for report in reports),
        "received": sum(report["received"] for report in reports),
    }
    for name in [*fleet.controls, *fleet.real_proxies]:
        status = fleet.status(name)
        if "sent_bytes" in status:
            sent_bytes[name] = status["sent_bytes"]
    return sent_bytes


def _core_percent(before: dict[str, Usage], after: dict[str, Usage], elapsed_s: float) -> dict[str, float]:
    """Returns the share of a core that each process has used, in percent."""
    return {
        name: 100.0 * (after[name].cpu_s - usage_before.cpu_s) / elapsed_s
        for name, usage_before in before.items()
        if name in after
    }


def _cores(fleet: SocketFleet, before: tuple[dict[str, Usage], float], prefix: str) -> dict[str, float]:
    """Returns the percentages of a core that relays, origin and proxies have used since ``before``.

    ``before`` is a usage and its time; changes are pushed between that time and the call.
    """
    usage_before, start = before
    core_percent = _core_percent(usage_before, fleet.usage(), time.monotonic() - start)
    relays = [core_percent[name] for name in fleet.controls if name != ORIGIN]
    simulated = sum(core_percent[f"hollow{number:02d}"] for number in range(len(fleet.simulated)))
    return {
        f"{prefix}control_core_percent": max(relays),
        f"{prefix}origin_core_percent": core_percent[ORIGIN],
        f"{prefix}proxy_core_percent": simulated / fleet.proxies,
    }


def _memory(fleet: SocketFleet) -> float:
    """Returns the largest resident size of a control machine, in MiB."""
    usage = fleet.usage()
    return max(usage[name].resident_bytes for name in fleet.controls) / 2**20


# Faults


def _faults(fleet: SocketFleet, load: OperatorLoad, quick: bool) -> dict[str, Any]:
    """Kills and restarts a relay, then pauses another one, while changes are pushed."""
    killed, paused = fleet.controls[1], fleet.controls[2]
    kill_at, restart_at, pause_at = (0.5, 3.0, 5.5) if quick else (1.0, 6.0, 12.0)
    fault_times: dict[str, float] = {}
    moved: dict[str, tuple[int, float | None]] = {}
    remaining: dict[str, int] = {}

    def record_moves(name: str) -> None:
        moved[name] = fleet.moved(name, fault_times[name])
        remaining[name] = fleet.state()["parents"].get(name, 0)

    def kill() -> None:
        fault_times[killed] = fleet.kill(killed)

    def restart() -> None:
        record_moves(killed)
        fleet.start(killed)

    def pause() -> None:
        fault_times[paused] = fleet.pause(paused)

    def resume() -> None:
        record_moves(paused)
        fleet.resume(paused)

    span_s = pause_at + PAUSE_S + (1.0 if quick else 4.0)
    load.run(
        "faults",
        ORDINARY_CHANGES_PER_S,
        span_s,
        [(kill_at, kill), (restart_at, restart), (pause_at, pause), (pause_at + PAUSE_S, resume)],
    )
    reattach_s = {
        name: None if last is None or remaining[name] else last - fault_times[name]
        for name, (_, last) in moved.items()
    }
    known_s = [duration_s for duration_s in reattach_s.values() if duration_s is not None]
    return {
        "reattach_s": max(known_s) if len(known_s) == len(reattach_s) else None,
        "reattach_killed_s": reattach_s[killed],
        "reattach_paused_s": reattach_s[paused],
        "reattached": sum(count for count, _ in moved.values()),
        "not_reattached": sum(remaining.values()),
    }


def _stale(fleet: SocketFleet, load: OperatorLoad) -> dict[str, Any]:
    """Pauses the origin until all simulated proxies report themselves as stale; then pushes a change."""
    paused_at = fleet.pause(ORIGIN)
    deadline = paused_at + MAX_STALENESS_DETECTION_S + RECOVERY_S
    while fleet.state()["stale"] < fleet.proxies and time.monotonic() < deadline:
        time.sleep(CHECK_INTERVAL_S)
    stale_times = [
        stale_at for process in fleet.simulated for stale_at in process.execute("moments", 0, -1)["stale"]
    ]
    stale_times = [stale_at for stale_at in stale_times if stale_at >= paused_at]
    fleet.resume(ORIGIN)
    load.push_once("contact")
    return {
        "stale_unnoticed": fleet.proxies
        - sum(1 for stale_at in stale_times if stale_at <= paused_at + MAX_STALENESS_DETECTION_S),
        "stale_told": len(stale_times),
        "stale_last_s": max(stale_times) - paused_at if stale_times else None,
    }


# Guarantees


def _guarantees(fleet: SocketFleet, load: OperatorLoad) -> dict[str, Any]:
    """Counts changes that were lost, out of order or partially applied; measures the latencies of changes."""
    reports = [process.execute("summary") for process in fleet.simulated]
    logged = fleet.logged_events()
    last = load.pushed[-1].position if load.pushed else START
    simulated = [
        (to_position(position_text), count)
        for report in reports
        for position_text, count in report["in_force"].items()
    ]
    real = [(to_position(fleet.status(name).get("in_force", "0.0")), 1) for name in fleet.real_proxies]
    without_position = fleet.proxies - sum(count for _, count in simulated)  # proxies that applied nothing
    states = states_of(logged)
    for report in reports:
        for position, digests in report["digests"].items():
            states.setdefault(to_position(position), Counter()).update(digests)
    applied_at = application_times(fleet, load.pushed)
    figures: dict[str, Any] = {
        "changes": len(load.pushed),
        "refused_pushes": load.rejected,
        "refused_why": load.rejection,
        "lost_changes": lost([*simulated, *real, (START, without_position)], last),
        "older_after_newer": sum(report["out_of_order"] for report in reports) + out_of_order(logged),
        "half_in_force": sum(report["torn"] for report in reports) + differing(states, origin_states(logged)),
        "false_everywhere": false_everywhere(logged, applied_at, fleet.proxies),
        "everywhere_told": sum(1 for event in logged if event.what == "everywhere"),
        "hollow_events": summed_events(reports),
        "hollow_dropped": dict(sum((Counter(report["dropped"]) for report in reports), Counter[str]())),
    }
    if not load.pushed:
        unmeasured = ("lost_changes", "older_after_newer", "half_in_force", "false_everywhere")
        figures |= dict.fromkeys(unmeasured)
    for phase in ("", "ordinary", "storm", "faults", "contact"):
        changes = [change for change in load.pushed if phase in ("", change.phase)]
        latencies = sorted(
            applied - change.pushed_at
            for change in changes
            for applied in applied_at.get(change.position.number, ())
        )
        prefix = f"{phase}_" if phase else ""
        figures |= {
            f"{prefix}change_p50_s": quantile(latencies, 0.5),
            f"{prefix}change_p99_s": quantile(latencies, 0.99),
            f"{prefix}change_max_s": quantile(latencies, 1.0),
        }
    for phase in ("ordinary", "storm"):
        push_times = [change.pushed_at for change in load.pushed if change.phase == phase]
        figures[f"{phase}_changes_per_s"] = (
            (len(push_times) - 1) / (push_times[-1] - push_times[0]) if len(push_times) > 1 else None
        )
    return figures


def application_times(fleet: SocketFleet, pushed: Sequence[PushedChange]) -> dict[int, list[float]]:
    """Returns the times at which simulated proxies applied the changes, by the number of the position."""
    times: dict[int, list[float]] = {}
    if pushed:
        first, last = pushed[0].position.number, pushed[-1].position.number
        for process in fleet.simulated:
            for number, process_times in process.execute("moments", first, last)["reached"].items():
                times.setdefault(int(number), []).extend(process_times)
    return times


def lost(in_force: Iterable[tuple[Position, int]], last: Position) -> int:
    """Counts the changes up to ``last`` that proxies lack; ``in_force`` has counts of proxies by position."""
    return sum(count * max(0, last.number - position.number) for position, count in in_force)


def states_of(logged: Iterable[LoggedEvent]) -> dict[Position, Counter[str]]:
    """Returns, for each position, how many processes applied it with which digest."""
    states: dict[Position, Counter[str]] = {}
    for event in logged:
        if event.what == "in-force":
            states.setdefault(_position(event), Counter())[event.fields["digest"]] += 1
    return states


def origin_states(logged: Iterable[LoggedEvent]) -> dict[Position, str]:
    """Returns the digest of each position at the origin."""
    return {
        _position(event): event.fields["digest"]
        for event in logged
        if event.name == ORIGIN and event.what == "in-force"
    }


def differing(states: dict[Position, Counter[str]], origin: dict[Position, str]) -> int:
    """Counts the times that a process had another digest than the origin at the same position."""
    return sum(
        count
        for position, digests in states.items()
        for digest, count in digests.items()
        if digest != origin.get(position)
    )


def out_of_order(logged: Iterable[LoggedEvent]) -> int:
    """Counts the times that a process applied a position that is not later than its previous one."""
    count, last = 0, dict[str, Position]()
    for event in logged:
        if event.what == "distribution":
            last.pop(event.name, None)  # the process has restarted
        elif event.what == "in-force":
            count += _position(event) <= last.get(event.name, START)
            last[event.name] = _position(event)
    return count


def false_everywhere(
    logged: Iterable[LoggedEvent], applied_at: dict[int, list[float]], proxy_count: int
) -> int:
    """Counts the revisions that were reported as fully applied before every simulated proxy had them."""
    count = 0
    for event in logged:
        if event.what == "everywhere" and (times := applied_at.get(_position(event).number)) is not None:
            count += len(times) < proxy_count or max(times) > event.at + 0.001  # times are rounded
    return count


def summed_events(reports: Iterable[dict[str, Any]]) -> dict[str, int]:
    """Returns the sums of the event counts in the reports."""
    return dict(sum((Counter(report["events"]) for report in reports), Counter[str]()))


def quantile(values: Sequence[float], fraction: float) -> float | None:
    """Returns a quantile of values in ascending order; None if there are none."""
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else None


def _position(event: LoggedEvent) -> Position:
    return Position(int(event.fields["epoch"]), int(event.fields["number"]))
