"""What staff may ask of a process at its second address, as a table of calls. No I/O.

A proxy's own calls are in ``ironmill.administration.proxy_api``; a control machine makes a table with others.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TypeAlias

from ironmill.administration.messages import ApiRequest, ApiResponse

Action: TypeAlias = Callable[[ApiRequest], ApiResponse]


class Routes:
    """Answers staff's calls."""

    def __init__(self) -> None:
        # By path and method; another front for staff asks the same table.
        self.routes: dict[str, Mapping[str, Action]] = {}
        self.detailed: set[str] = set()  # paths whose calls bring a query or a body; others' are thrown away

    def add(self, path: str, actions: Mapping[str, Action], detailed: bool = False) -> None:
        """Answer calls of the path, by method."""
        self.routes[path] = actions
        if detailed:
            self.detailed.add(path)

    def answer(self, call: ApiRequest) -> ApiResponse:
        """Carry out the call. 404 for a path that is not there, 405 for another method."""
        methods = self.routes.get(call.path)
        if methods is None:
            return ApiResponse(HTTPStatus.NOT_FOUND)
        action = methods.get(call.method)
        if action is None:
            return ApiResponse(HTTPStatus.METHOD_NOT_ALLOWED, headers={"Allow": ", ".join(methods)})
        return action(call)
