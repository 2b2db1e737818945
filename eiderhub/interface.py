"""Public interface of the decision module: settings, enums, events that it handles and actions that it requests.

A host (the sidecar or the simulator's wire adapter) creates one `Balancer` per sidecar instance. It calls the methods
of `Events` in the order in which the events happen and carries out the methods of `Actions` that the instance calls in
return. All times are integer microseconds on a monotonic clock that the host chooses.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple, Protocol


class Effect(Enum):
    """What executing a request of a class a second time would do."""

    IDEMPOTENT = "idempotent"  # no further effect: it may be retried and hedged anywhere
    DEDUPLICATED = "deduplicated"  # endpoints drop the repeat by its key, within `DedupScope` and `dedup_window_us`
    AT_MOST_ONCE = "at_most_once"  # a further effect: never retried once it may have run


class DedupScope(Enum):
    """Which endpoints recognize and drop repeats of a deduplicated request."""

    ALL = "all"  # all endpoints
    ZONE = "zone"  # those in the zone of the endpoint that ran it first
    CELL = "cell"  # those in the cell of the endpoint that ran it first


class Outcome(IntEnum):
    """How an attempt or a probe ended. The values are codes of the simulator's wire."""

    OK = 10  # a successful reply
    ERROR = 20  # an error reply; the request may have run
    REJECTED = 30  # the endpoint turned the request away without running it, because it is overloaded or draining
    TIMEOUT = 40  # no reply within the attempt's `max_wait_us`; the request may have run
    CONNECT_FAILED = 50  # no connection was established, so the request did not run
    RESET = 60  # the connection broke before the reply was complete; the request may have run
    CANCELLED = 70  # ended by `Actions.cancel`, or sent without a reply to come; the request may have run
    NOT_EXECUTED = 80  # the request did not run, and this says nothing about the endpoint's health


class RefusalReason(Enum):
    """Why an instance gave a request a final answer without a result. The values appear in the log."""

    NO_TIME_LEFT = "no time left"  # to be answered within the deadline or the latency objective
    OVER_SHARE = "tenant over its share"  # while capacity is scarce
    QUEUE_SLOW = "queue not draining"  # calls wait in it for longer than the target
    LOW_PRIORITY = "low priority"  # not sent at once, under stress or behind a queue
    QUEUE_TIMEOUT = "time in the queue is over"
    ATTEMPT_FAILED = "attempt failed"  # and another one is not allowed, not useful or not possible


class LoadReport(NamedTuple):
    """Load that an endpoint reports about itself along with a reply."""

    busy_share: float  # CPU cores in use / all its cores; not negative, may exceed 1


class Readiness(Enum):
    """State of an endpoint in a discovery list."""

    READY = "ready"  # takes new attempts
    DRAINING = "draining"  # finishes what it has; nothing new is sent to it
    REMOVED = "gone"  # no longer listed; its state is dropped once no attempt is in flight


class ListForm(Enum):
    """What the entries of a discovery event are."""

    DELTA = "D"  # entries that changed; all others stay as they were
    FULL = "F"  # all endpoints; those not listed are removed
    CACHED = "C"  # all endpoints as last known, possibly outdated; those not listed are removed
    FAILED = "X"  # none: discovery could not be reached or refused the subscription


class Discovery(Enum):
    """How an instance gets discovery events."""

    PUSH = "push"  # the host delivers them from the start
    POLL = "ask"  # the instance requests them with `Actions.tail`


class Endpoint(NamedTuple):
    """One entry of a discovery list."""

    id: str  # unique in the list; a restarted process may keep it
    zone: str  # "": unknown
    machine_kind: str  # "": unknown
    cell: int  # the group of endpoints that `DedupScope.CELL` refers to; -1: unknown
    readiness: Readiness
    weight: float = 1.0  # capacity relative to other endpoints, above 0
    started_us: int = 0  # when its process started, on the host's clock; 0: unknown, treated as warm
    labels: frozenset[str] = frozenset()  # further attributes, as "name=value"


