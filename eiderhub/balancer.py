"""The decision module: admits, queues, routes, retries and hedges the requests of one sidecar instance.

Read `eiderhub/interface.py` first: it defines the settings, events and actions that are used here.

The path of a request follows "How Airbnb Built Adaptive Traffic Management for a Multi-tenant Key-value
Store": it is priced in request units (RU) and charged to its tenant's token bucket, at a higher price while
the latency ratio shows stress; past a learned in-flight cap it is queued; a long sojourn in that queue
refuses new arrivals; it is sent to the less loaded of two random members of a random subset of the next
tier's endpoints. docs/design.md lists the departures from this path and the failure behind each.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections import Counter, deque
from collections.abc import Mapping, Sequence

from eiderhub.interface import (
    Actions,
    DedupScope,
    Discovery,
    Effect,
    Endpoint,
    ListForm,
    LoadReport,
    Outcome,
    Readiness,
    RefusalReason,
    RequestClass,
    Settings,
)
from eiderhub.policy.load_weight import LoadWeight, mean_busy

# --- request units and token buckets ---
BASE_COST_RU = 1.0  # price of a call without a hint
HINT_RU_PER_US = 1e-5  # price of each hinted microsecond: a hint of 100 ms doubles the base cost
LATENCY_RU_PER_US = 5e-7  # charged for an attempt's latency when it ends: 2 s double the base cost
REFILL_WINDOW_US = 500_000  # interval of refills; a bucket's depth spans a few of them
REFILL_HEADROOM = 0.1  # share added to the served RU, so that budgets recover after a cut
RATE_WEIGHT = 0.15  # of the newest window, in which a quiet instance serves only a handful of calls
BUCKET_DEPTH_US = 1_500_000  # refill that a bucket holds: more lets a large tenant flood the queue
BUCKET_EXTRA_RU = 3.0  # and this much more, or random arrivals would take small tenants over their share
TENANT_ACTIVE_US = 10_000_000  # a tenant without calls for this long takes no part in the split
HOT_INSTANCE_RATIO = 1.6  # an instance is hot once most tenants are served this many times their quota
MAX_QUOTA_FACTOR = 8.0  # bound on the factor by which a hot instance raises its quotas
MIN_TENANT_RATE_PER_S = 1.0  # requests a second granted to a tenant without a stated quota
MEAN_COST_WEIGHT = 0.05  # of the newest call in the mean cost of a served call

# --- latency ratio; latencies are shares of the class's latency objective ---
BUCKETS_PER_DOUBLING = 4  # a resolution of 19%
HISTOGRAM_MIN = 1 / 1024  # lowest latency with a bucket of its own
HISTOGRAM_BUCKETS = 64  # up to 64 times the objective
SHORT_WINDOW_US = 1_500_000  # the short-term p95 covers one to two of these
LONG_WINDOW_US = 20_000_000  # the long-term p95 covers one to two of these
RATIO_INTERVAL_US = 250_000  # between computations of the ratio
RATIO_MIN_SAMPLES = 12  # short-term samples; with fewer, a few long calls would swing the p95
MAX_NORMAL_LATENCY = 0.5  # a long-term p95 above this is not the normal state, however long it has lasted
STRESS_RATIO = 0.7  # stress begins below this ratio
STRESS_PRICE_FACTOR = 3.0  # under full stress the least valuable class pays 1 + this times its price
SATURATION_WEIGHT = 0.1  # of the newest arrival in the share of arrivals that find no capacity at once
SATURATION_THRESHOLD = 0.2  # above this share capacity is scarce, even if the ratio looks normal

# --- concurrency ---
INITIAL_ENDPOINT_CAP = 7.0  # calls in flight at one endpoint, from all instances together, before learning
SAFE_ENDPOINT_CAP = 14.0  # above this the cap grows only on evidence gathered at the cap itself
MIN_ENDPOINT_CAP = 2.0  # fewer would starve healthy endpoints once a failure is over
REMOTE_ZONE_SHARE = 0.6  # of an even share, used in other zones, whose own callers come first
MIN_CAP = 0.1  # calls; small, since the caps of many instances add up
DITHER_INTERVAL_US = 250_000  # how often a fraction of a call in the cap is granted anew, at random
BURST_FACTOR = 2.0  # calls in flight may exceed the cap by this times its square root: arrivals are random
BURST_FACTOR_OUTERMOST = 0.5  # the same at the outermost tier, which is the one to refuse excess
TARGET_RISE = 2.0  # the cap falls when the median latency reaches this many times the uncrowded one
MIN_TARGET_RISE = 1.3  # lower bound of that rise, where the uncrowded median is high already
MAX_TARGET_LATENCY = 0.3  # upper bound of the target, as a share of the objective, divided by layer + 1
ROUND_WEIGHT = 0.3  # of the newest round in the smoothed median
BASELINE_DRIFT = 1.01  # growth of the uncrowded median per uncrowded round, to follow lasting changes
ROUND_SAMPLES = 8  # outcomes per round; the cap changes once a round
ROUND_SAMPLES_PER_CALL = 1.5  # further outcomes per round for each call of the cap
GROWTH_SHARE = 0.1  # growth in a good round, as a share of the cap
MIN_GROWTH = 0.3  # calls by which the cap grows at least in a good round
MIN_CUT_FACTOR = 0.6  # a bad round leaves at least this share of the cap
REJECTION_LATENCY = 1.0  # a rejection by an endpoint counts as a call that took this share of its objective
GROWTH_INTERVAL_US = 2_500_000  # between growth above the safe cap: crowding takes this long to show
MAX_BUSY_SHARE = 0.75  # the cap falls when endpoints report more of their cores in use, on average
LOW_CPU_FILL = 0.8  # below this part of MAX_BUSY_SHARE, slow calls are attributed to the tiers behind
CAP_BINDING_SHARE = 0.7  # the cap binds when this share of it is in use
MIN_BINDING_SHARE = 0.25  # of a round's outcomes, for growth: a single burst is not evidence
MIN_BINDING_SHARE_HIGH = 0.5  # the same above the safe cap
SHARE_KEPT = 0.98  # of the lagged share, per refill window: after a list has shrunk, it loses a third in 10 s
LOSS_SENSITIVITY = 5.0  # the cap learned above the initial one falls this many times as fast as live capacity
LOW_PRIORITY_CAP_SHARE = 0.8  # of the cap, open to low-priority calls, so that others find capacity at once
LOW_PRIORITY_WORTH = 0.5  # a call worth less than this share of the best class has low priority

# --- admission queue ---
QUEUE_TIME_SHARE = 0.35  # of a class's objective that a call may be queued
QUEUE_TIME_SHARE_INNER = 0.5  # longer in inner tiers, whose refusals look like errors that may have run
SOJOURN_SHARE = 0.12  # target of the time in the queue, as a share of the objective
SOJOURN_INTERVAL_US = 200_000  # a sojourn above target for this long refuses arrivals
SWEEP_INTERVAL_US = 20_000  # between looks at queued calls and pending hedges
ANSWER_MARGIN_US = 60_000  # a queued call is answered this long before its client gives up, for a retry

# --- endpoints ---
SENT_RU_KEPT = 0.95  # of the recorded work, per refill window: a memory of ten seconds
MIN_SPARE_SHARE = 0.1  # of an even share, left to other classes where a constrained class fills its endpoints
MIN_SUBSET_SIZE = 5  # small, so that a quiet instance gathers evidence and keeps connections warm
SUBSET_SIZE_PER_CALL = 2.0  # endpoints per call of the cap: a hot instance spreads wider
DRAWS_PER_CANDIDATE = 4  # random draws to find an endpoint that may take the call
FAILURE_WEIGHT = 0.3  # of the newest outcome in an endpoint's failure rate
OVERALL_WEIGHT = 0.02  # of the newest outcome in the failure rate and latency of all endpoints
EJECTION_FAILURE_RATE = 0.45  # two failures in a row exceed it
EJECTION_PEER_FACTOR = 0.5  # of the overall failure rate, added to that: shared failures eject no endpoint
FAILURE_RATE_AFTER_EJECTION = 0.35  # one more failure ejects the endpoint again
RESET_BURST_US = 20_000  # resets this close together mean an ended process, not a corrupt answer
DRAINING_REJECTIONS = 3  # consecutive rejections after which an endpoint is taken to be draining, not busy
MAX_EJECTED_SHARE = 0.5  # of the known endpoints in all zones
EJECTION_US = 3_000_000  # doubled with each further ejection
MAX_EJECTION_US = 24_000_000
RECOVERY_US = 4_000_000  # ramp of an endpoint's traffic after an ejection
RECOVERY_START = 0.15  # of its traffic, at the start of the ramp
MIN_PEER_FACTOR = 0.05  # above zero, so that peer reports alone never eject an endpoint
LATENCY_WEIGHT = 0.2  # of the newest latency in an endpoint's mean
MAX_RELATIVE_LATENCY = 4.0  # bound on how much slower or faster than its peers an endpoint counts
COLD_CAPACITY_USE = 0.5  # share of a cold endpoint's overload factor that all instances together use
USAGE_INTERVAL_US = 50_000  # between computations of a pool's usable and live capacity
RISE_WEIGHT, FALL_WEIGHT = 0.2, 0.01  # of the newest window in a pool's send rate, as it rises or falls
OUTLIER_LATENCY = 2.0  # endpoints slower than this, relative to peers, do not affect the ratio and the cap

# --- connections ---
IDLE_BUCKET_MIN_US = 500_000  # idle times fall into buckets: below this, and by doublings from it
IDLE_BUCKETS = 5
OVERDUE_RISE = 3.0  # an attempt counts as unanswered after this many median latencies
UNANSWERED_WEIGHT = 0.1  # of the newest attempt in the unanswered share of its idle bucket
MAX_UNANSWERED_EXCESS = 0.15  # connections idle this much more often unanswered than others are closed
IDLE_MIN_SAMPLES = 5  # attempts before a share counts
IDLE_PROBE_SHARE = 0.1  # of uses of connections presumed dead that go ahead, to notice when they work again
CONNECTION_KEPT_SHARE = 0.8  # of the endpoints' idle timeout, for which a connection is relied on
HANDSHAKE_CALLS = 10.0  # in-flight calls that a new connection counts as, per unit of its price

# --- attempts ---
MIN_TIME_LEFT_SHARE = 0.5  # of the median latency; a call with less time left is refused
TIMEOUT_VOTES = 50  # calls with another timeout after which the usual client timeout is replaced
HEDGE_RISE = 3.0  # a hedge is sent when the first attempt has taken this many median latencies
RETRY_SHARE = 0.1  # retries and hedges allowed per first attempt
RETRY_BURST = 5.0  # retries and hedges allowed at once
MAX_ATTEMPTS = 3  # from the outermost tier
MAX_ATTEMPTS_INNER = 2  # from inner tiers: the retries of several tiers multiply
RETRY_AFTER_SHARE = 0.5  # of the longest Retry-After that clients obey: the shortest one that is sent
SPREAD_US = 5_000  # per instance, over which first polls are spread: discovery serves one at a time
MAX_SPREAD_US = 1_000_000  # the cached list that is used meanwhile may be old
POLL_BACKOFF_US = 500_000  # first wait after a failed poll; doubled with each further one
MAX_POLL_BACKOFF_US = 8_000_000
# While calls to discovery fail and no list has come for this long, changes may count as notified that this
# instance does not know.
UNCONFIRMED_LIST_US = 6_000_000
# An endpoint that has served a call sent within this time can't have been draining for as long as that: once
# it is listed as draining, it may serve new calls for some seconds, and then rejects them.
SERVED_LATELY_US = 3_000_000
SPILLOVER_GAIN = 0.5  # share of a call's worth that sending it to another zone is expected to save

UNANSWERED = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED))
NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED))
CONNECTION_LOST = UNANSWERED | {Outcome.CONNECT_FAILED}
SWEEP_TIMER, POLL_TIMER = "sweep", "ask"


def may_refuse(effect: Effect, dedup_scope: DedupScope, may_have_run: bool) -> bool:
    """Return whether the final answer may be `shed`, which promises that a retry is harmless.

    If not, it must be `surrender`, which promises nothing.
    """
    if not may_have_run or effect is Effect.IDEMPOTENT:
        return True
    return effect is Effect.DEDUPLICATED and dedup_scope is DedupScope.ALL


def may_resend(
    effect: Effect,
    dedup_scope: DedupScope,
    dedup_window_us: int,
    first: tuple[int, str, int] | None,
    now: int,
    to: tuple[str, int],
) -> bool:
    """Return whether another attempt may go to an endpoint in `to` (zone, cell): no effect may run twice.

    `first` is the earliest attempt that may have run, as (sent at, zone, cell), or None.
    """
    if first is None or effect is Effect.IDEMPOTENT:
        return True
    if effect is Effect.AT_MOST_ONCE or now - first[0] > dedup_window_us:
        return False
    if dedup_scope is DedupScope.ALL:
        return True
    return first[1] == to[0] if dedup_scope is DedupScope.ZONE else first[2] == to[1]


class TokenBuckets:
    """Tenants' budgets in RU, refilled each window by what was served in the last ones."""

    class Bucket:
        """The budget of one tenant at this instance."""

        __slots__ = (
            "last_seen_at", "quota_per_s", "refill_per_s", "served_ru", "served_ru_per_s", "share", "tokens",
        )  # fmt: skip

        def __init__(self, share: float, quota_per_s: float) -> None:
            self.share = share
            self.quota_per_s = quota_per_s  # requests, at this instance
            self.refill_per_s = quota_per_s * BASE_COST_RU * (1 + REFILL_HEADROOM)  # RU
            self.tokens = self.depth()
            self.last_seen_at = -TENANT_ACTIVE_US
            self.served_ru = 0.0  # in this window, within the share or over it
            self.served_ru_per_s = 0.0  # smoothed

        def depth(self) -> float:
            """Return the most RU that it holds."""
            return self.refill_per_s * BUCKET_DEPTH_US / 1e6 + BUCKET_EXTRA_RU

    def __init__(self, settings: Settings, phase_us: int, now: int) -> None:
        self.buckets = {
            t.name: self.Bucket(t.share or 1.0, t.quota_per_s / settings.balancers or MIN_TENANT_RATE_PER_S)
            for t in settings.tenants
        }
        self.next_refill = now + phase_us
        self.paid_ru = 0.0  # served within the shares, in this window
        self.paid_ru_per_s = 0.0  # smoothed
        self.mean_cost = BASE_COST_RU

    def bucket_for(self, tenant: str) -> Bucket:
        """Return the tenant's bucket; a tenant that the settings don't name gets one with a small quota."""
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = self.Bucket(1.0, MIN_TENANT_RATE_PER_S)
        return bucket

    def charge(self, bucket: Bucket, price_ru: float, paid_ru: float, latency_us: int, ok: bool) -> None:
        """Charge for the latency of an ended attempt; `paid_ru` was charged on the call's arrival."""
        latency_ru = LATENCY_RU_PER_US * latency_us
        if paid_ru:
            bucket.tokens -= latency_ru
        if ok:
            self.mean_cost += MEAN_COST_WEIGHT * (price_ru + latency_ru - self.mean_cost)
            bucket.served_ru += price_ru + latency_ru
            # Calls over the share that spare capacity serves must not raise the tenant's own budget.
            if paid_ru:
                self.paid_ru += price_ru + latency_ru

    def refill(self, now: int) -> None:
        """Refill the buckets for the windows that have passed, and split the served rate by shares."""
        windows = 1 + (now - self.next_refill) // REFILL_WINDOW_US
        self.next_refill += windows * REFILL_WINDOW_US
        for _ in range(min(windows, 20)):
            rate = self.paid_ru * 1e6 / REFILL_WINDOW_US
            self.paid_ru_per_s += RATE_WEIGHT * (rate - self.paid_ru_per_s)
            self.paid_ru = 0.0
            for b in self.buckets.values():
                b.served_ru_per_s += RATE_WEIGHT * (b.served_ru * 1e6 / REFILL_WINDOW_US - b.served_ru_per_s)
                b.served_ru = 0.0
        active = [b for b in self.buckets.values() if now - b.last_seen_at < TENANT_ACTIVE_US]
        shares, quota_factor = sum(b.share for b in active), self._quota_factor(active)
        for b in self.buckets.values():
            split = self.paid_ru_per_s * b.share / shares if shares else 0.0
            # A quota counts requests: priced at the mean cost, it does not shrink when calls slow down.
            b.refill_per_s = max(b.quota_per_s * self.mean_cost * quota_factor, split) * (1 + REFILL_HEADROOM)
            b.tokens = min(b.depth(), b.tokens + b.refill_per_s * windows * REFILL_WINDOW_US / 1e6)

    def _quota_factor(self, active: list[Bucket]) -> float:
        """Return how many times its even share of the traffic this instance gets; 1 unless it is hot.

        Quotas are split evenly, and some of many instances get several times the mean. Without this factor
        all tenants there exceed their share and rank alike, so that those well within their share of the
        whole are refused along with one far over it. The factor is the one that at least half of the tenants
        reach by their served calls: a single tenant with more traffic does not raise it, nor do the repeats
        of a request by its client, of which only one is served.
        """
        ratios = sorted(b.served_ru_per_s / (b.quota_per_s * self.mean_cost) for b in active)
        median = ratios[(len(ratios) - 1) // 2] if len(ratios) > 1 else 0.0
        return min(median, MAX_QUOTA_FACTOR) if median > HOT_INSTANCE_RATIO else 1.0


class Histogram:
    """Counts of latencies, as shares of the class's objective, in log-spaced buckets."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * HISTOGRAM_BUCKETS
        self.total = 0

    def add(self, value: float) -> None:
        """Count one latency."""
        index = int(math.log2(value / HISTOGRAM_MIN) * BUCKETS_PER_DOUBLING) if value > HISTOGRAM_MIN else 0
        self.counts[min(index, HISTOGRAM_BUCKETS - 1)] += 1
        self.total += 1

    def upper_quantile(self, fraction: float, older: Histogram | None = None) -> float:
        """Return the latency that this fraction of the samples, with those of `older`, exceeds."""
        remaining = fraction * (self.total + (older.total if older else 0))
        index = HISTOGRAM_BUCKETS - 1
        while index > 0:
            remaining -= self.counts[index] + (older.counts[index] if older else 0)
            if remaining < 0:
                break
            index -= 1
        return float(HISTOGRAM_MIN * 2 ** ((index + 0.5) / BUCKETS_PER_DOUBLING))


class LatencyRatio:
    """The long-term p95 of call latencies over the short-term p95: well below 1 the tier is under stress."""

    def __init__(self, now: int) -> None:
        self.short = (Histogram(), Histogram())  # newer and older half
        self.long = (Histogram(), Histogram())
        self.short_rotates_at = now + SHORT_WINDOW_US
        self.long_rotates_at = now + LONG_WINDOW_US
        self.next_refresh_at = now + RATIO_INTERVAL_US
        self.value = 1.0

    def record(self, now: int, latency: float) -> None:
        """Count a latency, and compute the ratio where that is due."""
        self.short[0].add(latency)
        self.long[0].add(latency)
        if now >= self.next_refresh_at:
            self.refresh(now)

    def refresh(self, now: int) -> None:
        """Rotate the windows and compute the ratio."""
        self.next_refresh_at = now + RATIO_INTERVAL_US
        if now >= self.short_rotates_at:
            stale = now >= self.short_rotates_at + SHORT_WINDOW_US
            self.short_rotates_at = now + SHORT_WINDOW_US
            self.short = (Histogram(), Histogram() if stale else self.short[0])
        if now >= self.long_rotates_at:
            self.long_rotates_at = now + LONG_WINDOW_US
            self.long = (Histogram(), self.long[0])
        if self.short[0].total + self.short[1].total < RATIO_MIN_SAMPLES:
            self.value = 1.0
            return
        # The bound matters for a tier that is slow from its start: its slow state would look normal.
        normal = min(self.long[0].upper_quantile(0.05, self.long[1]), MAX_NORMAL_LATENCY)
        self.value = normal / self.short[0].upper_quantile(0.05, self.short[1])

    def stress(self) -> float:
        """Return the stress, from 0 while the ratio is near 1 up to 1."""
        return max(0.0, 1.0 - self.value / STRESS_RATIO)


class ConcurrencyLimit:
    """The in-flight cap of one pool, learned from latencies, taken as shares of the class's objective.

    It follows medians: single long calls, and the few that met a slow endpoint, are no sign of crowding, and
    a cap that fell for them would starve the healthy endpoints.
    """

    def __init__(self, layer: int) -> None:
        self.endpoint_cap = INITIAL_ENDPOINT_CAP  # calls in flight at one endpoint, from all instances
        self.endpoint_share = 0.0  # this instance's even share of the listed endpoints, as their number
        self.lagged_share = 0.0  # the same, following a list that shrinks gradually
        self.usable_fraction = 1.0  # of the pool's capacity: neither cold nor ejected
        self.live_fraction = 1.0  # of the pool's capacity: neither cold nor ejected as unreachable
        self.mean_busy: float | None = None  # mean busy share that the endpoints report
        self.in_flight = 0
        self.dither = 0.0
        self.next_dither_at = 0
        self.median_latency = self.baseline = 0.0  # smoothed; baseline: while uncrowded
        self.max_target = MAX_TARGET_LATENCY / (layer + 1)
        self.max_normal = MAX_NORMAL_LATENCY / (layer + 1)  # highest latency that may be the uncrowded one
        self.round = Histogram()
        self.cap_bound_count = 0  # outcomes of this round that came while the cap was binding
        self.burst_factor = BURST_FACTOR if layer else BURST_FACTOR_OUTERMOST
        self.headroom = 0.5  # 1 while uncrowded, 0 with latencies at their target
        self.cut_at = self.grown_at = 0

    @property
    def cap(self) -> float:
        """The cap on the mean number of calls in flight; it follows the capacity in use.

        While a part of the endpoints is lost, retries and returning endpoints crowd the rest, which then bear
        less than was learned: the full cap would overload the few that are left, or cold ones.
        """
        learned = max(0.0, self.endpoint_cap - INITIAL_ENDPOINT_CAP) * max(
            0.0, 1.0 - LOSS_SENSITIVITY * (1.0 - self.live_fraction)
        )
        endpoint_cap = min(self.endpoint_cap, INITIAL_ENDPOINT_CAP + learned)
        return max(
            MIN_CAP,
            min(endpoint_cap * self.lagged_share, max(endpoint_cap, SAFE_ENDPOINT_CAP) * self.endpoint_share)
            * self.usable_fraction,
        )

    def set_endpoint_share(self, endpoint_share: float) -> None:
        """Take this instance's share of a new list.

        In a release endpoints leave the list and return within seconds. A cap that followed each of them
        would starve the tier while its clients retry, so it falls gradually, as far as the endpoints that are
        left safely bear it.
        """
        self.endpoint_share = endpoint_share
        self.lagged_share = max(endpoint_share, self.lagged_share)

    def max_in_flight(self, saturation: float) -> float:
        """Return the calls that may be in flight at one moment, while the cap bounds their mean.

        A quiet inner instance has a cap of a call or two, which random arrivals exceed all the time: without
        an allowance it would refuse half-done work while endpoints are idle. The allowance shrinks as
        latencies near their target, and is smallest at the outermost tier, where excess is to be refused.
        """
        cap = self.cap
        return cap + self.burst_factor * self.headroom * (1.0 - saturation) * math.sqrt(cap)

    def is_full(self, now: int, max_in_flight: float, rng: random.Random) -> bool:
        """Return whether the calls in flight reach this bound.

        While crowded, a fraction of a call in the bound is granted for that fraction of the time: bounds
        rounded up to whole calls at hundreds of instances would keep a small fleet crowded.
        """
        if now >= self.next_dither_at:
            self.next_dither_at = now + DITHER_INTERVAL_US
            self.dither = rng.random()
        return self.in_flight >= (max_in_flight if self.headroom else int(max_in_flight + self.dither))

    def record_outcome(self, now: int, sent_at: int, latency: float) -> None:
        """Take an outcome; the last one of a round adjusts the cap."""
        # Calls sent before the last cut say nothing of its effect, and would cut again and again.
        if sent_at < self.cut_at:
            return
        self.round.add(latency)
        cap = self.cap
        self.cap_bound_count += self.in_flight >= CAP_BINDING_SHARE * cap
        if self.round.total >= ROUND_SAMPLES + ROUND_SAMPLES_PER_CALL * cap:
            self._finish_round(now, cap)

    def _finish_round(self, now: int, cap: float) -> None:
        """Cut or raise the cap by the median latency of the round and the reported CPU load."""
        median = self.round.upper_quantile(0.5)
        self.median_latency += (ROUND_WEIGHT if self.median_latency else 1.0) * (median - self.median_latency)
        # If the baseline drifted in every round, a lasting overload would be learned as the uncrowded state:
        # the cap would climb for minutes, until a burst jams all endpoints. The price is that a permanent
        # slowdown of the endpoints is learned late, once the cap has fallen to what they safely bear.
        drift = 1.0 if self.cap_bound_count and self.endpoint_cap > SAFE_ENDPOINT_CAP else BASELINE_DRIFT
        # At a start amid overload, latencies that were always high are not the uncrowded state.
        self.baseline = min(self.baseline * drift if self.baseline else self.max_normal, self.median_latency)
        target = max(MIN_TARGET_RISE * self.baseline, min(TARGET_RISE * self.baseline, self.max_target))
        cpu_fill = 1.0 if self.mean_busy is None else self.mean_busy / MAX_BUSY_SHARE
        if cpu_fill < LOW_CPU_FILL:  # the tiers behind are slow: more calls may wait for them without harm
            target = max(target, self.max_normal)
        self.headroom = min(1.0, max(0.0, TARGET_RISE * (1.0 - median / target)))
        if median > target or cpu_fill > 1.0:
            self.endpoint_cap = max(
                MIN_ENDPOINT_CAP, self.endpoint_cap * max(MIN_CUT_FACTOR, min(target / median, 1 / cpu_fill))
            )
            self.cut_at = now
        elif self._round_allows_growth() and (
            self.endpoint_cap < SAFE_ENDPOINT_CAP or now >= self.grown_at + GROWTH_INTERVAL_US
        ):
            self.endpoint_cap += max(MIN_GROWTH * self.endpoint_cap / cap, GROWTH_SHARE * self.endpoint_cap)
            self.grown_at = now
        self.round, self.cap_bound_count = Histogram(), 0

    def _round_allows_growth(self) -> bool:
        """Return whether this round shows what all endpoints bear at the cap.

        Calls that met a cap which was not binding show nothing, nor do short bursts, nor what a few endpoints
        bear for a while in place of others.
        """
        share = MIN_BINDING_SHARE_HIGH if self.endpoint_cap > SAFE_ENDPOINT_CAP else MIN_BINDING_SHARE
        return self.usable_fraction == 1.0 and self.cap_bound_count > share * self.round.total


class RetryBudget:
    """Bounds retries and hedges to a share of first attempts, so that failures do not multiply the load."""

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def earn(self) -> None:
        """Credit one first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take the token of one retry or hedge; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class IdleConnections:
    """Learns from unanswered attempts how long a connection may be idle and still be reliable.

    Middleboxes drop idle connections silently. A request sent on one waits for its whole timeout, at any
    endpoint and for any class, so that no endpoint looks faulty; quiet instances are affected most.
    """

    def __init__(self, server_timeout_us: int) -> None:
        self.server_timeout_us = server_timeout_us or 1 << 62
        # Unanswered shares, and attempts, by idle bucket; the last entry is for new connections.
        self.unanswered_shares = [0.0] * (IDLE_BUCKETS + 1)
        self.counts = [0] * (IDLE_BUCKETS + 1)

    def bucket_of_idle_time(self, idle_us: int) -> int:
        """Return the bucket of an idle time; a connection that the server has closed is a new one."""
        if idle_us >= self.server_timeout_us:
            return IDLE_BUCKETS
        return min((idle_us // IDLE_BUCKET_MIN_US).bit_length(), IDLE_BUCKETS - 1)

    def record_outcome(self, bucket: int, unanswered: bool) -> None:
        """Count the outcome of an attempt on a connection of this bucket."""
        self.counts[bucket] += 1
        weight = max(UNANSWERED_WEIGHT, 1 / self.counts[bucket])
        self.unanswered_shares[bucket] += weight * (unanswered - self.unanswered_shares[bucket])

    def should_close(self, bucket: int, draw: float) -> bool:
        """Return whether to close connections of this bucket before use; `draw` is random in 0..1."""
        if bucket == IDLE_BUCKETS or self.counts[bucket] < IDLE_MIN_SAMPLES or draw < IDLE_PROBE_SHARE:
            return False
        known = [s for s, n in zip(self.unanswered_shares, self.counts, strict=True) if n >= IDLE_MIN_SAMPLES]
        if self.counts[IDLE_BUCKETS] < IDLE_MIN_SAMPLES:
            known.append(0.0 if draw < 0.5 else 1.0)  # half of the uses measure how new connections do
        return self.unanswered_shares[bucket] > min(known) + MAX_UNANSWERED_EXCESS


class EndpointState:
    """What this instance knows of one endpoint: its listing, own calls, health and slow start."""

    __slots__ = (
        "cell", "cold_tokens", "cold_tokens_at", "ejected_until", "ejection_count", "failure_rate", "id",
        "in_flight", "is_listed", "is_ready", "is_unreachable", "labels", "last_failure_at",
        "last_served_at", "last_used_at", "load_weight", "machine_kind", "peak_at", "peak_in_flight",
        "peer_factor", "rejections_in_a_row", "relative_latency", "sort_key", "started_at", "weight", "zone",
    )  # fmt: skip

    def __init__(self, entry: Endpoint, now: int) -> None:
        self.id = entry.id
        self.sort_key = zlib.crc32(entry.id.encode())  # one order for all instances, unlike that of ids
        self.in_flight = self.last_failure_at = 0
        self.failure_rate = 0.0
        self.relative_latency = 0.0  # mean latency over that of all endpoints; 0: unknown
        self.load_weight = LoadWeight()
        self.peer_factor = 1.0  # share of its traffic that peer reports leave it
        self.is_unreachable = False  # whether the last failure was one of the process, not of a single answer
        self.rejections_in_a_row = 0
        self.cold_tokens = -1.0  # sends that it may get while cold; below 0: slow start has not begun
        self.cold_tokens_at = 0
        self.last_served_at = 0  # when the last attempt that it served was sent; 0: never
        self.last_used_at = 0  # when a connection to it was last in use; 0: never
        self.peak_in_flight = self.peak_at = 0  # recent maximum, which is the number of open connections
        self.ejected_until = self.ejection_count = self.started_at = 0
        self.update(entry, now)

    def update(self, entry: Endpoint, now: int) -> None:
        """Take a new entry of the discovery list."""
        self.zone, self.machine_kind, self.cell, self.weight = (
            entry.zone,
            entry.machine_kind,
            entry.cell,
            entry.weight,
        )
        self.labels = entry.labels
        self.is_ready = entry.readiness is Readiness.READY
        # A draining endpoint may return at once, as with a flapping health check: it is known until removed.
        self.is_listed = entry.readiness is not Readiness.REMOVED
        if entry.started_us != self.started_at:  # a new process under a known id: discard what was learned
            self.started_at = entry.started_us
            self.cold_tokens, self.cold_tokens_at = -1.0, now
            self.failure_rate = self.relative_latency = 0.0
            self.ejected_until = self.ejection_count = 0
            self.load_weight, self.peer_factor = LoadWeight(), 1.0


class Subset:
    """The random subset of one pool: a block of a random order that all instances share."""

    def __init__(self) -> None:
        self.members: list[EndpointState] = []

    def draw(self, endpoints: list[EndpointState], rank: int, balancers: int, size: int) -> None:
        """Choose the members.

        Blocks at even offsets load all endpoints alike, where independent choices would leave gaps.
        """
        endpoints.sort(key=lambda e: (e.sort_key, e.id))
        n = len(endpoints)
        if size >= n:
            self.members = endpoints
            return
        start = rank % balancers * n // balancers
        self.members = [endpoints[(start + i) % n] for i in range(size)]


class ClientTimeout:
    """The timeout that most clients of one class use; requests with less time left are taken for retries."""

    def __init__(self) -> None:
        self.usual_us = 0
        self.votes = 0

    def age(self, time_left_us: int, deadline_us: int) -> int:
        """Return how long ago the client sent the first try, as far as the time left shows it."""
        if abs(time_left_us - self.usual_us) * 100 <= deadline_us:
            self.votes = min(self.votes + 1, TIMEOUT_VOTES)
            return 0
        self.votes -= 1
        if self.votes < 0:
            self.usual_us, self.votes = time_left_us, 0
            return 0
        return max(0, deadline_us - time_left_us)


class Call:
    """One request that has no final answer yet, or still has attempts outstanding."""

    __slots__ = (
        "answered", "arrived_at", "attempts", "bucket", "earliest_possible_run", "id", "outstanding",
        "paid_ru", "price_ru", "priority", "queued_until", "request_class", "useful_until",
    )  # fmt: skip

    def __init__(
        self,
        call: str,
        request_class: RequestClass,
        now: int,
        useful_until: int,
        bucket: TokenBuckets.Bucket,
    ) -> None:
        self.id = call
        self.request_class = request_class
        self.arrived_at = now
        self.useful_until = useful_until  # end of the client's timeout, or of the objective before it
        self.attempts: list[tuple[EndpointState, int, Pool, int]] = []  # endpoint, sent at, pool, idle bucket
        self.outstanding: set[int] = set()  # indexes of attempts
        self.earliest_possible_run: tuple[int, str, int] | None = None  # see `may_resend`
        self.answered = False
        self.queued_until = 0  # 0: not queued
        self.priority = 0  # 0 is the highest
        self.price_ru = self.paid_ru = 0.0
        self.bucket = bucket


class AdmissionQueue:
    """Calls past the cap, by priority; a long sojourn in the queue refuses arrivals."""

    def __init__(self, priorities: int) -> None:
        self.queues: list[deque[Call]] = [deque() for _ in range(priorities)]
        self.expiries: list[tuple[int, int, Call]] = []  # a heap
        self.sequence = self.count = 0
        self.above_target_since = -1

    def push(self, call: Call, until: int) -> None:
        """Queue a call until this time at most."""
        call.queued_until = until
        self.queues[call.priority].append(call)
        self.sequence += 1
        self.count += 1
        heapq.heappush(self.expiries, (until, self.sequence, call))

    def remove(self, call: Call) -> None:
        """Take a call out; `head` and `next_expired` drop its entries when they reach them."""
        call.queued_until = 0
        self.count -= 1
        if not self.count:
            # If an emptied queue went on refusing arrivals, no call would be left to end that state.
            self.above_target_since = -1

    def head(self, priority: int) -> Call | None:
        """Return the oldest queued call of this priority."""
        queue = self.queues[priority]
        while queue and not queue[0].queued_until:
            queue.popleft()
        return queue[0] if queue else None

    def next_expired(self, now: int) -> Call | None:
        """Return a call whose time in the queue is over."""
        expiries = self.expiries
        while expiries and not expiries[0][2].queued_until:
            heapq.heappop(expiries)
        return expiries[0][2] if expiries and expiries[0][0] <= now else None

    def update_sojourn(self, now: int) -> None:
        """Record since when the sojourn has been above its target."""
        for priority in range(len(self.queues)):
            call = self.head(priority)
            if call is not None and now - call.arrived_at > SOJOURN_SHARE * call.request_class.objective_us:
                if self.above_target_since < 0:
                    self.above_target_since = now
                return
        self.above_target_since = -1

    def refuses_arrivals(self, now: int) -> bool:
        """Return whether the sojourn has been above its target for too long."""
        return self.above_target_since >= 0 and now - self.above_target_since >= SOJOURN_INTERVAL_US


class Pool:
    """The endpoints of this zone, or of the other zones: a subset and the cap on calls into it."""

    def __init__(self, layer: int) -> None:
        self.subset = Subset()
        self.limit = ConcurrencyLimit(layer)
        self.sent_in_window = 0  # attempts in this refill window
        self.usage_read_at = 0  # when the usable and live fractions were last computed
        self.send_rate = 0.0  # attempts a second; falls slowly, so that slow start does not feed on itself

    def finish_window(self) -> None:
        """Update the rates at the end of a refill window."""
        rate = self.sent_in_window * 1e6 / REFILL_WINDOW_US
        self.send_rate += (RISE_WEIGHT if rate > self.send_rate else FALL_WEIGHT) * (rate - self.send_rate)
        self.limit.lagged_share = max(self.limit.endpoint_share, SHARE_KEPT * self.limit.lagged_share)
        self.sent_in_window = 0


class CandidateSet:
    """The endpoints that classes with one constraint may use: a pool in this zone and one in the others.

    Subsets are drawn from the allowed endpoints alone, and every attempt draws from such a subset. Filtering
    a subset that was drawn from all endpoints could leave none, or the same few to all instances.
    """

    def __init__(self, request_class: RequestClass, layer: int) -> None:
        self.constraint = (
            request_class.allowed_zones,
            request_class.allowed_machine_kinds,
            request_class.labels,
        )
        self.zones = request_class.allowed_zones
        self.machine_kinds = request_class.allowed_machine_kinds
        self.labels = request_class.labels
        self.local, self.remote = Pool(layer), Pool(layer)
        self.pools = (self.local, self.remote)
        self.size = 0  # allowed endpoints that are ready
        self.remote_share = 0.0  # of this instance's share of them, the part that its zone does not hold
        self.sent_ru = 0.0  # sent recently, by all its classes
        # By endpoint id: the part of an even share that narrower classes leave, where it is below 1.
        self.spare_shares: dict[str, float] = {}

    def allows(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint meets the constraint."""
        if not self.labels <= endpoint.labels:
            return False
        return (self.zones is None or endpoint.zone in self.zones) and (
            self.machine_kinds is None or endpoint.machine_kind in self.machine_kinds
        )


class Balancer:
    """The decisions of one sidecar instance; its public methods are the events of `eiderhub.interface`."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.random = random.Random(seed)
        base_classes = [c for c in settings.classes if not c.variant_of]
        best_worth = max(c.worth for c in base_classes) or 1.0
        worths = {
            (c.name, over_share): c.worth / best_worth * (settings.over_share_worth if over_share else 1.0)
            for c in base_classes
            for over_share in (False, True)
        }
        goal = settings.goal
        by_class = goal.class_weight / (goal.class_weight + goal.worth_weight or 1.0)
        # The worth of a served call to the goal, which may count the cheapest class as much as the best.
        for k in worths:
            worths[k] = (1 - by_class) * worths[k] + by_class * (settings.over_share_worth if k[1] else 1.0)
        ranked = sorted(worths, key=lambda key: (-worths[key], key))
        self.priority = {key: i for i, key in enumerate(ranked)}  # by class name and whether over the share
        self.worth = [worths[key] for key in ranked]  # by priority; 1 is the best class
        self.may_hedge = settings.limits.hedging and settings.layer == 0
        self.handshake = min(1.0, HANDSHAKE_CALLS * settings.prices.handshake)  # in calls in flight
        self.connection_kept_us = int(CONNECTION_KEPT_SHARE * settings.limits.conn_idle_us)
        self.refusals: Counter[RefusalReason] = Counter()  # for the host's statistics
        self.started = False

    # --- lifecycle and discovery ---

    def start(self, now_us: int, has_cached_list: bool = False) -> None:
        """Initialize the state and begin to follow discovery.

        Where `discovery` delivers a cached list next, a short random wait may precede the first poll.
        """
        settings = self.settings
        self.started = True
        self.endpoints: dict[str, EndpointState] = {}
        self.calls: dict[str, Call] = {}
        self.buckets = TokenBuckets(settings, self.random.randrange(REFILL_WINDOW_US), now_us)
        self.ratio = LatencyRatio(now_us)
        self.queue = AdmissionQueue(len(self.worth))
        self.retry_budget = RetryBudget()
        self.idle_connections = IdleConnections(settings.limits.conn_idle_us)
        self.classes: dict[str, RequestClass] = {}
        self.client_timeouts: dict[str, ClientTimeout] = {}
        self.candidates: dict[str, CandidateSet] = {}
        self._set_classes(settings.classes)
        self.ejected: list[EndpointState] = []
        self.ready_count = 0
        self.mean_failure_rate = self.mean_latency = 0.0
        self.saturation = 0.0  # fraction of recent arrivals, within their share, not sent at once
        self.sweep_at = -1
        self.pending_hedges: deque[tuple[int, Call]] = deque()  # due time and call
        self.poll_backoff_us = POLL_BACKOFF_US
        self.poll_scheduled = False
        self.discovery_fails = self.unconfirmed_list_logged = False  # since the last list
        # When discovery answered. A cached list does not count: it may have been old before the start.
        self.last_list_at = now_us - UNCONFIRMED_LIST_US
        if settings.discovery is Discovery.POLL:
            # If hundreds of instances polled at the same moment, discovery would reject half of the polls,
            # which would then be repeated.
            spread = min(SPREAD_US * (settings.balancers - 1), MAX_SPREAD_US) if has_cached_list else 0
            self.poll_scheduled = spread > 0
            if spread:
                self.actions.timer(int(spread * self.random.random()), POLL_TIMER)
            else:
                self.actions.tail(True)

    def _set_classes(self, classes: Sequence[RequestClass]) -> None:
        """Replace the classes; what was learned for the candidates of a constraint that remains is kept."""
        known = {s.constraint: s for s in self.candidates.values()}
        self.classes = {c.name: c for c in classes}
        self.client_timeouts = {c.name: self.client_timeouts.get(c.name) or ClientTimeout() for c in classes}
        self.candidates = {}
        for c in classes:
            new = CandidateSet(c, self.settings.layer)
            self.candidates[c.name] = known.setdefault(new.constraint, new)
        self.candidate_sets = list(dict.fromkeys(self.candidates.values()))
        self.priority.update(
            ((c.name, over), self.priority[c.variant_of, over])
            for c in classes
            if c.variant_of
            for over in (False, True)
        )

    def adopt(self, now_us: int, classes: Sequence[RequestClass]) -> None:
        """Replace the variants of the classes; those that open calls use stay until a later change."""
        in_use = {c.request_class.name: c.request_class for c in self.calls.values()}
        base_classes = [c for c in self.classes.values() if not c.variant_of]
        variants = {c.name: c for c in (*in_use.values(), *classes) if c.variant_of}
        self._set_classes([*base_classes, *variants.values()])
        self._draw_subsets()
        if self.queue.count:
            self._send_queued(now_us)

    def discovery(self, now_us: int, form: ListForm, entries: Sequence[Endpoint]) -> None:
        """Update the endpoints from discovery, or schedule the next poll after a failed one."""
        if form is ListForm.FAILED:
            if self.settings.discovery is Discovery.POLL:
                self._note_failed_poll(now_us)
            if self.settings.discovery is Discovery.POLL and not self.poll_scheduled:
                # Jittered, or all instances that discovery has rejected would poll again in step.
                self.poll_scheduled = True
                self.actions.timer(int(self.poll_backoff_us * (0.5 + self.random.random())), POLL_TIMER)
                # At most the poll interval: four intervals after a failed poll the instance counts as
                # notified of the current list, and nothing new may be sent to endpoints that drain in it.
                self.poll_backoff_us = min(
                    2 * self.poll_backoff_us, MAX_POLL_BACKOFF_US, self.settings.rules.poll_interval_us
                )
            return
        if form is not ListForm.CACHED:
            self.poll_backoff_us = POLL_BACKOFF_US
            self.discovery_fails = self.unconfirmed_list_logged = False
            self.last_list_at = now_us
        if form is not ListForm.DELTA:
            listed = {e.id for e in entries}
            for known in self.endpoints.values():
                if known.id not in listed:
                    known.is_ready = known.is_listed = False
        for entry in entries:
            state = self.endpoints.get(entry.id)
            if state is None:
                self.endpoints[entry.id] = EndpointState(entry, now_us)
            else:
                state.update(entry, now_us)
        # Removed endpoints are dropped once idle: where each process gets a new id, they would pile up.
        for removed in [e for e in self.endpoints.values() if not e.is_listed and not e.in_flight]:
            del self.endpoints[removed.id]
        self._draw_subsets()
        if self.queue.count:
            self._send_queued(now_us)

    def _note_failed_poll(self, now: int) -> None:
        self.discovery_fails = True
        if self._list_is_unconfirmed(now) and not self.unconfirmed_list_logged:
            self.unconfirmed_list_logged = True
            self.actions.write_log("the list is unconfirmed: endpoints that have served lately come first")

    def _list_is_unconfirmed(self, now: int) -> bool:
        """Return whether changes of the list may count as notified that this instance does not know."""
        return self.discovery_fails and now - self.last_list_at >= UNCONFIRMED_LIST_US

    def _draw_subsets(self) -> None:
        """Draw the subset of each pool from the ready endpoints and set its limit's share of them."""
        settings = self.settings
        ready = [e for e in self.endpoints.values() if e.is_ready]
        self.ready_count = len(ready)
        for candidates in self.candidate_sets:
            allowed = [e for e in ready if candidates.allows(e)]
            local = [e for e in allowed if e.zone == settings.zone]
            remote = [e for e in allowed if e.zone != settings.zone]
            candidates.size = len(allowed)
            # Instances are spread over the zones about as endpoints are, so that other zones have instances
            # of their own. With few instances, the even share of one may exceed the endpoints of its zone,
            # and would crowd that zone.
            even_share = len(allowed) / settings.balancers
            local_share = min(even_share, len(local))
            candidates.remote_share = even_share - local_share
            for pool, members, share in (
                (candidates.local, local, local_share),
                (candidates.remote, remote, max(REMOTE_ZONE_SHARE * even_share, candidates.remote_share)),
            ):
                pool.limit.set_endpoint_share(share)
                pool.usage_read_at = 0
                size = max(
                    MIN_SUBSET_SIZE,
                    int(SUBSET_SIZE_PER_CALL * pool.limit.endpoint_cap * pool.limit.lagged_share),
                )
                pool.subset.draw(members, settings.rank, settings.balancers, size)
        self._recount_in_flight()

    def _finish_window(self) -> None:
        """Update rates, and leave the endpoints that a constrained class fills to that class.

        Unconstrained classes would otherwise crowd the few endpoints of a constrained class while others have
        spare capacity.
        """
        for candidates in self.candidate_sets:
            for pool in candidates.pools:
                pool.finish_window()
                pool.limit.mean_busy = mean_busy([e.load_weight for e in pool.subset.members])
        if len(self.candidate_sets) < 2:
            return
        even_ru = sum(s.sent_ru for s in self.candidate_sets) / max(1, *(s.size for s in self.candidate_sets))
        for wide in self.candidate_sets:
            wide.spare_shares = {}
            for narrow in self.candidate_sets:
                if even_ru and 0 < narrow.size < wide.size:
                    spare = max(MIN_SPARE_SHARE, 1.0 - narrow.sent_ru / narrow.size / even_ru)
                    wide.spare_shares.update(
                        (known.id, spare) for known in self.endpoints.values() if narrow.allows(known)
                    )
        for s in self.candidate_sets:
            s.sent_ru *= SENT_RU_KEPT

    def wake(self, now_us: int, mark: str) -> None:
        """Handle a timer."""
        if mark == POLL_TIMER:
            self.poll_scheduled = False
            self.actions.tail(True)
        elif mark == SWEEP_TIMER and now_us >= self.sweep_at >= 0:
            self.sweep_at = -1
            self._sweep(now_us)

    # --- admission and queueing ---

    def order(
        self,
        now_us: int,
        call: str,
        class_name: str,
        tenant: str | None,
        expires_in_us: int,
        hint_us: int | None,
    ) -> None:
        """Admit a request: send, queue or refuse it.

        Raises RuntimeError before `start`, and for the id of a request that is still open.
        """
        if not self.started:
            raise RuntimeError("order before start")
        if call in self.calls:
            raise RuntimeError(f"request {call} is open already")
        buckets = self.buckets
        if now_us >= buckets.next_refill:
            buckets.refill(now_us)
            self._finish_window()
        bucket = buckets.bucket_for(tenant or "")
        new = self.calls[call] = Call(call, self.classes[class_name], now_us, now_us + expires_in_us, bucket)
        bucket.last_seen_at = now_us
        stress = self.ratio.stress()
        worth = self.worth[self.priority[class_name, False]]
        price_ru = BASE_COST_RU + HINT_RU_PER_US * (hint_us or 0)
        new.price_ru = price_ru
        stressed_price_ru = price_ru * (1 + STRESS_PRICE_FACTOR * stress * (1 - worth))
        # Without tenants in the settings all calls belong to one, which has no share to exceed.
        over_share = bucket.tokens < stressed_price_ru and bool(self.settings.tenants)
        new.priority = self.priority[class_name, over_share]
        age = (
            self.client_timeouts[class_name].age(expires_in_us, new.request_class.deadline_us)
            if not self.settings.layer
            else 0
        )
        if expires_in_us <= 0:
            self._refuse(new, RefusalReason.NO_TIME_LEFT)
            return
        if not new.request_class.late_worth_share:
            # A retry by the client that can no longer be answered within the objective is not worth sending.
            usual = self.candidates[class_name].local.limit.median_latency * MIN_TIME_LEFT_SHARE
            new.useful_until = min(new.useful_until, now_us + new.request_class.objective_us - age)
            if new.useful_until - now_us <= new.request_class.objective_us * usual:
                self._refuse(new, RefusalReason.NO_TIME_LEFT)
                return
        low_priority = self.worth[new.priority] < LOW_PRIORITY_WORTH
        outermost = self.settings.layer == 0
        if outermost and over_share and (stress > 0 or self.saturation > SATURATION_THRESHOLD):
            self._refuse(new, RefusalReason.OVER_SHARE)
            return
        if outermost and self.queue.refuses_arrivals(now_us):
            self._refuse(new, RefusalReason.QUEUE_SLOW)
            return
        if not over_share:
            bucket.tokens -= stressed_price_ru
            new.paid_ru = stressed_price_ru
        sent_at_once = (low_priority or not self.queue.count) and self._try_send(now_us, new)
        if not over_share:
            self.saturation += SATURATION_WEIGHT * ((not sent_at_once) - self.saturation)
        if sent_at_once:
            return
        if outermost and low_priority and (stress > 0 or self.queue.count):
            self._refuse(new, RefusalReason.LOW_PRIORITY)
            return
        self._enqueue(now_us, new)

    def _enqueue(self, now: int, call: Call) -> None:
        """Queue a call for a share of its objective, or refuse it if there is no time for that."""
        share = QUEUE_TIME_SHARE_INNER if self.settings.layer else QUEUE_TIME_SHARE
        until = min(now + int(share * call.request_class.objective_us), call.useful_until - ANSWER_MARGIN_US)
        if until <= now:
            self._refuse(call, RefusalReason.NO_TIME_LEFT)
            return
        self.queue.push(call, until)
        self._schedule_sweep(now)

    def _schedule_sweep(self, now: int) -> None:
        """Set the timer of the next sweep, unless it is set."""
        if self.sweep_at < 0:
            self.sweep_at = now + SWEEP_INTERVAL_US
            self.actions.timer(SWEEP_INTERVAL_US, SWEEP_TIMER)

    def _sweep(self, now: int) -> None:
        """Send queued calls, refuse those whose time in the queue is over, and send due hedges."""
        queue = self.queue
        self._send_queued(now)
        while (call := queue.next_expired(now)) is not None:
            queue.remove(call)
            self._refuse(call, RefusalReason.QUEUE_TIMEOUT)
        queue.update_sojourn(now)
        while self.pending_hedges and self.pending_hedges[0][0] <= now:
            self._hedge(now, self.pending_hedges.popleft()[1])
        while self.pending_hedges and self.pending_hedges[0][1].answered:
            self.pending_hedges.popleft()
        if queue.count or self.pending_hedges:
            self._schedule_sweep(now)

    def _hedge(self, now: int, call: Call) -> None:
        """Send a second attempt of an idempotent call, against an endpoint that pauses or hangs.

        It is sent only while nothing is scarce: no stress, no queue, capacity under the cap, retries left.
        """
        if (
            call.answered
            or len(call.attempts) != 1  # it has been hedged or retried
            or not call.outstanding
            or call.request_class.max_attempts == 1
        ):
            return
        if self.ratio.stress() > 0 or self.queue.count or self.retry_budget.tokens < 1.0:
            return
        if self._try_send(now, call):
            self.retry_budget.spend()

    def _send_queued(self, now: int) -> None:
        """Send queued calls while there is capacity, the most valuable first."""
        queue = self.queue
        queue.update_sojourn(now)
        for priority in range(len(queue.queues)):
            while (call := queue.head(priority)) is not None:
                if not self._try_send(now, call):
                    break
                queue.remove(call)

    def _refuse(self, call: Call, reason: RefusalReason) -> None:
        """Give the final answer without a result: `shed` where a retry is harmless, else `surrender`."""
        self.refusals[reason] += 1
        if may_refuse(
            call.request_class.effect,
            call.request_class.dedup_scope,
            call.earliest_possible_run is not None or bool(call.outstanding),
        ):
            wait = 0
            limits = self.settings.limits
            if limits.may_send_retry_after:
                # Drawn anew for each call: clients that were given the same wait would return together.
                wait = int(limits.max_retry_after_us * RETRY_AFTER_SHARE * (1 + self.random.random()))
            self.actions.shed(call.id, wait)
        else:
            self.actions.surrender(call.id)
        self._mark_answered(call)

    def _mark_answered(self, call: Call) -> None:
        """Note the final answer, and forget the call once no attempt of it is outstanding."""
        call.answered = True
        if not call.outstanding:
            del self.calls[call.id]

    def _cancel_outstanding(self, call: Call) -> None:
        """Cancel attempts whose answer is not needed any more: some endpoints stop such work."""
        if self.settings.limits.may_cancel:
            for attempt in sorted(call.outstanding):
                self.actions.cancel(call.id, attempt)

    # --- choice of an endpoint ---

    def _try_send(self, now: int, call: Call) -> bool:
        """Send the call if a pool has capacity and an endpoint for it; return whether it was sent."""
        worth = self.worth[call.priority]
        zone_is_exhausted = True  # no endpoint of this zone could take the call, however long it waits
        candidates = self.candidates[call.request_class.name]
        cap_share = 1.0 if worth >= LOW_PRIORITY_WORTH else LOW_PRIORITY_CAP_SHARE
        for pool in candidates.pools:
            if not pool.subset.members:
                continue
            limit = pool.limit
            self._update_usage(now, pool)
            if pool is candidates.remote and candidates.local.subset.members:
                # Other zones carry what this zone has lost.
                lost = 1.0 - candidates.local.limit.usable_fraction
                local_share, remote_share = candidates.local.limit.lagged_share, candidates.remote_share
                limit.endpoint_share = limit.lagged_share = max(
                    REMOTE_ZONE_SHARE * (local_share + remote_share), lost * local_share + remote_share
                )
            if limit.is_full(now, cap_share * limit.max_in_flight(self.saturation), self.random):
                zone_is_exhausted = False
                continue
            if pool is candidates.remote and not zone_is_exhausted and not self._should_spill_over(now, call):
                return False
            endpoint = self._pick_endpoint(now, pool, call)
            if endpoint is not None:
                self._send(now, call, endpoint, pool)
                return True
        return False

    def _should_spill_over(self, now: int, call: Call) -> bool:
        """Return whether a call that this zone has no capacity for goes to another one now.

        The higher the price of the crossing against the call's worth, the longer the call waits before it.
        """
        price = self.settings.prices.cross_zone
        gain = self.worth[call.priority] * SPILLOVER_GAIN
        if gain <= price:
            return False
        # Part of this instance's own share lies in other zones. If calls waited for it, those that may not be
        # queued would be refused for the stress of one local endpoint, while others are idle.
        if self.candidates[call.request_class.name].remote_share > 0:
            return True
        return now - call.arrived_at >= price / gain * QUEUE_TIME_SHARE * call.request_class.objective_us

    def _pick_endpoint(self, now: int, pool: Pool, call: Call) -> EndpointState | None:
        """Return the less loaded, by own calls in flight, of two random members of the subset.

        While the list is unconfirmed, members that have served a call lately come before all others.
        """
        list_is_unconfirmed = self._list_is_unconfirmed(now)
        fallback: EndpointState | None = None  # the best one of those that have not served lately
        members = pool.subset.members
        member_count = len(members)
        best: EndpointState | None = None
        best_load = 0.0
        previous = call.attempts
        spare_shares = self.candidates[call.request_class.name].spare_shares
        candidate_count = 0
        # Random draws come first. For a retry, which is refused if it finds no endpoint, each member follows.
        for index in range(-2 * DRAWS_PER_CANDIDATE, member_count if previous else 0):
            endpoint = members[index if index >= 0 else int(self.random.random() * member_count)]
            if endpoint is best or (previous and any(a[0] is endpoint for a in previous)):
                continue
            slow_start = self._slow_start_fraction(now, endpoint)
            fraction = self._traffic_fraction(now, endpoint, slow_start) * spare_shares.get(endpoint.id, 1.0)
            if fraction < 1.0 and (index >= 0 or self.random.random() >= fraction):
                continue
            if slow_start < 1.0 and not self._has_cold_tokens(now, endpoint, pool, slow_start):
                continue
            # The attempt may be sent as late as its connection comes up.
            latest_send = now + self.settings.limits.connect_timeout_us
            if call.earliest_possible_run is not None and not may_resend(
                call.request_class.effect,
                call.request_class.dedup_scope,
                call.request_class.dedup_window_us,
                call.earliest_possible_run,
                latest_send,
                (endpoint.zone, endpoint.cell),
            ):
                continue
            if list_is_unconfirmed and not self._has_served_lately(now, endpoint):
                fallback = self._latest_served(fallback, endpoint)
                continue
            handshake = self.handshake if self.handshake and not self._has_connection(now, endpoint) else 0.0
            # The draw favours warm endpoints already: if their capacity counted again here, an idle cold
            # endpoint would lose to any warm one.
            load = (endpoint.in_flight / slow_start + 1 + handshake) / (
                endpoint.weight * fraction / slow_start / endpoint.peer_factor * endpoint.load_weight.factor
            )
            if endpoint.relative_latency:
                load *= endpoint.relative_latency
            if best is None or load < best_load:
                best, best_load = endpoint, load
            candidate_count += 1
            if candidate_count == 2:
                break
        return best or fallback

    @staticmethod
    def _has_served_lately(now: int, endpoint: EndpointState) -> bool:
        """Return whether the endpoint has served a recent call, and rejected none since."""
        is_recent = endpoint.last_served_at > 0 and now - endpoint.last_served_at < SERVED_LATELY_US
        return is_recent and not endpoint.rejections_in_a_row

    @staticmethod
    def _latest_served(first: EndpointState | None, second: EndpointState) -> EndpointState:
        """Return the one that has rejected no call since it served one, or else the one that served later."""
        if first is None:
            return second
        return max(first, second, key=lambda e: (not e.rejections_in_a_row, e.last_served_at))

    def _has_connection(self, now: int, endpoint: EndpointState) -> bool:
        """Return whether a connection is likely to be open and free.

        Where each of many instances has little traffic, one of two equal endpoints often has a connection:
        taking either would make a new connection for one call in five or six.
        """
        if now - endpoint.peak_at >= self.connection_kept_us:
            endpoint.peak_in_flight, endpoint.peak_at = (
                max(
                    endpoint.in_flight,
                    int(now - endpoint.last_used_at < self.connection_kept_us and endpoint.last_used_at > 0),
                ),
                now,
            )
        return endpoint.in_flight < endpoint.peak_in_flight

    def _traffic_fraction(self, now: int, endpoint: EndpointState, slow_start: float) -> float:
        """Return the fraction of a warm endpoint's calls for this one: slow start, recovery and peer reports.

        A cold endpoint that is drawn is kept only with a probability equal to its minimum capacity. So each
        instance, and all of them together, send it that fraction of what warm endpoints get, and do not
        overload it.
        """
        return slow_start * self._recovery_fraction(now, endpoint) * endpoint.peer_factor

    def _recount_in_flight(self) -> None:
        """Count calls in flight anew: those at removed or draining endpoints do not count against the cap."""
        for candidates in self.candidate_sets:
            candidates.local.limit.in_flight = candidates.remote.limit.in_flight = 0
        for call in self.calls.values():
            for attempt in call.outstanding:
                endpoint, _, pool, _ = call.attempts[attempt]
                pool.limit.in_flight += endpoint.is_ready

    def _recovery_fraction(self, now: int, endpoint: EndpointState) -> float:
        """Return the fraction of its calls that an endpoint may get during an ejection, and after it."""
        since = now - endpoint.ejected_until
        if not endpoint.ejected_until or since >= RECOVERY_US:
            return 1.0
        return 0.0 if since < 0 else RECOVERY_START + (1 - RECOVERY_START) * since / RECOVERY_US

    def _update_usage(self, now: int, pool: Pool) -> None:
        """Compute at intervals which fraction of a pool's capacity is usable, and which is live.

        An endpoint ejected for corrupt answers is not usable, yet it is live. Where healthy endpoints are
        ejected although the rest have spare capacity, the lower cap costs throughput.
        """
        if now < pool.usage_read_at + USAGE_INTERVAL_US:
            return
        pool.usage_read_at = now
        usable = live = 0.0
        for endpoint in pool.subset.members:
            capacity = self._slow_start_fraction(now, endpoint)
            recovery = self._recovery_fraction(now, endpoint)
            usable += capacity * recovery
            live += capacity * (recovery if endpoint.is_unreachable else 1.0)
        pool.limit.usable_fraction = usable / len(pool.subset.members)
        pool.limit.live_fraction = live / len(pool.subset.members)

    def _slow_start_fraction(self, now: int, endpoint: EndpointState) -> float:
        """Return the least fraction of its capacity that the endpoint has, by its stated start."""
        rules = self.settings.rules
        age = now - endpoint.started_at
        if not endpoint.started_at or age >= rules.warm_up_us:
            return 1.0
        return rules.cold_capacity_share + (1 - rules.cold_capacity_share) * max(age, 0) / rules.warm_up_us

    def _has_cold_tokens(self, now: int, endpoint: EndpointState, pool: Pool, slow_start: float) -> bool:
        """Return whether a cold endpoint has a token left; it earns a part of what its pool's members get.

        Where most of a subset is cold there is little else to draw, so that repeated draws and queued calls
        would reach it all the same, from every instance. A burst right after the start may still overload it.
        The first tokens of all instances are what one endpoint bears in a second. Further ones are earned
        from the notification of the start on, or an instance that rarely draws each endpoint would send none
        before it is warm.
        """
        initial_rate = INITIAL_ENDPOINT_CAP / self.settings.balancers  # a second, while no rate is known
        usual_rate = max(pool.send_rate / len(pool.subset.members), initial_rate)
        if endpoint.cold_tokens < 0:
            # Random, since all instances are notified of the start at once.
            endpoint.cold_tokens = self.random.random() + initial_rate
        earned = usual_rate * min(1.0, COLD_CAPACITY_USE * self.settings.rules.overload_factor * slow_start)
        endpoint.cold_tokens = min(1.0, endpoint.cold_tokens + earned * (now - endpoint.cold_tokens_at) / 1e6)
        endpoint.cold_tokens_at = now
        return endpoint.cold_tokens >= 1.0

    def _send(self, now: int, call: Call, endpoint: EndpointState, pool: Pool) -> None:
        """Send an attempt and record it; the first one of a call may schedule a hedge."""
        call.outstanding.add(len(call.attempts))
        if not call.attempts:
            self.retry_budget.earn()
            self.candidates[call.request_class.name].sent_ru += call.price_ru
            usual_us = pool.limit.median_latency * call.request_class.objective_us
            # Only the outermost tier hedges: hedges of several tiers would multiply, and only this tier sees
            # all stress.
            if (
                usual_us
                and self.may_hedge
                and call.request_class.may_hedge
                and call.request_class.effect is Effect.IDEMPOTENT
            ):
                self.pending_hedges.append((now + int(HEDGE_RISE * usual_us), call))
                self._schedule_sweep(now)
        idle_bucket = -1  # unknown, since with other attempts in flight any free connection may be used
        if not endpoint.in_flight:
            idle_bucket = (
                self.idle_connections.bucket_of_idle_time(now - endpoint.last_used_at)
                if endpoint.last_used_at
                else IDLE_BUCKETS
            )
            if self.idle_connections.should_close(idle_bucket, self.random.random()):
                self.actions.disconnect(endpoint.id)
                idle_bucket, endpoint.peak_in_flight = IDLE_BUCKETS, 0
        call.attempts.append((endpoint, now, pool, idle_bucket))
        endpoint.last_used_at = now
        endpoint.cold_tokens -= 1.0 if endpoint.cold_tokens >= 1.0 else 0.0
        pool.sent_in_window += 1
        endpoint.in_flight += 1
        if endpoint.in_flight >= endpoint.peak_in_flight:
            endpoint.peak_in_flight, endpoint.peak_at = endpoint.in_flight, now
        pool.limit.in_flight += 1
        # The attempt's timeout stops work whose answer would come too late to be worth anything.
        self.actions.hand_off(
            call.id,
            endpoint.id,
            0 if call.request_class.late_worth_share else max(1, call.useful_until - now),
        )

    # --- outcomes ---

    def streaming(self, now_us: int, call: str, attempt: int) -> None:
        """Note that the answer has begun: the client receives it from this attempt."""
        found = self.calls.get(call)
        if found is not None:
            found.answered = True

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
        """Take the end of an attempt: learn from it, and retry or refuse the call where it is still open."""
        found = self.calls.get(call)
        if found is None or attempt not in found.outstanding:
            return
        found.outstanding.discard(attempt)
        state, sent_at, pool, idle_bucket = found.attempts[attempt]
        if state.in_flight == state.peak_in_flight:
            state.peak_at = now_us  # the last moment at which all these connections were in use
        if outcome in CONNECTION_LOST:
            state.peak_in_flight -= 1
        state.in_flight -= 1
        if load is not None:
            # A cold endpoint reports idle cores since it gets fewer calls: its weight would climb.
            is_warm = self._slow_start_fraction(now_us, state) == 1.0
            state.load_weight.record(load.busy_share, pool.limit.mean_busy if is_warm else None)
        if not state.is_listed and not state.in_flight and self.endpoints.get(state.id) is state:
            del self.endpoints[state.id]
        state.last_used_at = now_us
        if state.is_ready:
            pool.limit.in_flight -= 1
        if idle_bucket >= 0 and outcome not in NEVER_RAN:
            unanswered = outcome in UNANSWERED
            late = spent_us > OVERDUE_RISE * pool.limit.median_latency * found.request_class.objective_us > 0
            if not unanswered or late or outcome is Outcome.RESET:
                self.idle_connections.record_outcome(idle_bucket, unanswered)
        self._learn(now_us, found, state, pool, sent_at, spent_us, outcome)
        if outcome not in NEVER_RAN and (
            found.earliest_possible_run is None or sent_at < found.earliest_possible_run[0]
        ):
            found.earliest_possible_run = (sent_at, state.zone, state.cell)
        if found.answered or closed:
            self._mark_answered(found)
            self._cancel_outstanding(found)
        elif not found.outstanding:
            self._retry_or_refuse(now_us, found, outcome)
        if self.queue.count:
            self._send_queued(now_us)

    def _learn(
        self,
        now: int,
        call: Call,
        endpoint: EndpointState,
        pool: Pool,
        sent_at: int,
        spent_us: int,
        outcome: Outcome,
    ) -> None:
        """Update the endpoint's health, the latency ratio, the cap and the tenant's budget by an outcome."""
        if outcome is Outcome.NOT_EXECUTED or outcome is Outcome.CANCELLED:
            return
        ok = outcome is Outcome.OK
        if ok:
            endpoint.last_served_at = max(endpoint.last_served_at, sent_at)
        latency = spent_us / call.request_class.objective_us
        # A draining endpoint rejects calls at once, seconds before the list shows it. With few in flight it
        # attracts most of the attempts, and each rejection would count as crowding and cut the cap.
        endpoint.rejections_in_a_row = endpoint.rejections_in_a_row + 1 if outcome is Outcome.REJECTED else 0
        is_draining = endpoint.rejections_in_a_row >= DRAINING_REJECTIONS
        if is_draining and not endpoint.in_flight:
            self._eject(now, endpoint, "rejects calls")
        if outcome is not Outcome.REJECTED:  # a rejection means a busy endpoint, not a faulty one
            failed = 0.0 if ok else 1.0
            in_burst = outcome is Outcome.RESET and now - endpoint.last_failure_at < RESET_BURST_US
            endpoint.is_unreachable = outcome is Outcome.CONNECT_FAILED or in_burst
            self.mean_failure_rate += OVERALL_WEIGHT * (failed - self.mean_failure_rate)
            # A pause fails all calls in flight: those sent before the last failure count as one with it.
            if ok or sent_at >= endpoint.last_failure_at:
                endpoint.failure_rate += FAILURE_WEIGHT * (failed - endpoint.failure_rate)
            if failed:
                endpoint.last_failure_at = now
                self._eject_if_failing(now, endpoint)
        if ok or outcome is Outcome.TIMEOUT:
            if not self.mean_latency:
                self.mean_latency = latency
            self.mean_latency += OVERALL_WEIGHT * (latency - self.mean_latency)
            relative = min(max(latency / self.mean_latency, 1 / MAX_RELATIVE_LATENCY), MAX_RELATIVE_LATENCY)
            endpoint.relative_latency = (
                endpoint.relative_latency + LATENCY_WEIGHT * (relative - endpoint.relative_latency)
                if endpoint.relative_latency
                else 0.5 + 0.5 * relative
            )
        # A single slow endpoint must not get calls refused while its peers are idle.
        if endpoint.relative_latency <= OUTLIER_LATENCY or latency <= self.mean_latency:
            if ok or outcome is Outcome.TIMEOUT:
                self.ratio.record(now, latency)
            if ok or outcome is Outcome.TIMEOUT or (outcome is Outcome.REJECTED and not is_draining):
                pool.limit.record_outcome(
                    now,
                    sent_at,
                    REJECTION_LATENCY if outcome is Outcome.REJECTED else latency,
                )
        self.buckets.charge(call.bucket, call.price_ru, call.paid_ru, spent_us, ok)

    def _eject_if_failing(self, now: int, endpoint: EndpointState) -> None:
        """Eject an endpoint that fails more often than usual, and than the others."""
        # Dead endpoints raise the overall rate too: no endpoint could ever exceed a multiple of it.
        if endpoint.failure_rate >= EJECTION_FAILURE_RATE + EJECTION_PEER_FACTOR * self.mean_failure_rate:
            self._eject(now, endpoint, "fails")

    def _eject(self, now: int, endpoint: EndpointState, reason: str) -> None:
        """Send an endpoint no calls for a while, unless too many endpoints are ejected already."""
        if now < endpoint.ejected_until:
            return
        self.ejected = [o for o in self.ejected if o is not endpoint and now < o.ejected_until + RECOVERY_US]
        if sum(now < o.ejected_until for o in self.ejected) + 1 > MAX_EJECTED_SHARE * self.ready_count:
            return
        self.ejected.append(endpoint)
        for candidates in self.candidate_sets:
            candidates.local.usage_read_at = candidates.remote.usage_read_at = 0
        endpoint.ejection_count += 1
        wait = min(EJECTION_US * 2 ** (endpoint.ejection_count - 1), MAX_EJECTION_US)
        endpoint.ejected_until = now + int(wait * (0.75 + 0.5 * self.random.random()))
        # Not reset: on a quiet instance a failing endpoint would return before two calls have reached it.
        endpoint.failure_rate = FAILURE_RATE_AFTER_EJECTION
        self.actions.write_log(
            f"endpoint {endpoint.id} ejected for {(endpoint.ejected_until - now) / 1e6:.1f} s: it {reason}"
        )

    def _retry_or_refuse(self, now: int, call: Call, outcome: Outcome) -> None:
        """Handle the end of all attempts without an answer: retry if allowed and useful, or refuse."""
        settings = self.settings
        limit = min(MAX_ATTEMPTS if settings.layer == 0 else MAX_ATTEMPTS_INNER, settings.limits.max_attempts)
        limit = min(limit, call.request_class.max_attempts or limit)
        allowed = call.earliest_possible_run is None or call.request_class.effect is not Effect.AT_MOST_ONCE
        allowed = allowed and len(call.attempts) < limit and now < call.useful_until - ANSWER_MARGIN_US
        # An attempt that never ran has caused no work: the budget is for retries of those that may have.
        if allowed and (outcome in NEVER_RAN or self.retry_budget.spend()):
            for pool in self.candidates[call.request_class.name].pools:
                if pool.subset.members and (endpoint := self._pick_endpoint(now, pool, call)) is not None:
                    self._send(now, call, endpoint, pool)
                    return
        self._refuse(call, RefusalReason.ATTEMPT_FAILED)

    def hearsay(self, now_us: int, factors: Mapping[str, float]) -> None:
        """Take the traffic factors from peer reports, in 0..1 by endpoint id.

        They only lower traffic: no report makes a cold endpoint warm, or a draining one ready.
        """
        for endpoint in self.endpoints.values():
            endpoint.peer_factor = min(max(factors.get(endpoint.id, 1.0), MIN_PEER_FACTOR), 1.0)

    def expired(self, now_us: int, call: str) -> None:
        """Close a call that its client has given up or the host has answered."""
        found = self.calls.get(call)
        if found is None:
            return
        if found.queued_until:
            self.queue.remove(found)
        self._mark_answered(found)
        self._cancel_outstanding(found)
