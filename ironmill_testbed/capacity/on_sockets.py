"""Hollow proxies, control machines and whole proxies on loopback sockets: what is kept, and what it costs.

The story: rest, changes at an ordinary pace and at that of a storm, a relay that is killed and started again
and one that does not run for 3 s while changes go on, and at last the origin that does not run until all
proxies say that they may be stale. A figure that was not to be had is None.

All share one machine: times hold for a machine as busy as ``machine_busy_percent`` says, in which hollow
proxies, clients and staff's calls are beside the control machines.
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
from ironmill_testbed.faults.checker import LoggedEvent
from ironmill_testbed.faults.simulated_proxies import TWINS
from ironmill_testbed.faults.socket_fleet import LOOK, ORIGIN, Fleet
from ironmill_testbed.measures.membership import Load
from ironmill_testbed.processes import Usage

RATE, STORM = 2.0, 12.5  # changes a second
KEYS = 200  # that are changed in turns
VALUE = 60  # characters, a long uid of a server
STALE_WITHIN = 5.0  # seconds without the origin, after which a proxy has to know
HEALED = 20.0  # seconds in which all has to be well again at the end
ATTACHED = 120.0  # seconds in which all have to have found a parent; dozens of processes start at once
PAUSE = 3.0  # of a relay, seconds


class Pushed(Struct, frozen=True):
    """A change that the origin has taken."""

    position: Position
    at: float  # before the call
    phase: str


class Staff(Struct):
    """Who makes the changes."""

    fleet: Fleet
    pushed: list[Pushed] = field(default_factory=list)
    refused: int = 0
    why: str = ""  # the last one was
    made: int = 0

    def once(self, phase: str) -> None:
        """One change: the twins, and another key, now and then of several at once."""
        self.made += 1
        word = f"s-{self.made}-".ljust(VALUE, "x")
        changes: dict[str, str | None] = dict.fromkeys(TWINS, word)
        for more in range(3 if self.made % 10 == 0 else 1):
            changes[f"shard/{(self.made + more) % KEYS:06d}"] = None if self.made % 25 == 24 else word
        at = time.monotonic()
        try:
            self.pushed.append(Pushed(self.fleet.push(changes), at, phase))
        except ConfigError as error:
            self.refused += 1
            self.why = str(error)

    def tell(
        self,
        phase: str,
        rate: float,
        seconds: float,
        then: Iterable[tuple[float, Callable[[], object]]] = (),
    ) -> None:
        """So many changes a second for so long, and meanwhile these actions at their seconds, in order."""
        began, due = time.monotonic(), list(then)
        made = 0
        while (now := time.monotonic() - began) < seconds or due:
            if due and now >= due[0][0]:
                due.pop(0)[1]()
            elif now >= made / rate and now < seconds:
                made += 1
                self.once(phase)
            else:
                time.sleep(0.005)


def run(
    proxies: int, control: int, hollow_processes: int, real: int, seconds: float, quick: bool
) -> dict[str, Any]:
    """The figures by name. ``seconds`` is how long rest, ordinary changes and the storm take, a third each.

    ``control`` are the origin and its relays, three at the least; ``quick`` shortens what goes wrong.
    RuntimeError where the fleet does not come up.
    """
    began = time.monotonic()
    found: dict[str, Any] = {"load_before": round(os.getloadavg()[0], 2)}
    with (
        tempfile.TemporaryDirectory() as name,
        Fleet(Path(name), proxies, control, hollow_processes, real) as fleet,
    ):
        fleet.start(*fleet.controls)
        fleet.start_hollow()
        fleet.start(*fleet.real, *fleet.plain)
        fleet.wait_ready(*fleet.real, *fleet.plain)
        fleet.until(lambda: fleet.counted() == proxies + real, "all proxies are counted", ATTACHED)
        found["attached_s"] = time.monotonic() - began
        found |= _rest(fleet, seconds / 3.0)
        for one in fleet.plain:
            fleet.end(one)
        load = Load([fleet.clients[one] for one in fleet.real])
        staff = Staff(fleet)
        before = fleet.usage(), time.monotonic()
        staff.tell("ordinary", RATE, seconds / 3.0)
        found |= _cores(fleet, before, "ordinary_")
        before = fleet.usage(), time.monotonic()
        staff.tell("storm", STORM, seconds / 3.0)
        found |= _cores(fleet, before, "storm_")
        _settle(fleet, staff)
        found |= _faults(fleet, staff, quick)
        _settle(fleet, staff)
        found |= _stale(fleet, staff)
        _settle(fleet, staff)
        lost, lines = load.stop()
        found["clients_lost"], found["clients_lines"] = (lost if lines else None), lines
        found |= _kept(fleet, staff)
        found["control_memory_mb"] = _memory(fleet)
        found["peak_memory_mb"] = fleet.peak / 2**20
    found |= {
        "hollow_on_sockets": proxies,
        "real_proxies": real,
        "real_processes": control + real,
        "hollow_processes": hollow_processes,
        "control": control,
        "wall_s": time.monotonic() - began,
        "load_after": round(os.getloadavg()[0], 2),
    }
    return {name: round(value, 4) if isinstance(value, float) else value for name, value in found.items()}


def _settle(fleet: Fleet, staff: Staff) -> None:
    """Give the last change its time; whoever lacks it then is found by the checks."""
    if staff.pushed:
        last, until = staff.pushed[-1].position, time.monotonic() + HEALED
        while not fleet.all_at(last) and time.monotonic() < until:
            time.sleep(LOOK)


# Costs


def _rest(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """What it costs while nothing happens and no client is there.

    A whole proxy's part is what those with distribution use, less what as many without it use beside them.
    """
    time.sleep(2.0)  # what has just started has more to do
    sent, usage, at = _sent(fleet), fleet.usage(), time.monotonic()
    psutil.cpu_percent()
    time.sleep(seconds)
    busy = psutil.cpu_percent()
    took, cores = time.monotonic() - at, _spent(usage, fleet.usage(), time.monotonic() - at)
    later = _sent(fleet)
    relays = [cores[name] for name in fleet.controls if name != ORIGIN]
    hollow = sum(cores[f"hollow{at:02d}"] for at in range(len(fleet.hollow)))
    whole = [statistics.fmean(cores[one] for one in names) for names in (fleet.real, fleet.plain) if names]
    per_s = {name: (later[name] - sent[name]) / took for name in sent if name in later}
    everyone = len(per_s) == len(sent)
    of_proxies = per_s["hollow"] / fleet.proxies
    return {
        "rest_s": took,
        "machine_busy_percent": busy,
        "control_core_percent": max(relays),
        "control_core_mean_percent": statistics.fmean(relays),
        "origin_core_percent": cores[ORIGIN],
        "proxy_core_percent": hollow / fleet.proxies,
        "serve_core_percent": whole[0] - whole[1] if len(whole) == 2 else None,
        # As in the stories on the virtual clock: what all send, proxies as well.
        "control_bytes_per_s": sum(per_s.values()) - per_s["received"] if everyone else None,
        "proxy_bytes_per_s": of_proxies + per_s["received"] / fleet.proxies,
    }


def _sent(fleet: Fleet) -> dict[str, int]:
    """Bytes of datagrams that each has sent so far, and that hollow proxies have received."""
    told = [process.ask("told") for process in fleet.hollow]
    found = {
        "hollow": sum(one["sent"] for one in told),
        "received": sum(one["received"] for one in told),
    }
    for name in [*fleet.controls, *fleet.real]:
        status = fleet.status(name)
        if "sent_bytes" in status:
            found[name] = status["sent_bytes"]
    return found


def _spent(before: dict[str, Usage], after: dict[str, Usage], took: float) -> dict[str, float]:
    """Percent of a core that each process used."""
    return {name: 100.0 * (after[name].cpu - was.cpu) / took for name, was in before.items() if name in after}


def _cores(fleet: Fleet, before: tuple[dict[str, Usage], float], prefix: str) -> dict[str, float]:
    """The same while changes come, clients are there and staff call."""
    usage, at = before
    cores = _spent(usage, fleet.usage(), time.monotonic() - at)
    relays = [cores[name] for name in fleet.controls if name != ORIGIN]
    hollow = sum(cores[f"hollow{number:02d}"] for number in range(len(fleet.hollow)))
    return {
        f"{prefix}control_core_percent": max(relays),
        f"{prefix}origin_core_percent": cores[ORIGIN],
        f"{prefix}proxy_core_percent": hollow / fleet.proxies,
    }


def _memory(fleet: Fleet) -> float:
    """MiB resident of the control machine that has most."""
    usage = fleet.usage()
    return max(usage[name].resident for name in fleet.controls) / 2**20


# What goes wrong


def _faults(fleet: Fleet, staff: Staff, quick: bool) -> dict[str, Any]:
    """A relay is killed and started again, another one does not run for a while; changes go on."""
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

    end = stopped + PAUSE + (1.0 if quick else 4.0)
    staff.tell(
        "faults", RATE, end, [(down, kill), (up, restart), (stopped, pause), (stopped + PAUSE, resume)]
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


def _stale(fleet: Fleet, staff: Staff) -> dict[str, Any]:
    """The origin does not run until all know that they may be stale, and then makes one more change."""
    at = fleet.pause(ORIGIN)
    until = at + STALE_WITHIN + HEALED
    while fleet.state()["stale"] < fleet.proxies and time.monotonic() < until:
        time.sleep(LOOK)
    told = [moment for process in fleet.hollow for moment in process.ask("moments", 0, -1)["stale"]]
    told = [moment for moment in told if moment >= at]
    fleet.resume(ORIGIN)
    staff.once("contact")
    return {
        "stale_unnoticed": fleet.proxies - sum(1 for moment in told if moment <= at + STALE_WITHIN),
        "stale_told": len(told),
        "stale_last_s": max(told) - at if told else None,
    }


# What is kept


def _kept(fleet: Fleet, staff: Staff) -> dict[str, Any]:
    """Changes that are not in force, out of order or in pieces, and how long they took. None of none."""
    told = [process.ask("told") for process in fleet.hollow]
    seen = fleet.seen()
    last = staff.pushed[-1].position if staff.pushed else START
    hollow = [(to_position(at), count) for one in told for at, count in one["in_force"].items()]
    whole = [(to_position(fleet.status(name).get("in_force", "0.0")), 1) for name in fleet.real]
    silent = fleet.proxies - sum(count for _, count in hollow)  # never had anything in force
    states = states_of(seen)
    for one in told:
        for position, digests in one["digests"].items():
            states.setdefault(to_position(position), Counter()).update(digests)
    reached = moments(fleet, staff.pushed)
    found: dict[str, Any] = {
        "changes": len(staff.pushed),
        "refused_pushes": staff.refused,
        "refused_why": staff.why,
        "lost_changes": lost([*hollow, *whole, (START, silent)], last),
        "older_after_newer": sum(one["out_of_order"] for one in told) + out_of_order(seen),
        "half_in_force": sum(one["torn"] for one in told) + differing(states, origin_states(seen)),
        "false_everywhere": false_everywhere(seen, reached, fleet.proxies),
        "everywhere_told": sum(1 for one in seen if one.what == "everywhere"),
        "hollow_events": summed_events(told),
        "hollow_dropped": dict(sum((Counter(one["dropped"]) for one in told), Counter[str]())),
    }
    if not staff.pushed:
        kept = ("lost_changes", "older_after_newer", "half_in_force", "false_everywhere")
        found |= dict.fromkeys(kept)
    for phase in ("", "ordinary", "storm", "faults", "contact"):
        chosen = [one for one in staff.pushed if phase in ("", one.phase)]
        took = sorted(at - one.at for one in chosen for at in reached.get(one.position.number, ()))
        prefix = f"{phase}_" if phase else ""
        found |= {
            f"{prefix}change_p50_s": quantile(took, 0.5),
            f"{prefix}change_p99_s": quantile(took, 0.99),
            f"{prefix}change_max_s": quantile(took, 1.0),
        }
    for phase in ("ordinary", "storm"):
        at = [one.at for one in staff.pushed if one.phase == phase]
        found[f"{phase}_changes_per_s"] = (len(at) - 1) / (at[-1] - at[0]) if len(at) > 1 else None
    return found


def moments(fleet: Fleet, pushed: Sequence[Pushed]) -> dict[int, list[float]]:
    """When each of the changes was in force, at each hollow proxy."""
    found: dict[int, list[float]] = {}
    if pushed:
        first, last = pushed[0].position.number, pushed[-1].position.number
        for process in fleet.hollow:
            for number, some in process.ask("moments", first, last)["reached"].items():
                found.setdefault(int(number), []).extend(some)
    return found


def lost(in_force: Iterable[tuple[Position, int]], last: Position) -> int:
    """Changes up to the last that are not in force, summed over proxies: each at its position, by count."""
    return sum(count * max(0, last.number - at.number) for at, count in in_force)


def states_of(seen: Iterable[LoggedEvent]) -> dict[Position, Counter[str]]:
    """The digests that were in force at each position, by count."""
    states: dict[Position, Counter[str]] = {}
    for one in seen:
        if one.what == "in-force":
            states.setdefault(_position(one), Counter())[one.fields["digest"]] += 1
    return states


def origin_states(seen: Iterable[LoggedEvent]) -> dict[Position, str]:
    """The digest of each position at the origin."""
    return {
        _position(one): one.fields["digest"] for one in seen if one.name == ORIGIN and one.what == "in-force"
    }


def differing(states: dict[Position, Counter[str]], origin: dict[Position, str]) -> int:
    """How often something was in force that is not what the origin has at that position."""
    return sum(
        count
        for at, digests in states.items()
        for digest, count in digests.items()
        if digest != origin.get(at)
    )


def out_of_order(seen: Iterable[LoggedEvent]) -> int:
    """How often a process had one in force that is not newer than the one before."""
    found, last = 0, dict[str, Position]()
    for one in seen:
        if one.what == "distribution":
            last.pop(one.name, None)  # a process that has just begun
        elif one.what == "in-force":
            found += _position(one) <= last.get(one.name, START)
            last[one.name] = _position(one)
    return found


def false_everywhere(seen: Iterable[LoggedEvent], reached: dict[int, list[float]], proxies: int) -> int:
    """How often the origin told of a change as in force everywhere while a hollow proxy did not have it."""
    found = 0
    for one in seen:
        if one.what == "everywhere" and (some := reached.get(_position(one).number)) is not None:
            found += len(some) < proxies or max(some) > one.at + 0.001  # moments are rounded
    return found


def summed_events(told: Iterable[dict[str, Any]]) -> dict[str, int]:
    """The events of all hollow proxies, by kind."""
    return dict(sum((Counter(one["events"]) for one in told), Counter[str]()))


def quantile(values: Sequence[float], part: float) -> float | None:
    """Of sorted values; None where there are none."""
    return values[min(len(values) - 1, int(part * len(values)))] if values else None


def _position(one: LoggedEvent) -> Position:
    return Position(int(one.fields["epoch"]), int(one.fields["number"]))
