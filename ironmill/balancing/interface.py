"""The interface of the decisions: settings, events and actions.

Everything that enters or leaves a ``Balancer`` is one of the types below. They are independent of any wire
format; an adapter maps the names of its wire to them. All durations are in seconds. Points in time are in
seconds on the clock that the caller hands in with each event.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TypeAlias

from msgspec import Struct


class Idempotency(Enum):
    """Whether a request may run more than once."""

    ALWAYS = "always"
    BY_KEY = "by_key"  # servers that share a memory drop repeats of a key, for a limited time
    NONE = "none"


class DeduplicationScope(Enum):
    """Which servers share the memory that drops repeats of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Stage(Enum):
    """The stage of a server's life, as discovery lists it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class WatchEventKind(Enum):
    """How the entries of a watch event relate to the cached endpoint list."""

    DELTA = "delta"
    FULL = "full"
    FAILED = "failed"  # a call to discovery failed; the cached list stays valid


class Outcome(Enum):
    """How an attempt ended. The second value says whether that proves the attempt never ran."""

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    TIMEOUT = ("timeout", False)
    CONNECT_FAILED = ("connect_failed", True)
    RESET = ("reset", False)
    CANCELLED = ("cancelled", False)
    NOT_SENT = ("not_sent", True)  # the request was over, too late, or out of attempts before the first byte
    OTHER = ("other", False)  # an outcome unknown to this version; it may have run

    @property
    def never_ran(self) -> bool:
        """True if the server certainly did nothing for the attempt."""
        return self.value[1]


class SampleKind(Enum):
    """What is measured on an established connection."""

    LOAD = "load"  # microseconds of work per second that the connection needs now
    DELAY = "delay"  # milliseconds until the server answers a message


class RequestClass(Struct, frozen=True):
    """One class of requests."""

    name: str
    latency_objective: float  # a connection that is established within it has its full value
    priority_weight: float
    message_latency_objective: float  # for an answer to a message on an established connection
    idempotency: Idempotency = Idempotency.ALWAYS
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # how long repeats of a key are dropped, from the first send


class Tenant(Struct, frozen=True):
    """A customer with a quota of the fleet. Work beyond the quota has low priority."""

    name: str
    quota_rate: float
    quota_connections: float


class Costs(Struct, frozen=True):
    """Costs that weigh in a decision, in units of the value of one request."""

    handshake: float = 0.0


class Settings(Struct, frozen=True):
    """Settings of a proxy that stay the same during its run."""

    proxies: int  # size of the fleet
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    costs: Costs
    subscribes_to_discovery: bool  # True: discovery sends changes only to subscribers
    discovery_poll_interval: float  # an unsubscribed proxy must poll at least this often
    initial_capacity_fraction: float  # of its capacity, when a server starts
    slow_start_duration: float  # until a started server has its whole capacity
    slow_start_rate_multiple: (
        float  # a server in slow start fails when sent this multiple of its capacity ...
    )
    slow_start_window: float  # ... over this time
    max_attempts: int
    max_retry_after: float  # longest Retry-After that a client respects; 0 where clients get none
    keepalive_timeout: float  # an idle link to a server stays open this long
    min_round_interval: float  # shortest time between two calls of the proxy
    health_checks: bool = False  # servers may be asked for a load report
    reports_delay: bool = True  # messages' delays are sampled
    live_weights: bool = False  # a listed weight is size / (1 + connections per core of all proxies)


# --- events --------------------------------------------------------------------------------------


class EndpointEntry(Struct, frozen=True):
    """A server as discovery lists it."""

    server_id: int
    stage: Stage
    zone: str = ""
    cell: int = 0
    started_at: float = 0.0  # 0: unknown, or long ago
    weight: float = 1.0


class WatchEvent(Struct, frozen=True):
    """A change of the endpoint list, or the failure of a call to discovery."""

    kind: WatchEventKind
    entries: tuple[EndpointEntry, ...] = ()


class Request(Struct, frozen=True):
    """A client requests a connection."""

    id: str
    class_name: str
    deadline: float
    tenant: str = ""
    key: int | None = None  # the idempotency key
    group: int | None = None  # connections of one group share work at a server
    load_hint: float = 0.0  # work per second on a standard core; 0: unknown
    returning: bool = False  # the client comes back after a lost connection, a migration or a failed request
    rerouted: bool = False  # packets from the middle of a connection that some server still serves


class Resumed(Struct, frozen=True):
    """A connection was already open through this proxy when it started."""

    request: Request
    server_id: int


class Established(Struct, frozen=True):
    """The attempt's connection is established; its timeout no longer applies."""

    request_id: str
    attempt: int
    server_id: int
    delay: float


class Ended(Struct, frozen=True):
    """The attempt is over. Exactly one follows each ``Send``."""

    request_id: str
    attempt: int
    server_id: int
    outcome: Outcome
    delay: float
    final: bool  # the request is over too; no answer is owed any more
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
    """The client left; no answer is owed any more."""

    request_id: str


class AnswerDue(Struct, frozen=True):
    """The proxy shuts down: the request is answered now, or when the attempt in flight has ended."""

    request_id: str


class HandoverStarted(Struct, frozen=True):
    """The process that this one replaces may serve beside it until the given time."""

    until: float


class TimerFired(Struct, frozen=True):
    """A timer set by ``SetTimer`` ran out."""

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
    """Start an attempt for the request at a server."""

    request_id: str
    server_id: int
    timeout: float
    start_by: float = math.inf  # an attempt that begins later could take effect a second time


class Reject(Struct, frozen=True):
    """Final answer: rejected, and a retry is harmless."""

    request_id: str
    retry_after: float = 0.0


class Fail(Struct, frozen=True):
    """Final answer: failed. The request may have taken effect."""

    request_id: str


class Migrate(Struct, frozen=True):
    """Close an established connection gracefully, so that its client connects anew at once."""

    request_id: str


class SetTimer(Struct, frozen=True):
    """Have a ``TimerFired`` with this name delivered after the delay."""

    delay: float
    name: str


class Subscribe(Struct, frozen=True):
    """Subscribe to all further changes of discovery's endpoint list."""


class CheckHealth(Struct, frozen=True):
    """Ask a server for its load report. One ``HealthChecked`` follows each."""

    server_id: int


Action: TypeAlias = Send | Reject | Fail | Migrate | SetTimer | Subscribe | CheckHealth
