"""Validation of message fields beyond their types.

The limits bound the memory that a faulty process can make another process use.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ironmill.distribution.changes import MAX_KEY_BYTES
from ironmill.distribution.keyspace import LEAVES, LEVEL_BITS
from ironmill.distribution.messages import (
    MAX_BODY_BYTES,
    MAX_CHUNKS,
    MAX_FIND_CHILD_COUNT,
    MAX_MISSING_CHUNKS,
    MAX_PREVIOUS_PARENTS,
    MAX_REASON_LENGTH,
    MAX_ZONES,
    ChildMoveAck,
    ChildMoved,
    DeltaChunk,
    DigestRequest,
    DigestResponse,
    EntriesRequest,
    EntriesResponse,
    FindChildRequest,
    FleetSummary,
    LaggingNode,
    Leave,
    Message,
    Poll,
    PollResponse,
    UnreachableChild,
    ZoneSummary,
    digest_count,
)
from ironmill.distribution.revision import NUMBER_LIMIT, Position
from ironmill.membership.limits import fits_text, is_name


def is_valid(message: Message) -> bool:
    """Returns False if a field of the message is outside its valid range."""
    return _VALIDATORS[type(message)](message)


def _is_number(value: int) -> bool:
    return 0 <= value < NUMBER_LIMIT


def _is_position(position: Position) -> bool:
    return _is_number(position.epoch) and _is_number(position.number)


def _is_range_prefix(level: int, prefix: int) -> bool:
    return -1 <= level < len(LEVEL_BITS) - 1 and 0 <= prefix < (1 << LEVEL_BITS[level] if level >= 0 else 1)


def _is_key(key: str) -> bool:
    return len(key) <= MAX_KEY_BYTES and len(key.encode(errors="replace")) <= MAX_KEY_BYTES


def _is_rejection(key: str, reason: str) -> bool:
    return _is_key(key) and len(reason) <= MAX_REASON_LENGTH


def _is_valid_poll(poll: Poll) -> bool:
    positions = (poll.received_position, poll.applied_position, poll.incomplete_target)
    if not all(_is_position(position) for position in positions):
        return False
    if not (_is_number(poll.lineage) and _is_number(poll.term) and _is_number(poll.attach_count)):
        return False
    if len(poll.missing_chunks) > MAX_MISSING_CHUNKS or len(poll.previous_parents) > MAX_PREVIOUS_PARENTS:
        return False
    if not (fits_text(poll.zone) and all(fits_text(name) for name in poll.previous_parents)):
        return False
    rejection = poll.rejection
    if rejection is not None and not _is_rejection(rejection.key, rejection.reason):
        return False
    return poll.summary is None or _is_valid_summary(poll.summary)


def _is_valid_summary(summary: FleetSummary) -> bool:
    return (
        len(summary.zones) <= MAX_ZONES
        and summary.omitted >= 0
        and all(_is_valid_zone(zone) for zone in summary.zones)
        and all(_is_valid_lagging_node(node) for node in summary.lagging_nodes)
    )


def _is_valid_zone(zone: ZoneSummary) -> bool:
    return (
        fits_text(zone.zone)
        and _is_position(zone.lowest_position)
        and min(zone.proxies, zone.rejecting, zone.unreachable, zone.stale) >= 0
    )


def _is_valid_lagging_node(node: LaggingNode) -> bool:
    return (
        is_name(node.name)
        and fits_text(node.zone)
        and _is_rejection(node.key, node.reason)
        and _is_position(node.applied_position)
    )


def _is_valid_poll_response(response: PollResponse) -> bool:
    return (
        _is_number(response.lineage)
        and _is_number(response.term)
        and _is_position(response.latest_position)
        and _is_number(response.poll_count)
    )


def _is_valid_chunk(chunk: DeltaChunk) -> bool:
    return (
        _is_number(chunk.lineage)
        and _is_number(chunk.term)
        and 0 < chunk.count <= MAX_CHUNKS
        and 0 <= chunk.index < chunk.count
        and chunk.base < chunk.target
        and _is_position(chunk.base)
        and _is_position(chunk.target)
        and len(chunk.body) <= MAX_BODY_BYTES
    )


def _is_valid_digest_request(request: DigestRequest) -> bool:
    return _is_range_prefix(request.level, request.prefix)


def _is_valid_digest_response(response: DigestResponse) -> bool:
    return (
        _is_range_prefix(response.level, response.prefix)
        and _is_position(response.position)
        and len(response.digests) == digest_count(response.level)
    )


def _is_valid_entries_request(request: EntriesRequest) -> bool:
    return 0 <= request.leaf < request.end_leaf <= LEAVES and _is_key(request.after_key)


def _is_valid_entries_response(response: EntriesResponse) -> bool:
    return (
        0 <= response.next_leaf <= LEAVES
        and _is_position(response.position)
        and len(response.body) <= MAX_BODY_BYTES
        and (not response.is_partial or response.body != b"")
    )


def _is_valid_leave(_: Leave) -> bool:
    return True


def _is_valid_child_move(message: ChildMoved | ChildMoveAck) -> bool:
    return is_name(message.name) and _is_number(message.attach_count)


def _is_valid_find_child_request(request: FindChildRequest) -> bool:
    return len(request.children) <= MAX_FIND_CHILD_COUNT and all(
        _is_valid_unreachable_child(child) for child in request.children
    )


def _is_valid_unreachable_child(child: UnreachableChild) -> bool:
    return (
        is_name(child.name)
        and fits_text(child.zone)
        and _is_position(child.applied_position)
        and 0 < child.incarnation < NUMBER_LIMIT
        and _is_number(child.attach_count)
    )


_VALIDATORS: dict[type[Message], Callable[[Any], bool]] = {
    Poll: _is_valid_poll,
    PollResponse: _is_valid_poll_response,
    DeltaChunk: _is_valid_chunk,
    DigestRequest: _is_valid_digest_request,
    DigestResponse: _is_valid_digest_response,
    EntriesRequest: _is_valid_entries_request,
    EntriesResponse: _is_valid_entries_response,
    Leave: _is_valid_leave,
    ChildMoved: _is_valid_child_move,
    ChildMoveAck: _is_valid_child_move,
    FindChildRequest: _is_valid_find_child_request,
}
