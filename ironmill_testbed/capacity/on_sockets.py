"""Simulated proxies, control machines and real proxies on loopback sockets: the guarantees and the cost.

The scenario: no changes, changes at an ordinary rate and at that of a storm; a relay is killed and restarted,
and another one paused, while changes go on; finally the origin is paused until all proxies report themselves
as stale. A figure that could not be measured is None.

All share one machine: times are those of a machine as busy as ``machine_busy_percent``, on which simulated
proxies, clients and operators run beside the control machines.
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
VALUE_LENGTH = 60  # characters, as of a long identifier of a server
MAX_STALENESS_DETECTION_S = 5.0  # without the origin
RECOVERY_S = 20.0  # after the last fault
MAX_ATTACH_S = 120.0  # until all have a parent: dozens of processes start at once
PAUSE_S = 3.0  # of a relay


class Pushed(Struct, frozen=True):
    """A change that the origin has accepted."""

    position: Position
    at: float  # before the call
    phase: str


class OperatorLoad(Struct):
    """Pushes changes, and keeps which were accepted."""

    fleet: SocketFleet
    pushed: list[Pushed] = field(default_factory=list)
    rejected: int = 0
    rejection: str = ""  # of the last one
    made: int = 0

    def push_once(self, phase: str) -> None:
        """Pushes one change of the paired keys and of another key, every tenth time of several."""
        self.made += 1
        word = f"s-{self.made}-".ljust(VALUE_LENGTH, "x")
        changes: dict[str, str | None] = dict.fromkeys(PAIRED_KEYS, word)
        for more in range(3 if self.made % 10 == 0 else 1):
            changes[f"shard/{(self.made + more) % KEY_COUNT:06d}"] = None if self.made % 25 == 24 else word
        at = time.monotonic()
        try:
            self.pushed.append(Pushed(self.fleet.push(changes), at, phase))
        except ConfigError as error:
            self.rejected += 1
            self.rejection = str(error)

    def run(
        self,
        phase: str,
        rate: float,
        seconds: float,
        then: Iterable[tuple[float, Callable[[], object]]] = (),
    ) -> None:
        """Pushes at a rate for some time, and runs the actions at their times, in order."""
        began, due = time.monotonic(), list(then)
        made = 0
        while (now := time.monotonic() - began) < seconds or due:
            if due and now >= due[0][0]:
                due.pop(0)[1]()
            elif now >= made / rate and now < seconds:
                made += 1
                self.push_once(phase)
            else:
                time.sleep(0.005)


def run(
    proxies: int, control: int, simulated_processes: int, real: int, seconds: float, quick: bool
) -> dict[str, Any]:
    """Returns the figures. ``seconds`` is for idle time, ordinary changes and the storm, a third each.

    ``control`` counts the origin and its relays, at least three; ``quick`` shortens the faults. Raises
    ``RuntimeError`` if the fleet does not start.
    """
    began = time.monotonic()
    found: dict[str, Any] = {"load_before": round(os.getloadavg()[0], 2)}
    with (
        tempfile.TemporaryDirectory() as name,
        SocketFleet(Path(name), proxies, control, simulated_processes, real) as fleet,
    ):
        fleet.start(*fleet.controls)
        fleet.start_simulated()
        fleet.start(*fleet.real_proxies, *fleet.plain_proxies)
        fleet.wait_ready(*fleet.real_proxies, *fleet.plain_proxies)
        fleet.wait_until(
            lambda: fleet.counted_proxies() == proxies + real, "all proxies are counted", MAX_ATTACH_S
        )
        found["attached_s"] = time.monotonic() - began
        found |= _idle(fleet, seconds / 3.0)
        for one in fleet.plain_proxies:
            fleet.end(one)
        client_load = ClientLoad([fleet.client_addresses[one] for one in fleet.real_proxies])
        load = OperatorLoad(fleet)
        before = fleet.usage(), time.monotonic()
        load.run("ordinary", ORDINARY_CHANGES_PER_S, seconds / 3.0)
        found |= _cores(fleet, before, "ordinary_")
        before = fleet.usage(), time.monotonic()
        load.run("storm", STORM_CHANGES_PER_S, seconds / 3.0)
        found |= _cores(fleet, before, "storm_")
        _await_last(fleet, load)
        found |= _faults(fleet, load, quick)
        _await_last(fleet, load)
        found |= _stale(fleet, load)
        _await_last(fleet, load)
        clients = client_load.stop()
        found["clients_lost"] = clients.lost if clients.lines else None
        found["clients_lines"] = clients.lines
        found |= _guarantees(fleet, load)
        found["control_memory_mb"] = _memory(fleet)
        found["peak_memory_mb"] = fleet.peak_resident_bytes / 2**20
    found |= {
        "hollow_on_sockets": proxies,
        "real_proxies": real,
        "real_processes": control + real,
        "hollow_processes": simulated_processes,
        "control": control,
        "wall_s": time.monotonic() - began,
        "load_after": round(os.getloadavg()[0], 2),
    }
    return {name: round(value, 4) if isinstance(value, float) else value for name, value in found.items()}


def _await_last(fleet: SocketFleet, load: OperatorLoad) -> None:
    """Waits for the last change; proxies that lack it afterwards are counted by the checks."""
    if load.pushed:
        last, until = load.pushed[-1].position, time.monotonic() + RECOVERY_S
        while not fleet.all_at(last) and time.monotonic() < until:
            time.sleep(CHECK_INTERVAL_S)


# Costs


def _idle(fleet: SocketFleet, seconds: float) -> dict[str, Any]:
    """Measures the cost without changes and without clients.

    The cost of a real proxy is that of those with distribution less that of as many without it.
    """
    time.sleep(2.0)  # processes that have just started are busier
    sent, usage, at = _sent(fleet), fleet.usage(), time.monotonic()
    psutil.cpu_percent()
    time.sleep(seconds)
    busy = psutil.cpu_percent()
    took, cores = time.monotonic() - at, _spent(usage, fleet.usage(), time.monotonic() - at)
    later = _sent(fleet)
    relays = [cores[name] for name in fleet.controls if name != ORIGIN]
    simulated = sum(cores[f"hollow{at:02d}"] for at in range(len(fleet.simulated)))
    whole = [
        statistics.fmean(cores[one] for one in names)
        for names in (fleet.real_proxies, fleet.plain_proxies)
        if names
    ]
    per_s = {name: (later[name] - sent[name]) / took for name in sent if name in later}
    everyone = len(per_s) == len(sent)
    of_proxies = per_s["proxies"] / fleet.proxies
    return {
        "rest_s": took,
        "machine_busy_percent": busy,
        "control_core_percent": max(relays),
        "control_core_mean_percent": statistics.fmean(relays),
        "origin_core_percent": cores[ORIGIN],
        "proxy_core_percent": simulated / fleet.proxies,
        "serve_core_percent": whole[0] - whole[1] if len(whole) == 2 else None,
        # As in the scenarios on the virtual clock: sent by all, proxies included.
        "control_bytes_per_s": sum(per_s.values()) - per_s["received"] if everyone else None,
        "proxy_bytes_per_s": of_proxies + per_s["received"] / fleet.proxies,
    }


def _sent(fleet: SocketFleet) -> dict[str, int]:
    """Returns the bytes that each process has sent, and that simulated proxies have received."""
    reports = [process.execute("summary") for process in fleet.simulated]
    found = {
        "proxies": sum(one["sent"] for one in reports),
        "received": sum(one["received"] for one in reports),
    }
    for name in [*fleet.controls, *fleet.real_proxies]:
        status = fleet.status(name)
        if "sent_bytes" in status:
            found[name] = status["sent_bytes"]
    return found


def _spent(before: dict[str, Usage], after: dict[str, Usage], took: float) -> dict[str, float]:
    """Returns the share of a core that each process has used, in percent."""
    return {
        name: 100.0 * (after[name].cpu_s - was.cpu_s) / took for name, was in before.items() if name in after
    }


def _cores(fleet: SocketFleet, before: tuple[dict[str, Usage], float], prefix: str) -> dict[str, float]:
    """Measures processor time under changes, clients and operators' requests."""
    usage, at = before
    cores = _spent(usage, fleet.usage(), time.monotonic() - at)
    relays = [cores[name] for name in fleet.controls if name != ORIGIN]
    simulated = sum(cores[f"hollow{number:02d}"] for number in range(len(fleet.simulated)))
    return {
        f"{prefix}control_core_percent": max(relays),
        f"{prefix}origin_core_percent": cores[ORIGIN],
        f"{prefix}proxy_core_percent": simulated / fleet.proxies,
    }


