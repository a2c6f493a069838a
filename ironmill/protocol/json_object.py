"""Typed access to JSON objects. Errors state the full path of the key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import msgspec

from ironmill.errors import IronmillError

T = TypeVar("T")


class MalformedError(IronmillError):
    """Raised for input that does not have the specified form. The message states the violated rule."""


def parse_json(data: str | bytes, error_prefix: str) -> object:
    """Decodes JSON. Raises ``MalformedError``, whose message begins with the prefix, if it is not valid."""
    try:
        return msgspec.json.decode(data)
    except (ValueError, RecursionError) as error:  # RecursionError is caused by deep nesting
        raise MalformedError(f"{error_prefix} not JSON ({error})") from None


def _parse_finite(value: object, path: str, document: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedError(f"{document}: {path} is not a number")
    try:
        return float(value)
    except OverflowError:
        raise MalformedError(f"{document}: {path} is not a number within range") from None


class JsonObject:
    """A JSON object. Each method reads a key, and raises ``MalformedError`` if its value has another type.

    A key whose value is null counts as absent. An absent key without a default raises ``MalformedError``.
    """

    def __init__(self, value: object, path: str = "", document: str = "settings") -> None:
        """Wraps a decoded value. Raises ``MalformedError`` if it is not an object.

        ``path`` and ``document`` identify the object in error messages.
        """
        if not isinstance(value, dict):
            raise MalformedError(f"{document}: {path or 'top-level value'} is not an object")
        self._items: Mapping[str, object] = value
        self._path = path
        self._document = document

    def _get(self, key: str, default: object) -> tuple[str, object]:
        path = f"{self._path}.{key}" if self._path else key
        value = self._items.get(key)
        if value is None:  # null counts as absent
            value = default
        if value is None:
            raise MalformedError(f"{self._document}: {path} is missing")
        return path, value

    def number(self, key: str, default: float | None = None) -> float:
        """Returns a finite number."""
        path, value = self._get(key, default)
        return _parse_finite(value, path, self._document)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a string."""
        path, value = self._get(key, default)
        if not isinstance(value, str):
            raise MalformedError(f"{self._document}: {path} is not a string")
        return value

    def flag(self, key: str, *, default: bool) -> bool:
        """Returns a boolean."""
        path, value = self._get(key, default)
        if not isinstance(value, bool):
            raise MalformedError(f"{self._document}: {path} is not true or false")
        return value

    def choice(self, key: str, choices: Mapping[str, T], default: str | None = None) -> T:
        """Returns the choice whose name is the string."""
        text = self.text(key, default)
        if text not in choices:
            path = f"{self._path}.{key}" if self._path else key
            raise MalformedError(f"{self._document}: {path} has unknown value {text!r}")
        return choices[text]

    def nested(self, key: str, default: dict[str, object] | None = None) -> JsonObject:
        """Returns a nested object."""
        path, value = self._get(key, default)
        return JsonObject(value, path, self._document)

    def nested_list(self, key: str, default: list[object] | None = None) -> list[JsonObject]:
        """Returns a list of nested objects."""
        path, value = self._get(key, default)
        if not isinstance(value, list):
            raise MalformedError(f"{self._document}: {path} is not a list")
        return [JsonObject(item, f"{path}[{index}]", self._document) for index, item in enumerate(value)]

    def numbers(self, key: str) -> list[float]:
        """Returns a list of finite numbers, with 0 for each null; empty if the key is absent."""
        path, value = self._get(key, [])
        if not isinstance(value, list):
            raise MalformedError(f"{self._document}: {path} is not a list")
        items = [0.0 if item is None else item for item in value]
        if any(isinstance(item, bool) or not isinstance(item, (int, float)) for item in items):
            raise MalformedError(f"{self._document}: {path} contains a value that is not a number")
        return [_parse_finite(item, path, self._document) for item in items]
