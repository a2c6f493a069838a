"""What the proxy is told at its start: the environment and the configuration file, as typed values."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, structs

from ironmill.balancing.interface import Settings
from ironmill.configuration.site_settings import settings_from
from ironmill.protocol.discovery import Routing, parse_routing
from ironmill.protocol.json_object import MalformedError, Tree, from_json
from ironmill.runtime.system_calls import TRANSIENT_START_ERRNOS, TransientError

Address = tuple[str, int]

MIN_SOCKETS, MAX_SOCKETS = 64, 1 << 20


class UnreadableNowError(MalformedError, TransientError):
    """The file could not be read for a reason that passes by itself."""


class Config(Struct, frozen=True):
    """One proxy's configuration. Times are in seconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: Routing
    settings: Settings
    connect_timeout: float
    drain_grace: float
    packets_pass: bool  # connections go on through another proxy when this one ends
    wait_limits: Mapping[str, float]  # by class: how long a client waits that does not say so
    shortest_latency_objective_s: float  # of the aims for a message on an open connection
    stated: Mapping[str, object]  # the file as it is, by key in full
    control: Address | None = None  # where staff call; nothing listens without it


def address(text: str, key: str) -> Address:
    """HOST:PORT as a pair."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise MalformedError(f"configuration: {key} is not HOST:PORT: {text!r}")
    return host, int(port)


def flat(value: object, path: str = "") -> dict[str, object]:
    """The values of nested objects by their keys in full."""
    if not isinstance(value, dict):
        return {path: value}
    found: dict[str, object] = {}
    for key, item in value.items():
        found |= flat(item, f"{path}.{key}" if path else key)
    return found


def load(env: Mapping[str, str], path: str | None = None) -> Config:
    """The configuration from the file and the environment; the variables win over the file.

    MalformedError if it is not fit for use, UnreadableNowError if it cannot be read just now.
    """
    path = path or env.get("PROXY_CONFIG")
    if not path:
        raise MalformedError("configuration: PROXY_CONFIG is not set, and no --config is given")
    try:
        with open(path, "rb") as file:
            value = from_json(file.read(), f"configuration: PROXY_CONFIG: {path} is")
    except OSError as error:
        kind = UnreadableNowError if error.errno in TRANSIENT_START_ERRNOS else MalformedError
        raise kind(f"configuration: PROXY_CONFIG: {path}: {error.strerror}") from None
    root = Tree(value, "", "configuration")
    seed_text = root.text("seed", "0")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise MalformedError(f"configuration: seed is not a hexadecimal number: {seed_text!r}") from None
    settings_tree = root.tree("settings")
    # On these sockets a standing connection brings its lines back at once however long the messages of
    # its server take, so the decisions must not count on being told of a jam.
    settings = structs.replace(settings_from(settings_tree), reports_delay=False)
    sockets = root.tree("limits", {}).number("sockets", 1024)
    if not MIN_SOCKETS <= sockets <= MAX_SOCKETS:
        raise MalformedError(f"configuration: limits.sockets is not from {MIN_SOCKETS} to {MAX_SOCKETS}")
    control = env.get("PROXY_CONTROL") or root.text("control", "")
    return Config(
        name=env.get("PROXY_NAME") or root.text("name"),
        listen=address(env.get("PROXY_LISTEN") or root.text("listen"), "listen"),
        discovery=address(env.get("PROXY_DISCOVERY") or root.text("discovery"), "discovery"),
        seed=seed,
        sockets=int(sockets),
        known=parse_routing(root.tree("known", {"rev": 0, "all": True, "targets": []})),
        settings=settings,
        connect_timeout=settings_tree.tree("ceilings").number("connectTimeoutS", 1.0),
        drain_grace=settings_tree.tree("rules").number("drainGraceS", 0.25),
        packets_pass=settings_tree.tree("familyInfo", {}).text("mode", "proxy") == "pass",
        wait_limits={
            item.text("name"): item.number("hardLimitS", 10.0) for item in settings_tree.trees("categories")
        },
        shortest_latency_objective_s=min(
            (cls.message_latency_objective for cls in settings.classes), default=0.1
        ),
        stated=flat(value),
        control=address(control, "control") if control else None,
    )