def _memory(fleet: SocketFleet) -> float:
    """Returns the largest resident size of a control machine, in MiB."""
    usage = fleet.usage()
    return max(usage[name].resident_bytes for name in fleet.controls) / 2**20


# Faults


def _faults(fleet: SocketFleet, load: OperatorLoad, quick: bool) -> dict[str, Any]:
    """Kills and restarts a relay, and pauses another one, while changes go on."""
    killed, paused = fleet.controls[1], fleet.controls[2]
    down, up, stopped = (0.5, 3.0, 5.5) if quick else (1.0, 6.0, 12.0)
    at: dict[str, float] = {}
    moved: dict[str, tuple[int, float | None]] = {}
    left: dict[str, int] = {}

    def look(name: str) -> None:
        moved[name] = fleet.moved(name, at[name])
        left[name] = fleet.state()["parents"].get(name, 0)

    def kill() -> None:
        at[killed] = fleet.kill(killed)

    def restart() -> None:
        look(killed)
        fleet.start(killed)

    def pause() -> None:
        at[paused] = fleet.pause(paused)

    def resume() -> None:
        look(paused)
        fleet.resume(paused)

    end = stopped + PAUSE_S + (1.0 if quick else 4.0)
    load.run(
        "faults",
        ORDINARY_CHANGES_PER_S,
        end,
        [(down, kill), (up, restart), (stopped, pause), (stopped + PAUSE_S, resume)],
    )
    took = {
        name: None if last is None or left[name] else last - at[name] for name, (_, last) in moved.items()
    }
    known = [one for one in took.values() if one is not None]
    return {
        "reattach_s": max(known) if len(known) == len(took) else None,
        "reattach_killed_s": took[killed],
        "reattach_paused_s": took[paused],
        "reattached": sum(count for count, _ in moved.values()),
        "not_reattached": sum(left.values()),
    }


