"""JSON objects whose values are read with their type. Errors name the full path of the key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import msgspec

from ironmill.errors import IronmillError

T = TypeVar("T")


class MalformedError(IronmillError):
    """Input that does not have the specified form. Its text names the rule broken."""


def parse_json(data: str | bytes, what: str) -> object:
    """Decodes a JSON text. Raises ``MalformedError`` for any text that is not JSON."""
    try:
        return msgspec.json.decode(data)
    except (ValueError, RecursionError) as error:  # the latter at deep nesting
        raise MalformedError(f"{what} not JSON ({error})") from None


def _finite(value: object, path: str, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedError(f"{what}: {path} is not a number")
    try:
        return float(value)
    except OverflowError:
        raise MalformedError(f"{what}: {path} is not a number within range") from None


class JsonObject:
    """A JSON object; each method reads a key and raises ``MalformedError`` if it has another type."""

    def __init__(self, value: object, path: str = "", what: str = "settings") -> None:
        """``path`` and ``what`` name the object in errors. Raises ``MalformedError`` if it is none."""
        if not isinstance(value, dict):
            raise MalformedError(f"{what}: {path or 'the whole'} is not an object")
        self._items: Mapping[str, object] = value
        self._path = path
        self._what = what

    def _get(self, key: str, default: object) -> tuple[str, object]:
        path = f"{self._path}.{key}" if self._path else key
        value = self._items.get(key)
        if value is None:  # null means absent
            value = default
        if value is None:
            raise MalformedError(f"{self._what}: {path} is missing")
        return path, value

    def number(self, key: str, default: float | None = None) -> float:
        """Returns a finite number."""
        path, value = self._get(key, default)
        return _finite(value, path, self._what)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a string."""
        path, value = self._get(key, default)
        if not isinstance(value, str):
            raise MalformedError(f"{self._what}: {path} is not a text")
        return value

    def flag(self, key: str, *, default: bool) -> bool:
        """Returns a boolean."""
        path, value = self._get(key, default)
        if not isinstance(value, bool):
            raise MalformedError(f"{self._what}: {path} is not true or false")
        return value

    def choice(self, key: str, choices: Mapping[str, T], default: str | None = None) -> T:
        """Returns the choice that a string names."""
        text = self.text(key, default)
        if text not in choices:
            path = f"{self._path}.{key}" if self._path else key
            raise MalformedError(f"{self._what}: {path} has the unknown value {text!r}")
        return choices[text]

    def nested(self, key: str, default: dict[str, object] | None = None) -> JsonObject:
        """Returns a nested object."""
        path, value = self._get(key, default)
        return JsonObject(value, path, self._what)

    def nested_list(self, key: str, default: list[object] | None = None) -> list[JsonObject]:
        """Returns a list of nested objects."""
        path, value = self._get(key, default)
        if not isinstance(value, list):
            raise MalformedError(f"{self._what}: {path} is not a list")
        return [JsonObject(item, f"{path}[{at}]", self._what) for at, item in enumerate(value)]

    def numbers(self, key: str) -> list[float]:
        """Returns a list of numbers with null as 0; empty if the key is absent."""
        path, value = self._get(key, [])
        if not isinstance(value, list):
            raise MalformedError(f"{self._what}: {path} is not a list")
        items = [0.0 if item is None else item for item in value]
        if any(isinstance(item, bool) or not isinstance(item, (int, float)) for item in items):
            raise MalformedError(f"{self._what}: {path} holds something that is not a number")
        return [_finite(item, path, self._what) for item in items]
