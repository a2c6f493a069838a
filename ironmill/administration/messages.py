"""Requests and responses of the admin API, independent of the protocol that carries them."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import msgspec
from msgspec import Struct


class ApiRequest(Struct, frozen=True):
    """A complete request. Query and body are empty unless the route needs them."""

    method: str
    path: str  # without the query
    query: str = ""
    body: bytes = b""


class ApiResponse(Struct, frozen=True):
    """The response to a request."""

    status: HTTPStatus
    body: bytes = b""
    headers: Mapping[str, str] = MappingProxyType({})

    @classmethod
    def from_json(cls, status: HTTPStatus, content: object) -> ApiResponse:
        """Returns a response whose body is the content encoded as one line of JSON."""
        return cls(status, msgspec.json.encode(content) + b"\n")
