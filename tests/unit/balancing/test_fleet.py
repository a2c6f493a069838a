"""Forty relays side by side: what each may do alone, and all of them together must not."""

from __future__ import annotations

import json
import random
from collections import Counter
from typing import Any

from msgspec import structs

from ironmill.balancing.group_order import preference
from ironmill.balancing.health import Backend
from ironmill.balancing.interface import (
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
from ironmill.balancing.slow_start import LIFE, SlowStartBudget
from ironmill.configuration.site_settings import parse_settings
from tests.support.balancing import SETTINGS as BASE
from tests.support.balancing import Relay, entries, sends
from tests.unit.simulator.test_simulator import SETTINGS

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


def test_relays_that_hold_little_keep_a_group_together_by_the_order_they_share() -> None:
    """What is least loaded changes with each list; a group that follows it stands everywhere in the end."""
    relays, rng = fleet(0, live_weights=True), random.Random(5)
    for relay in relays:
        relay.play(ListChanged(ListKind.FULL, entries(12, weight=4.0)))
    took: Counter[int] = Counter()
    for _ in range(8):
        held = {number: rng.uniform(4.0, 6.0) for number in range(1, 13)}
        for relay in relays:
            relay.now += 5.0
            weigh(relay, held)
            (send,) = sends(relay.request(group=7))
            took[send.backend] += 1
            relay.stand(send)
            relay.end(send, Outcome.OK, final=True)
    assert sum(count for _, count in took.most_common(3)) >= 0.8 * 8 * FORTY


def test_mid_flow_connections_are_looked_for_where_all_relays_place_their_group() -> None:
    """A relay that took over holds none of the group, and what is least loaded tells nothing of it."""
    for group in range(1, 20):
        relay = Relay(0, relays=FORTY, live_weights=True)
        relay.play(ListChanged(ListKind.FULL, entries(12, weight=4.0)))
        first = max(range(1, 13), key=lambda backend: preference(group, backend))
        weigh(relay, {number: 5.0 if number == first else 4.0 for number in range(1, 13)})
        assert [send.backend for send in sends(relay.request(group=group, rerouted=True))] == [first]


def test_live_weights_tell_a_relay_what_the_others_placed() -> None:
    for relay in fleet(4, live_weights=True):
        weigh(relay, {1: 0.0, 2: 0.0, 3: 0.0, 4: 0.0})  # so large they are
        relay.now += 5.0
        weigh(relay, {1: 5.0, 2: 4.5, 3: 0.5, 4: 6.0})
        assert [send.backend for send in sends(relay.request())] == [3]


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
    asked = [
        sum(count(relay.run(relay.now + 10.0), Probe) for relay in fleet(60, many, probes=True))
        for many in (4, FORTY)
    ]
    assert abs(asked[1] - asked[0]) <= 0.15 * asked[0]


def standing(relays: list[Relay], each: int) -> None:
    """Each relay has so many connections, all on backend 1."""
    for relay in relays:
        for _ in range(each):
            for send in sends(relay.request()):
                relay.stand(send)
        relay.play(ListChanged(ListKind.FULL, entries(4)))
        relay.actions.clear()


def test_a_jam_that_probes_tell_of_is_neither_emptied_at_once_nor_left_as_it_is() -> None:
    """A report reaches one relay of many, so that one has to act on it; all together must not act at once."""
    relays = fleet(1, probes=True)
    standing(relays, 1)
    moves = 0
    for relay in relays:
        end, early = relay.now + 5.0, 0
        while due := [timer for timer in relay.timers if timer[0] <= end]:
            for action in relay.run(min(due)[0]):
                if isinstance(action, Probe):
                    load = 1.0 if action.backend == 1 else 0.3
                    early += count(relay.play(Probed(action.backend, Outcome.OK, (("x0", load),))), Move)
        assert early <= 1
        moves += early
    assert 0.2 * FORTY <= moves <= 0.7 * FORTY


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


def test_what_a_cold_backend_may_take_is_not_saved_for_a_burst() -> None:
    """A grant kept for one more window made three of them meet in one span: over the rule for all."""
    granted = kept = late = 0
    for seed in range(2000):
        budget = SlowStartBudget(structs.replace(BASE, relays=FORTY), random.Random(seed), 0.0)
        for at in range(4, 84, 4):
            budget.arrived(10, float(at))
        cold = Backend(1)
        cold.started_at = 84.0
        if budget.allows(cold, 84.0):
            granted += 1
            kept += budget.allows(cold, 86.0)
            late += budget.allows(cold, 88.0)
    assert 20 <= granted <= 60  # about one in fifty relays in one window
    assert kept <= 3  # no more often than any other relay is granted one then
    assert late < granted, "not saved for a burst"


def test_the_threshold_of_a_relay_that_seldom_places_follows_the_list() -> None:
    """Else all of a large fleet go on sending to the few that its late list shows as the emptiest."""
    for relay in fleet(10, relays=200, live_weights=True):
        relay.request()
        assert relay.balancer.threshold <= 1
        for _ in range(6):
            relay.now += 1.5
            weigh(relay, {number: float(number % 7) for number in range(1, 11)})
        assert 2 <= relay.balancer.threshold <= 3


def test_cold_backends_are_filled_along_with_their_capacity_by_all_relays_together() -> None:
    """200 relays that have just started place a crowd while three of ten backends are cold.

    They have seen no arrival, so all they go by is what the list tells as held.
    """
    size, held = 4.0, 20.0  # of each warm backend, and connections
    relays = fleet(0, relays=200, live_weights=True)
    took: dict[int, list[float]] = {8: [], 9: [], 10: []}
    for relay in relays:
        relay.play(ListChanged(ListKind.FULL, entries(10, weight=size)))
        weigh(relay, dict.fromkeys(range(1, 8), held / size))
        start = relay.now
        cold = tuple(Entry(number, Stage.READY, weight=size, started_at=start) for number in took)
        relay.play(ListChanged(ListKind.DELTA, cold))
        while relay.now < start + 7.5:
            relay.now += 0.5
            for send in sends(relay.request(returning=True)):
                if send.backend in took:
                    took[send.backend].append(relay.now - start)
    for times in took.values():
        assert len(times) >= 0.5 * held, "the warm ones jam meanwhile"
        for at in (0.0, 2.0, 4.0):
            age = (at + BASE.tip_after / 2.0) / BASE.ramp_time
            capacity = BASE.cold_from + (1.0 - BASE.cold_from) * age
            rule = BASE.fall_multiple * capacity * held / BASE.ramp_time * BASE.tip_after
            assert sum(at < time <= at + BASE.tip_after for time in times) <= rule


def test_what_a_cold_backend_may_have_goes_there_before_a_group_to_what_it_prefers() -> None:
    used = 0
    for seed in range(300):
        relay = Relay(10, seed=seed, live_weights=True)
        weigh(relay, dict.fromkeys(range(1, 10), 0.0))
        relay.now += 5.0
        weigh(relay, dict.fromkeys(range(1, 10), 9.0))
        cold = Entry(10, Stage.READY, weight=4.0, started_at=relay.now)
        relay.play(ListChanged(ListKind.DELTA, (cold,)))
        relay.play(ListChanged(ListKind.DELTA, (Entry(9, Stage.READY, weight=4.0),)))  # as empty, and warm
        granted = 10 in relay.balancer.token_counts()  # by chance
        (send,) = sends(relay.request(group=7))
        used += send.backend == 10
        assert (send.backend == 10) is granted
    assert used >= 10


def test_the_mean_life_is_learnt_from_own_connections() -> None:
    budget = SlowStartBudget(BASE, random.Random(1), 0.0)
    assert budget._life(0.0) == LIFE
    for number in range(30):
        budget.stands(1, float(number))
    for number in range(30):
        budget.stands(-1, 20.0 + number, served=True)
    assert 20.0 < budget._life(50.0) < 25.0


def test_the_settings_say_whether_weights_are_live() -> None:
    assert parse_settings(json.dumps(SETTINGS | {"weightSource": "live"})).live_weights
    assert not parse_settings(json.dumps(SETTINGS | {"weightSource": "nominal"})).live_weights