def _require(condition: bool, field_name: str, reason: str) -> None:
    """Raise ValueError unless the condition holds. Callers of the settings classes split the text at ": "."""
    if not condition:
        raise ValueError(f"{field_name}: {reason}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same objective, effect and constraints on endpoints.

    Raises ValueError for a value out of its range; the text starts with the field's name and ": ".
    """

    name: str
    objective_us: int  # latency objective: a reply this soon after the client's first try has its full worth; above 0
    deadline_us: int  # the client gives up this long after its first try; above 0
    effect: Effect
    dedup_scope: DedupScope = DedupScope.ALL  # for DEDUPLICATED only
    dedup_window_us: int = 0  # how long after the first attempt endpoints drop repeats; for DEDUPLICATED only
    worth: float = 1.0  # value of a reply within the objective, relative to the other classes
    late_worth_share: float = 0.0  # fraction of `worth` of a later reply, in 0..1; 0: attempts end at the objective
    streaming: bool = False  # the reply is a stream, which ties the client to one attempt once it has begun
    allowed_zones: frozenset[str] | None = None  # zones whose endpoints may serve it; None: all, empty: none
    allowed_machine_kinds: frozenset[str] | None = None  # kinds of machine that may serve it; None: all, empty: none
    labels: frozenset[str] = frozenset()  # "name=value" attributes that an endpoint must all have
    max_attempts: int = 0  # a limit below that of `Limits`; 0: that of `Limits`
    may_hedge: bool = True  # whether it may be hedged where `Limits.hedging` and its effect allow that
    variant_of: str = ""  # base class that this class narrows and shares its priority with; "": it is a base class

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.objective_us > 0, "objective_us", "must be above 0")
        _require(self.deadline_us > 0, "deadline_us", "must be above 0")
        _require(self.dedup_window_us >= 0, "dedup_window_us", "must not be negative")
        _require(self.worth >= 0, "worth", "must not be negative")
        _require(0 <= self.late_worth_share <= 1, "late_worth_share", "must lie in 0..1")
        _require(self.max_attempts >= 0, "max_attempts", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's part of the service. Raises ValueError as `RequestClass` does."""

    name: str
    share: float = 0.0  # weight in the division of served capacity among active tenants; 0: as 1
    quota_per_s: float = 0.0  # requests per second over all instances that are within its share; 0: a small minimum

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.share >= 0, "share", "must not be negative")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits. Raises ValueError as `RequestClass` does."""

    max_attempts: int = 3  # attempts per request, the first one included; at least 1
    max_retry_after_us: int = 1_000_000  # the longest Retry-After that clients obey
    hedging: bool = False  # whether two attempts of one request may be in flight together
    may_cancel: bool = False  # whether `Actions.cancel` may be used
    may_send_retry_after: bool = False  # whether a refusal may carry a Retry-After
    conn_idle_us: int = 0  # endpoints close connections that are idle for this long; 0: unknown
    connect_timeout_us: int = 250_000  # a connection that is not established in this time has failed; above 0

    def __post_init__(self) -> None:
        _require(self.conn_idle_us >= 0, "conn_idle_us", "must not be negative")
        _require(self.connect_timeout_us > 0, "connect_timeout_us", "must be above 0")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs of decisions, as fractions of the worth of one served request."""

    cross_zone: float = 0.0  # an attempt to an endpoint in another zone
    handshake: float = 0.0  # a new connection to an endpoint


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the two kinds of objectives. With a weight per class, a class of low worth matters too.

    Raises ValueError as `RequestClass` does.
    """

    worth_weight: float = 1.0  # of objectives over all requests, each counted with its class's worth
    class_weight: float = 0.0  # of objectives that count every class alike, such as the worst-served class

    def __post_init__(self) -> None:
        _require(self.worth_weight >= 0, "worth_weight", "must not be negative")
        _require(self.class_weight >= 0, "class_weight", "must not be negative")


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of slow start, of drains and of polling. Raises ValueError as `RequestClass` does.

    The capacity of a cold endpoint is taken to grow linearly from `cold_capacity_share` to 1 within `warm_up_us`.
    """

    warm_up_us: int = 10_000_000  # an endpoint is cold for this long after its start; 0: endpoints start warm
    cold_capacity_share: float = 0.1  # fraction of its capacity that an endpoint starts with, in (0, 1]
    overload_factor: float = 2.0  # a cold endpoint bears this multiple of an even load times its present capacity
    # Time from the notification of a drain within which it must be in force. An instance acts on it at once: the
    # grace determines how often the host polls for notifications.
    drain_grace_us: int = 1_000_000
    # How long an instance without a watch may use its list before it polls again; four times that after a failed poll.
    poll_interval_us: int = 10_000_000

    def __post_init__(self) -> None:
        _require(self.warm_up_us >= 0, "warm_up_us", "must not be negative")
        _require(0 < self.cold_capacity_share <= 1, "cold_capacity_share", "must lie in (0, 1]")
        _require(self.overload_factor > 0, "overload_factor", "must be above 0")
        _require(self.drain_grace_us >= 0, "drain_grace_us", "must not be negative")
        _require(self.poll_interval_us > 0, "poll_interval_us", "must be above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of one instance. Raises ValueError as `RequestClass` does."""

    classes: Sequence[RequestClass]  # at least one, with unique names
    rank: int = 0  # index of this instance among `balancers`, from 0
    balancers: int = 1  # instances that send into the same tier, this one included
    layer: int = 0  # index of the tier that this instance sends into; 0 is the outermost
    tiers: int = 1  # number of tiers, above `layer`
    zone: str = ""  # zone of this instance; "": unknown
    tenants: Sequence[Tenant] = ()  # with unique names; empty: no tenant has a share to exceed
    over_share_worth: float = 1.0  # factor on the worth of a request beyond its tenant's share
    discovery: Discovery = Discovery.PUSH
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    goal: Goal = field(default_factory=Goal)
    rules: Rules = field(default_factory=Rules)

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "must not be empty")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", "names must be unique")
        base_names = {c.name for c in self.classes if not c.variant_of}
        _require(
            all(c.variant_of in base_names for c in self.classes if c.variant_of),
            "classes",
            "variant of an unknown class",
        )
        names = [t.name for t in self.tenants]
        _require(len(set(names)) == len(names), "tenants", "names must be unique")
        _require(self.rank >= 0, "rank", "must not be negative")
        _require(self.balancers >= 1, "balancers", "must be at least 1")
        _require(self.layer >= 0, "layer", "must not be negative")
        _require(self.tiers > self.layer, "tiers", "must be more than layer")
        _require(self.over_share_worth >= 0, "over_share_worth", "must not be negative")


