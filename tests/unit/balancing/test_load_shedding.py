"""Load shedding: a jam of the whole fleet closes the gate, a local one does not."""

from __future__ import annotations

from ironmill.balancing.interface import Note, NoteKind, Outcome, Probed, Refuse, Tenant
from tests.support.balancing import Relay, sends


def jam(relay: Relay, backends: set[int], seconds: int) -> float:
    """Slow notes on the named backends for a while; returns the part of arrivals refused."""
    standing = sends(relay.actions)
    refused = tried = 0
    for _ in range(seconds):
        relay.now += 1.0
        for send in standing:
            if send.backend in backends:
                relay.play(Note(send.id, 0, send.backend, NoteKind.DELAY, 900.0))
        for _ in range(5):
            tried += 1
            refused += any(isinstance(action, Refuse) for action in relay.request())
    return refused / tried


def settled(seed: int, probes: bool = False) -> Relay:
    relay = Relay(10, seed=seed, probes=probes)
    for _ in range(20):
        for send in sends(relay.request()):
            relay.stand(send)
    return relay


def test_gate_closes_when_most_backends_are_jammed() -> None:
    """A fleet asked for more than it can do stays jammed for good unless arrivals are turned away."""
    assert sum(jam(settled(seed), set(range(1, 11)), 10) for seed in range(10)) / 10 > 0.5


def test_nobody_is_refused_for_one_bad_backend() -> None:
    assert sum(jam(settled(seed), {3}, 10) for seed in range(10)) == 0


def test_a_jam_closes_the_gate_also_where_reports_are_too_few_to_tell() -> None:
    """One relay of 200 asks a backend each 12 s: by reports alone its gate stood open in any jam."""

    def refused(reports: int) -> float:
        parts = []
        for seed in range(10):
            relay = settled(seed, probes=True)
            for backend in range(1, 1 + reports):
                relay.play(Probed(backend, Outcome.OK, (("x0", 0.2),)))
            parts.append(jam(relay, set(range(1, 11)), 3))
        return sum(parts) / len(parts)

    assert refused(0) > 0.2
    assert refused(1) > 0.2
    assert refused(2) == 0.0  # the reports say that there is none


def test_gate_opens_again_when_the_jam_is_over() -> None:
    relay = settled(1)
    assert jam(relay, set(range(1, 11)), 10) > 0
    jam(relay, set(), 30)
    assert jam(relay, set(), 10) == 0


def test_work_over_a_tenants_share_goes_first() -> None:
    """What a tenant sends beyond its share is worth little and must not crowd out the others."""
    tenants = (Tenant("greedy", 4.0, 8.0), Tenant("modest", 4.0, 40.0))  # over 4 relays: 2 and 10 here
    admitted = {"greedy": 0, "modest": 0}
    for seed in range(20):
        relay = Relay(10, seed=seed, tenants=tenants)
        for number in range(20):
            for send in sends(relay.request(tenant="greedy" if number % 2 else "modest")):
                relay.stand(send)
        standing = sends(relay.actions)
        for _ in range(4):
            relay.now += 0.6
            for send in standing:
                relay.play(Note(send.id, 0, send.backend, NoteKind.DELAY, 60.0))
            for tenant in admitted:
                admitted[tenant] += not any(isinstance(a, Refuse) for a in relay.request(tenant=tenant))
    assert admitted["modest"] > 2 * admitted["greedy"]
