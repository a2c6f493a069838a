"""Formats actions of the decisions as lines of the simulator's wire."""

from __future__ import annotations

from ironmill.balancing.interface import (
    Action,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)


def format_action(proxy: str, action: Action) -> str:
    """Returns the line for an action of the given proxy."""
    match action:
        case Send():
            name = "FORWARD"
            fields = f"msgId={action.request_id}\tbackend={action.server_id}\ttimeoutS={action.timeout:.6f}"
        case SetTimer():
            name = "AFTER"
            fields = f"offsetS={action.delay:.6f}\tname={action.name}"
        case Reject():
            name = "OVERLOAD_REPLY"
            fields = f"msgId={action.request_id}\tcomeBackS={action.retry_after:.6f}"
        case Fail():
            name = "REPORT_FAILURE"
            fields = f"msgId={action.request_id}"
        case Migrate():
            name = "REDIRECT"
            fields = f"msgId={action.request_id}"
        case CheckHealth():
            name = "PROBE"
            fields = f"backend={action.server_id}"
        case Subscribe():
            name = "STREAM_CHANGES"
            fields = "on=1"
    return f"{name}\trelay={proxy}\t{fields}"


def format_exception(proxy: str, error: Exception) -> str:
    """Returns the line for an exception that the decisions of a proxy raised."""
    text = f"{type(error).__name__}: {error}".replace("\n", " ")
    return f"EXCEPTION\trelay={proxy}\tline={text}"


def format_batch_end(batch: str) -> str:
    """Returns the line that ends the reply to a batch."""
    return f"NEXT\tbatch={batch}"
