"""The gateway, which connects protocol drivers to the balancer.

Drivers report events of requests and attempts through the ``on_*`` methods, and the gateway executes the
balancer's actions by calling their ``RequestHandler``. The gateway has no access to sockets or to the line
protocol.
"""

from __future__ import annotations

import time

from ironmill.balancing.balancer import Balancer
from ironmill.balancing.interface import (
    AnswerDue,
    ConnectionSample,
    Ended,
    Established,
    HandoverStarted,
    HealthChecked,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    Resumed,
    SampleKind,
)
from ironmill.balancing.resume_schedule import ResumeSchedule
from ironmill.configuration.proxy_config import Config
from ironmill.protocol.discovery import EndpointUpdate
from ironmill.requests.action_executor import ActionExecutor, ExecutorDependencies
from ironmill.requests.client_request import (
    Attempt,
    ClientRequest,
    HealthChecker,
    IncomingRequest,
    RequestHandler,
)
from ironmill.requests.decision_loop import DecisionLoop
from ironmill.requests.metrics import EventCounts, RequestMetrics
from ironmill.requests.request_registry import RequestRegistry
from ironmill.requests.round_trips import RoundTripObserver
from ironmill.requests.routing_table import RoutingTable, Server
from ironmill.runtime.lifecycle import Lifecycle, ProcessState
from ironmill.runtime.scheduler import Timers

# The final answer is due this long before the client's deadline, so that it arrives in time.
ANSWER_LEAD_S = 0.01
DEFAULT_DEADLINE_S = 10.0  # deadline of a class without a limit in the settings
# An attempt may not start at a draining server during the last DRAIN_LEAD_S of its grace period, because the
# process may be suspended for this long between reading its clock and writing.
DRAIN_LEAD_S = 0.15
# For the current line of an unresponsive server to end, after which the connection is closed. Connections
# must leave such a server within 7 s.
UNRESPONSIVE_LINE_TIMEOUT_S = 0.9
# Delays are reported if they exceed the shortest latency objective divided by this number.
DELAY_THRESHOLD_DIVISOR = 3.0


