"""Logging of events with fields.

An event is a short name, and its data go in fields. Without settings a line is plain text with the fields as
``name=value``; with settings structlog writes it, as text or JSON lines. Secrets (tokens, keys, certificates)
must not be fields: log their names and kinds only.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from msgspec import Struct

_FIELDS_ATTRIBUTE = "ironmill_fields"  # of a log record
DEFAULT_LEVEL = "INFO"


class LogSettings(Struct, frozen=True):
    """The operators' settings of the log."""

    form: str = "text"  # or json
    level: str = "info"


class _RootLevel:
    """Level of the root logger: the settings' one, unless distributed configuration overrides it."""

    configured = DEFAULT_LEVEL
    override = ""  # empty: none

    def apply(self) -> None:
        logging.getLogger().setLevel((self.override or self.configured).upper())


_root_level = _RootLevel()


class EventLog:
    """A logger of the standard library whose events take fields."""

    def __init__(self, name: str) -> None:
        """``name`` is the logger's, with dots."""
        self._log = logging.getLogger(name)

    def info(self, event: str, **fields: object) -> None:
        """Logs an event of normal operation."""
        self._log.info(event, extra={_FIELDS_ATTRIBUTE: fields})

    def warning(self, event: str, **fields: object) -> None:
        """Logs an event that an operator may want to investigate."""
        self._log.warning(event, extra={_FIELDS_ATTRIBUTE: fields})

    def error(self, event: str, **fields: object) -> None:
        """Logs a failure."""
        self._log.error(event, extra={_FIELDS_ATTRIBUTE: fields})


class _PlainFormatter(logging.Formatter):
    """Formats a record as one line: time, name of the proxy, event, fields."""

    def __init__(self, name: str) -> None:
        super().__init__(f"%(asctime)s.%(msecs)03d {name} %(message)s", "%H:%M:%S")

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802  (the library's name)
        fields: dict[str, object] = getattr(record, _FIELDS_ATTRIBUTE, {})
        text = super().formatMessage(record)
        return " ".join([text, *(f"{name}={value}" for name, value in fields.items())])


def set_up(name: str, settings: LogSettings | None) -> None:
    """Logs to standard error from now on, under the name of the process. May be called again."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_PlainFormatter(name) if settings is None else _structured_formatter(name, settings))
    root = logging.getLogger()
    for old in root.handlers[:]:
        root.removeHandler(old)
    root.addHandler(handler)
    _root_level.configured = DEFAULT_LEVEL if settings is None else settings.level
    _root_level.apply()


def override_level(level: str) -> None:
    """Overrides the level of the settings, also of later ones; an empty level ends the override."""
    _root_level.override = level
    _root_level.apply()


def _structured_formatter(name: str, settings: LogSettings) -> logging.Formatter:
    import structlog  # what is off is not imported

    def add_fields(_: object, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event.update(getattr(event["_record"], _FIELDS_ATTRIBUTE, {}))
        event["proxy"] = name
        return event

    renderer: Any = structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"])
    if settings.form == "json":
        renderer = structlog.processors.JSONRenderer()
    formatter: logging.Formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_fields,
        ],
        processors=[
            structlog.processors.format_exc_info,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            renderer,
        ],
    )
    return formatter
