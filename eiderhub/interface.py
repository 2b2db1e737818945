"""The module's interface: settings, enums, the events it takes and the actions it asks for.

A host (a sidecar, or the wire adapter) makes one `Balancer` for each sidecar instance, calls its event
methods in order of arrival, and carries out the actions that the instance calls on it meanwhile. Times are
integer microseconds on any clock that only moves forward.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple, Protocol


class Effect(Enum):
    """What a repeat of a request of this class would do."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DedupScope(Enum):
    """Which endpoints drop the repeats of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 10
    ERROR = 20
    REJECTED = 30
    TIMEOUT = 40
    CONNECT_FAILED = 50
    RESET = 60
    CANCELLED = 70
    NOT_EXECUTED = 80


class LoadReport(NamedTuple):
    """What an endpoint says of itself in an answer."""

    busy_share: float  # share of its cores in use


class Readiness(Enum):
    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListForm(Enum):
    """What a discovery event carries."""

    DELTA = "D"
    FULL = "F"
    CACHED = "C"
    FAILED = "X"


class Discovery(Enum):
    PUSH = "push"
    POLL = "ask"


class Endpoint(NamedTuple):
    """One entry of a discovery list."""

    id: str
    zone: str
    machine_kind: str
    cell: int
    readiness: Readiness
    weight: float = 1.0
    started_us: int = 0
    labels: frozenset[str] = frozenset()  # further facts of it, as "name=value"


def _require(ok: bool, key: str, why: str) -> None:
    if not ok:
        raise ValueError(f"{key}: {why}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    objective_us: int
    deadline_us: int
    effect: Effect
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_us: int = 0
    worth: float = 1.0
    late_worth_share: float = 0.0
    streaming: bool = False
    allowed_zones: frozenset[str] | None = None  # the only zones that it may go to; None: any
    allowed_machine_kinds: frozenset[str] | None = None  # the only kinds of machine
    labels: frozenset[str] = frozenset()  # "name=value" facts that an endpoint must have, all of them
    max_attempts: int = 0  # fewer than the site's; 0: the site's
    may_hedge: bool = True  # whether a second copy may go out, where the class and the site allow it
    variant_of: str = ""  # the class that this one is a narrower form of, and ranks as; "": none

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
    name: str
    share: float = 0.0
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.share >= 0, "share", "must not be negative")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits."""

    max_attempts: int = 3
    max_retry_after_us: int = 1_000_000
    hedging: bool = False
    may_cancel: bool = False
    may_send_retry_after: bool = False
    conn_idle_us: int = 0  # idle connections are closed after this; 0: not told
    connect_timeout_us: int = 250_000  # a connection not up by then has failed

    def __post_init__(self) -> None:
        _require(self.conn_idle_us >= 0, "conn_idle_us", "must not be negative")
        _require(self.connect_timeout_us > 0, "connect_timeout_us", "must be above 0")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result for what a decision costs, as fractions of a first try's worth."""

    cross_zone: float = 0.0
    handshake: float = 0.0  # a new connection to an endpoint


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the result's parts: what is counted class by class makes a cheap class matter too."""

    worth_weight: float = 1.0  # over all requests, each with its class's worth
    class_weight: float = 0.0  # the weakest class, and parts that each class has alike

    def __post_init__(self) -> None:
        _require(self.worth_weight >= 0, "worth_weight", "must not be negative")
        _require(self.class_weight >= 0, "class_weight", "must not be negative")


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the rules on cold endpoints and on drains, which are kept at once, whatever their grace."""

    warm_up_us: int = 10_000_000
    cold_capacity_share: float = 0.1
    overload_factor: float = 2.0
    drain_grace_us: int = 1_000_000  # how soon news of a drain must be in force: it says how often to look for it
    poll_interval_us: int = 10_000_000  # how long a copy with no watch may go by its list, or four times that

    def __post_init__(self) -> None:
        _require(self.warm_up_us >= 0, "warm_up_us", "must not be negative")
        _require(0 < self.cold_capacity_share <= 1, "cold_capacity_share", "must lie in (0, 1]")
        _require(self.overload_factor > 0, "overload_factor", "must be above 0")
        _require(self.drain_grace_us >= 0, "drain_grace_us", "must not be negative")
        _require(self.poll_interval_us > 0, "poll_interval_us", "must be above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: Sequence[RequestClass]
    rank: int = 0
    balancers: int = 1
    layer: int = 0
    tiers: int = 1
    zone: str = ""
    tenants: Sequence[Tenant] = ()
    over_share_worth: float = 1.0
    discovery: Discovery = Discovery.PUSH
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    goal: Goal = field(default_factory=Goal)
    rules: Rules = field(default_factory=Rules)

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", "names must differ")
        full = {c.name for c in self.classes if not c.variant_of}
        _require(all(c.variant_of in full for c in self.classes if c.variant_of), "classes", "a variant of no class")
        names = [t.name for t in self.tenants]
        _require(len(set(names)) == len(names), "tenants", "names must differ")
        _require(self.rank >= 0, "rank", "must not be negative")
        _require(self.balancers >= 1, "balancers", "must be at least 1")
        _require(self.layer >= 0, "layer", "must not be negative")
        _require(self.tiers > self.layer, "tiers", "must be more than layer")
        _require(self.over_share_worth >= 0, "over_share_worth", "must not be negative")


class Actions(Protocol):
    """What an instance may ask of its host, each taking effect at once."""

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        """Send an attempt; max_wait_us 0 waits till the client quits."""

    def cancel(self, call: str, attempt: int) -> None:
        """Quit waiting for one attempt."""

    def shed(self, call: str, wait_us: int) -> None:
        """Final answer: refused, a retry does no harm."""

    def surrender(self, call: str) -> None:
        """Final answer: failed, nothing promised."""

    def timer(self, delay_us: int, mark: str) -> None:
        """Ask for `wake` with this mark."""

    def tail(self, on: bool) -> None:
        """Subscribe to discovery, or end that."""

    def disconnect(self, endpoint: str) -> None:
        """Close this instance's idle connections to the endpoint."""

    def write_log(self, text: str) -> None:
        """A line for those on call."""


class Events(Protocol):
    """What a host tells an instance, in order of arrival."""

    def start(self, now_us: int, has_cached_list: bool = False) -> None:
        """Comes first, once; `known`: the list that was known last follows, and serves until discovery answers."""

    def discovery(self, now_us: int, form: ListForm, entries: Sequence[Endpoint]) -> None:
        """News of the endpoints."""

    def order(
        self, now_us: int, call: str, class_name: str, tenant: str | None, expires_in_us: int, hint_us: int | None
    ) -> None:
        """A request came in; exactly one final answer is owed for it."""

    def streaming(self, now_us: int, call: str, attempt: int) -> None:
        """The answer of a streamed class has begun: the client owns this attempt now."""

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
        """An attempt ended; `closed` says that the request is finished, `load` what came with the answer."""

    def adopt(self, now_us: int, classes: Sequence[RequestClass]) -> None:
        """Other variants of the classes hold from now on; the classes themselves stay as they were."""

    def hearsay(self, now_us: int, factors: Mapping[str, float]) -> None:
        """What other instances' evidence leaves of endpoints' parts, in 0..1; those not named are at their full one."""

    def expired(self, now_us: int, call: str) -> None:
        """The client quit."""

    def wake(self, now_us: int, mark: str) -> None:
        """A timer came due."""
