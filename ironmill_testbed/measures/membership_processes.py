"""Measures membership with real processes, whose datagrams pass a switch that injects faults."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from ironmill.membership.identity import Address
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.client_load import ClientLoad
from ironmill_testbed.faults import checker
from ironmill_testbed.faults.process_cluster import ProcessCluster
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.fleet import Client, in_parallel, run_scenario

MAX_RUN_S = 600.0
IDLE_SPAN_S = 5.0
LOSS_SPAN_S, LOSS_FRACTION = 6.0, 0.3
CUT_SPAN_S = 8.0
UNLIMITED_S = 1e9
LOADED_PROXIES = 3  # proxies that have clients; no fault affects them
PARALLEL_SETUPS = 4


def measure_processes(count: int) -> dict[str, Any]:
    """Returns the figures of kills, loss, one-way contact and a partition, computed from the logs."""
    figures: dict[str, Any] = {"processes": count}
    with tempfile.TemporaryDirectory() as folder, ProcessCluster(Path(folder), count) as cluster:
        cluster.start()
        cluster.wait_until(lambda: cluster.agree(cluster.names))
        figures["cpu_percent"] = _idle_cpu_percent(cluster)
        addresses = [cluster.client_addresses[name] for name in cluster.names[:LOADED_PROXIES]]
        load = ClientLoad(addresses)
        figures |= _measure_kills(cluster, cluster.names[-count // 4 :])
        figures |= _measure_loss(cluster)
        figures |= _measure_one_way_contact(cluster, cluster.names[LOADED_PROXIES])
        figures |= _measure_partition(cluster)
        result = load.stop()
        figures["clients_lost"] = result.lost
        figures["clients_lines"] = result.lines
    return figures


def _idle_cpu_percent(cluster: ProcessCluster) -> float:
    """Returns the share of a core, in percent, that the busiest process uses in an idle cluster."""
    processes = list(cluster.processes.values())
    start = time.monotonic()
    cpu_before = [process.usage().cpu_s for process in processes]
    time.sleep(IDLE_SPAN_S)
    cpu_s = [process.usage().cpu_s - before for process, before in zip(processes, cpu_before, strict=True)]
    return 100.0 * max(cpu_s) / (time.monotonic() - start)


def _measure_kills(cluster: ProcessCluster, dead: list[str]) -> dict[str, Any]:
    alive = [name for name in cluster.names if name not in dead]
    killed_at = cluster.kill(*dead)
    cluster.wait_until(lambda: cluster.agree(alive))
    events = cluster.logged_events()
    detection_s = max(max(checker.detection_delays(events, alive, name, killed_at)) for name in dead)
    cluster.start(*dead)
    return {
        "real_detect_s": detection_s,
        "real_back_s": cluster.wait_until(lambda: cluster.agree(cluster.names)),
    }


def _measure_loss(cluster: ProcessCluster) -> dict[str, Any]:
    start = cluster.inject([Fault("loss", 0.0, LOSS_SPAN_S, fraction=LOSS_FRACTION)])
    time.sleep(LOSS_SPAN_S)
    return {"real_false_removals": len(checker.removals(cluster.logged_events(), start))}


def _measure_one_way_contact(cluster: ProcessCluster, affected: str) -> dict[str, Any]:
    """Drops all datagrams to one process for some time; measures its removal and its return."""
    unaffected = [name for name in cluster.names if name != affected]
    start = cluster.inject([Fault("cut", 0.0, CUT_SPAN_S, (), (affected,))])
    cluster.wait_until(lambda: cluster.agree(unaffected))
    time.sleep(max(0.0, start + CUT_SPAN_S - time.monotonic()))
    rejoin_s = cluster.wait_until(lambda: cluster.agree(cluster.names))
    events = cluster.logged_events()
    return {
        "real_one_sided_back_s": rejoin_s,
        "real_one_sided_gone_s": max(checker.detection_delays(events, unaffected, affected, start)),
        "real_flaps": checker.count_flaps(events, start, start + CUT_SPAN_S),
    }


def _measure_partition(cluster: ProcessCluster) -> dict[str, Any]:
    names = cluster.names
    first_half, second_half = names[: len(names) // 2], names[len(names) // 2 :]
    cluster.inject(both_ways(0.0, UNLIMITED_S, tuple(first_half), tuple(second_half)))
    complete_s = cluster.wait_until(lambda: cluster.agree(first_half) and cluster.agree(second_half))
    cluster.inject([])
    healed_at = time.monotonic()
    merge_s = cluster.wait_until(lambda: cluster.agree(names))
    return {
        "real_whole_s": complete_s,
        "real_heal_s": merge_s,
        "sequences": checker.count_view_sequences(cluster.logged_events(), names, healed_at),
    }


def measure_setup_times(count: int, setups: int) -> dict[str, Any]:
    """Returns the 99th percentile of a client's set-up time in milliseconds, with membership and without."""
    times_ms: dict[bool, list[float]] = {True: [], False: []}
    for membership in (True, False, True, False):
        with (
            tempfile.TemporaryDirectory() as folder,
            ProcessCluster(Path(folder), count, membership=membership) as cluster,
        ):
            cluster.start()
            for name in cluster.names:
                cluster.proxy(name).wait_ready()
            if membership:
                cluster.wait_until(lambda: cluster.agree(cluster.names))
            addresses = list(cluster.client_addresses.values())
            times_ms[membership] += _setup_times_ms(addresses, setups // 2)
    p99_ms = {membership: statistics.quantiles(times, n=100)[98] for membership, times in times_ms.items()}
    return {
        "setup_p99_ms": p99_ms[True],
        "setup_p99_ms_off": p99_ms[False],
        "setup_p99_over": p99_ms[True] / p99_ms[False],
    }


def _setup_times_ms(addresses: list[Address], count: int) -> list[float]:
    scheduler = Scheduler()
    times_ms: list[float] = []

    def set_up(number: int) -> None:
        client = Client(scheduler, addresses[number % len(addresses)])
        start = time.monotonic()
        client.open()
        times_ms.append((time.monotonic() - start) * 1000.0)
        client.close()

    run_scenario(scheduler, lambda: in_parallel(scheduler, PARALLEL_SETUPS, range(count), set_up), MAX_RUN_S)
    return times_ms
