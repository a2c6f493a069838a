"""The settings object of an operator, read key by key. The simulator adapter and the proxy share it."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from ironmill.balancing.interface import Effect, Prices, RequestClass, Scope, Settings, Tenant

T = TypeVar("T")

log = logging.getLogger("ironmill.balancing.settings")

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class MalformedError(Exception):
    """Input that breaks the form agreed on. Its text says what is wrong."""


def from_json(data: str | bytes, what: str) -> object:
    """The value of a JSON text; MalformedError if it is none, however it is broken."""
    try:
        return msgspec.json.decode(data)
    except (ValueError, RecursionError) as error:  # the latter: a hundred thousand brackets
        raise MalformedError(f"{what} not JSON ({error})") from None


def _finite(value: object, path: str, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedError(f"{what}: {path} is not a number")
    try:
        return float(value)
    except OverflowError:
        raise MalformedError(f"{what}: {path} is not a number within range") from None


class Tree:
    """A JSON object whose values are fetched with their type; errors name the key in full."""

    def __init__(self, value: object, path: str = "", what: str = "settings") -> None:
        if not isinstance(value, dict):
            raise MalformedError(f"{what}: {path or 'the whole'} is not an object")
        self._items: Mapping[str, object] = value
        self._path = path
        self._what = what

    def _get(self, key: str, default: object) -> tuple[str, object]:
        path = f"{self._path}.{key}" if self._path else key
        value = self._items.get(key)
        if value is None:  # the wire writes null for what it leaves out
            value = default
        if value is None:
            raise MalformedError(f"{self._what}: {path} is missing")
        return path, value

    def number(self, key: str, default: float | None = None) -> float:
        path, value = self._get(key, default)
        return _finite(value, path, self._what)

    def text(self, key: str, default: str | None = None) -> str:
        path, value = self._get(key, default)
        if not isinstance(value, str):
            raise MalformedError(f"{self._what}: {path} is not a text")
        return value

    def flag(self, key: str, default: bool) -> bool:
        path, value = self._get(key, default)
        if not isinstance(value, bool):
            raise MalformedError(f"{self._what}: {path} is not true or false")
        return value

    def choice(self, key: str, choices: Mapping[str, T], default: str | None = None) -> T:
        text = self.text(key, default)
        if text not in choices:
            path = f"{self._path}.{key}" if self._path else key
            raise MalformedError(f"{self._what}: {path} has the unknown value {text!r}")
        return choices[text]

    def tree(self, key: str, default: dict[str, object] | None = None) -> Tree:
        path, value = self._get(key, default)
        return Tree(value, path, self._what)

    def trees(self, key: str, default: list[object] | None = None) -> list[Tree]:
        path, value = self._get(key, default)
        if not isinstance(value, list):
            raise MalformedError(f"{self._what}: {path} is not a list")
        return [Tree(item, f"{path}[{at}]", self._what) for at, item in enumerate(value)]

    def numbers(self, key: str) -> list[float]:
        """A list of numbers, null read as 0; empty where the key is absent."""
        path, value = self._get(key, [])
        if not isinstance(value, list):
            raise MalformedError(f"{self._what}: {path} is not a list")
        items = [0.0 if item is None else item for item in value]
        if any(isinstance(item, bool) or not isinstance(item, (int, float)) for item in items):
            raise MalformedError(f"{self._what}: {path} holds something that is not a number")
        return [_finite(item, path, self._what) for item in items]


def _effect_and_scope(item: Tree) -> tuple[Effect, Scope]:
    """How safe it is to run a request of the class again.

    An effect, or a group that drops repeats, that this program does not know is taken as the worst: nothing
    of the class is repeated. Guards a customer whose settings are newer than the program against a refusal to
    start.
    """
    effect_name, scope_name = item.text("effect"), item.text("group", "all")
    effect, scope = EFFECTS.get(effect_name), SCOPES.get(scope_name)
    if effect is None or (effect is Effect.KEYED and scope is None):
        log.warning(
            "class %s: %s is not known, so nothing of it is repeated",
            item.text("name"),
            f"effect {effect_name!r}" if effect is None else f"group {scope_name!r}",
        )
        effect = Effect.UNSAFE
    return effect, scope or Scope.ALL


def parse_settings(text: str) -> Settings:
    """The settings from the start message's JSON text."""
    return settings_from(Tree(from_json(text, "settings:")))


def settings_from(root: Tree) -> Settings:
    """The settings from the parsed object."""
    family = root.tree("familyInfo", {})
    ceilings, rules, prices = root.tree("ceilings"), root.tree("rules"), root.tree("prices", {})
    aims, quotas = family.numbers("messageAimS"), family.numbers("tenantQuotaConnections")
    classes = []
    for at, item in enumerate(root.trees("categories")):
        aim = item.number("aimS")
        effect, scope = _effect_and_scope(item)
        classes.append(
            RequestClass(
                name=item.text("name"),
                aim=aim,
                worth=item.number("points", 1.0),
                message_aim=aims[at] if at < len(aims) else aim,
                effect=effect,
                scope=scope,
                window=item.number("windowS", 0.0),
            )
        )
    tenants = [
        Tenant(item.text("name"), item.number("quotaRps", 0.0), quotas[at] if at < len(quotas) else 0.0)
        for at, item in enumerate(root.trees("projects", []))
    ]
    return Settings(
        relays=int(root.number("balancers")),
        classes=tuple(classes),
        tenants=tuple(tenants),
        prices=Prices(handshake=prices.number("handshake", 0.0)),
        ask_discovery=root.choice("discovery", {"push": False, "ask": True}),
        ask_within=rules.number("askWithinS", 10.0),
        cold_from=rules.number("coldFrom"),
        ramp_time=rules.number("rampTimeS"),
        fall_multiple=rules.number("fallMultiple"),
        tip_after=rules.number("tipAfterS"),
        max_attempts=int(ceilings.number("sendCap")),
        retry_after_max=ceilings.number("maxRetryAfterS", 0.0) if ceilings.flag("retryAfter", False) else 0.0,
        keepalive=ceilings.number("keepaliveS", 0.0),
        round_gap=root.number("roundS", 0.001),
        probes=ceilings.flag("probes", False),
        tells_delay=family.flag("tellsDelay", True),
        live_weights=root.text("weightSource", "off") == "live",
    )
