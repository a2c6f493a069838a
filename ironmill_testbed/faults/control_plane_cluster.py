"""Processes of ``ironmill serve`` and their control machines, connected by a switch that injects faults."""

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
PositionPair = tuple[int, int]  # epoch, number


def parse_position(text: str) -> PositionPair:
    """Returns a position that is spelled EPOCH.NUMBER."""
    epoch, _, number = text.partition(".")
    return int(epoch), int(number)


class ControlPlaneCluster(ProcessCluster):
    """``c00`` is the origin, other ``c`` are relays, ``p`` are proxies. Tests read their logs."""

    def __init__(self, folder: Path, proxies: int = 8, controls: int = 3, identity: str = "") -> None:
        """``identity`` is an element of the proxies' settings."""
        self.machines = [f"c{at:02d}" for at in range(controls)]
        self.proxies = [f"p{at:02d}" for at in range(proxies)]
        self._identity = identity
        self._ticket = 0
        super().__init__(folder, 0, names=[*self.machines, *self.proxies])

    def zone(self, name: str) -> str:
        """Returns the zone of a process."""
        return f"z{int(name[1:]) % 3}"

    def _write(self, name: str) -> None:
        proxy = name in self.proxies
        if proxy:
            self._write_config(name, len(self.proxies))
        role = "subscriber" if proxy else "origin" if name == ORIGIN else "relay"
        store = ' store="store"' if role == "origin" else ""
        known = [one for one in self.machines if one != name]
        lines = [
            '<ironmill xmlns="urn:ironmill:settings:1">',
            '<log form="json"/>',
            f'<distribution cluster="town" listen="{format_address(self.member_addresses[name])}" '
            f'keys="members.keys" zone="{self.zone(name)}" region="r" role="{role}"{store} stale-after="4s">',
            *(
                f'<control name="{one}" address="{format_address(self.switch.address_for(name, one))}" '
                f'zone="{self.zone(one)}" region="r"{self._origin(one)}/>'
                for one in known
            ),
            "</distribution>",
        ]
        if proxy and self._identity:
            lines.append(self._identity)
        (self.folder / f"{name}.xml").write_text("\n".join([*lines, "</ironmill>"]))

    @staticmethod
    def _origin(name: str) -> str:
        return ' origin="true"' if name == ORIGIN else ""

    def _process(self, name: str) -> Process:
        if name not in self.proxies:
            return start_control_machine(name, self.folder, self.admin_addresses[name])
        settings = f"--settings={self.folder / f'{name}.xml'}"
        return ProxyProcess(self.folder / f"{name}.json", self.folder, options=[settings])

    # Admin API

    def call(self, name: str, method: str, path: str, body: object = None) -> tuple[int, Any]:
        """Returns status and body of a request to the admin API; status 0 if there is no answer."""
        call = http.client.HTTPConnection(*self.admin_addresses[name], timeout=REQUEST_TIMEOUT_S)
        try:
            data = None if body is None else orjson.dumps(body)
            call.request(method, path, data)
            answer = call.getresponse()
            text = answer.read()
            return answer.status, orjson.loads(text) if text else None
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            call.close()

    def status(self, name: str) -> dict[str, Any]:
        """Returns a node's status; empty if it does not answer."""
        found: dict[str, Any] = self.call(name, "GET", "/admin/configuration")[1] or {}
        return found

    def push(self, changes: dict[str, str | None], note: str = "") -> PositionPair:
        """Pushes a revision; returns its position. Raises ``RuntimeError`` if it is not accepted."""
        self._ticket += 1
        body = {"changes": changes, "author": "town", "note": note, "ticket": f"t{self._ticket}"}
        status, response = self.call(ORIGIN, "POST", "/admin/configuration/revisions", body)
        if status != 201:
            raise RuntimeError(f"not taken: {status} {response}")
        return parse_position(response["position"])

    def applied_position(self, name: str) -> PositionPair:
        """Returns what a process has applied; (0, 0) if it does not answer."""
        return parse_position(self.status(name).get("in_force", "0.0"))

    def all_at(self, position: PositionPair, names: list[str] | None = None) -> bool:
        """Returns True if all of these, by default all proxies, have applied the position or a later one."""
        return all(self.applied_position(name) >= position for name in names or self.proxies)

    def logged_events(self) -> list[LoggedEvent]:
        """Returns what all processes have logged of distribution."""
        return read_logs(self.folder, self.names, "distribution")

    def addresses(self) -> list[Address]:
        """Where clients find the proxies."""
        return [self.client_addresses[name] for name in self.proxies]
