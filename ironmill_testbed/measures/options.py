"""The options that every measurement takes."""

from __future__ import annotations

from pathlib import Path

from msgspec import Struct


class MeasurementOptions(Struct, frozen=True):
    """The options of ``measure NAME``; a measurement says which ones it uses."""

    is_quick: bool = False  # smaller sizes
    poller: str = "epoll"  # what the proxy waits with
    program: Path | None = None  # the folder of another checkout, whose proxy is measured
