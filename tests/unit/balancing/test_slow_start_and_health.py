"""Cold backends stay within their budget; symptoms keep new connections away for a while."""

from __future__ import annotations

from ironmill.balancing.health import STANDING_HALF_LIFE
from ironmill.balancing.interface import (
    Entry,
    ListChanged,
    ListKind,
    Move,
    Note,
    NoteKind,
    Outcome,
    Prices,
    Stage,
)
from ironmill.balancing.slow_start import COLD_SAFETY
from tests.support.balancing import SAFE, Relay, entries, sends


def ordinary(relay: Relay, rate: float, span: float) -> None:
    """Ordinary traffic; each connection ends after a second."""
    for _ in range(int(rate * span)):
        relay.now += 1.0 / rate
        actions = relay.request()
        for send in sends(actions):
            relay.stand(send)
            relay.end(send, Outcome.OK, final=True)
    relay.actions.clear()


def test_reconnect_burst_of_all_relays_keeps_cold_backends_within_their_budget() -> None:
    """Many relays, each with well under one connection a backend, act alike on a mostly cold fleet."""
    relays = [Relay(10, seed=number) for number in range(100)]
    window, multiple, cold_from = 2.0, 3.0, 0.3
    for relay in relays:
        ordinary(relay, 1.0, 40.0)
        cold = tuple(Entry(backend, Stage.READY, started_at=relay.now) for backend in range(1, 8))
        relay.play(ListChanged(ListKind.DELTA, cold))
        for _ in range(5):  # each relay's clients all come again within a moment
            relay.now += 0.1
            relay.request(returning=True)
    took = [
        sum(send.backend == backend for relay in relays for send in sends(relay.actions))
        for backend in range(1, 11)
    ]
    assert sum(took) == 500
    warm_rate = 100 * 1.0 / 10  # what a warm backend takes a second in ordinary times: surely within it
    budget = multiple * cold_from * warm_rate * window
    assert all(count <= budget for count in took[:7])
    assert sum(took[:7]) > 0.2 * COLD_SAFETY * 7 * budget, "the budget is there to be used"


def test_cold_backend_does_not_win_every_draw() -> None:
    relay = Relay(5)
    for _ in range(10):
        relay.request()
    ordinary_sends = len(sends(relay.actions))
    relay.play(ListChanged(ListKind.DELTA, (Entry(9, Stage.READY, started_at=relay.now),)))
    for _ in range(10):
        relay.request()
    assert sum(send.backend == 9 for send in sends(relay.actions)[ordinary_sends:]) <= 4


def test_backend_is_ready_again_in_full_after_its_warm_up() -> None:
    relay = Relay(3)
    relay.play(ListChanged(ListKind.DELTA, (Entry(9, Stage.READY, started_at=relay.now),)))
    relay.run(relay.now + 9.0)
    relay.request()
    assert 9 in relay.balancer.token_counts()


def test_failing_backend_gets_no_tokens_until_the_symptom_fades() -> None:
    relay = Relay(6)
    relay.request()
    bad = sends(relay.actions)[0]
    relay.end(bad, Outcome.CONNECT_FAILED)
    relay.run(relay.now + 0.3)
    assert relay.balancer.token_counts()[bad.backend] >= 3
    for _ in range(4):
        relay.request()
    assert bad.backend not in {send.backend for send in sends(relay.actions)[1:]}
    relay.now += 8 * STANDING_HALF_LIFE
    relay.request()
    assert relay.balancer.token_counts()[bad.backend] <= 2


def test_restart_clears_the_old_process_symptoms() -> None:
    relay = Relay(3)
    relay.request()
    bad = sends(relay.actions)[0]
    relay.end(bad, Outcome.CONNECT_FAILED)
    relay.play(ListChanged(ListKind.DELTA, (Entry(bad.backend, Stage.READY, started_at=relay.now - 50.0),)))
    relay.run(relay.now + 0.3)
    assert relay.balancer.token_counts()[bad.backend] <= 2


def slow_notes(relay: Relay, slow: set[int], notes: int) -> int:
    """Plays slow messages on the named backends; returns how many moves came of it."""
    moves = 0
    standing = [send for send in sends(relay.actions) if send.backend in slow]
    for _ in range(notes):
        relay.now += 1.0
        for send in standing:
            actions = relay.play(Note(send.id, 0, send.backend, NoteKind.DELAY, 400.0))
            moves += sum(isinstance(action, Move) for action in actions)
    return moves


def test_connections_are_moved_off_one_jammed_backend_but_not_when_all_are_slow() -> None:
    for slow, moved in (({1}, True), (set(range(1, 9)), False)):
        relay = Relay(8)
        for _ in range(16):
            for send in sends(relay.request()):
                relay.stand(send)
        relay.play(Note("r1", 0, 1, NoteKind.DELAY, 1.0))
        if not moved:  # every backend shows the symptom before the moves could start
            for send in sends(relay.actions):
                if send.backend > 1:
                    relay.play(Note(send.id, 0, send.backend, NoteKind.DELAY, 90.0))
        assert (slow_notes(relay, slow, 12) > 0) is moved


def test_backend_on_an_old_list_that_restarted_is_cold() -> None:
    relay = Relay(3)
    relay.play(ListChanged(ListKind.FULL, entries(3, started_at=relay.now - 1.0)))
    for _ in range(30):
        relay.request()
    assert len(sends(relay.actions)) < 20


def test_idle_link_is_used_again_where_handshakes_are_priced() -> None:
    """With far fewer connections than backends, a blind draw opens a new link nearly every time."""
    used = {}
    for price in (0.0, 0.1):
        relay = Relay(30, prices=Prices(handshake=price))
        hits = 0
        for _ in range(40):
            links = {send.backend for send in sends(relay.actions)[-1:]}
            relay.now += 0.5
            send = sends(relay.request())[0]
            hits += send.backend in links
            relay.stand(send)
            relay.end(send, Outcome.OK, final=True)
        used[price] = hits
    assert used[0.0] < 10
    assert used[0.1] > 20


def test_a_slow_setup_is_a_symptom_and_a_jam_where_no_line_tells_the_delay() -> None:
    """Guards against jams unseen on real sockets, where standing connections bring lines back at once."""
    relay = Relay(2)
    first = sends(relay.request())[0]
    relay.stand(first, delay=0.2 * SAFE.message_aim)
    assert relay.balancer._jammed == {}
    second = sends(relay.request())[0]
    relay.stand(second, delay=0.6 * SAFE.message_aim)
    assert list(relay.balancer._jammed) == [second.backend]
    third = sends(relay.request())[0]
    relay.stand(third, delay=5.0 * SAFE.message_aim)
    assert relay.balancer.token_counts()[third.backend] > relay.balancer.live_counts()[third.backend]
