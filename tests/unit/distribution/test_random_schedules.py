"""Random schedules of changes and faults, checked against a model of the history of revisions.

Each process must always have exactly the state of one revision, and reach the latest after all faults.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ironmill.distribution.changes import Changes
from ironmill.distribution.errors import NotOriginError, StoreError
from ironmill.distribution.events import Event, RevisionApplied
from ironmill.distribution.origin import Origin
from ironmill.distribution.proxy_node import ProxyNode
from ironmill.distribution.rejection import Rejection
from ironmill.distribution.relay import Relay
from ironmill.distribution.revision import Position
from ironmill_testbed.faults.fleet_process import FleetProcess
from ironmill_testbed.faults.schedule import Fault, both_ways
from ironmill_testbed.faults.simulated_fleet import Plan, SimulatedFleet

PLAN = Plan(proxies=6, control=4, regions=2, zones=3, entries=20)
RELAYS = ("c01", "c02", "c03")
PROXIES = tuple(f"p{number:05d}" for number in range(6))
CONTROL_MACHINES = ("origin", "origin-b", *RELAYS)
ALL_PROCESSES = (*CONTROL_MACHINES, *PROXIES)
REJECTING_PROXIES = ("p00001", "p00004")  # proxies that reject keys under bad/
BEGIN_S, END_S = 6.0, 22.0  # start and end of the faults
MAX_CONVERGENCE_S = 6.0  # after the end of all faults, even if all processes have just started
MAX_FULLY_APPLIED_S = 20.0


class RecordingConsumer:
    """A consumer that stores all values and may reject keys under bad/."""

    lookup_prefixes: tuple[str, ...] = ()

    def __init__(self, rejects: bool) -> None:
        self.values: dict[str, bytes] = {}
        self._rejects = rejects

    def check(self, changes: Mapping[str, bytes | None]) -> Rejection | None:
        for key, value in changes.items():
            if self._rejects and key.startswith("bad/") and value is not None:
                return Rejection(key, "bad")
        return None

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        assert self.check(changes) is None
        for key, value in changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value


class ModelledFleet(SimulatedFleet):
    """A simulated fleet with a model of its history: the expected values at each position."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(PLAN, faults)
        self.states: dict[Position, dict[str, bytes]] = {}
        self.writer = "origin"
        self.pushes = 0
        self.rejections = 0
        self.reverts = 0
        observe = self.observer.on_event

        def on_event(process: FleetProcess, event: Event) -> None:
            observe(process, event)
            if isinstance(event, RevisionApplied):
                self.check_state(process, event.position)

        self.observer.on_event = on_event  # type: ignore[method-assign]

    def start_converged(self) -> None:
        self.converge(0.0)
        self.states[self.disk.position] = dict(self.disk.values)
        for process in self.proxies:
            assert isinstance(process.consumer, RecordingConsumer)
            process.consumer.values = dict(self.disk.values)
        self.run(BEGIN_S)

    def start(self, name: str) -> None:
        process = self.processes[name]
        if process.role == "subscriber":
            process.consumer = RecordingConsumer(name in REJECTING_PROXIES)
        super().start(name)
        if process.role == "origin":
            self.writer = name

    def check_state(self, process: FleetProcess, position: Position) -> None:
        """Checks that a process has exactly the values that the history has at a position."""
        assert isinstance(process.node, ProxyNode | Relay | Origin)
        if process.role != "origin":
            state = self.states[position]
            assert dict(process.node.replica.keyspace.entries()) == state, process.name
            if isinstance(process.consumer, RecordingConsumer):
                assert process.consumer.values == state, process.name

    def change(self, changes: Changes, ticket: str = "") -> None:
        """Pushes the changes to each origin until one accepts them, which must be the latest writer."""
        for name in ("origin", "origin-b"):
            node = self.processes[name].node
            if not isinstance(node, Origin) or self.now < self.processes[name].paused_until:
                continue
            old_position = self.disk.position
            new_values = {k: v for k, v in (self.disk.values | changes).items() if v is not None}
            self.states[Position(self.disk.epoch, old_position.number + 1)] = new_values
            try:
                position = self.push(changes, ticket, name)
            except (StoreError, NotOriginError):
                self.rejections += 1
                del self.states[Position(self.disk.epoch, old_position.number + 1)]
                assert self.disk.position == old_position
                continue
            assert name == self.writer, "a fenced writer has stored a revision"
            assert position > old_position
            self.pushes += 1
            return

    def revert(self, revision_count: int) -> None:
        node = self.processes[self.writer].node
        if isinstance(node, Origin) and not node.publisher.is_stopped:
            try:
                changes = node.undo(max(1, self.disk.position.number - revision_count))
            except StoreError:
                return
            if changes:
                self.reverts += 1
                self.change(changes)

    def set_disk_failure(self, failure: Any) -> None:
        self.disk.failure = failure

    def take_over(self) -> None:
        """Starts the origin that is not the writer; it opens the store and becomes the writer."""
        other_origin = "origin-b" if self.writer == "origin" else "origin"
        self.start(other_origin)

    def heal(self) -> None:
        """Ends store failures, starts stopped processes, and restarts a writer that is fenced or outdated."""
        self.disk.failure = ""
        for name in (*RELAYS, *PROXIES):
            if self.processes[name].node is None:
                self.start(name)
        writer = self.processes[self.writer].node
        if not isinstance(writer, Origin) or writer.publisher.is_stopped or self.fleet_is_ahead(writer):
            self.start(self.writer)

    @staticmethod
    def fleet_is_ahead(origin: Origin) -> bool:
        return origin.status(0.0).fleet_ahead_position is not None

    def origin_status(self) -> Any:
        """Returns the status of the writer for assertion messages."""
        node = self.processes[self.writer].node
        return node.status(self.now) if isinstance(node, Origin) else node

    def has_converged(self) -> bool:
        latest_position = self.disk.position
        return all(
            isinstance(node := self.processes[name].node, ProxyNode | Relay)
            and node.replica.applied_position == latest_position
            for name in (*RELAYS, *PROXIES)
        )


