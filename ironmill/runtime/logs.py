"""The log: events with fields.

An event is a short name; what belongs to it goes in fields. Without settings the log is written as it always
was, the fields behind the event as ``name=value``. With settings structlog writes it, as text or JSON lines.
What carries a secret (a token, a key, a certificate) is no field: names and kinds alone are handed in.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ironmill.configuration.settings.model import LogSettings

_FIELDS = "ironmill_fields"


class _Level:
    """What is logged at all: as the settings say, unless distributed configuration says otherwise."""

    own = "INFO"
    distributed = ""

    def set(self) -> None:
        logging.getLogger().setLevel((self.distributed or self.own).upper())


_level = _Level()


class EventLog:
    """A logger of the standard library that takes fields."""

    def __init__(self, name: str) -> None:
        self._log = logging.getLogger(name)

    def info(self, event: str, **fields: object) -> None:
        """Something that happens in the course of things."""
        self._log.info(event, extra={_FIELDS: fields})

    def warning(self, event: str, **fields: object) -> None:
        """Something that an operator may want to look at."""
        self._log.warning(event, extra={_FIELDS: fields})

    def error(self, event: str, **fields: object) -> None:
        """Something that did not work."""
        self._log.error(event, extra={_FIELDS: fields})


class _Plain(logging.Formatter):
    """One line: time, name of the proxy, event, fields."""

    def __init__(self, name: str) -> None:
        super().__init__(f"%(asctime)s.%(msecs)03d {name} %(message)s", "%H:%M:%S")

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802  (the library's name)
        fields: dict[str, object] = getattr(record, _FIELDS, {})
        text = super().formatMessage(record)
        return " ".join([text, *(f"{name}={value}" for name, value in fields.items())])


def set_up(name: str, settings: LogSettings | None) -> None:
    """Log to standard error from now on, as the settings say. May be called again with others."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_Plain(name) if settings is None else _structured(name, settings))
    root = logging.getLogger()
    for old in root.handlers[:]:
        root.removeHandler(old)
    root.addHandler(handler)
    _level.own = "INFO" if settings is None else settings.level
    _level.set()


def override_level(level: str) -> None:
    """The level from now on, whatever the settings say, also later; empty: theirs holds again."""
    _level.distributed = level
    _level.set()


def _structured(name: str, settings: LogSettings) -> logging.Formatter:
    import structlog  # here, for what is off is not imported

    def lift(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event.update(getattr(event["_record"], _FIELDS, {}))
        event["proxy"] = name
        return event

    renderer: Any = (
        structlog.processors.JSONRenderer()
        if settings.form == "json"
        else (structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]))
    )
    formatter: logging.Formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            lift,
        ],
        processors=[
            structlog.processors.format_exc_info,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            renderer,
        ],
    )
    return formatter
