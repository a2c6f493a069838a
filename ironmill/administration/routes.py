"""The admin API as a table of routes. No I/O.

The routes of a proxy are in ``ironmill.administration.proxy_api``, those of distributed configuration in
``ironmill.administration.configuration_api``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TypeAlias

from ironmill.administration.messages import ApiRequest, ApiResponse

Handler: TypeAlias = Callable[[ApiRequest], ApiResponse]


class Routes:
    """Dispatches calls to handlers by path and method."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.handlers: dict[str, Mapping[str, Handler]] = {}
        self.detailed: set[str] = set()  # paths whose handlers get query and body; others' are discarded

    def add(self, path: str, handlers: Mapping[str, Handler], *, detailed: bool = False) -> None:
        """Adds a path with its handlers by method. ``detailed``: they get query and body."""
        self.handlers[path] = handlers
        if detailed:
            self.detailed.add(path)

    def dispatch(self, request: ApiRequest) -> ApiResponse:
        """Returns the handler's response; 404 for an unknown path, 405 for a method without a handler."""
        methods = self.handlers.get(request.path)
        if methods is None:
            return ApiResponse(HTTPStatus.NOT_FOUND)
        handler = methods.get(request.method)
        if handler is None:
            return ApiResponse(HTTPStatus.METHOD_NOT_ALLOWED, headers={"Allow": ", ".join(methods)})
        return handler(request)
