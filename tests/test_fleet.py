"""Forty relays side by side: what each may do alone, and all of them together must not."""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import replace
from typing import Any

from stonegap.balance import Backend, ColdBudget
from stonegap.interface import (
    Action,
    Entry,
    ListChanged,
    ListKind,
    Move,
    Note,
    NoteKind,
    Outcome,
    Probe,
    Probed,
    Stage,
)
from stonegap.settings import parse_settings
from tests.helpers import SETTINGS as BASE
from tests.helpers import Relay, entries, sends
from tests.test_wirehost import SETTINGS

FORTY = 40


def fleet(backends: int = 10, relays: int = FORTY, **changes: Any) -> list[Relay]:
    return [Relay(backends, seed=seed, relays=relays, **changes) for seed in range(relays)]


def weigh(relay: Relay, held: dict[int, float], size: float = 4.0) -> None:
    """The list tells what backends hold per core, as live weights do."""
    listed = tuple(Entry(number, Stage.READY, weight=size / (1.0 + load)) for number, load in held.items())
    relay.play(ListChanged(ListKind.DELTA, listed))


def count(actions: list[Action], kind: type) -> int:
    return sum(isinstance(action, kind) for action in actions)


def test_a_group_that_all_relays_open_at_once_is_not_sent_to_one_backend() -> None:
    """Each prefers the same backend, and no report has come yet: the next ones go to the next in order."""
    relays = fleet(live_weights=True)
    took: Counter[int] = Counter()
    for relay in relays:
        for _ in range(4):
            (send,) = sends(relay.request(group=7))
            relay.stand(send)
            took[send.backend] += 1
    assert sum(took.values()) == 4 * FORTY
    assert max(took.values()) <= 1.25 * FORTY
    assert len(took) <= 6, "the group stays together as far as that goes"


def test_live_weights_tell_a_relay_what_the_others_placed() -> None:
    for relay in fleet(4, live_weights=True):
        weigh(relay, {1: 0.0, 2: 0.0, 3: 0.0, 4: 0.0})  # so large they are
        relay.now += 5.0
        weigh(relay, {1: 5.0, 2: 4.5, 3: 0.5, 4: 6.0})
        assert [send.backend for send in sends(relay.request(group=7))] == [3]


def test_own_sends_count_for_the_others_until_the_list_can_tell_of_them() -> None:
    relay = Relay(4, relays=FORTY, live_weights=True)
    weigh(relay, dict.fromkeys(range(1, 5), 0.0))
    (send,) = sends(relay.request())
    relay.stand(send)
    assert relay.balancer.token_counts()[send.backend] == FORTY // 4
    relay.now += 0.5
    weigh(relay, {send.backend: 0.0})  # too early to hold it
    assert relay.balancer.token_counts()[send.backend] == FORTY // 4
    relay.now += 1.5
    weigh(relay, {send.backend: 0.25})
    assert relay.balancer.token_counts()[send.backend] == 0


def test_a_slow_machine_reads_more_for_each_connection_held() -> None:
    relay = Relay(3, relays=FORTY, live_weights=True, probes=True)
    weigh(relay, dict.fromkeys(range(1, 4), 0.0))
    weigh(relay, dict.fromkeys(range(1, 4), 4.0))
    for backend, load in ((1, 0.8), (2, 0.3), (3, 0.3)):
        relay.play(Probed(backend, Outcome.OK, (("x0", load),)))
    (send,) = sends(relay.request())
    counts = relay.balancer.token_counts()
    assert send.backend != 1
    assert counts[1] > 1.5 * counts[5 - send.backend]


def test_probes_of_all_relays_together_do_not_grow_with_their_number() -> None:
    asked = [sum(count(relay.run(relay.now + 10.0), Probe) for relay in fleet(60, many, probes=True))
             for many in (4, FORTY)]
    assert abs(asked[1] - asked[0]) <= 0.15 * asked[0]


def standing(relays: list[Relay], each: int) -> None:
    """Each relay has so many connections, all on backend 1."""
    for relay in relays:
        for _ in range(each):
            for send in sends(relay.request()):
                relay.stand(send)
        relay.play(ListChanged(ListKind.FULL, entries(4)))
        relay.actions.clear()


def test_relays_that_see_the_same_jam_do_not_all_move_what_they_have_there() -> None:
    relays = fleet(1, probes=True)
    standing(relays, 1)
    moves = sum(count(relay.play(Probed(1, Outcome.OK, (("x0", 1.0),))), Move) for relay in relays)
    assert 1 <= moves <= 0.4 * FORTY


def test_slow_messages_move_as_many_off_a_jam_as_with_few_relays() -> None:
    relays = fleet(1)
    standing(relays, 1)
    slow = [relay.play(Note("r1", 0, 1, NoteKind.DELAY, 200.0)) for relay in relays]
    assert sum(count(actions, Move) for actions in slow) <= 0.2 * FORTY


def test_a_drain_is_not_emptied_at_once_by_all_relays_together() -> None:
    relays = fleet(1)
    standing(relays, 1)
    first = whole = 0
    for relay in relays:
        relay.play(ListChanged(ListKind.DELTA, (Entry(1, Stage.DRAINING),)))
        first += count(relay.run(relay.now + 1.0), Move)
        whole += count(relay.run(relay.now + 9.0), Move)
    assert first <= 0.4 * FORTY
    assert first + whole == FORTY


def test_what_a_cold_backend_may_take_is_kept_for_one_window() -> None:
    """With one placement in several windows a grant that lasts for one is mostly lost."""
    granted = kept = late = 0
    for seed in range(2000):
        budget = ColdBudget(replace(BASE, relays=FORTY), random.Random(seed), 0.0)
        for at in range(4, 84, 4):
            budget.arrived(10, float(at))
        cold = Backend(1)
        cold.started_at = 84.0
        if budget.allows(cold, 84.0):
            granted += 1
            kept += budget.allows(cold, 86.0)
            late += budget.allows(cold, 88.0)
    assert 20 <= granted <= 60  # about one in fifty relays in one window
    assert kept == granted
    assert late < granted, "not saved for a burst"


def test_the_settings_say_whether_weights_are_live() -> None:
    assert parse_settings(json.dumps(SETTINGS | {"weightSource": "live"})).live_weights
    assert not parse_settings(json.dumps(SETTINGS | {"weightSource": "nominal"})).live_weights
