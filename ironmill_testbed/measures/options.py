"""The options that are common to all measurements."""

from __future__ import annotations

from pathlib import Path

from msgspec import Struct


class MeasurementOptions(Struct, frozen=True):
    """The options of ``measure NAME``; the docstring of a measurement says which ones it uses."""

    is_quick: bool = False  # whether smaller sizes are measured
    poller: str = "epoll"  # the poller of the proxy's event loop: epoll or poll
    program: Path | None = None  # the folder of another checkout, whose proxy is measured
