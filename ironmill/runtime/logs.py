"""Logging of events with fields.

An event has a short name, and its data are in fields. Without log settings, a line is plain text with fields
as ``name=value``. With log settings, structlog formats lines as text or JSON. Fields must not contain secrets
(tokens, keys, certificates); log only their names and kinds.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from msgspec import Struct

_FIELDS_ATTRIBUTE = "ironmill_fields"  # attribute of a log record that holds the fields
DEFAULT_LEVEL = "INFO"


class LogSettings(Struct, frozen=True):
    """Log settings of the operators."""

    form: str = "text"  # text or json
    level: str = "info"


class _RootLevel:
    """Level of the root logger: from the settings, unless distributed configuration overrides it."""

    configured = DEFAULT_LEVEL
    override = ""  # empty if the level is not overridden

    def apply(self) -> None:
        logging.getLogger().setLevel((self.override or self.configured).upper())


_root_level = _RootLevel()


class EventLog:
    """A logger of the standard library whose events take fields."""

    def __init__(self, name: str) -> None:
        """Creates an event log; ``name`` is the dotted name of the logger."""
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
    """Formats a record as one line of time, process name, event and fields."""

    def __init__(self, name: str) -> None:
        super().__init__(f"%(asctime)s.%(msecs)03d {name} %(message)s", "%H:%M:%S")

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802  (name defined by the base class)
        fields: dict[str, object] = getattr(record, _FIELDS_ATTRIBUTE, {})
        text = super().formatMessage(record)
        return " ".join([text, *(f"{name}={value}" for name, value in fields.items())])


def set_up(name: str, settings: LogSettings | None) -> None:
    """Configures logging to standard error under the name of the process. May be called again."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_PlainFormatter(name) if settings is None else _structured_formatter(name, settings))
    root = logging.getLogger()
    for old in root.handlers[:]:
        root.removeHandler(old)
    root.addHandler(handler)
    _root_level.configured = DEFAULT_LEVEL if settings is None else settings.level
    _root_level.apply()


def override_level(level: str) -> None:
    """Overrides the level of current and later settings. An empty level ends the override."""
    _root_level.override = level
    _root_level.apply()


def _structured_formatter(name: str, settings: LogSettings) -> logging.Formatter:
    import structlog  # imported only if log settings are present

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
