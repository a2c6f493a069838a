"""A member's assessment of its own health, on which its opinions of other members depend."""

from __future__ import annotations

from ironmill.membership.events import IsolationEnded, IsolationStarted, PauseDetected
from ironmill.membership.member_state import NEVER, MemberState
from ironmill.membership.timing import PAUSE_RECOVERY_S


class SelfHealth:
    """Detects pauses of this process and the loss of contact with all other members."""

    __slots__ = (
        "_healthy_since",
        "_last_without_others_at",
        "_recovering_until",
        "_state",
        "is_isolated",
        "last_contact_at",
    )

    def __init__(self, state: MemberState) -> None:
        """Creates the state of a healthy member."""
        self._state = state
        self.is_isolated = False
        self.last_contact_at = NEVER  # when any member last sent a direct ack
        self._last_without_others_at = state.now  # when the view last contained no other member
        self._recovering_until = state.now
        self._healthy_since = state.now

    def record_pause(self, seconds: float) -> None:
        """Records a pause of this process, so that its duration does not count against other members."""
        state = self._state
        for peer in state.peers.values():
            peer.last_alive_at += seconds
            peer.observed_since += seconds
        self._recovering_until = state.now + PAUSE_RECOVERY_S
        if seconds > state.timing.isolation_timeout_s:
            self._healthy_since = state.now
        state.on_event(PauseDetected(round(seconds, 3)))

    def update(self) -> None:
        """Updates whether this member is isolated."""
        state = self._state
        others = len(state.view.rings) - state.is_joined
        last_connected_at = max(self.last_contact_at, self._last_without_others_at)
        is_isolated = others > 0 and state.now - last_connected_at > state.timing.isolation_timeout_s
        if not others:
            self._last_without_others_at = state.now
        if is_isolated is not self.is_isolated:
            self.is_isolated = is_isolated
            state.on_event(IsolationStarted(others) if is_isolated else IsolationEnded(others))
        if is_isolated:
            self._healthy_since = state.now

    @property
    def withholds_opinions(self) -> bool:
        """Whether this member withholds its opinions, because a fault of its own might distort them."""
        return self.is_isolated or self._state.now < self._recovering_until or not self._state.is_joined

    @property
    def was_healthy(self) -> bool:
        """Whether this member has been healthy for longer than the removal of a failed member takes."""
        healthy_s = self._state.now - self._healthy_since
        return not self.is_isolated and healthy_s > self._state.timing.max_detection_s
