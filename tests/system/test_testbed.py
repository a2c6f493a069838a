"""The laboratory's neighbours and fleet, with a proxy of their own in the same process or as a process."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from ironmill.net.sockets import Stream
from ironmill.protocol.http import ResponseParser
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed import measure
from ironmill_testbed.emulate import Neighbourhood
from ironmill_testbed.fleet import Client, Fleet, NotServedError, in_parallel, play
from ironmill_testbed.processes import Neighbours, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config

OPEN = b"OPEN 1 2 c=index-sync,d=900\r\n"


def asked(stream: Stream, path: str) -> dict[str, Any]:
    stream.send(f"GET {path} HTTP/1.1\r\n\r\n".encode())
    parser = ResponseParser()
    while True:
        for response in parser.feed(stream.receive(5.0)):
            found: dict[str, Any] = orjson.loads(response.body)
            return found


def test_discovery_tells_the_whole_list_and_then_what_changes() -> None:
    scheduler = Scheduler()
    town = Neighbourhood(scheduler, 3)

    def story() -> None:
        stream = Stream.connect(scheduler, town.discovery.address, 1.0)
        whole = asked(stream, "/api/targets")
        assert (whole["all"], len(whole["targets"])) == (True, 3)
        revision = whole["rev"]
        assert asked(stream, f"/api/targets?after={revision}&wait_ms=30")["targets"] == []
        scheduler.call_later(0.02, town.drain, "s-1", 600.0, 0.0)
        change = asked(stream, f"/api/targets?after={revision}&wait_ms=5000")
        assert [(item["uid"], item["state"]) for item in change["targets"]] == [("s-1", "draining")]
        stream.send(b"GET /else HTTP/1.1\r\n\r\n")
        assert stream.receive(5.0).startswith(b"HTTP/1.1 404")

    play(scheduler, story, 30.0)


def test_an_emulated_server_echoes_drains_and_counts() -> None:
    scheduler = Scheduler()
    host = Neighbourhood(scheduler, 1).hosts["s-0"]

    def ask(line: bytes) -> bytes:
        stream = Stream.connect(scheduler, host.address, 1.0)
        stream.send(line)
        answer = stream.receive(5.0)
        stream.close()
        return answer

    def story() -> None:
        assert ask(b"STATS\r\n").startswith(b"PONG x0=0.")
        assert ask(b"rubbish\r\n") == b"SYNTAX\r\n"
        client = Client(scheduler, host.address)
        client.open()
        assert (client.host, client.ask(b"hey")) == ("s-0", b"hey")
        host.drain()
        assert ask(OPEN) == b"BUSY\r\n"
        host.draining_since = 0.0  # told long ago
        with pytest.raises(NotServedError):
            Client(scheduler, host.address).open()
        host.send_away(0.01)
        assert (client.line(5.0), client.line(5.0)) == (b"MOVE", b"")

    play(scheduler, story, 30.0)
    counts = host.counts
    assert (counts.opened, counts.lines, counts.moved, counts.turned_away, counts.late) == (1, 1, 1, 2, 1)
    assert (counts.probes, counts.malformed, host.standing) == (1, 1, 0)


def test_a_fleet_is_moved_off_a_draining_server_and_nothing_is_lost(tmp_path: Path) -> None:
    with Neighbours(tmp_path, 3) as neighbours:
        config = proxy_config(
            "p", ("127.0.0.1", free_port()), neighbours.discovery, 1024, platform_settings()
        )
        with ProxyProcess(write_config(tmp_path, config), tmp_path) as proxy:
            proxy.wait_ready()
            scheduler = Scheduler()
            fleet = Fleet(scheduler, [proxy.address], 12, pause=0.05)

            def story() -> None:
                while fleet.counts.served < 12:
                    scheduler.sleep(0.02)
                before = neighbours.ask("drain", "s-1", 1.0, 0.5)
                moving = next(host["standing"] for host in before["hosts"] if host["uid"] == "s-1")
                while fleet.counts.moved < moving or len(fleet.standing) < 12:
                    scheduler.sleep(0.02)
                fleet.end()
                scheduler.sleep(0.3)

            play(scheduler, story, 60.0)
            told = neighbours.ask("told")
            assert proxy.usage().resident > 1 << 20
            assert proxy.end() == 0
    counts = fleet.counts
    assert (counts.lost, counts.failed, counts.unanswered) == (0, 0, 0)
    assert counts.opened == counts.served + counts.refused
    assert sum(host["late"] for host in told["hosts"]) == 0


def test_what_runs_in_parallel_hands_on_the_first_error() -> None:
    scheduler = Scheduler()
    done: list[int] = []

    def work(item: int) -> None:
        scheduler.sleep(0.001)
        done.append(1 // item)

    with pytest.raises(ZeroDivisionError):
        play(scheduler, lambda: in_parallel(scheduler, 2, [1, 0, 1, 1, 1, 1], work), 30.0)
    assert 1 <= len(done) <= 3


def test_a_measurement_that_does_not_exist_is_status_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert measure.run("nothing", True, "epoll", None) == 2
    assert "core" in capsys.readouterr().err
