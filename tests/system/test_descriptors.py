"""A proxy process with a limited number of descriptors, of which idle clients take as many as they can."""

from __future__ import annotations

import errno
import resource
import signal
import socket
import time
from contextlib import ExitStack
from pathlib import Path

import orjson

from ironmill.net.sockets import Stream
from ironmill.runtime.scheduler import Scheduler
from ironmill_testbed.admin_client import call
from ironmill_testbed.fleet import Client, run_scenario
from ironmill_testbed.processes import Dependencies, ProxyProcess, free_port
from ironmill_testbed.settings import platform_settings, proxy_config, write_config
from tests.support.proxy_under_test import OPEN, ProxyUnderTest, read_line

SOCKETS = 96
TIMEOUT_S = 60.0


def test_idle_clients_do_not_starve_discovery_admin_api_or_requests_of_descriptors(
    tmp_path: Path,
) -> None:
    """Guards against idle clients that use the descriptors for the watch, admin API, checks and attempts.

    Discovery is down while the idle clients connect.
    """
    with ExitStack() as stack:
        dependencies = stack.enter_context(Dependencies(tmp_path, 3))
        address, admin_address, unused_address = (("127.0.0.1", free_port()) for _ in range(3))
        value = proxy_config("p1", address, unused_address, SOCKETS, platform_settings())
        value["control"] = f"{admin_address[0]}:{admin_address[1]}"
        config = write_config(tmp_path, value)
        process = stack.enter_context(ProxyProcess(config, tmp_path))
        process.wait_ready()
        resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        idle_clients = [stack.enter_context(socket.create_connection(address)) for _ in range(3 * SOCKETS)]
        scheduler = Scheduler()

        def count_known_servers() -> int:
            status, body = call(scheduler, admin_address, "GET", "/admin/stats")
            assert status == 200
            count: int = orjson.loads(body)["known_servers"]
            return count

        def scenario() -> None:
            assert count_known_servers() == 0
            value["discovery"] = f"{dependencies.discovery[0]}:{dependencies.discovery[1]}"
            write_config(tmp_path, value)
            process.popen.send_signal(signal.SIGHUP)  # the file and a second watch need descriptors too
            deadline = time.monotonic() + TIMEOUT_S / 2.0
            while count_known_servers() != 3:
                assert time.monotonic() < deadline
                scheduler.sleep(0.02)
            for _ in range(10):
                client = Client(scheduler, address)
                client.open(2.0)
                assert client.exchange(b"line") == b"line"
                client.close()

        run_scenario(scheduler, scenario, TIMEOUT_S)
        assert process.popen.poll() is None
        assert "Too many open files" not in process.log.read_text()
        assert len(idle_clients) == 3 * SOCKETS


def test_attempt_without_a_descriptor_affects_only_itself() -> None:
    """Guards against a failed request if one attempt gets no descriptor; the next must be established."""

    def scenario(proxy: ProxyUnderTest) -> None:
        failures: list[bool] = []

        def dial(address: tuple[str, int], timeout_s: float) -> Stream:
            if not failures:
                failures.append(True)
                raise OSError(errno.EMFILE, "too many")
            return Stream.connect(proxy.scheduler, address, timeout_s)

        proxy.dial = dial
        client = proxy.client(OPEN)
        server = proxy.next_attempt()
        read_line(server)
        server.send(b"UP r1\r\n")
        assert read_line(client) == b"UP r1\r\n"
        assert failures

    ProxyUnderTest(2).run(scenario)
