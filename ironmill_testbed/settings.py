"""Configuration files of the testbed's proxies."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Any

import orjson

from ironmill.membership.identity import Address, format_address


def platform_settings(proxies: int = 1) -> dict[str, Any]:
    """Returns settings with two classes, health checks, three attempts per request and Retry-After."""
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
    """Returns the object of the configuration file for a proxy with an empty endpoint list."""
    return {
        "name": name,
        "listen": format_address(listen),
        "discovery": format_address(discovery),
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": sockets},
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": settings,
    }


def write_config(folder: Path, config: dict[str, Any]) -> Path:
    """Writes the object to a JSON file named after the proxy; returns the path."""
    path = folder / f"{config['name']}.json"
    path.write_bytes(orjson.dumps(config, option=orjson.OPT_INDENT_2))
    return path