Action = tuple[float, str, Any]  # time in seconds, kind, and details by kind
_TIMES = st.floats(BEGIN_S, END_S - 2.0).map(lambda time_s: round(time_s, 2))
_DURATIONS = st.floats(0.2, 7.0).map(lambda duration_s: round(duration_s, 2))
_KEYS = st.sampled_from(["shard/000001", "shard/000002", "a", "b", "bad/1", "bad/2"])
_CHANGES = st.dictionaries(_KEYS, st.none() | st.binary(max_size=3), min_size=1, max_size=4)
_PROCESS_SETS = st.lists(st.sampled_from(ALL_PROCESSES), min_size=1, max_size=5, unique=True).map(tuple)
_ACTIONS: st.SearchStrategy[Action] = st.one_of(
    st.tuples(_TIMES, st.just("change"), _CHANGES),
    st.tuples(_TIMES, st.just("change"), _CHANGES),
    st.tuples(_TIMES, st.just("large"), st.integers(5, 60)),
    st.tuples(_TIMES, st.just("revert"), st.integers(1, 4)),
    st.tuples(
        _TIMES, st.just("restart"), st.tuples(st.sampled_from(ALL_PROCESSES), _DURATIONS, st.booleans())
    ),
    st.tuples(
        _TIMES, st.just("restart"), st.tuples(st.sampled_from(ALL_PROCESSES), _DURATIONS, st.booleans())
    ),
    st.tuples(_TIMES, st.just("pause"), st.tuples(st.sampled_from(ALL_PROCESSES), _DURATIONS)),
    st.tuples(_TIMES, st.just("cut"), st.tuples(_PROCESS_SETS, _PROCESS_SETS, _DURATIONS, st.booleans())),
    st.tuples(_TIMES, st.just("cut"), st.tuples(_PROCESS_SETS, _PROCESS_SETS, _DURATIONS, st.booleans())),
    st.tuples(_TIMES, st.just("lossy"), st.tuples(_DURATIONS, st.floats(0.05, 0.4), st.booleans())),
    st.tuples(_TIMES, st.just("store failure"), st.tuples(st.sampled_from(["fails", "full"]), _DURATIONS)),
    st.tuples(_TIMES, st.just("take over"), st.none()),
)


