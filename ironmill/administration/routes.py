"""The routing table of the admin API. No I/O.

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
    """Dispatches requests to handlers by path and method."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.handlers: dict[str, Mapping[str, Handler]] = {}
        # Paths whose handlers get the query and the body. On other paths both are discarded.
        self.content_paths: set[str] = set()

    def add(self, path: str, handlers: Mapping[str, Handler], *, with_content: bool = False) -> None:
        """Adds a path with its handlers by method. They get query and body if ``with_content`` is True."""
        self.handlers[path] = handlers
        if with_content:
            self.content_paths.add(path)

    def dispatch(self, request: ApiRequest) -> ApiResponse:
        """Returns the handler's response; 404 for an unknown path, 405 for an unsupported method."""
        methods = self.handlers.get(request.path)
        if methods is None:
            return ApiResponse(HTTPStatus.NOT_FOUND)
        handler = methods.get(request.method)
        if handler is None:
            return ApiResponse(HTTPStatus.METHOD_NOT_ALLOWED, headers={"Allow": ", ".join(methods)})
        return handler(request)
