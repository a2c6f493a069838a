"""Proxies and control machines as real processes, connected by a switch that injects faults."""

from __future__ import annotations

import http.client
from pathlib import Path
from typing import Any

import orjson

from ironmill.membership.identity import Address, format_address
from ironmill_testbed.faults.checker import LoggedEvent, read_logs
from ironmill_testbed.faults.process_cluster import ProcessCluster
from ironmill_testbed.processes import Process, ProxyProcess, start_control_machine

ORIGIN = "c00"
REQUEST_TIMEOUT_S = 3.0
PositionPair = tuple[int, int]  # epoch and number


def parse_position(text: str) -> PositionPair:
    """Parses a position of the form EPOCH.NUMBER."""
    epoch, _, number = text.partition(".")
    return int(epoch), int(number)


class ControlPlaneCluster(ProcessCluster):
    """A cluster of proxies and control machines, which tests evaluate by their logs.

    ``c00`` is the origin, ``c01`` and so on are relays, ``p00`` and so on are proxies.
    """

    def __init__(self, folder: Path, proxies: int = 8, controls: int = 3, identity: str = "") -> None:
        """Creates the cluster. ``identity`` is an XML element to add to the settings of the proxies."""
        self.machines = [f"c{index:02d}" for index in range(controls)]
        self.proxies = [f"p{index:02d}" for index in range(proxies)]
        self._identity = identity
        self._ticket = 0
        super().__init__(folder, 0, names=[*self.machines, *self.proxies])

    def zone(self, name: str) -> str:
        """Returns the zone of a process."""
        return f"z{int(name[1:]) % 3}"

    def _write(self, name: str) -> None:
        is_proxy = name in self.proxies
        if is_proxy:
            self._write_config(name, len(self.proxies))
        role = "subscriber" if is_proxy else "origin" if name == ORIGIN else "relay"
        store = ' store="store"' if role == "origin" else ""
        other_machines = [machine for machine in self.machines if machine != name]
        lines = [
            '<ironmill xmlns="urn:ironmill:settings:1">',
            '<log form="json"/>',
            f'<distribution cluster="town" listen="{format_address(self.member_addresses[name])}" '
            f'keys="members.keys" zone="{self.zone(name)}" region="r" role="{role}"{store} stale-after="4s">',
            *(
                f'<control name="{other}" address="{format_address(self.switch.address_for(name, other))}" '
                f'zone="{self.zone(other)}" region="r"{self._origin_attribute(other)}/>'
                for other in other_machines
            ),
            "</distribution>",
        ]
        if is_proxy and self._identity:
            lines.append(self._identity)
        (self.folder / f"{name}.xml").write_text("\n".join([*lines, "</ironmill>"]))

    @staticmethod
    def _origin_attribute(name: str) -> str:
        return ' origin="true"' if name == ORIGIN else ""

    def _process(self, name: str) -> Process:
        if name not in self.proxies:
            return start_control_machine(name, self.folder, self.admin_addresses[name])
        settings = f"--settings={self.folder / f'{name}.xml'}"
        return ProxyProcess(self.folder / f"{name}.json", self.folder, options=[settings])

    # Admin API

    def call(self, name: str, method: str, path: str, body: object = None) -> tuple[int, Any]:
        """Returns the status and body of a call to the admin API; status 0 if there is no response."""
        connection = http.client.HTTPConnection(*self.admin_addresses[name], timeout=REQUEST_TIMEOUT_S)
        try:
            data = None if body is None else orjson.dumps(body)
            connection.request(method, path, data)
            response = connection.getresponse()
            text = response.read()
            return response.status, orjson.loads(text) if text else None
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def status(self, name: str) -> dict[str, Any]:
        """Returns a node's distribution status; empty if the node does not respond."""
        status_body: dict[str, Any] = self.call(name, "GET", "/admin/configuration")[1] or {}
        return status_body

    def push(self, changes: dict[str, str | None], note: str = "") -> PositionPair:
        """Pushes a revision and returns its position. Raises ``RuntimeError`` if it is not accepted."""
        self._ticket += 1
        body = {"changes": changes, "author": "town", "note": note, "ticket": f"t{self._ticket}"}
        status, response = self.call(ORIGIN, "POST", "/admin/configuration/revisions", body)
        if status != 201:
            raise RuntimeError(
                f"the origin did not accept the revision: status {status}, response {response}"
            )
        return parse_position(response["position"])

    def applied_position(self, name: str) -> PositionPair:
        """Returns the applied position of a process; (0, 0) if it does not respond."""
        return parse_position(self.status(name).get("in_force", "0.0"))

    def all_at(self, position: PositionPair, names: list[str] | None = None) -> bool:
        """Returns True if these processes, by default all proxies, have applied at least this position."""
        return all(self.applied_position(name) >= position for name in names or self.proxies)

    def logged_events(self) -> list[LoggedEvent]:
        """Returns the distribution events that all processes have logged."""
        return read_logs(self.folder, self.names, "distribution")

    def addresses(self) -> list[Address]:
        """Returns the addresses at which clients reach the proxies."""
        return [self.client_addresses[name] for name in self.proxies]