def link_faults(actions: list[Action]) -> list[Fault]:
    """Returns the link faults of a schedule."""
    faults: list[Fault] = []
    for start, kind, details in actions:
        if kind == "cut":
            sources, targets, duration_s, is_two_way = details
            end = min(END_S, start + duration_s)
            one_way = [Fault("cut", start, end, sources, targets)]
            faults += both_ways(start, end, sources, targets) if is_two_way else one_way
        elif kind == "lossy":
            duration_s, lost_fraction, has_duplicates = details
            end = min(END_S, start + duration_s)
            faults.append(Fault("loss", start, end, fraction=lost_fraction))
            if has_duplicates:
                faults.append(Fault("duplicate", start, end, fraction=lost_fraction, max_delay_s=0.5))
                faults.append(Fault("delay", start, end, fraction=lost_fraction, max_delay_s=0.5))
    return faults


def schedule_actions(fleet: ModelledFleet, actions: list[Action]) -> None:
    """Schedules all actions other than link faults."""
    for start, kind, details in actions:
        if kind == "change":
            fleet.schedule(start, fleet.change, details)
        elif kind == "large":
            changes = {f"large/{number:03d}": bytes([number]) * 400 for number in range(details)}
            fleet.schedule(start, fleet.change, changes)
        elif kind == "revert":
            fleet.schedule(start, fleet.revert, details)
        elif kind == "restart":
            name, duration_s, is_graceful = details
            if name == "origin-b":
                continue  # the standby origin starts only when it takes over
            fleet.schedule(start, fleet.leave if is_graceful else fleet.kill, name)
            fleet.schedule(min(END_S, start + duration_s), start_if_stopped, fleet, name)
        elif kind == "pause":
            name, duration_s = details
            if fleet.processes[name].role != "origin" or name == "origin":
                fleet.schedule(start, fleet.pause, name, min(END_S, start + duration_s))
        elif kind == "store failure":
            failure, duration_s = details
            fleet.schedule(start, fleet.set_disk_failure, failure)
            fleet.schedule(min(END_S, start + duration_s), fleet.set_disk_failure, "")
        elif kind == "take over":
            fleet.schedule(start, fleet.take_over)


def start_if_stopped(fleet: ModelledFleet, name: str) -> None:
    if fleet.processes[name].node is None:
        fleet.start(name)


def play(actions: list[Action]) -> ModelledFleet:
    """Runs a schedule, ends all faults and checks all guarantees. Returns the fleet."""
    actions = sorted(actions, key=lambda action: action[0])
    fleet = ModelledFleet(link_faults(actions))
    fleet.start_converged()
    schedule_actions(fleet, actions)
    fleet.run(END_S + 0.1)
    fleet.heal()
    last_changes: Changes = {key: None for key in fleet.disk.values if key.startswith("bad/")}
    last_changes["end"] = b"%d" % fleet.pushes
    fleet.run(fleet.now + 1.0)
    fleet.change(last_changes, "last change")
    latest_position = fleet.disk.position
    assert latest_position in fleet.states
    healed_at = fleet.now
    while not fleet.has_converged() and fleet.now < healed_at + MAX_CONVERGENCE_S:
        fleet.run(fleet.now + 0.1)
    assert fleet.has_converged(), fleet.origin_status()
    while latest_position not in fleet.observer.fully_applied and fleet.now < healed_at + MAX_FULLY_APPLIED_S:
        fleet.run(fleet.now + 0.1)
    assert latest_position in fleet.observer.fully_applied, fleet.origin_status()
    for name in (*RELAYS, *PROXIES):
        node = fleet.processes[name].node
        assert isinstance(node, ProxyNode | Relay)
        assert dict(node.replica.keyspace.entries()) == fleet.states[latest_position]
    observer = fleet.observer
    assert (
        observer.older_after_newer,
        observer.partially_applied,
        observer.stale_unnoticed,
        observer.false_fully_applied,
    ) == (
        0,
        0,
        0,
        0,
    ), observer.broken
    return fleet


def schedules() -> st.SearchStrategy[list[Action]]:
    return st.lists(_ACTIONS, min_size=4, max_size=24)


