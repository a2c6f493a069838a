"""Reads the configuration of a proxy from its JSON file and the environment into typed values."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, structs

from ironmill.balancing.interface import Settings
from ironmill.configuration.site_settings import settings_from_json
from ironmill.protocol.discovery import EndpointUpdate, parse_endpoint_update
from ironmill.protocol.json_object import JsonObject, MalformedError, parse_json
from ironmill.runtime.system_calls import TRANSIENT_START_ERRNOS, TransientError

Address = tuple[str, int]

MIN_SOCKETS, MAX_SOCKETS = 64, 1 << 20  # file descriptors
MAX_PORT = 65535


class UnreadableNowError(MalformedError, TransientError):
    """Raised if the configuration file cannot be read for a transient reason."""


class Config(Struct, frozen=True):
    """Configuration of one proxy."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that the process may open
    initial_endpoints: EndpointUpdate  # the endpoint list to use until discovery replaces it
    settings: Settings
    connect_timeout_s: float
    drain_grace_s: float
    packets_pass_through: bool  # established connections continue through another proxy after the exit
    default_deadlines_s: Mapping[str, float]  # by request class, for requests without a deadline
    shortest_latency_objective_s: float  # shortest of all classes, for messages on established connections
    raw_values: Mapping[str, object]  # values of the file by their full keys
    admin_address: Address | None = None  # None: there is no admin API


def parse_address(text: str, key: str) -> Address:
    """Parses HOST:PORT. Raises ``MalformedError`` with a message that names the key."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise MalformedError(f"configuration: {key} is not HOST:PORT: {text!r}")
    return host, int(port)


def flatten(value: object, path: str = "") -> dict[str, object]:
    """Returns the values of nested objects by their full keys, whose parts are joined with dots."""
    if not isinstance(value, dict):
        return {path: value}
    flat: dict[str, object] = {}
    for key, item in value.items():
        flat |= flatten(item, f"{path}.{key}" if path else key)
    return flat


def load_config(environment: Mapping[str, str], path: str | None = None) -> Config:
    """Loads the configuration from the file and from environment variables, which take precedence.

    ``path`` takes precedence over ``PROXY_CONFIG``. Raises ``MalformedError`` if the configuration is not
    valid, ``UnreadableNowError`` if the file cannot be read for a transient reason.
    """
    path = path or environment.get("PROXY_CONFIG")
    if not path:
        raise MalformedError("configuration: PROXY_CONFIG is not set, and no --config is given")
    document = _read_json(path)
    root = JsonObject(document, "", "configuration")
    seed = _parse_seed(root.text("seed", "0"))
    settings_object = root.nested("settings")
    # Servers answer lines on established connections at once even while their messages are slow, so the
    # balancer must not rely on the delays of such answers to detect overload.
    settings = structs.replace(settings_from_json(settings_object), reports_delay=False)
    message_objectives = (cls.message_latency_objective for cls in settings.classes)
    sockets = _parse_sockets(root)
    admin_address = environment.get("PROXY_CONTROL") or root.text("control", "")
    return Config(
        name=environment.get("PROXY_NAME") or root.text("name"),
        listen=parse_address(environment.get("PROXY_LISTEN") or root.text("listen"), "listen"),
        discovery=parse_address(environment.get("PROXY_DISCOVERY") or root.text("discovery"), "discovery"),
        seed=seed,
        sockets=sockets,
        initial_endpoints=parse_endpoint_update(root.nested("known", {"rev": 0, "all": True, "targets": []})),
        settings=settings,
        connect_timeout_s=settings_object.nested("ceilings").number("connectTimeoutS", 1.0),
        drain_grace_s=settings_object.nested("rules").number("drainGraceS", 0.25),
        packets_pass_through=settings_object.nested("familyInfo", {}).text("mode", "proxy") == "pass",
        default_deadlines_s={
            category.text("name"): category.number("hardLimitS", 10.0)
            for category in settings_object.nested_list("categories")
        },
        shortest_latency_objective_s=min(message_objectives, default=0.1),
        raw_values=flatten(document),
        admin_address=parse_address(admin_address, "control") if admin_address else None,
    )


def _read_json(path: str) -> object:
    try:
        with open(path, "rb") as file:
            return parse_json(file.read(), f"configuration: PROXY_CONFIG: {path} is")
    except OSError as error:
        is_transient = error.errno in TRANSIENT_START_ERRNOS
        kind = UnreadableNowError if is_transient else MalformedError
        raise kind(f"configuration: PROXY_CONFIG: {path}: {error.strerror}") from None


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise MalformedError(f"configuration: seed is not a hexadecimal number: {text!r}") from None


def _parse_sockets(root: JsonObject) -> int:
    sockets = root.nested("limits", {}).number("sockets", 1024)
    if not MIN_SOCKETS <= sockets <= MAX_SOCKETS:
        raise MalformedError(
            f"configuration: limits.sockets is out of range; expected {MIN_SOCKETS} to {MAX_SOCKETS}"
        )
    return int(sockets)
