"""Responses of discovery: the endpoint list and changes to it, parsed from JSON."""

from __future__ import annotations

from msgspec import Struct

from ironmill.balancing.interface import Stage
from ironmill.protocol.json_object import JsonObject, MalformedError

STAGES = {"up": Stage.READY, "draining": Stage.DRAINING, "removed": Stage.GONE}


class ListedServer(Struct, frozen=True):
    """A server in the endpoint list."""

    uid: str
    host: str
    port: int
    stage: Stage
    zone: str
    cell: int
    weight: float
    started_at: float  # Unix time in seconds by another machine's clock; 0 if it started long ago


class EndpointUpdate(Struct, frozen=True):
    """A response of discovery: the complete endpoint list, or the changes since a revision."""

    revision: int
    full: bool  # whether the servers are the complete list
    servers: tuple[ListedServer, ...]
    age: float = 0.0  # seconds since discovery sent it


def parse_endpoint_update(message: JsonObject) -> EndpointUpdate:
    """Parses a response; omits servers whose state this version does not know. Raises ``MalformedError``."""
    servers = []
    for item in message.nested_list("targets"):
        stage = STAGES.get(item.text("state"))
        host, port = _parse_endpoint(item)
        if stage is not None:
            servers.append(
                ListedServer(
                    uid=item.text("uid"),
                    host=host,
                    port=port,
                    stage=stage,
                    zone=item.text("az", ""),
                    cell=int(item.number("pod_group", 0.0)),
                    weight=item.number("capacity_hint", 1.0),
                    started_at=item.number("boot_ms", 0.0) / 1000.0,
                )
            )
    return EndpointUpdate(int(message.number("rev")), message.flag("all", default=False), tuple(servers))


def _parse_endpoint(item: JsonObject) -> tuple[str, int]:
    host, _, port = item.text("endpoint").rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
        raise MalformedError(f"routing table: endpoint of server {item.text('uid')} is not HOST:PORT")
    return host, int(port)
