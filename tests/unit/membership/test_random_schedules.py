"""Random schedules of faults: once they have ended, all members soon have the same view, and keep it."""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec import Struct

from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_cluster import SimulatedCluster

BEGIN_S, END_S = 3.0, 20.0  # of the faults
MAX_CONVERGENCE_S = 10.0  # after the end of all faults, even if all processes have just started
STABLE_S = 15.0  # without a removal after that

Act = tuple[float, str, Any]


class Schedule(Struct, frozen=True):
    """The members of a cluster, the seed of its draws, and what happens to it: when, what, and to whom."""

    members: int
    seed: int
    acts: list[Act]


def names(count: int) -> list[str]:
    return [f"p{at:05d}" for at in range(count)]


def end_of(at: float, length: float) -> float:
    return min(END_S, round(at + length, 2))


def faults_of(acts: list[Act]) -> list[Fault]:
    """Returns the faults of links in a schedule."""
    faults: list[Fault] = []
    for at, kind, what in acts:
        if kind == "cut":
            sources, targets, length, both = what
            one_way = [Fault("cut", at, end_of(at, length), sources, targets)]
            faults += both_ways(at, end_of(at, length), sources, targets) if both else one_way
        elif kind in ("loss", "duplicate", "delay"):
            length, fraction, max_delay_s = what
            faults.append(
                Fault(kind, at, end_of(at, length), fraction=fraction, max_delay_s=max_delay_s)  # type: ignore[arg-type]
            )
    return faults


def arrange(cluster: SimulatedCluster, acts: list[Act]) -> None:
    """Schedules all other acts."""
    for at, kind, what in acts:
        if kind == "pause":
            name, length = what
            cluster.schedule(at, cluster.pause, name, end_of(at, length))
        elif kind in ("kill", "leave"):
            name, length, clock_offset_s = what
            cluster.schedule(at, cluster.kill if kind == "kill" else cluster.leave, name)
            cluster.schedule(end_of(at, length), revive, cluster, name, clock_offset_s)


def revive(cluster: SimulatedCluster, name: str, clock_offset_s: float = 0.0) -> None:
    if cluster.processes[name].member is None:
        cluster.start(name, clock_offset_s)


def play(schedule: Schedule) -> None:
    """Runs a schedule, ends all faults, starts what does not run, and checks every view.

    What observers suspect at the end of a fault may still be decided after it, so views are compared once the
    time for convergence is over.
    """
    cluster = SimulatedCluster(schedule.members, faults_of(schedule.acts), schedule.seed)
    cluster.start_converged()
    arrange(cluster, schedule.acts)
    cluster.run(END_S + 0.01)
    for name in cluster.processes:
        revive(cluster, name)
    converged_at = END_S + MAX_CONVERGENCE_S
    cluster.run(converged_at)
    assert cluster.agree(), cluster.views()
    cluster.run(converged_at + STABLE_S)
    assert cluster.agree(), cluster.views()
    assert cluster.removals(converged_at) == []


_AT = st.floats(BEGIN_S, END_S - 1.0).map(lambda at: round(at, 2))
_LENGTH = st.floats(0.2, 8.0).map(lambda length: round(length, 2))
_CLOCK_OFFSET_S = st.sampled_from([0.0, 0.0, 0.0, -5.0, 5.0, -3600.0, 3600.0])


