"""Formats the balancer's actions as lines of the simulator's protocol."""

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
    """Returns the line for an action of a proxy."""
    match action:
        case Send():
            action_name = "FORWARD"
            fields = f"msgId={action.request_id}\tbackend={action.server_id}\ttimeoutS={action.timeout:.6f}"
        case SetTimer():
            action_name = "AFTER"
            fields = f"offsetS={action.delay:.6f}\tname={action.name}"
        case Reject():
            action_name = "OVERLOAD_REPLY"
            fields = f"msgId={action.request_id}\tcomeBackS={action.retry_after:.6f}"
        case Fail():
            action_name = "REPORT_FAILURE"
            fields = f"msgId={action.request_id}"
        case Migrate():
            action_name = "REDIRECT"
            fields = f"msgId={action.request_id}"
        case CheckHealth():
            action_name = "PROBE"
            fields = f"backend={action.server_id}"
        case Subscribe():
            action_name = "STREAM_CHANGES"
            fields = "on=1"
    return f"{action_name}\trelay={proxy}\t{fields}"


def format_exception(proxy: str, error: Exception) -> str:
    """Returns the line that reports an exception raised by a proxy's balancer."""
    text = f"{type(error).__name__}: {error}".replace("\n", " ")
    return f"EXCEPTION\trelay={proxy}\tline={text}"


def format_batch_end(batch: str) -> str:
    """Returns the line that ends the reply to a batch."""
    return f"NEXT\tbatch={batch}"