class Gateway:
    """Holds the requests of one proxy, the endpoint list and the balancer that decides about both."""

    def __init__(self, config: Config, timers: Timers, lifecycle: Lifecycle | None = None) -> None:
        """Creates a gateway that uses the endpoint list in the configuration until discovery responds."""
        self._config = config
        self.lifecycle = lifecycle or Lifecycle(ProcessState.SERVING)
        self.metrics = RequestMetrics(config.default_deadlines_s)
        self.counts = EventCounts()
        self.resuming: set[RequestHandler] = set()  # handlers of connections that are being re-established
        # The offset makes ``now`` start at the Unix time and then advance with the monotonic clock.
        self._clock_offset_s = time.time() - time.monotonic()
        self._balancer = Balancer(config.settings, config.seed, self.now())
        self._servers = RoutingTable()
        self._decisions = DecisionLoop(self._balancer, self.now)
        self.requests = RequestRegistry(timers, self.now, self._decisions.feed, self.counts)
        self._executor = ActionExecutor(
            ExecutorDependencies(
                requests=self.requests,
                servers=self._servers,
                timers=timers,
                counts=self.counts,
                now=self.now,
                feed=self._decisions.feed,
                max_attempts=config.settings.max_attempts,
            )
        )
        self._decisions.execute = self._executor.execute
        self._round_trips = RoundTripObserver(
            timers,
            config.shortest_latency_objective_s / DELAY_THRESHOLD_DIVISOR,
            self._on_delay,
            self._on_unresponsive,
        )
        # Drivers call these two for each chunk of relayed data, so no other method is put in between.
        self.on_lines_sent = self._round_trips.lines_sent
        self.on_lines_answered = self._round_trips.lines_answered
        self.feed = self._decisions.feed
        self.feed(self._servers.apply(config.initial_endpoints, self.now(), from_discovery=False))

    # State

    def now(self) -> float:
        """Returns the time on the balancer's clock, in seconds."""
        return time.monotonic() + self._clock_offset_s

    def pending_count(self) -> int:
        """Returns how many requests have no final answer yet."""
        return self.requests.pending_count()

    def request_count(self) -> int:
        """Returns the number of requests, including established ones."""
        return len(self.requests)

    def established(self) -> list[ClientRequest]:
        """Returns the requests whose connections are established."""
        return self.requests.established()

    def known_servers(self) -> int:
        """Returns the number of servers in the endpoint list, including draining ones."""
        return len(self._servers.listed())

    def skipped_servers(self) -> int:
        """Returns how many listed servers get no new connections because they are draining or ejected."""
        ejected = self._balancer.ejected()
        return sum(
            1
            for server in self._servers.listed()
            if server.leaving_since is not None or server.number in ejected
        )

    def server(self, uid: str) -> Server | None:
        """Returns the server with this id, or None if discovery has never listed it."""
        return self._servers.by_uid(uid)

    def has_class(self, class_name: str) -> bool:
        """Returns True if the settings define the class."""
        return class_name in self._config.default_deadlines_s

    def may_start(self, attempt: Attempt) -> bool:
        """Returns False if it is too late to write an attempt's first byte.

        This is the case after its ``start_by``, and if the server's grace period for draining is almost over.
        """
        if self.now() >= attempt.start_by:
            return False
        leaving_since = attempt.server.leaving_since
        return leaving_since is None or self.now() - leaving_since < self._config.drain_grace_s - DRAIN_LEAD_S

    def resume_schedule(self, class_name: str, deadline: float, retry_interval_s: float) -> ResumeSchedule:
        """Returns when a connection from before the start is attempted, until ``deadline`` (monotonic)."""
        settings = self._config.settings
        request_class = next((cls for cls in settings.classes if cls.name == class_name), None)
        if request_class is None:  # a class that is not in the settings counts as not idempotent
            request_class = RequestClass(class_name, 0.0, 0.0, 0.0, Idempotency.NONE)
        return ResumeSchedule(request_class, settings.max_attempts, deadline, retry_interval_s)

    def may_resume_at(self, server: Server, opened_at: float) -> bool:
        """Returns False while a server that restarted after ``opened_at`` may get no more connections.

        Such a server does not have the connection any more, which is a new one for its slow start.
        """
        return self._balancer.may_resume_at(server.number, opened_at, self.now())

    def use_health_checker(self, checker: HealthChecker) -> None:
        """Sets the driver of health checks. Without a driver, health checks are skipped."""
        self._executor.health_checker = checker

    # Events of drivers

    def on_endpoints(self, update: EndpointUpdate) -> None:
        """Applies a response of discovery to the endpoint list."""
        self.feed(self._servers.apply(update, self.now()))

    def on_predecessor(self, max_overlap_s: float) -> None:
        """Records that a previous process of this proxy still serves, for at most ``max_overlap_s``."""
        self.feed(HandoverStarted(self.now() + max_overlap_s))

    def open_request(self, handler: RequestHandler, incoming: IncomingRequest) -> ClientRequest:
        """Registers a new request. The resulting actions of the balancer are calls of ``handler``."""
        class_name = incoming.class_name
        deadline_s = incoming.deadline_s
        if deadline_s is None:
            deadline_s = self._config.default_deadlines_s.get(class_name, DEFAULT_DEADLINE_S)
        give_up_at = incoming.received_at + deadline_s - ANSWER_LEAD_S
        counter = incoming.counter or self.metrics.start(class_name)
        request = self.requests.add(handler, give_up_at, counter)
        self.requests.watch_deadline(request)
        self.feed(_balancer_request(request, incoming))
        return request

    def resume(self, handler: RequestHandler, server: Server, incoming: IncomingRequest) -> Attempt:
        """Registers a connection from before the process started that is established at its server again."""
        self.resuming.discard(handler)
        request = self.requests.add(handler, 0.0, incoming.counter or self.metrics.start(incoming.class_name))
        request.counter.established()
        request.resolved = True
        request.established = True
        attempt = Attempt(request, 0, server, self.now(), 0.0)
        request.attempt = attempt
        request.attempt_count = 1
        self._round_trips.start(attempt)
        self.counts.add("resumed")
        self.feed(Resumed(_balancer_request(request, incoming), server.number))
        return attempt

    def on_established(self, attempt: Attempt) -> bool:
        """Records that a server accepted the request. Returns False if the client no longer waits for it."""
        request = attempt.request
        if request.resolved or attempt.ended:
            return False
        request.established = True
        request.counter.established()
        self.requests.resolve(request)
        self._round_trips.start(attempt)
        delay = self.now() - attempt.started_at
        self.feed(Established(request.id, attempt.number, attempt.server.number, delay))
        return True

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, report: tuple[tuple[str, float], ...] = ()
    ) -> None:
        """Records the end of an attempt whose connection is closed. Further calls for it do nothing."""
        if attempt.ended:
            return
        attempt.ended = True
        request = attempt.request
        request.attempt = None
        outcome = self._correct_outcome(attempt, outcome)
        if request.established:
            self._round_trips.stop(attempt)
        if outcome is Outcome.OK:
            # These calls have no effect on an established request. For any other request, the outcome means
            # that the server answered with a line other than UP, which the client sees as a failure.
            request.counter.failed()
            self.requests.resolve(request)
        final = request.resolved
        if final:
            self.requests.remove(request)
        self.counts.add(f"{'established' if request.established else 'attempt'} {outcome.name}")
        delay = self.now() - attempt.started_at
        self.feed(Ended(request.id, attempt.number, attempt.server.number, outcome, delay, final, report))

    def on_client_closed(self, request: ClientRequest) -> None:
        """Records that a client closed without a final answer. The driver then ends the current attempt."""
        if request.resolved:
            return
        request.counter.abandoned()
        self.requests.abandon(request)

    def on_client_stalled(self, attempt: Attempt) -> None:
        """Stops observing the response delay of a connection whose client does not read.

        The server's answers cannot be observed meanwhile, so it must not count as slow or unresponsive.
        """
        self._round_trips.stop(attempt)

    def on_client_reading(self, attempt: Attempt) -> None:
        """Resumes observing the response delay once the client has read its buffered data."""
        if not attempt.ended:
            self._round_trips.start(attempt)

    def on_load(self, attempt: Attempt, load: float) -> None:
        """Passes the load that a server reports for a connection to the balancer."""
        self.feed(
            ConnectionSample(attempt.request.id, attempt.number, attempt.server.number, SampleKind.LOAD, load)
        )

    def on_health_check(
        self, server: Server, outcome: Outcome, report: tuple[tuple[str, float], ...] = ()
    ) -> None:
        """Passes the outcome of a health check to the balancer."""
        self.counts.add(f"health check {outcome.name}")
        self.feed(HealthChecked(server.number, outcome, report))

    # Shutdown

    def resolve_all(self) -> None:
        """Gives every pending request its final answer immediately, as decided by the balancer.

        A request whose attempt may have run fails, unless it is idempotent. Must not be called from the task
        of a connection.
        """
        for handler in list(self.resuming):
            handler.fail()
        for request in self.requests.all():
            if not request.resolved:
                self._resolve_now(request)

    def _resolve_now(self, request: ClientRequest) -> None:
        self.counts.add("resolved at shutdown")
        self.feed(AnswerDue(request.id))
        attempt = request.attempt
        if attempt is not None:
            may_have_run = request.handler.cancel_attempt()
            self.on_attempt_ended(attempt, Outcome.CANCELLED if may_have_run else Outcome.NOT_SENT)
        self.requests.fail_overdue(request)  # has an effect only if the balancer raised an exception

    # Internal events

    def _correct_outcome(self, attempt: Attempt, outcome: Outcome) -> Outcome:
        """Corrects an outcome whose cause the driver cannot know."""
        if outcome is Outcome.CONNECT_FAILED and self.now() >= attempt.start_by:
            return Outcome.NOT_SENT  # the attempt started too late, which is not the server's fault
        if attempt.request.unresponsive and outcome is Outcome.CANCELLED:
            return Outcome.RESET  # the server was lost; the client did not close the connection
        return outcome

    def _on_delay(self, request_id: str, server: Server, delay_s: float) -> None:
        request = self.requests.by_id.get(request_id)
        if request is not None and request.attempt is not None:
            number = request.attempt.number
            self.feed(ConnectionSample(request_id, number, server.number, SampleKind.DELAY, delay_s * 1000.0))

    def _on_unresponsive(self, request_id: str) -> None:
        """Migrates a connection whose server is unresponsive, since its machine may be lost."""
        request = self.requests.by_id.get(request_id)
        if request is not None and request.established:
            self.counts.add("unresponsive")
            request.unresponsive = True
            request.handler.migrate(UNRESPONSIVE_LINE_TIMEOUT_S)


def _balancer_request(request: ClientRequest, incoming: IncomingRequest) -> Request:
    attributes = incoming.attributes
    return Request(
        request.id,
        incoming.class_name,
        request.give_up_at,
        tenant=attributes.tenant,
        key=attributes.key,
        group=attributes.group,
        load_hint=attributes.load_hint,
        returning=attributes.returning,
        rerouted=attributes.rerouted,
    )