def _acts(members: int) -> st.SearchStrategy[Act]:
    name = st.sampled_from(names(members))
    some = st.lists(name, min_size=1, max_size=members - 1, unique=True).map(tuple)
    end = st.tuples(name, _LENGTH, _CLOCK_OFFSET_S)
    return st.one_of(
        st.tuples(_AT, st.just("pause"), st.tuples(name, _LENGTH)),
        st.tuples(_AT, st.just("kill"), end),
        st.tuples(_AT, st.just("leave"), end),
        st.tuples(_AT, st.just("leave"), end),
        st.tuples(_AT, st.just("cut"), st.tuples(some, some, _LENGTH, st.booleans())),
        st.tuples(_AT, st.just("cut"), st.tuples(some, some, _LENGTH, st.booleans())),
        st.tuples(_AT, st.just("loss"), st.tuples(_LENGTH, st.floats(0.05, 0.6), st.just(0.0))),
        st.tuples(_AT, st.just("duplicate"), st.tuples(_LENGTH, st.just(0.3), st.just(1.0))),
        st.tuples(_AT, st.just("delay"), st.tuples(_LENGTH, st.just(0.5), st.floats(0.1, 1.5))),
    )


@st.composite
def schedules(draw: st.DrawFn) -> Schedule:
    members = draw(st.sampled_from([5, 5, 9]))
    acts = draw(st.lists(_acts(members), min_size=2, max_size=12))
    return Schedule(members, draw(st.integers(0, 1 << 16)), sorted(acts, key=lambda act: act[0]))


@settings(
    max_examples=80,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(schedules())
def test_whatever_happens_all_members_soon_have_the_same_view(schedule: Schedule) -> None:
    play(schedule)


def test_rejoining_member_reaches_observers_that_gossip_has_not_reached() -> None:
    """Two of its four observers know only that it has left, and views are the same without it."""
    play(
        Schedule(
            5,
            136,
            [
                (13.34, "duplicate", (2.25, 0.3, 1.0)),
                (17.7, "loss", (2.3, 0.26, 0.0)),
                (10.9, "loss", (2.54, 0.55, 0.0)),
                (13.21, "loss", (0.96, 0.06, 0.0)),
                (13.1, "delay", (6.39, 0.5, 1.04)),
                (11.17, "cut", (("p00000", "p00001"), ("p00004", "p00003"), 4.3, True)),
                (15.32, "loss", (4.68, 0.44, 0.0)),
                (7.75, "cut", (("p00000", "p00004", "p00002"), ("p00000", "p00004", "p00003"), 4.4, True)),
                (6.7, "leave", ("p00003", 1.94, 3600.0)),
            ],
        )
    )


def test_seed_restarted_under_an_earlier_clock_reclaims_its_name() -> None:
    """It starts a cluster before it hears of its earlier process, which has left and runs no more."""
    play(
        Schedule(
            5,
            83,
            [
                (14.35, "loss", (5.65, 0.29, 0.0)),
                (5.9, "duplicate", (7.35, 0.3, 1.0)),
                (13.41, "leave", ("p00000", 1.27, -5.0)),
                (9.23, "kill", ("p00000", 0.23, 5.0)),
                (13.16, "leave", ("p00004", 4.53, -5.0)),
                (7.72, "kill", ("p00001", 7.69, 0.0)),
            ],
        )
    )


def test_member_that_one_other_has_removed_refutes_the_removal() -> None:
    """The others drop the report as their pings contradict it: only the removed one can correct it."""
    rest = ("p00000", "p00001", "p00003", "p00004", "p00006", "p00007", "p00008")
    some = ("p00004", "p00006", "p00008", "p00005", "p00002", "p00001")
    play(
        Schedule(
            9,
            113,
            [
                (3.24, "duplicate", (3.62, 0.3, 1.0)),
                (5.74, "cut", (("p00005", "p00002"), rest, 7.86, True)),
                (11.65, "cut", (some, ("p00004", "p00005", "p00000"), 3.27, True)),
                (15.78, "pause", ("p00002", 0.99)),
                (14.34, "leave", ("p00002", 2.12, -3600.0)),
                (11.03, "pause", ("p00008", 6.84)),
            ],
        )
    )


def test_member_that_returns_under_loss_is_admitted() -> None:
    """It has left, and the loss ends half a second after its start."""
    play(
        Schedule(
            9,
            14,
            [(15.0, "loss", (5.0, 0.58, 0.0)), (15.05, "leave", ("p00003", 4.55, 0.0))],
        )
    )
