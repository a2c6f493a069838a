"""The interface of the decision module: settings, events and actions.

Everything that enters or leaves a ``Balancer`` is one of the types below. They say what a relay of
any make can tell and do; how a given wire spells them is the business of that wire's adapter. All
times are in seconds, and points in time are on the clock that the relay hands in with each event.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TypeAlias

from msgspec import Struct


class Effect(Enum):
    """How safe it is to run a request again."""

    SAFE = "safe"
    KEYED = "keyed"  # repeats are dropped within a group of backends, for a while
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which backends share the memory that drops repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Stage(Enum):
    """What discovery says of a backend."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How the entries of a list event relate to the list already held."""

    DELTA = "delta"
    FULL = "full"
    FAILED = "failed"  # a call to discovery failed; the list held stays


class Outcome(Enum):
    """How an attempt ended. The second value says whether that proves the attempt never ran."""

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    TIMEOUT = ("timeout", False)
    CONNECT_FAILED = ("connect_failed", True)
    RESET = ("reset", False)
    CANCELLED = ("cancelled", False)
    MOOT = ("moot", True)  # never sent: the request was over, or past its time or attempts
    OTHER = ("other", False)  # an outcome newer than this library; taken as one that may have run

    @property
    def never_ran(self) -> bool:
        """True if the backend certainly did nothing for the attempt."""
        return self.value[1]


class NoteKind(Enum):
    """What a note on an open connection tells."""

    LOAD = "load"  # microseconds of work a second that the connection asks for now
    DELAY = "delay"  # milliseconds that a message takes at the backend now


class RequestClass(Struct, frozen=True):
    """One class of requests."""

    name: str
    aim: float  # a set-up within this time has its full worth
    worth: float
    message_aim: float  # how soon a message on an open connection should be answered
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: float = 0.0  # how long repeats of a keyed request are dropped, from its first send


class Tenant(Struct, frozen=True):
    """A customer with a share of the fleet; what it sends beyond that share is worth little."""

    name: str
    quota_rate: float
    quota_connections: float


class Prices(Struct, frozen=True):
    """What is taken off the result, each times its rate; so far only one weighs in a decision."""

    handshake: float = 0.0


class Settings(Struct, frozen=True):
    """What a relay is told once, at its start."""

    relays: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    prices: Prices
    ask_discovery: bool  # True: changes come only to those who subscribed
    ask_within: float  # an unsubscribed relay must ask at least this often
    cold_from: float  # share of its capacity that a backend has when it starts
    ramp_time: float  # time until it has all of it
    fall_multiple: float  # sent more than this many times its capacity ...
    tip_after: float  # ... for this long, a cold backend falls over
    max_attempts: int
    retry_after_max: float  # longest wait a client respects; 0 where clients are given no advice
    keepalive: float  # an idle link to a backend stays open this long
    round_gap: float  # shortest time between two calls of the relay
    probes: bool = False  # a backend may be asked for its load report
    tells_delay: bool = True  # notes tell what messages take
    live_weights: bool = False  # a listed weight is the size over 1 + requests held a core, by all relays


# --- events --------------------------------------------------------------------------------------


class Entry(Struct, frozen=True):
    """A backend as discovery lists it."""

    backend: int
    stage: Stage
    zone: str = ""
    cell: int = 0
    started_at: float = 0.0  # 0: long ago
    weight: float = 1.0


class ListChanged(Struct, frozen=True):
    """News from discovery, or the failure of a call to it."""

    kind: ListKind
    entries: tuple[Entry, ...] = ()


class Request(Struct, frozen=True):
    """A client wants a connection."""

    id: str
    class_name: str
    give_up_at: float
    tenant: str = ""
    key: int | None = None
    group: int | None = None
    load_hint: float = 0.0  # work a second on a standard core; 0: not told
    returning: bool = False  # the client comes back after a break, a move or a failed try
    rerouted: bool = False  # mid-flow packets of a connection that some backend still holds


class Carried(Struct, frozen=True):
    """A connection that was already open through this relay when it started."""

    request: Request
    backend: int


class Established(Struct, frozen=True):
    """The attempt's connection stands; its time-out no longer holds."""

    id: str
    attempt: int
    backend: int
    delay: float


class Ended(Struct, frozen=True):
    """The attempt is over. Exactly one comes for each ``Send``."""

    id: str
    attempt: int
    backend: int
    outcome: Outcome
    delay: float
    final: bool  # the request is over too; no answer is owed any more
    report: tuple[tuple[str, float], ...] = ()


class Note(Struct, frozen=True):
    """News of an open connection."""

    id: str
    attempt: int
    backend: int
    kind: NoteKind
    value: float


class Probed(Struct, frozen=True):
    """What a ``Probe`` brought back."""

    backend: int
    outcome: Outcome
    report: tuple[tuple[str, float], ...] = ()


class Abandoned(Struct, frozen=True):
    """The client left; nothing is owed any more."""

    id: str


class CutShort(Struct, frozen=True):
    """The relay ends: the request gets its answer now, or when the attempt that is out has ended."""

    id: str


class Succession(Struct, frozen=True):
    """Another process of the same proxy, which this one is to succeed, may serve beside it until then."""

    until: float


class TimerFired(Struct, frozen=True):
    """A timer asked for by ``SetTimer`` ran out."""

    name: str


Event: TypeAlias = (
    ListChanged
    | Request
    | Carried
    | Established
    | Ended
    | Note
    | Probed
    | Abandoned
    | CutShort
    | Succession
    | TimerFired
)


# --- actions -------------------------------------------------------------------------------------


class Send(Struct, frozen=True):
    """Start an attempt for the request at a backend."""

    id: str
    backend: int
    timeout: float
    start_by: float = math.inf  # begun later, a repeat could take effect a second time


class Refuse(Struct, frozen=True):
    """Final answer: no, and trying again does no harm."""

    id: str
    retry_after: float = 0.0


class Fail(Struct, frozen=True):
    """Final answer: failed, with no promise about effects."""

    id: str


class Move(Struct, frozen=True):
    """End an open connection politely; its client comes again at once."""

    id: str


class SetTimer(Struct, frozen=True):
    """Ask for a ``TimerFired`` after the delay."""

    delay: float
    name: str


class Subscribe(Struct, frozen=True):
    """Ask discovery for all changes from now on."""


class Probe(Struct, frozen=True):
    """Ask a backend for its load report; a ``Probed`` comes for each."""

    backend: int


Action: TypeAlias = Send | Refuse | Fail | Move | SetTimer | Subscribe | Probe
