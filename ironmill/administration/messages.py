"""A staff call and its answer, whatever protocol brings them."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

from msgspec import Struct


class ApiRequest(Struct, frozen=True):
    """A whole call."""

    method: str
    path: str  # without its query
    query: str = ""  # it and the body are those of calls that want them
    body: bytes = b""


class ApiResponse(Struct, frozen=True):
    """What it is answered."""

    status: HTTPStatus
    body: bytes = b""
    headers: Mapping[str, str] = MappingProxyType({})
