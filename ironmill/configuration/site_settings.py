"""The settings object of an operator, read key by key. The simulator adapter and the proxy share it."""

from __future__ import annotations

import logging

from ironmill.balancing.interface import Effect, Prices, RequestClass, Scope, Settings, Tenant
from ironmill.protocol.json_object import JsonObject, parse_json

log = logging.getLogger("ironmill.configuration.site_settings")

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


def _effect_and_scope(item: JsonObject) -> tuple[Effect, Scope]:
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
    return settings_from(JsonObject(parse_json(text, "settings:")))


def settings_from(root: JsonObject) -> Settings:
    """The settings from the parsed object."""
    family = root.nested("familyInfo", {})
    ceilings, rules, prices = root.nested("ceilings"), root.nested("rules"), root.nested("prices", {})
    aims, quotas = family.numbers("messageAimS"), family.numbers("tenantQuotaConnections")
    classes = []
    for at, item in enumerate(root.nested_list("categories")):
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
        for at, item in enumerate(root.nested_list("projects", []))
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
        retry_after_max=ceilings.number("maxRetryAfterS", 0.0)
        if ceilings.flag("retryAfter", default=False)
        else 0.0,
        keepalive=ceilings.number("keepaliveS", 0.0),
        round_gap=root.number("roundS", 0.001),
        probes=ceilings.flag("probes", default=False),
        tells_delay=family.flag("tellsDelay", default=True),
        live_weights=root.text("weightSource", "off") == "live",
    )