def _stale(fleet: SocketFleet, load: OperatorLoad) -> dict[str, Any]:
    """Pauses the origin until all proxies report themselves as stale; then pushes one more change."""
    at = fleet.pause(ORIGIN)
    until = at + MAX_STALENESS_DETECTION_S + RECOVERY_S
    while fleet.state()["stale"] < fleet.proxies and time.monotonic() < until:
        time.sleep(CHECK_INTERVAL_S)
    reports = [moment for process in fleet.simulated for moment in process.execute("moments", 0, -1)["stale"]]
    reports = [moment for moment in reports if moment >= at]
    fleet.resume(ORIGIN)
    load.push_once("contact")
    return {
        "stale_unnoticed": fleet.proxies
        - sum(1 for moment in reports if moment <= at + MAX_STALENESS_DETECTION_S),
        "stale_told": len(reports),
        "stale_last_s": max(reports) - at if reports else None,
    }


# Guarantees


def _guarantees(fleet: SocketFleet, load: OperatorLoad) -> dict[str, Any]:
    """Counts changes that are lost, out of order or torn, and returns how long changes took."""
    reports = [process.execute("summary") for process in fleet.simulated]
    logged = fleet.logged_events()
    last = load.pushed[-1].position if load.pushed else START
    simulated = [(to_position(at), count) for one in reports for at, count in one["in_force"].items()]
    whole = [(to_position(fleet.status(name).get("in_force", "0.0")), 1) for name in fleet.real_proxies]
    silent = fleet.proxies - sum(count for _, count in simulated)  # never applied anything
    states = states_of(logged)
    for one in reports:
        for position, digests in one["digests"].items():
            states.setdefault(to_position(position), Counter()).update(digests)
    reached = moments(fleet, load.pushed)
    found: dict[str, Any] = {
        "changes": len(load.pushed),
        "refused_pushes": load.rejected,
        "refused_why": load.rejection,
        "lost_changes": lost([*simulated, *whole, (START, silent)], last),
        "older_after_newer": sum(one["out_of_order"] for one in reports) + out_of_order(logged),
        "half_in_force": sum(one["torn"] for one in reports) + differing(states, origin_states(logged)),
        "false_everywhere": false_everywhere(logged, reached, fleet.proxies),
        "everywhere_told": sum(1 for one in logged if one.what == "everywhere"),
        "hollow_events": summed_events(reports),
        "hollow_dropped": dict(sum((Counter(one["dropped"]) for one in reports), Counter[str]())),
    }
    if not load.pushed:
        kept = ("lost_changes", "older_after_newer", "half_in_force", "false_everywhere")
        found |= dict.fromkeys(kept)
    for phase in ("", "ordinary", "storm", "faults", "contact"):
        chosen = [one for one in load.pushed if phase in ("", one.phase)]
        took = sorted(at - one.at for one in chosen for at in reached.get(one.position.number, ()))
        prefix = f"{phase}_" if phase else ""
        found |= {
            f"{prefix}change_p50_s": quantile(took, 0.5),
            f"{prefix}change_p99_s": quantile(took, 0.99),
            f"{prefix}change_max_s": quantile(took, 1.0),
        }
    for phase in ("ordinary", "storm"):
        at = [one.at for one in load.pushed if one.phase == phase]
        found[f"{phase}_changes_per_s"] = (len(at) - 1) / (at[-1] - at[0]) if len(at) > 1 else None
    return found


