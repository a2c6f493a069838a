"""Validation of value ranges that the types of messages cannot express."""

from __future__ import annotations

from ironmill.membership.envelope import DroppedError, DropReason
from ironmill.membership.identity import MemberIdentity
from ironmill.membership.limits import INTEGER_LIMIT, fits_text, is_name
from ironmill.membership.messages import ALIVE, SUSPECT, GossipUpdate, MemberRecord, Opinion

PORT_LIMIT = 1 << 16


def validate_update(update: GossipUpdate) -> None:
    """Raises ``DroppedError`` if a value of the record or opinion is out of range."""
    is_valid = _is_valid_record(update) if isinstance(update, MemberRecord) else _is_valid_opinion(update)
    if not is_valid:
        raise DroppedError(DropReason.MALFORMED)


def _is_valid_record(record: MemberRecord) -> bool:
    return _is_valid_identity(record.identity) and 0 <= record.transitions < INTEGER_LIMIT


def _is_valid_identity(identity: MemberIdentity) -> bool:
    return (
        is_name(identity.name)
        and is_name(identity.host)
        and fits_text(identity.zone)
        and fits_text(identity.region)
        and 0 < identity.port < PORT_LIMIT
        and 0 < identity.incarnation < INTEGER_LIMIT
    )


def _is_valid_opinion(opinion: Opinion) -> bool:
    return (
        is_name(opinion.observer)
        and is_name(opinion.subject)
        and SUSPECT <= opinion.value <= ALIVE
        and all(0 <= n < INTEGER_LIMIT for n in (opinion.stamp, opinion.incarnation, opinion.transitions))
    )
