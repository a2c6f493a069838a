"""Tests of the emulated dependencies, the fleet of clients and the measure command."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from ironmill.net.sockets import Stream
from ironmill.protocol.http import ResponseParser
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed import measure
from ironmill_testbed.emulate import EmulatedDependencies
from ironmill_testbed.fleet import Client, Fleet, NotServedError, in_parallel, run_scenario
from ironmill_testbed.measures.options import MeasurementOptions
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

REQUEST_LINE = b"OPEN 1 2 c=index-sync,d=900\r\n"


def get_json(stream: Stream, path: str) -> dict[str, Any]:
    stream.send(f"GET {path} HTTP/1.1\r\n\r\n".encode())
    parser = ResponseParser()
    while True:
        for response in parser.feed(stream.receive(5.0)):
            value: dict[str, Any] = orjson.loads(response.body)
            return value


def test_discovery_serves_the_complete_list_and_then_changes() -> None:
    scheduler = Scheduler()
    dependencies = EmulatedDependencies(scheduler, 3)

    def scenario() -> None:
        stream = Stream.connect(scheduler, dependencies.discovery.address, 1.0)
        complete = get_json(stream, "/api/targets")
        assert (complete["all"], len(complete["targets"])) == (True, 3)
        revision = complete["rev"]
        assert get_json(stream, f"/api/targets?after={revision}&wait_ms=30")["targets"] == []
        scheduler.call_later(0.02, dependencies.drain, "s-1", 600.0, 0.0)
        change = get_json(stream, f"/api/targets?after={revision}&wait_ms=5000")
        assert [(item["uid"], item["state"]) for item in change["targets"]] == [("s-1", "draining")]
        stream.send(b"GET /else HTTP/1.1\r\n\r\n")
        assert stream.receive(5.0).startswith(b"HTTP/1.1 404")

    run_scenario(scheduler, scenario, 30.0)


def test_emulated_server_echoes_drains_and_counts() -> None:
    scheduler = Scheduler()
    server = EmulatedDependencies(scheduler, 1).servers["s-0"]

    def answer_to(line: bytes) -> bytes:
        stream = Stream.connect(scheduler, server.address, 1.0)
        stream.send(line)
        answer = stream.receive(5.0)
        stream.close()
        return answer

    def scenario() -> None:
        assert answer_to(b"STATS\r\n").startswith(b"PONG x0=0.")
        assert answer_to(b"rubbish\r\n") == b"SYNTAX\r\n"
        client = Client(scheduler, server.address)
        client.open()
        assert (client.server_id, client.exchange(b"hey")) == ("s-0", b"hey")
        server.drain()
        assert answer_to(REQUEST_LINE) == b"BUSY\r\n"
        server.draining_since = 0.0  # as if the drain had been announced long ago
        with pytest.raises(NotServedError):
            Client(scheduler, server.address).open()
        server.migrate_all(0.01)
        assert (client.receive_line(5.0), client.receive_line(5.0)) == (b"MOVE", b"")

    run_scenario(scheduler, scenario, 30.0)
    counts = server.counts
    assert (counts.opened, counts.lines, counts.migrated, counts.rejected, counts.late) == (1, 1, 1, 2, 1)
    assert (counts.health_checks, counts.malformed, server.established) == (1, 1, 0)


def test_fleet_is_migrated_off_a_draining_server_without_loss(tmp_path: Path) -> None:
    with Dependencies(tmp_path, 3) as dependencies:
        config = proxy_config(
            "p", ("127.0.0.1", free_port()), dependencies.discovery, 1024, platform_settings()
        )
        with ProxyProcess(write_config(tmp_path, config), tmp_path) as proxy:
            proxy.wait_ready()
            scheduler = Scheduler()
            fleet = Fleet(scheduler, [proxy.address], 12, pause=0.05)

            def scenario() -> None:
                while fleet.counts.served < 12:
                    scheduler.sleep(0.02)
                migrating = dependencies.drain("s-1", 1.0, 0.5).established
                while fleet.counts.migrated < migrating or len(fleet.established) < 12:
                    scheduler.sleep(0.02)
                fleet.end()
                scheduler.sleep(0.3)

            run_scenario(scheduler, scenario, 60.0)
            status = dependencies.status()
            assert proxy.usage().resident_bytes > 1 << 20
            assert proxy.end() == 0
    counts = fleet.counts
    assert (counts.lost, counts.failed, counts.unanswered) == (0, 0, 0)
    assert counts.opened == counts.served + counts.rejected
    assert sum(server.counts.late for server in status.servers) == 0


def test_in_parallel_raises_the_first_error() -> None:
    scheduler = Scheduler()
    results: list[int] = []

    def work(item: int) -> None:
        scheduler.sleep(0.001)
        results.append(1 // item)

    with pytest.raises(ZeroDivisionError):
        run_scenario(scheduler, lambda: in_parallel(scheduler, 2, [1, 0, 1, 1, 1, 1], work), 30.0)
    assert 1 <= len(results) <= 3


def test_unknown_measurement_returns_status_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert measure.run("nothing", MeasurementOptions(is_quick=True)) == 2
    assert "core" in capsys.readouterr().err