def moments(fleet: SocketFleet, pushed: Sequence[Pushed]) -> dict[int, list[float]]:
    """Returns when each of the changes was applied at each simulated proxy."""
    found: dict[int, list[float]] = {}
    if pushed:
        first, last = pushed[0].position.number, pushed[-1].position.number
        for process in fleet.simulated:
            for number, some in process.execute("moments", first, last)["reached"].items():
                found.setdefault(int(number), []).extend(some)
    return found


def lost(in_force: Iterable[tuple[Position, int]], last: Position) -> int:
    """Returns how many changes up to the last are missing, given counts of proxies by position."""
    return sum(count * max(0, last.number - at.number) for at, count in in_force)


def states_of(logged: Iterable[LoggedEvent]) -> dict[Position, Counter[str]]:
    """Returns the counts of digests at each position."""
    states: dict[Position, Counter[str]] = {}
    for one in logged:
        if one.what == "in-force":
            states.setdefault(_position(one), Counter())[one.fields["digest"]] += 1
    return states


def origin_states(logged: Iterable[LoggedEvent]) -> dict[Position, str]:
    """Returns the digest of each position at the origin."""
    return {
        _position(one): one.fields["digest"]
        for one in logged
        if one.name == ORIGIN and one.what == "in-force"
    }


def differing(states: dict[Position, Counter[str]], origin: dict[Position, str]) -> int:
    """Returns how often a process had another digest than the origin at a position."""
    return sum(
        count
        for at, digests in states.items()
        for digest, count in digests.items()
        if digest != origin.get(at)
    )


def out_of_order(logged: Iterable[LoggedEvent]) -> int:
    """Returns how often a process applied a position that is not later than the previous one."""
    found, last = 0, dict[str, Position]()
    for one in logged:
        if one.what == "distribution":
            last.pop(one.name, None)  # the process has restarted
        elif one.what == "in-force":
            found += _position(one) <= last.get(one.name, START)
            last[one.name] = _position(one)
    return found


def false_everywhere(logged: Iterable[LoggedEvent], reached: dict[int, list[float]], proxies: int) -> int:
    """Returns how often a revision was reported as fully applied before a simulated proxy had it."""
    found = 0
    for one in logged:
        if one.what == "everywhere" and (some := reached.get(_position(one).number)) is not None:
            found += len(some) < proxies or max(some) > one.at + 0.001  # times are rounded
    return found


def summed_events(reports: Iterable[dict[str, Any]]) -> dict[str, int]:
    """Returns the counts of events of all simulated proxies."""
    return dict(sum((Counter(one["events"]) for one in reports), Counter[str]()))


def quantile(values: Sequence[float], fraction: float) -> float | None:
    """Returns a quantile of sorted values; None if there are none."""
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else None


def _position(one: LoggedEvent) -> Position:
    return Position(int(one.fields["epoch"]), int(one.fields["number"]))
