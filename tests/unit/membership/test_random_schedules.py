"""Tests with random schedules of faults, after which all members must agree on one view and keep it."""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec import Struct

from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_cluster import SimulatedCluster

BEGIN_S, END_S = 3.0, 20.0  # the faults begin and end within this time
MAX_CONVERGENCE_S = 10.0  # from the end of all faults, even if all processes have just started
STABLE_S = 15.0  # how long no member may be removed after convergence

Action = tuple[float, str, Any]  # the time, the kind, and the arguments


class Schedule(Struct, frozen=True):
    """The size of a cluster, the seed of its random numbers, and the actions that are applied to it."""

    members: int
    seed: int
    actions: list[Action]


def names(count: int) -> list[str]:
    return [f"p{index:05d}" for index in range(count)]


def end_of(start_s: float, duration_s: float) -> float:
    return min(END_S, round(start_s + duration_s, 2))


def link_faults(actions: list[Action]) -> list[Fault]:
    """Returns the faults of network links among the actions."""
    faults: list[Fault] = []
    for start_s, kind, arguments in actions:
        if kind == "cut":
            sources, targets, duration_s, is_two_way = arguments
            one_way = [Fault("cut", start_s, end_of(start_s, duration_s), sources, targets)]
            faults += (
                both_ways(start_s, end_of(start_s, duration_s), sources, targets) if is_two_way else one_way
            )
        elif kind in ("loss", "duplicate", "delay"):
            duration_s, fraction, max_delay_s = arguments
            faults.append(
                Fault(
                    kind,  # type: ignore[arg-type]
                    start_s,
                    end_of(start_s, duration_s),
                    fraction=fraction,
                    max_delay_s=max_delay_s,
                )
            )
    return faults


def schedule_process_actions(cluster: SimulatedCluster, actions: list[Action]) -> None:
    """Schedules the actions on processes: pauses, and ends with a later restart."""
    for start_s, kind, arguments in actions:
        if kind == "pause":
            name, duration_s = arguments
            cluster.schedule(start_s, cluster.pause, name, end_of(start_s, duration_s))
        elif kind in ("kill", "leave"):
            name, duration_s, clock_offset_s = arguments
            cluster.schedule(start_s, cluster.kill if kind == "kill" else cluster.leave, name)
            cluster.schedule(end_of(start_s, duration_s), start_if_stopped, cluster, name, clock_offset_s)


def start_if_stopped(cluster: SimulatedCluster, name: str, clock_offset_s: float = 0.0) -> None:
    if cluster.processes[name].member is None:
        cluster.start(name, clock_offset_s)


def play(schedule: Schedule) -> None:
    """Runs a schedule until all faults have ended, starts all stopped processes, and checks every view.

    Suspicions from the end of a fault may still lead to removals after it. Views are therefore compared only
    when the time for convergence is over.
    """
    cluster = SimulatedCluster(schedule.members, link_faults(schedule.actions), schedule.seed)
    cluster.start_converged()
    schedule_process_actions(cluster, schedule.actions)
    cluster.run(END_S + 0.01)
    for name in cluster.processes:
        start_if_stopped(cluster, name)
    converged_at = END_S + MAX_CONVERGENCE_S
    cluster.run(converged_at)
    assert cluster.agree(), cluster.views()
    cluster.run(converged_at + STABLE_S)
    assert cluster.agree(), cluster.views()
    assert cluster.removals(converged_at) == []


_START_S = st.floats(BEGIN_S, END_S - 1.0).map(lambda start_s: round(start_s, 2))
_DURATION_S = st.floats(0.2, 8.0).map(lambda duration_s: round(duration_s, 2))
_CLOCK_OFFSET_S = st.sampled_from([0.0, 0.0, 0.0, -5.0, 5.0, -3600.0, 3600.0])


def _actions(members: int) -> st.SearchStrategy[Action]:
    name = st.sampled_from(names(members))
    some_names = st.lists(name, min_size=1, max_size=members - 1, unique=True).map(tuple)
    end_and_restart = st.tuples(name, _DURATION_S, _CLOCK_OFFSET_S)
    return st.one_of(
        st.tuples(_START_S, st.just("pause"), st.tuples(name, _DURATION_S)),
        st.tuples(_START_S, st.just("kill"), end_and_restart),
        st.tuples(_START_S, st.just("leave"), end_and_restart),
        st.tuples(_START_S, st.just("leave"), end_and_restart),
        st.tuples(_START_S, st.just("cut"), st.tuples(some_names, some_names, _DURATION_S, st.booleans())),
        st.tuples(_START_S, st.just("cut"), st.tuples(some_names, some_names, _DURATION_S, st.booleans())),
        st.tuples(_START_S, st.just("loss"), st.tuples(_DURATION_S, st.floats(0.05, 0.6), st.just(0.0))),
        st.tuples(_START_S, st.just("duplicate"), st.tuples(_DURATION_S, st.just(0.3), st.just(1.0))),
        st.tuples(_START_S, st.just("delay"), st.tuples(_DURATION_S, st.just(0.5), st.floats(0.1, 1.5))),
    )


@st.composite
def schedules(draw: st.DrawFn) -> Schedule:
    members = draw(st.sampled_from([5, 5, 9]))
    actions = draw(st.lists(_actions(members), min_size=2, max_size=12))
    return Schedule(members, draw(st.integers(0, 1 << 16)), sorted(actions, key=lambda action: action[0]))


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
    """Two of its four observers only know that it left, and no state sync runs, as all digests are equal."""
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
    """The seed bootstraps a cluster before it receives the record of its earlier process, which has left."""
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
    """Only the removed member can correct the view of the one that removed it.

    The others discard the report of the removal, because their pings contradict it.
    """
    other_names = ("p00000", "p00001", "p00003", "p00004", "p00006", "p00007", "p00008")
    cut_names = ("p00004", "p00006", "p00008", "p00005", "p00002", "p00001")
    play(
        Schedule(
            9,
            113,
            [
                (3.24, "duplicate", (3.62, 0.3, 1.0)),
                (5.74, "cut", (("p00005", "p00002"), other_names, 7.86, True)),
                (11.65, "cut", (cut_names, ("p00004", "p00005", "p00000"), 3.27, True)),
                (15.78, "pause", ("p00002", 0.99)),
                (14.34, "leave", ("p00002", 2.12, -3600.0)),
                (11.03, "pause", ("p00008", 6.84)),
            ],
        )
    )


def test_member_that_returns_under_loss_is_admitted() -> None:
    """The member has left, and the packet loss ends half a second after it starts again."""
    play(
        Schedule(
            9,
            14,
            [(15.0, "loss", (5.0, 0.58, 0.0)), (15.05, "leave", ("p00003", 4.55, 0.0))],
        )
    )
