"""Tests of ``ResumeSchedule``: attempts for connections from before the start, on a simulated clock."""

from __future__ import annotations

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct, structs

from ironmill.balancing.interface import Idempotency, Outcome, RequestClass
from ironmill.balancing.resume_schedule import ResumeSchedule
from tests.support.balancing import IDEMPOTENT, NOT_IDEMPOTENT, WITH_KEY

DEADLINE_S = 38.0
RETRY_INTERVAL_S = 0.25
STEP_S = 0.001


class MadeAttempt(Struct):
    """An attempt of a simulated connection."""

    started_at: float
    timeout_s: float
    ended_at: float
    outcome: Outcome
    sent: bool


class SimulatedServer(Struct):
    """A server that loses all lines of one span, and otherwise answers each after a delay."""

    silent_from: float = 0.0
    silent_until: float = 0.0
    answer_delay_s: float = 0.0

    def answers_at(self, sent_at: float) -> float:
        """Returns when an attempt that starts then is answered."""
        if self.silent_from <= sent_at < self.silent_until:
            return math.inf
        return sent_at + self.answer_delay_s


def established_at(
    server: SimulatedServer, request_class: RequestClass = IDEMPOTENT, first_line_at: float = 0.0
) -> float | None:
    """Returns when the connection is established, or None if it is given up."""
    schedule = ResumeSchedule(request_class, 3, first_line_at + DEADLINE_S, RETRY_INTERVAL_S)
    now = first_line_at
    while (start := schedule.next_start(now)) is not None:
        timeout_s = schedule.start(start)
        answered_at = server.answers_at(start)
        if answered_at < start + timeout_s:
            return answered_at
        now = start + timeout_s
        schedule.attempt_ended(Outcome.TIMEOUT, now, sent=True)
    return None


@given(st.floats(0.0, 20.0))
def test_connection_outlives_six_seconds_of_silence(silent_from: float) -> None:
    """Guards against a lost line that takes all the time in which the connection may be resumed."""
    server = SimulatedServer(silent_from, silent_from + 6.0)
    for first_line_at in (0.0, silent_from, silent_from + 3.0):
        assert established_at(server, first_line_at=first_line_at) is not None


@given(st.floats(0.0, 25.0))
def test_slow_server_is_waited_for(answer_delay_s: float) -> None:
    """Guards against attempts that are all too short for a server that needs long for each answer."""
    assert established_at(SimulatedServer(answer_delay_s=answer_delay_s)) is not None


def test_first_attempts_are_short_and_the_last_takes_the_rest() -> None:
    schedule = ResumeSchedule(IDEMPOTENT, 3, DEADLINE_S, 0.0)
    now, timeouts_s = 0.0, []
    while schedule.next_start(now) is not None:
        timeouts_s.append(schedule.start(now))
        now += timeouts_s[-1]
        schedule.attempt_ended(Outcome.TIMEOUT, now, sent=True)
    assert [round(timeout_s / timeouts_s[0], 3) for timeout_s in timeouts_s] == [1.0, 4.0, 16.0]
    assert math.isclose(sum(timeouts_s), DEADLINE_S)


@pytest.mark.parametrize(
    ("request_class", "outcome"),
    [(IDEMPOTENT, Outcome.RESET), (IDEMPOTENT, Outcome.FULL), (NOT_IDEMPOTENT, Outcome.FULL)],
)
def test_last_attempt_is_kept_while_a_server_fails_at_once(
    request_class: RequestClass, outcome: Outcome
) -> None:
    """Guards against three attempts in the first second, of a server that fails for some seconds."""
    schedule = ResumeSchedule(request_class, 3, DEADLINE_S, RETRY_INTERVAL_S)
    starts = []
    now = 0.0
    while (start := schedule.next_start(now)) is not None:
        starts.append(start)
        schedule.start(start)
        now = start + 0.01
        schedule.attempt_ended(outcome, now, sent=True)
    assert len(starts) == 3
    assert starts[1] < 1.0
    assert starts[2] > 6.0


def test_attempt_that_was_not_sent_does_not_count() -> None:
    schedule = ResumeSchedule(NOT_IDEMPOTENT, 1, DEADLINE_S, RETRY_INTERVAL_S)
    starts = []
    now = 0.0
    while (start := schedule.next_start(now)) is not None:
        starts.append(start)
        schedule.start(start)
        schedule.attempt_ended(Outcome.CONNECT_FAILED, start, sent=False)
        now = start
    pauses = [after - before for before, after in itertools.pairwise(starts)]
    assert starts[-1] > DEADLINE_S - 2.001  # to the end, and never more than 2 s apart
    assert pauses[:4] == [0.25, 0.5, 1.0, 2.0]
    assert max(pauses) == 2.0


def test_postponed_attempt_keeps_its_turn() -> None:
    schedule = ResumeSchedule(IDEMPOTENT, 3, DEADLINE_S, RETRY_INTERVAL_S)
    schedule.postpone(1.0)
    assert schedule.next_start(1.0) == 1.25
    assert schedule.attempts_left == 3


def test_only_attempt_gets_all_the_time() -> None:
    """Guards against a request that is not idempotent and is given up early, as if it could be repeated."""
    assert ResumeSchedule(NOT_IDEMPOTENT, 3, DEADLINE_S, RETRY_INTERVAL_S).start(0.0) == DEADLINE_S


CLASSES = [IDEMPOTENT, WITH_KEY, structs.replace(WITH_KEY, deduplication_window=5.0), NOT_IDEMPOTENT]
ENDS = st.tuples(
    st.sampled_from([Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED]),
    st.floats(0.0, 1.0),  # of the attempt's timeout
    st.floats(0.0, 0.2),  # held up before the next step
)


@given(st.sampled_from(CLASSES), st.integers(1, 5), st.lists(ENDS, min_size=40, max_size=40))
def test_attempts_keep_all_limits(
    request_class: RequestClass, max_attempts: int, ends: list[tuple[Outcome, float, float]]
) -> None:
    schedule = ResumeSchedule(request_class, max_attempts, DEADLINE_S, RETRY_INTERVAL_S)
    made: list[MadeAttempt] = []
    now = 0.0
    for outcome, fraction, pause in ends:
        start = schedule.next_start(now)
        if start is None:
            break
        timeout_s = schedule.start(start)
        assert timeout_s > 0.0
        ended_at = start + timeout_s * (1.0 if outcome is Outcome.TIMEOUT else fraction)
        sent = outcome is not Outcome.CONNECT_FAILED
        schedule.attempt_ended(outcome, ended_at, sent=sent)
        made.append(MadeAttempt(start, timeout_s, ended_at, outcome, sent))
        now = ended_at + pause
    assert sum(attempt.sent for attempt in made) <= min(max_attempts, 3)
    assert all(attempt.ended_at <= DEADLINE_S + STEP_S for attempt in made)
    assert all(after.started_at >= before.ended_at for before, after in itertools.pairwise(made))
    uncertain = [attempt for attempt in made if not attempt.outcome.never_ran]
    if not uncertain or request_class.idempotency is Idempotency.ALWAYS:
        return
    window_s = 0.0 if request_class is NOT_IDEMPOTENT else request_class.deduplication_window
    assert made[-1] is uncertain[0] or made[-1].started_at < uncertain[0].started_at + window_s
