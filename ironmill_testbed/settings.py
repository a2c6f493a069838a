"""A proxy's configuration as the laboratory's deployments state it."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Any

import orjson

Address = tuple[str, int]


def platform_settings(proxies: int = 1) -> dict[str, Any]:
    """The settings object: two classes, probes, three attempts, waits told to those turned away."""
    return {
        "balancers": proxies,
        "discovery": "push",
        "categories": [
            {
                "name": "index-sync",
                "aimS": 0.5,
                "hardLimitS": 2.0,
                "effect": "pure",
                "group": "all",
                "points": 1.0,
            },
            {
                "name": "archive-fetch",
                "aimS": 0.8,
                "hardLimitS": 3.2,
                "effect": "pure",
                "group": "all",
                "points": 2.0,
            },
        ],
        "ceilings": {
            "sendCap": 3,
            "retryAfter": True,
            "maxRetryAfterS": 1.5,
            "connectTimeoutS": 0.25,
            "probes": True,
        },
        "rules": {
            "coldFrom": 0.32,
            "rampTimeS": 8.8,
            "fallMultiple": 3.0,
            "tipAfterS": 2.0,
            "drainGraceS": 0.25,
        },
        "familyInfo": {"messageAimS": [0.25, 0.15], "mode": "proxy"},
    }


def proxy_config(
    name: str, listen: Address, discovery: Address, sockets: int, settings: dict[str, Any]
) -> dict[str, Any]:
    """The configuration file's object of one proxy that knows no server yet."""
    return {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": sockets},
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": settings,
    }


def write_config(folder: Path, value: dict[str, Any]) -> Path:
    """Write it to a file named after the proxy; the file's path."""
    path = folder / f"{value['name']}.json"
    path.write_bytes(orjson.dumps(value, option=orjson.OPT_INDENT_2))
    return path