@settings(
    max_examples=120,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(schedules())
def test_whatever_happens_each_process_is_a_prefix_of_one_history(actions: list[Action]) -> None:
    play(actions)


def test_response_that_waited_unread_does_not_make_the_configuration_fresh() -> None:
    """The origin's age counts from the poll, even if a pause of the relay delays the response."""
    play(
        [
            (10.47, "pause", ("c01", 1.5)),
            (10.93, "pause", ("origin", 2.51)),
            (12.6, "cut", (("p00004", "origin", "p00000", "p00005", "p00003"), RELAYS, 6.11, True)),
        ]
    )


def test_fenced_writer_reports_nothing_as_fully_applied() -> None:
    """Its summary lacks nodes that have moved to the new writer, so it must first check the store."""
    play(
        [
            (11.1, "change", {"shard/000002": None, "bad/2": None, "a": None}),
            (11.1, "change", {"a": b"w", "shard/000002": b"w"}),
            (11.1, "take over", None),
            (20.0, "revert", 1),
        ]
    )


def test_a_catch_up_ends_though_its_parent_has_caught_up_by_ranges_as_well() -> None:
    """The child must not wait forever if the parent's log no longer covers the catch-up's frontier."""
    play(
        [
            (6.16, "change", {"shard/000001": None}),
            (6.9, "restart", ("p00000", 7.0, True)),
            (11.33, "pause", ("p00001", 3.0)),
            (13.59, "lossy", (5.05, 0.38120995644238354, False)),
            (15.62, "revert", 1),
            (15.77, "take over", None),
            (16.32, "store failure", ("fails", 1.56)),
            (17.37, "cut", (("p00005", "c03"), ("c02", "p00000", "origin-b", "p00004"), 1.9, True)),
        ]
    )


def test_restart_under_loss_ends_with_the_latest_position() -> None:
    """A child must not wait forever if its parent catches up by ranges at the same time."""
    play(
        [
            (10.0, "store failure", ("full", 1.76)),
            (10.49, "change", {"shard/000002": None, "bad/1": None, "a": None}),
            (11.0, "restart", ("p00001", 3.95, False)),
            (11.5, "change", {"bad/1": None}),
            (13.4, "lossy", (5.89, 0.3333333333333333, True)),
            (16.34, "change", {"bad/1": b""}),
            (16.59, "large", 54),
            (16.91, "change", {"shard/000001": b"0\xe1\x92", "b": b"", "bad/1": None, "bad/2": None}),
            (17.13, "change", {"a": None, "bad/2": b""}),
            (17.77, "take over", None),
            (18.47, "store failure", ("full", 2.75)),
            (
                20.0,
                "cut",
                (("p00004", "p00002"), ("p00001", "p00004", "p00005", "c01", "p00003"), 4.8, False),
            ),
        ]
    )


def test_relay_that_has_heard_later_from_the_origin_makes_the_configuration_fresher() -> None:
    """A proxy is cut off and the origin shuts down; then a relay reports a later contact with the origin."""
    play(
        [
            (6.98, "cut", (("p00000",), ("p00004", "p00000", "c03", "p00003", "c01"), 4.51, False)),
            (7.0, "restart", ("p00005", 5.06, True)),
            (9.65, "revert", 4),
            (
                10.0,
                "cut",
                (("c01", "origin-b", "p00000", "p00001", "c02"), ("c03", "p00002", "p00001"), 4.22, False),
            ),
            (13.28, "restart", ("origin", 4.39, True)),
            (15.67, "restart", ("c03", 2.94, True)),
        ]
    )


def test_catch_up_that_ends_where_it_began_applies_nothing() -> None:
    """The catch-up starts with a parent that is ahead of the child and ends with one that is not."""
    two_way_sources = ("c02", "p00003", "p00004", "origin-b", "p00005")
    one_way_sources = ("c01", "p00000", "p00004", "origin-b", "c02")
    play(
        [
            (17.89, "lossy", (2.22, 0.36146328049594867, True)),
            (10.81, "cut", (two_way_sources, ("p00000", "p00004"), 2.16, True)),
            (15.03, "large", 5),
            (16.56, "change", {"a": None, "bad/1": None}),
            (10.83, "lossy", (0.33, 0.13648382907673767, True)),
            (15.24, "take over", None),
            (13.0, "cut", (one_way_sources, ("c02",), 3.28, False)),
            (19.89, "store failure", ("fails", 1.75)),
            (15.37, "revert", 3),
            (13.98, "take over", None),
            (10.83, "lossy", (0.33, 0.13648382907673767, True)),
            (11.6, "restart", ("c01", 0.92, True)),
            (15.3, "lossy", (6.75, 0.2801995016731087, False)),
            (12.58, "lossy", (6.73, 0.36146328049594867, True)),
        ]
    )
