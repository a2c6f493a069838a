"""The interface of a ``Balancer``: settings, events and actions.

Every input and output of a ``Balancer`` has one of the types below. They are independent of any wire format;
an adapter converts between them and the names on its wire. All durations are in seconds. Points in time are
in seconds on the clock from which the caller takes the time of each event.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TypeAlias

from msgspec import Struct


class Idempotency(Enum):
    """Whether a request may run more than once."""

    ALWAYS = "always"
    BY_KEY = "by_key"  # servers with a shared deduplication store drop repeats of a key for a limited time
    NONE = "none"


class DeduplicationScope(Enum):
    """Which servers share the store that is used to drop repeats of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Stage(Enum):
    """The lifecycle stage of a server, as listed by discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class WatchEventKind(Enum):
    """How the entries of a watch event relate to the cached endpoint list."""

    DELTA = "delta"
    FULL = "full"
    FAILED = "failed"  # a call to discovery failed; the cached list stays valid


class Outcome(Enum):
    """How an attempt ended. The second item of a value is True if this proves that the attempt never ran."""

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    TIMEOUT = ("timeout", False)
    CONNECT_FAILED = ("connect_failed", True)
    RESET = ("reset", False)
    CANCELLED = ("cancelled", False)
    NOT_SENT = ("not_sent", True)  # the request was over, late or out of attempts before the first byte
    OTHER = ("other", False)  # an outcome that this version does not know; the attempt may have run

    @property
    def never_ran(self) -> bool:
        """True if the server certainly did no work for the attempt."""
        return self.value[1]


class SampleKind(Enum):
    """What a sample of an established connection measures."""

    LOAD = "load"  # microseconds of work per second that the connection currently needs
    DELAY = "delay"  # milliseconds until the server answers a message


class RequestClass(Struct, frozen=True):
    """A class of requests with the same objectives, priority and idempotency."""

    name: str
    latency_objective: float  # a connection established within this time has its full value
    priority_weight: float
    message_latency_objective: float  # for the answer to a message on an established connection
    idempotency: Idempotency = Idempotency.ALWAYS
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # time after the first send in which repeats of a key are dropped


class Tenant(Struct, frozen=True):
    """A customer with a quota of the fleet's capacity. Work above the quota has low priority."""

    name: str
    quota_rate: float
    quota_connections: float


class Costs(Struct, frozen=True):
    """Costs that decisions take into account, in units of the value of one request."""

    handshake: float = 0.0  # of a new link to a server


class Settings(Struct, frozen=True):
    """Settings of a proxy that do not change while it runs."""

    proxies: int  # number of proxies in the fleet
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    costs: Costs
    subscribes_to_discovery: bool  # True if discovery reports changes only to subscribers
    discovery_poll_interval: float  # a proxy without a subscription must poll at least this often
    initial_capacity_fraction: float  # fraction of its capacity that a server has when it starts
    slow_start_duration: float  # time from its start until a server has its full capacity
    # A server in slow start fails if it is sent this multiple of its capacity within ``slow_start_window``.
    slow_start_rate_multiple: float
    slow_start_window: float
    max_attempts: int
    max_retry_after: float  # longest Retry-After that clients respect; 0 if clients get no Retry-After
    keepalive_timeout: float  # time that an idle link to a server stays open
    min_round_interval: float  # shortest time between two rounds in which the proxy handles events
    health_checks: bool = False  # True if servers may be asked for load reports
    reports_delay: bool = True  # True if the delays of messages are sampled
    live_weights: bool = False  # True if a listed weight is size / (1 + connections of all proxies per core)


# --- events --------------------------------------------------------------------------------------


class EndpointEntry(Struct, frozen=True):
    """A server as listed by discovery."""

    server_id: int
    stage: Stage
    zone: str = ""
    cell: int = 0
    started_at: float = 0.0  # 0 if unknown or long ago
    weight: float = 1.0


class WatchEvent(Struct, frozen=True):
    """A change of the endpoint list, or a failed call to discovery."""

    kind: WatchEventKind
    entries: tuple[EndpointEntry, ...] = ()


class Request(Struct, frozen=True):
    """A client's request for a connection."""

    id: str
    class_name: str
    deadline: float
    tenant: str = ""
    key: int | None = None  # the idempotency key
    group: int | None = None  # connections of one group share work on a server
    load_hint: float = 0.0  # work per second on a standard core; 0 if unknown
    returning: bool = False  # the client reconnects after a lost connection, a migration or a failed request
    rerouted: bool = False  # the request is mid-flow packets of a connection that some server still serves


class Resumed(Struct, frozen=True):
    """A connection through this proxy was already open when the proxy started."""

    request: Request
    server_id: int


class Established(Struct, frozen=True):
    """The attempt's connection is established; its timeout no longer applies."""

    request_id: str
    attempt: int
    server_id: int
    delay: float


class Ended(Struct, frozen=True):
    """The attempt or its connection has ended. Each ``Send`` is followed by exactly one of these events."""

    request_id: str
    attempt: int
    server_id: int
    outcome: Outcome
    delay: float
    final: bool  # the request has ended too and needs no answer
    report: tuple[tuple[str, float], ...] = ()


class ConnectionSample(Struct, frozen=True):
    """A measurement of an established connection."""

    request_id: str
    attempt: int
    server_id: int
    kind: SampleKind
    value: float


class HealthChecked(Struct, frozen=True):
    """The result of a ``CheckHealth``, with the server's load report."""

    server_id: int
    outcome: Outcome
    report: tuple[tuple[str, float], ...] = ()


class Abandoned(Struct, frozen=True):
    """The client disconnected, so the request needs no answer."""

    request_id: str


class AnswerDue(Struct, frozen=True):
    """The proxy shuts down: the request must be answered now, or once its attempt in flight has ended."""

    request_id: str


class HandoverStarted(Struct, frozen=True):
    """The previous process of this proxy may continue to serve in parallel until the given time."""

    until: float


class TimerFired(Struct, frozen=True):
    """A timer that was set by ``SetTimer`` has expired."""

    name: str


Event: TypeAlias = (
    WatchEvent
    | Request
    | Resumed
    | Established
    | Ended
    | ConnectionSample
    | HealthChecked
    | Abandoned
    | AnswerDue
    | HandoverStarted
    | TimerFired
)


# --- actions -------------------------------------------------------------------------------------


class Send(Struct, frozen=True):
    """Starts an attempt for the request on a server."""

    request_id: str
    server_id: int
    timeout: float
    start_by: float = math.inf  # an attempt that starts later could take effect a second time


class Reject(Struct, frozen=True):
    """Gives the final answer that the request is rejected and that a retry is harmless."""

    request_id: str
    retry_after: float = 0.0


class Fail(Struct, frozen=True):
    """Gives the final answer that the request failed. It may have taken effect."""

    request_id: str


class Migrate(Struct, frozen=True):
    """Closes an established connection gracefully, so that its client reconnects at once."""

    request_id: str


class SetTimer(Struct, frozen=True):
    """Requests a ``TimerFired`` event with this name after the delay."""

    delay: float
    name: str


class Subscribe(Struct, frozen=True):
    """Subscribes to all further changes of discovery's endpoint list."""


class CheckHealth(Struct, frozen=True):
    """Asks a server for its load report. Exactly one ``HealthChecked`` event follows each check."""

    server_id: int


Action: TypeAlias = Send | Reject | Fail | Migrate | SetTimer | Subscribe | CheckHealth