class Actions(Protocol):
    """What an instance requests of its host, which carries it out at once.

    The method names are those of the simulator's wire. `call` is the call id that the host gave to `Events.order`.
    """

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        """Send an attempt of the call to the endpoint. Attempts of a call are numbered from 0 in this order.

        The attempt ends with `Outcome.TIMEOUT` after `max_wait_us`; 0: it lasts until the client's deadline.
        """

    def cancel(self, call: str, attempt: int) -> None:
        """Abort one attempt of the call. It ends with a `reply` like any other attempt."""

    def shed(self, call: str, wait_us: int) -> None:
        """Refuse the request: a final answer with the promise that a retry is harmless.

        `wait_us` is the Retry-After for the client; 0: none.
        """

    def surrender(self, call: str) -> None:
        """Fail the request: a final answer without any promise; the request may have run."""

    def timer(self, delay_us: int, mark: str) -> None:
        """Start a timer: `Events.wake` is called with this mark after `delay_us`."""

    def tail(self, on: bool) -> None:
        """Subscribe to discovery (True) or end the subscription (False)."""

    def disconnect(self, endpoint: str) -> None:
        """Close the idle connections of this instance to the endpoint."""

    def write_log(self, text: str) -> None:
        """Write a log line for operators."""


class Events(Protocol):
    """Events that a host reports to an instance, in the order in which they happen.

    The method names are those of the simulator's wire. `now_us` is the time of the event and never decreases.
    """

    def start(self, now_us: int, has_cached_list: bool = False) -> None:
        """Start the instance; the first event, and only once.

        With `has_cached_list`, the list that was last known follows at once as a `discovery` event and serves until
        discovery responds.
        """

    def discovery(self, now_us: int, form: ListForm, entries: Sequence[Endpoint]) -> None:
        """Update the endpoint list. `form` says what the entries are."""

    def order(
        self, now_us: int, call: str, class_name: str, tenant: str | None, expires_in_us: int, hint_us: int | None
    ) -> None:
        """Take a request that has arrived; the instance gives it exactly one final answer.

        `call` identifies it until it is finished: a RuntimeError is raised where the id is in use, or before `start`.
        `class_name` names a class or a variant of the settings; `tenant` is None where the request names none. The
        client waits for `expires_in_us` more. `hint_us` is the caller's estimate of the request's cost; None: unknown.
        """

    def streaming(self, now_us: int, call: str, attempt: int) -> None:
        """The attempt's reply has begun to stream to the client: from here on it is the request's final answer."""

    def reply(
        self,
        now_us: int,
        call: str,
        attempt: int,
        endpoint: str,
        spent_us: int,
        closed: bool,
        outcome: Outcome,
        load: LoadReport | None = None,
    ) -> None:
        """An attempt ended, `spent_us` after it was sent.

        `closed` says whether the request has its final answer. `load` is the report that came with the reply, if any.
        """

    def adopt(self, now_us: int, classes: Sequence[RequestClass]) -> None:
        """Replace the variants of the classes; the base classes stay as they are.

        Variants that unfinished requests use stay until a later replacement.
        """

    def hearsay(self, now_us: int, factors: Mapping[str, float]) -> None:
        """Apply what other instances report about endpoints.

        `factors` maps an endpoint's id to the fraction of its traffic that remains, in 0..1; 1 for any other endpoint.
        """

    def expired(self, now_us: int, call: str) -> None:
        """The client of the request left, or the host answered it: no final answer is due any more."""

    def wake(self, now_us: int, mark: str) -> None:
        """A timer that `Actions.timer` started with this mark has fired."""
