"""All decisions of eiderhub. Its types, events and actions stand in eiderhub/interface.py: read that first.

The ordinary path of a request, after "How Airbnb Built Adaptive Traffic Management for a Multi-tenant
Key-value Store": it is priced in request units (RU) against its tenant's token bucket, while the latency
ratio shows stress; past a learned in-flight cap it queues; long sojourn in that queue refuses new arrivals;
it is sent to the less busy of two random members of a random subset of the next tier's endpoints.

Around that stand the departures, each with the failure that it answers: docs/design.md lists them all.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections import deque
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
    RequestClass,
    Settings,
)
from eiderhub.policy.load_weight import LoadWeight, mean_busy

# --- request units and buckets ---
BASE_COST_RU = 1.0  # RU a call costs before anything is known of it
HINT_RU_PER_US = 1e-5  # RU for each hinted microsecond: a hint of 100 ms doubles the base cost
LATENCY_RU_PER_US = 5e-7  # RU for each microsecond of latency, charged when an attempt ends: 2 s double it
REFILL_WINDOW_US = 500_000  # buckets refill this often: a few windows make a burst, one stays readable
HEADROOM = 0.1  # share added to last window's served RU, so that budgets climb back after a cut
SERVED_SMOOTHING = 0.15  # weight of the newest window: a quiet copy serves a handful in one window
BURST_US = 1_500_000  # a bucket holds this long a refill: more lets a large tenant flood the queue
BURST_RU = 3.0  # and this much more, or a tenant with few calls is called over its share by chance
ACTIVE_US = 10_000_000  # a tenant unheard of for this long takes no part in the split
HOT_FROM = 1.6  # times its even part that most tenants are served where a copy counts as hot
HOT_MOST = 8.0  # times the even part of a quota that a copy with more than its part of the traffic grants
FLOOR_PER_S = 1.0  # requests a second granted at least to a tenant without a stated quota
COST_WEIGHT = 0.05  # weight of the newest call in the mean cost of a served one

# --- latency ratio ---
BUCKETS_PER_DOUBLING = 4  # resolution of the latency histograms: a step is 19%
HISTOGRAM_FROM = 1 / 1024  # lowest latency told apart, as a share of the class's aim
HISTOGRAM_SIZE = 64  # buckets: up to 64 times the aim
SHORT_WINDOW_US = 1_500_000  # the short p95 covers one to two of these
LONG_WINDOW_US = 20_000_000  # and the long p95 one to two of these
RATIO_EVERY_US = 250_000  # the ratio is read off the histograms this often
MIN_SAMPLES = 12  # fewer short-term samples say nothing: a few long calls would swing the p95
NORMAL_SHARE = 0.5  # a long p95 past this share of the aim is no normal state, however long it has lasted
STRESS_RATIO = 0.7  # below this ratio the lower tiers pay more
PENALTY = 3.0  # price of the lowest tier under full stress: 1 + this

SCARCITY_WEIGHT = 0.1  # weight of the newest arrival in the share of those that find no room
SCARCE = 0.2  # past this share room is scarce, however normal the ratio has come to look

# --- concurrency ---
START_CALLS = 7.0  # in-flight calls an endpoint is taken to bear, from all copies together, before we learn
SURE_CALLS = 14.0  # past that, the cap grows only by what was seen at the cap itself
FLOOR_CALLS = 2.0  # and in any trouble: a floor that is too low starves sound endpoints once trouble is over
REMOTE_PART = 0.6  # part of that granted in other zones, whose own callers come first
MIN_CAP = 0.1  # calls; the sum over many copies must still be small
DITHER_US = 250_000  # while crowded, a part of a call is granted part of the time: drawn anew so often
CHANCE_ROOTS = 2.0  # square roots of the cap that calls in flight may exceed it by: arrivals come by chance
CHANCE_ROOTS_OUTSIDE = 0.5  # the same at the outermost tier, where excess is to be refused
TARGET_RISE = 2.0  # median latency, against the median seen while uncrowded, at which the cap falls
TARGET_LEAST_RISE = 1.3  # and the least rise, where the uncrowded median takes much of the aim already
TARGET_SHARE = 0.3  # nor may the median pass this share of the aim, divided by layer + 1
BASE_WEIGHT = 0.3  # weight of the newest round in the median that the uncrowded median is taken from
BASE_DRIFT = 1.01  # rise of the uncrowded median with each uncrowded round: it can follow a lasting change
ROUND_SAMPLES = 8  # outcomes that make a round: the cap moves once a round
ROUND_PER_CALL = 1.5  # and so many more for each call of the cap
GROW_SHARE = 0.1  # growth in a good round, as a share of the cap
GROW_CALLS = 0.3  # and at least this many calls
DEEPEST_CUT = 0.6  # a bad round leaves at least this share of the cap
FULL_COUNTS = 1.0  # an endpoint that turns a call away counts as a call that took this share of its aim
GROW_EVERY_US = 2_500_000  # past what is sure it grows no faster: crowding takes so long to show
FULL_CORES = 0.75  # mean busy share that endpoints may report: past it the cap falls
ROOMY = 0.8  # below this part of that, slow calls are taken to wait for the tiers behind
BINDING = 0.7  # the cap binds when this share of it is in use
SURE_PART = 0.25  # part of a round for which it must have done so; once, or a burst would find room to tip in
BOUND_PART = 0.5  # and part of a round once the cap has grown far
FAIR_KEPT = 0.98  # of a list that has shrunk, kept from one refill window to the next: 10 s for a fifth
SHY = 5.0  # what is learned above the start falls this many times as fast as the part of endpoints in use
LOW_TIER_SHARE = 0.8  # share of the cap open to the lower tiers, so the rest finds room at once
LOW_WORTH = 0.5  # tiers worth less than this share of the best class are lower tiers

# --- hold queue ---
HOLD_SHARE = 0.35  # a call is held for this share of its aim at most
HOLD_SHARE_INSIDE = 0.5  # inner tiers hold longer: their refusals surface as errors that may have run
SOJOURN_SHARE = 0.12  # target sojourn as a share of the aim
SOJOURN_INTERVAL_US = 200_000  # sojourn above target for this long refuses arrivals
SWEEP_US = 20_000  # how often held calls are looked at
ANSWER_MARGIN_US = 60_000  # a held call is answered this long before its try ends: early enough to be retried

# --- endpoints ---
SENT_DECAY = 0.95  # of the work sent, kept from one refill window to the next: a memory of ten seconds
LEAST_SPARE = 0.1  # part of an even share that free classes keep at endpoints that a bound class fills
SUBSET_MIN = 5  # endpoints a copy keeps in use: few, so that a quiet one has evidence and warm connections
SUBSET_PER_CALL = 2.0  # endpoints for each call of the cap: a hot copy spreads wider
REDRAWS = 4  # tries to draw an endpoint that may take the call
HEALTH_WEIGHT = 0.3  # weight of the newest outcome in an endpoint's failure share
FLEET_WEIGHT = 0.02  # and in the failure share of all
EJECT_FAILING = 0.45  # failure share at which an endpoint is ejected: two failures in a row pass it
EJECT_VERSUS_PEERS = 0.5  # and this share of all endpoints' failure share more: shared trouble ejects nobody
EJECTED_FAILING = 0.35  # failure share that an endpoint returns with: one failure more and it is out again
TOGETHER_US = 20_000  # resets so close to each other tell of a process that is gone, not of a spoilt answer
LEAVING_DECLINES = 3  # calls turned away in a row by which an endpoint is taken to be leaving, not busy
MAX_EJECTED = 0.5  # share of the known endpoints, in all zones, that may be out at once
EJECT_US = 3_000_000  # first ejection; each further one doubles it
EJECT_MAX_US = 24_000_000  # up to this
RETURN_US = 4_000_000  # an ejected endpoint climbs back to its full part in this time
RETURN_FROM = 0.15  # starting with this part
HEARSAY_FLOOR = 0.05  # the least part that others' evidence leaves: their word alone ejects nobody
SLOW_WEIGHT = 0.2  # weight of the newest latency in an endpoint's mean
SLOW_RANGE = 4.0  # an endpoint counts as at most this many times slower or faster than its peers
COLD_USE = 0.5  # of the multiple that a cold endpoint bears, the share that all copies together use
COUNT_EVERY_US = 50_000  # the part of a pool's endpoints in use is counted this often
RATE_RISE, RATE_FALL = 0.2, 0.01  # weight of the newest window in a pool's rate
OUTLIER = 2.0  # endpoints slower than their peers by this are left out of the ratio and the cap

# --- connections ---
IDLE_FROM_US = 500_000  # idle times are told apart by doublings from here
IDLE_STEPS = 5  # below that, and four doublings
SILENT_RISE = 3.0  # an attempt is silent once it took so many usual (median) latencies without an answer
SILENT_WEIGHT = 0.1  # weight of the newest attempt in the silent share of its idle time
SILENT_EXCESS = 0.15  # share by which idle connections must be more often silent than fresh ones to be closed
IDLE_SAMPLES = 5  # attempts before a share says anything
IDLE_TRIES = 0.1  # part of those taken for dead that is tried all the same: trouble ends unannounced
LINK_KEPT = 0.8  # of the time after which endpoints close idle connections, how long one is counted on
HANDSHAKE_CALLS = 10.0  # calls in flight that a new connection counts as, for each first try that it costs

# --- attempts ---
HOPELESS = 0.5  # share of the median latency: a call with less time to its aim or its end is not taken
TRY_VOTES = 50  # calls that must come with another time left before the usual one is taken to have changed
COPY_RISE = 3.0  # a second copy goes out when the first has taken this many usual (median) latencies
RETRY_SHARE = 0.1  # retries and second copies allowed for each first attempt
RETRY_BURST = 5.0  # and this many more
MAX_ATTEMPTS = 3  # attempts from the first tier
MAX_ATTEMPTS_INNER = 2  # from inner ones: layers that retry each other multiply
RETRY_AFTER_SHARE = 0.5  # a refused client is told to wait this share of what it obeys, or up to twice it
ASK_SPREAD_US = 5_000  # for each copy, over how long all of them ask first: discovery takes them one by one
ASK_SPREAD_MAX_US = 1_000_000  # the list that a copy starts with may be old
ASK_BACKOFF_US = 500_000  # first wait before subscribing again, doubled up to
ASK_BACKOFF_MAX_US = 8_000_000
SPILL_GAIN = 0.5  # how much of a call's worth is taken to be saved by sending it to another zone

UNANSWERED = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED))
NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED))
UNLINKED = UNANSWERED | {Outcome.CONNECT_FAILED}  # after these the connection is gone
SWEEP, ASK = "sweep", "ask"


def may_refuse(effect: Effect, dedup_scope: DedupScope, may_have_run: bool) -> bool:
    """Rule 2: whether `shed` is a legal answer; if not, only `surrender` is."""
    if not may_have_run or effect is Effect.IDEMPOTENT:
        return True
    return effect is Effect.DEDUPLICATED and dedup_scope is DedupScope.ALL


def may_resend(
    effect: Effect,
    dedup_scope: DedupScope,
    window_us: int,
    first: tuple[int, str, int] | None,
    now: int,
    to: tuple[str, int],
) -> bool:
    """Rule 2: whether another attempt may go to an endpoint `to` (zone, cell).

    `first` is the earliest attempt that may have run, as (sent at, zone, cell), or None.
    """
    if first is None or effect is Effect.IDEMPOTENT:
        return True
    if effect is Effect.AT_MOST_ONCE or now - first[0] > window_us:
        return False
    if dedup_scope is DedupScope.ALL:
        return True
    return first[1] == to[0] if dedup_scope is DedupScope.ZONE else first[2] == to[1]


class TokenBuckets:
    """Tenants' budgets in RU, refilled each window from what was served in the last."""

    class Bucket:
        __slots__ = ("got", "got_per_s", "last_seen_at", "quota", "refill", "share", "tokens")

        def __init__(self, share: float, quota: float) -> None:
            self.share = share
            self.quota = quota  # requests a second at this copy
            self.refill = quota * BASE_COST_RU * (1 + HEADROOM)  # RU a second
            self.tokens = self.depth()
            self.last_seen_at = -ACTIVE_US
            self.got = 0.0  # RU served in this window, within its share or not
            self.got_per_s = 0.0  # smoothed

        def depth(self) -> float:
            """The most it holds, in RU."""
            return self.refill * BURST_US / 1e6 + BURST_RU

    def __init__(self, settings: Settings, phase_us: int, now: int) -> None:
        self.buckets = {
            t.name: self.Bucket(t.share or 1.0, t.quota_per_s / settings.balancers or FLOOR_PER_S)
            for t in settings.tenants
        }
        self.next_refill = now + phase_us
        self.served = 0.0  # RU in this window
        self.served_per_s = 0.0  # smoothed
        self.mean_cost = BASE_COST_RU

    def bucket_for(self, tenant: str) -> Bucket:
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = self.Bucket(1.0, FLOOR_PER_S)
        return bucket

    def charge(self, bucket: Bucket, price: float, paid: float, latency_us: int, ok: bool) -> None:
        """Charge the latency of an attempt that has ended; `paid` of its price was charged on arrival."""
        extra = LATENCY_RU_PER_US * latency_us
        if paid:
            bucket.tokens -= extra
        if ok:
            self.mean_cost += COST_WEIGHT * (price + extra - self.mean_cost)
            bucket.got += price + extra
            # Guards against a tenant far over its share whose calls, served in slack, raise its own budget.
            if paid:
                self.served += price + extra

    def refill(self, now: int) -> None:
        windows = 1 + (now - self.next_refill) // REFILL_WINDOW_US
        self.next_refill += windows * REFILL_WINDOW_US
        for _ in range(min(windows, 20)):
            rate = self.served * 1e6 / REFILL_WINDOW_US
            self.served_per_s += SERVED_SMOOTHING * (rate - self.served_per_s)
            self.served = 0.0
            for b in self.buckets.values():
                b.got_per_s += SERVED_SMOOTHING * (b.got * 1e6 / REFILL_WINDOW_US - b.got_per_s)
                b.got = 0.0
        active = [b for b in self.buckets.values() if now - b.last_seen_at < ACTIVE_US]
        shares, hot = sum(b.share for b in active), self._hot(active)
        for b in self.buckets.values():
            split = self.served_per_s * b.share / shares if shares else 0.0
            # A quota is stated in requests: at its present cost, or calls that slow down would shrink it.
            b.refill = max(b.quota * self.mean_cost * hot, split) * (1 + HEADROOM)
            b.tokens = min(b.depth(), b.tokens + b.refill * windows * REFILL_WINDOW_US / 1e6)

    def _hot(self, active: list[Bucket]) -> float:
        """How many times its even part of the traffic this copy has, as most tenants' served calls tell.

        Danger: quotas are split evenly, and some copies of many see several times the mean. There all tenants
        pass their part, rank alike, and those well within their share are refused beside one far over it. A
        tenant that alone gets more raises nothing, nor do clients' repeats, which are served once.
        """
        even = sorted(b.got_per_s / (b.quota * self.mean_cost) for b in active)
        most = even[(len(even) - 1) // 2] if len(even) > 1 else 0.0
        return min(most, HOT_MOST) if most > HOT_FROM else 1.0


class Histogram:
    """Counts of latencies, taken as shares of their class's aim, in log-spaced buckets."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * HISTOGRAM_SIZE
        self.total = 0

    def add(self, share: float) -> None:
        place = int(math.log2(share / HISTOGRAM_FROM) * BUCKETS_PER_DOUBLING) if share > HISTOGRAM_FROM else 0
        self.counts[min(place, HISTOGRAM_SIZE - 1)] += 1
        self.total += 1

    def above(self, part: float, older: Histogram | None = None) -> float:
        """The latency that this part of the samples, those of `older` too, lies above."""
        left = part * (self.total + (older.total if older else 0))
        place = HISTOGRAM_SIZE - 1
        while place > 0:
            left -= self.counts[place] + (older.counts[place] if older else 0)
            if left < 0:
                break
            place -= 1
        return float(HISTOGRAM_FROM * 2 ** ((place + 0.5) / BUCKETS_PER_DOUBLING))


class LatencyRatio:
    """Long p95 over short p95 of call latencies."""

    def __init__(self, now: int) -> None:
        self.short = (Histogram(), Histogram())  # newer and older half
        self.long = (Histogram(), Histogram())
        self.short_turn = now + SHORT_WINDOW_US
        self.long_turn = now + LONG_WINDOW_US
        self.next_read = now + RATIO_EVERY_US
        self.value = 1.0

    def record(self, now: int, share: float) -> None:
        self.short[0].add(share)
        self.long[0].add(share)
        if now >= self.next_read:
            self.read(now)

    def read(self, now: int) -> None:
        self.next_read = now + RATIO_EVERY_US
        if now >= self.short_turn:
            stale = now >= self.short_turn + SHORT_WINDOW_US
            self.short_turn = now + SHORT_WINDOW_US
            self.short = (Histogram(), Histogram() if stale else self.short[0])
        if now >= self.long_turn:
            self.long_turn = now + LONG_WINDOW_US
            self.long = (Histogram(), self.long[0])
        if self.short[0].total + self.short[1].total < MIN_SAMPLES:
            self.value = 1.0
            return
        # Guards against a day that is slow from its first second: what has always been slow looks normal.
        normal = min(self.long[0].above(0.05, self.long[1]), NORMAL_SHARE)
        self.value = normal / self.short[0].above(0.05, self.short[1])

    def stress(self) -> float:
        """0 while the ratio sits near 1, up to 1."""
        return max(0.0, 1.0 - self.value / STRESS_RATIO)


class ConcurrencyLimit:
    """The in-flight cap of one pool, learned from outcomes: latencies as shares of their class's aim.

    It follows medians: single long calls, and the few that met a slow endpoint on their way, say nothing of
    crowding, and a cap that falls for them starves the sound endpoints.
    """

    def __init__(self, layer: int) -> None:
        self.endpoint_cap = START_CALLS  # calls that an endpoint is taken to bear, from all copies together
        self.listed = 0.0  # this copy's part of the endpoints: it bounds the sum over all copies
        self.fair = 0.0  # the same, as the cap counts it: it follows a list that shrinks by and by
        self.open = 1.0  # the part of their capacity that is in use
        self.warm = 1.0  # the part that is surely there: neither cold, nor at rest, nor out of reach
        self.busy: float | None = None  # the mean busy share that its endpoints tell
        self.in_flight = 0
        self.dither = 0.0
        self.next_dither = 0
        self.median_latency = self.base = 0.0
        self.most = TARGET_SHARE / (layer + 1)
        self.normal = NORMAL_SHARE / (layer + 1)
        self.round = Histogram()
        self.bound = 0  # outcomes of this round that came while the cap was in the way
        self.roots = CHANCE_ROOTS if layer else CHANCE_ROOTS_OUTSIDE
        self.slack = 0.5  # 1 uncrowded, 0 with latencies at their target
        self.changed = self.grown = 0

    @property
    def cap(self) -> float:
        """The cap on the mean of calls in flight: it shrinks and grows with the endpoints in use.

        Danger: a cap learned with all endpoints falls on the few left, or on cold ones, and jams those too.
        While a part is out, retries and returning endpoints crowd the rest, which bear less than was learned.
        """
        learned = max(0.0, self.endpoint_cap - START_CALLS) * max(0.0, 1.0 - SHY * (1.0 - self.warm))
        each = min(self.endpoint_cap, START_CALLS + learned)
        return max(MIN_CAP, min(each * self.fair, max(each, SURE_CALLS) * self.listed) * self.open)

    def size(self, fair: float) -> None:
        """A list has come.

        Danger: in a release endpoints leave the list and are back within seconds, some at any time. A cap
        that goes with each of them starves the tier while its clients repeat, so calls stay as many for a
        while, as far as those that are left bear them on any day.
        """
        self.listed = fair
        self.fair = max(fair, self.fair)

    def max_in_flight(self, scarcity: float) -> float:
        """The calls that may be out at one moment, while the cap bounds their mean.

        Danger: a quiet inner copy has a cap of a call or two, which chance alone passes all the time: it
        would refuse work half done while its endpoints sit idle. As latencies near their target the room
        closes to the cap, and the outermost tier has least: what is too much is to be refused there.
        """
        cap = self.cap
        return cap + self.roots * self.slack * (1.0 - scarcity) * math.sqrt(cap)

    def full(self, now: int, room: float, rng: random.Random) -> bool:
        """Whether the room is taken; while crowded it counts exactly, parts of a call for part of the time.

        Danger: caps rounded up to whole calls at hundreds of copies keep a small fleet crowded.
        """
        if now >= self.next_dither:
            self.next_dither = now + DITHER_US
            self.dither = rng.random()
        return self.in_flight >= (room if self.slack else int(room + self.dither))

    def learn(self, now: int, sent: int, share: float) -> None:
        # Guards against cutting again and again for calls that were sent before the last cut.
        if sent < self.changed:
            return
        self.round.add(share)
        cap = self.cap
        self.bound += self.in_flight >= BINDING * cap
        if self.round.total >= ROUND_SAMPLES + ROUND_PER_CALL * cap:
            self._close(now, cap)

    def _close(self, now: int, cap: float) -> None:
        median = self.round.above(0.5)
        self.median_latency += (BASE_WEIGHT if self.median_latency else 1.0) * (median - self.median_latency)
        # Danger: where each round drifts, a busy day is learned as its uncrowded state; the cap climbs with
        # it for minutes, until a burst jams all endpoints. Covers any lasting overload. Where endpoints slow
        # down for good, that is learned late: once the cap has fallen to what they surely bear.
        drift = 1.0 if self.bound and self.endpoint_cap > SURE_CALLS else BASE_DRIFT
        # Guards against a start amid overload: what was always slow is not taken for the uncrowded state.
        self.base = min(self.base * drift if self.base else self.normal, self.median_latency)
        target = max(TARGET_LEAST_RISE * self.base, min(TARGET_RISE * self.base, self.most))
        fill = 1.0 if self.busy is None else self.busy / FULL_CORES
        if fill < ROOMY:  # slow is what lies behind them, of which more calls wait without harm
            target = max(target, self.normal)
        self.slack = min(1.0, max(0.0, TARGET_RISE * (1.0 - median / target)))
        if median > target or fill > 1.0:
            self.endpoint_cap = max(
                FLOOR_CALLS,
                self.endpoint_cap * max(DEEPEST_CUT, min(target / median, 1 / fill)),
            )
            self.changed = now
        elif self._tried() and (self.endpoint_cap < SURE_CALLS or now >= self.grown + GROW_EVERY_US):
            self.endpoint_cap += max(GROW_CALLS * self.endpoint_cap / cap, GROW_SHARE * self.endpoint_cap)
            self.grown = now
        self.round, self.bound = Histogram(), 0

    def _tried(self) -> bool:
        """Whether this round shows what endpoints bear at the cap, which may grow then.

        Guards against bursts, and against what a few endpoints bear a while in place of others: calls that
        met a cap far off, or a part of it, say nothing of the whole.
        """
        part = BOUND_PART if self.endpoint_cap > SURE_CALLS else SURE_PART
        return self.open == 1.0 and self.bound > part * self.round.total


class RetryBudget:
    """Retries as a share of first attempts, so that trouble does not multiply the load."""

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def earn(self) -> None:
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def spend(self) -> bool:
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class IdleConnections:
    """Which connections have been idle too long to be trusted, learned from attempts that got no answer.

    Danger: something on the way drops idle connections unseen. What is sent on one waits out its whole try,
    at any endpoint and for any class, so no endpoint looks ill; quiet copies are hit most.
    """

    def __init__(self, closed_us: int) -> None:
        self.closed_us = closed_us or 1 << 62
        # Silent shares, and attempts, by idle time; the last place is for fresh connections.
        self.shares = [0.0] * (IDLE_STEPS + 1)
        self.counts = [0] * (IDLE_STEPS + 1)

    def step(self, idle_us: int) -> int:
        if idle_us >= self.closed_us:
            return IDLE_STEPS
        return min((idle_us // IDLE_FROM_US).bit_length(), IDLE_STEPS - 1)

    def learn(self, step: int, silent: bool) -> None:
        self.counts[step] += 1
        weight = max(SILENT_WEIGHT, 1 / self.counts[step])
        self.shares[step] += weight * (silent - self.shares[step])

    def dead(self, step: int, chance: float) -> bool:
        """Whether connections idle for so long had better be closed first; `chance` is drawn from 0..1."""
        if step == IDLE_STEPS or self.counts[step] < IDLE_SAMPLES or chance < IDLE_TRIES:
            return False
        sound = [s for s, n in zip(self.shares, self.counts, strict=True) if n >= IDLE_SAMPLES]
        if self.counts[IDLE_STEPS] < IDLE_SAMPLES:
            sound.append(0.0 if chance < 0.5 else 1.0)  # half of them show how fresh ones fare
        return self.shares[step] > min(sound) + SILENT_EXCESS


class EndpointState:
    """What this instance knows of one endpoint: its listing, own calls, health and slow start."""

    __slots__ = (
        "cell", "cold_tokens", "cold_tokens_at", "declines", "ejected_until", "ejections", "failed_at",
        "failing", "id", "in_flight", "is_ready", "kind", "labels", "launched", "listed", "load_weight",
        "order", "peak", "peak_at", "peer_factor", "slow", "unreachable", "used", "weight", "zone",
    )  # fmt: skip

    def __init__(self, entry: Endpoint, now: int) -> None:
        self.id = entry.id
        self.order = zlib.crc32(entry.id.encode())  # one order for all copies, which the ids tell nothing of
        self.in_flight = self.failed_at = 0
        self.failing = 0.0
        self.slow = 0.0  # mean latency over that of the peers; 0 unknown
        self.load_weight = LoadWeight()
        self.peer_factor = 1.0  # the part that others' evidence leaves it
        self.unreachable = False  # the last call found nobody there; a spoilt answer may be a sound one's
        self.declines = 0  # calls turned away in a row
        self.cold_tokens = -1.0  # sends that it may have while cold; below 0: not begun
        self.cold_tokens_at = 0
        self.used = 0  # when a connection to it was last in use; 0: never
        self.peak = self.peak_at = 0  # most calls in flight lately, and when: so many connections are open
        self.ejected_until = self.ejections = self.launched = 0
        self.take(entry, now)

    def take(self, entry: Endpoint, now: int) -> None:
        self.zone, self.kind, self.cell, self.weight = (
            entry.zone,
            entry.machine_kind,
            entry.cell,
            entry.weight,
        )
        self.labels = entry.labels
        self.is_ready = entry.readiness is Readiness.READY
        # What drains may be back in a moment, as where a check flaps: it is known until it is gone.
        self.listed = entry.readiness is not Readiness.REMOVED
        if entry.started_us != self.launched:  # a new process under a known id: what we knew is void
            self.launched = entry.started_us
            self.cold_tokens, self.cold_tokens_at = -1.0, now
            self.failing = self.slow = 0.0
            self.ejected_until = self.ejections = 0
            self.load_weight, self.peer_factor = LoadWeight(), 1.0


class Subset:
    """The random subset of one pool: an even block of a random order that all copies share."""

    def __init__(self) -> None:
        self.members: list[EndpointState] = []

    def fill(self, endpoints: list[EndpointState], rank: int, balancers: int, size: int) -> None:
        """Blocks that start at even distances load all endpoints alike, where free picks would leave gaps."""
        endpoints.sort(key=lambda e: (e.order, e.id))
        n = len(endpoints)
        if size >= n:
            self.members = endpoints
            return
        start = rank % balancers * n // balancers
        self.members = [endpoints[(start + i) % n] for i in range(size)]


class TryTime:
    """The time left that most calls of one class come with: how long a try lasts. Others tell their age."""

    def __init__(self) -> None:
        self.usual = 0
        self.votes = 0

    def age(self, left: int, deadline: int) -> int:
        """How long ago the client first asked, as far as the time left tells."""
        if abs(left - self.usual) * 100 <= deadline:
            self.votes = min(self.votes + 1, TRY_VOTES)
            return 0
        self.votes -= 1
        if self.votes < 0:
            self.usual, self.votes = left, 0
            return 0
        return max(0, deadline - left)


class Call:
    """One request that this instance owes an answer for, or has attempts out for."""

    __slots__ = (
        "answered", "arrived", "attempts", "bucket", "due", "first_run", "held_until", "id", "level",
        "outstanding", "paid", "price", "request_class",
    )  # fmt: skip

    def __init__(
        self,
        call: str,
        grade: RequestClass,
        now: int,
        due: int,
        bucket: TokenBuckets.Bucket,
    ) -> None:
        self.id = call
        self.request_class = grade
        self.arrived = now
        self.due = due  # until when an answer is worth something: the end of the try, or the aim before it
        self.attempts: list[tuple[EndpointState, int, Pool, int]] = []
        self.outstanding: set[int] = set()
        self.first_run: tuple[int, str, int] | None = None  # earliest attempt known to may have run
        self.answered = False
        self.held_until = 0  # 0: not held
        self.level = 0
        self.price = self.paid = 0.0
        self.bucket = bucket


class HoldQueue:
    """Calls past the cap, best worth first; long sojourn there refuses arrivals."""

    def __init__(self, levels: int) -> None:
        self.levels: list[deque[Call]] = [deque() for _ in range(levels)]
        self.ends: list[tuple[int, int, Call]] = []
        self.serial = self.count = 0
        self.long_since = -1

    def push(self, call: Call, until: int) -> None:
        call.held_until = until
        self.levels[call.level].append(call)
        self.serial += 1
        self.count += 1
        heapq.heappush(self.ends, (until, self.serial, call))

    def take(self, call: Call) -> None:
        """The call leaves; its places in the queues are cleared when they come up."""
        call.held_until = 0
        self.count -= 1
        if not self.count:
            # An empty queue refuses nobody: arrivals refused for its past leave nobody to find it empty.
            self.long_since = -1

    def head(self, level: int) -> Call | None:
        queue = self.levels[level]
        while queue and not queue[0].held_until:
            queue.popleft()
        return queue[0] if queue else None

    def overdue(self, now: int) -> Call | None:
        ends = self.ends
        while ends and not ends[0][2].held_until:
            heapq.heappop(ends)
        return ends[0][2] if ends and ends[0][0] <= now else None

    def watch(self, now: int) -> None:
        """Follow how long the sojourn has stood above its target."""
        for level in range(len(self.levels)):
            call = self.head(level)
            if call is not None and now - call.arrived > SOJOURN_SHARE * call.request_class.objective_us:
                if self.long_since < 0:
                    self.long_since = now
                return
        self.long_since = -1

    def refusing(self, now: int) -> bool:
        return self.long_since >= 0 and now - self.long_since >= SOJOURN_INTERVAL_US


class Pool:
    """The endpoints of this zone, or of the others: a subset and the cap on calls into it."""

    def __init__(self, layer: int) -> None:
        self.subset = Subset()
        self.limit = ConcurrencyLimit(layer)
        self.sent = 0  # in this refill window
        self.counted_at = 0  # when the part of its endpoints in use was last counted
        self.rate = 0.0  # calls sent a second; falls slowly, so that slow start does not feed on itself

    def turn(self) -> None:
        rate = self.sent * 1e6 / REFILL_WINDOW_US
        self.rate += (RATE_RISE if rate > self.rate else RATE_FALL) * (rate - self.rate)
        self.limit.fair = max(self.limit.listed, FAIR_KEPT * self.limit.fair)
        self.sent = 0


class CandidateSet:
    """The endpoints that the classes of one constraint may use: a pool in this zone and one in the others.

    Rule 5: subsets are drawn from the allowed endpoints alone, and every send draws from such a subset.
    Filtering a subset drawn from all could leave none, or the same few to all copies.
    """

    def __init__(self, grade: RequestClass, layer: int) -> None:
        self.constraint = (grade.allowed_zones, grade.allowed_machine_kinds, grade.labels)
        self.zones = grade.allowed_zones
        self.kinds = grade.allowed_machine_kinds
        self.labels = grade.labels
        self.local, self.remote = Pool(layer), Pool(layer)
        self.pools = (self.local, self.remote)
        self.size = 0  # endpoints that are open to it and ready
        self.beyond = 0.0  # of this copy's part of them, what its own zone does not hold
        self.sent = 0.0  # work sent lately, of all its classes
        self.spare: dict[str, float] = {}  # the part of an even share left by narrower classes, where below 1

    def allows(self, e: EndpointState) -> bool:
        if not self.labels <= e.labels:
            return False
        return (self.zones is None or e.zone in self.zones) and (self.kinds is None or e.kind in self.kinds)


class Balancer:
    """The decisions of one sidecar instance."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.random = random.Random(seed)
        whole = [c for c in settings.classes if not c.variant_of]
        best = max(c.worth for c in whole) or 1.0
        worths = {
            (c.name, over): c.worth / best * (settings.over_share_worth if over else 1.0)
            for c in whole
            for over in (False, True)
        }
        goal = settings.goal
        even = goal.class_weight / (goal.class_weight + goal.worth_weight or 1.0)
        # What a served call is worth to the goal, where the cheapest class may count as much as the best.
        for k in worths:
            worths[k] = (1 - even) * worths[k] + even * (settings.over_share_worth if k[1] else 1.0)
        ranked = sorted(worths, key=lambda k: (-worths[k], k))
        self.level = {k: i for i, k in enumerate(ranked)}
        self.worth = [worths[k] for k in ranked]
        self.copying = settings.limits.hedging and settings.layer == 0
        self.handshake = min(1.0, HANDSHAKE_CALLS * settings.prices.handshake)
        self.link_kept_us = int(LINK_KEPT * settings.limits.conn_idle_us)
        self.started = False

    # --- life ---

    def start(self, now_us: int, has_cached_list: bool = False) -> None:
        s = self.settings
        self.started = True
        self.endpoints: dict[str, EndpointState] = {}
        self.calls: dict[str, Call] = {}
        self.buckets = TokenBuckets(s, self.random.randrange(REFILL_WINDOW_US), now_us)
        self.ratio = LatencyRatio(now_us)
        self.queue = HoldQueue(len(self.worth))
        self.retries = RetryBudget()
        self.idle = IdleConnections(s.limits.conn_idle_us)
        self.classes: dict[str, RequestClass] = {}
        self.tries: dict[str, TryTime] = {}
        self.candidates: dict[str, CandidateSet] = {}
        self._use(s.classes)
        self.ejected: list[EndpointState] = []
        self.ready_count = 0
        self.fleet_failing = self.fleet_latency = 0.0
        self.scarcity = 0.0  # share of late arrivals within their share that found no room at once
        self.sweep_at = -1
        self.pending_hedges: deque[tuple[int, Call]] = deque()  # when a second copy of the call falls due
        self.poll_backoff_us = ASK_BACKOFF_US
        self.asking = False
        if s.discovery is Discovery.POLL:
            # Guards against hundreds that start together: half of them would be turned away, and ask again.
            spread = min(ASK_SPREAD_US * (s.balancers - 1), ASK_SPREAD_MAX_US) if has_cached_list else 0
            self.asking = spread > 0
            if spread:
                self.actions.timer(int(spread * self.random.random()), ASK)
            else:
                self.actions.tail(True)

    def _use(self, classes: Sequence[RequestClass]) -> None:
        """Know these classes and no others; what was learned for the endpoints of one constraint is kept."""
        known = {p.constraint: p for p in self.candidates.values()}
        self.classes = {c.name: c for c in classes}
        self.tries = {c.name: self.tries.get(c.name) or TryTime() for c in classes}
        self.candidates = {}
        for c in classes:
            new = CandidateSet(c, self.settings.layer)
            self.candidates[c.name] = known.setdefault(new.constraint, new)
        self.candidate_sets = list(dict.fromkeys(self.candidates.values()))
        self.level.update(
            ((c.name, over), self.level[c.variant_of, over])
            for c in classes
            if c.variant_of
            for over in (False, True)
        )  # fmt: skip

    def adopt(self, now_us: int, classes: Sequence[RequestClass]) -> None:
        """Variants come and go while calls are out: those still in use stay until a later change."""
        in_use = {c.request_class.name: c.request_class for c in self.calls.values()}
        whole = [c for c in self.classes.values() if not c.variant_of]
        variants = {c.name: c for c in (*in_use.values(), *classes) if c.variant_of}
        self._use([*whole, *variants.values()])
        self._fill_pools()
        if self.queue.count:
            self._dispatch(now_us)

    def discovery(self, now_us: int, form: ListForm, entries: Sequence[Endpoint]) -> None:
        if form is ListForm.FAILED:
            if self.settings.discovery is Discovery.POLL and not self.asking:
                # Guards against all copies asking again in step after discovery has turned them away.
                self.asking = True
                self.actions.timer(int(self.poll_backoff_us * (0.5 + self.random.random())), ASK)
                # Rule 3: four times that long after a failed call its list counts as told anew.
                self.poll_backoff_us = min(
                    2 * self.poll_backoff_us, ASK_BACKOFF_MAX_US, self.settings.rules.poll_interval_us
                )
            return
        if form is not ListForm.CACHED:
            self.poll_backoff_us = ASK_BACKOFF_US
        if form is not ListForm.DELTA:
            listed = {e.id for e in entries}
            for known in self.endpoints.values():
                if known.id not in listed:
                    known.is_ready = known.listed = False
        for entry in entries:
            state = self.endpoints.get(entry.id)
            if state is None:
                self.endpoints[entry.id] = EndpointState(entry, now_us)
            else:
                state.take(entry, now_us)
        # Guards against ids that are ever new: what has left is forgotten once nothing of it is out.
        for left in [e for e in self.endpoints.values() if not e.listed and not e.in_flight]:
            del self.endpoints[left.id]
        self._fill_pools()
        if self.queue.count:
            self._dispatch(now_us)

    def _fill_pools(self) -> None:
        s = self.settings
        ready = [e for e in self.endpoints.values() if e.is_ready]
        self.ready_count = len(ready)
        for placement in self.candidate_sets:
            allowed = [e for e in ready if placement.allows(e)]
            near = [e for e in allowed if e.zone == s.zone]
            far = [e for e in allowed if e.zone != s.zone]
            placement.size = len(allowed)
            # Copies are spread over the zones about as endpoints are; other zones have their own to carry.
            # Danger: of few copies one may have more than its zone holds, and would crowd it with that.
            fair = len(allowed) / s.balancers
            here = min(fair, len(near))
            placement.beyond = fair - here
            for pool, members, part in (
                (placement.local, near, here),
                (placement.remote, far, max(REMOTE_PART * fair, placement.beyond)),
            ):
                pool.limit.size(part)
                pool.counted_at = 0
                size = max(SUBSET_MIN, int(SUBSET_PER_CALL * pool.limit.endpoint_cap * pool.limit.fair))
                pool.subset.fill(members, s.rank, s.balancers, size)
        self._recount()

    def _share_out(self) -> None:
        """Note what was sent, and leave to a bound class the endpoints that it fills.

        Danger: classes free to go anywhere crowd the few endpoints of a bound class while others have room.
        """
        for placement in self.candidate_sets:
            for pool in placement.pools:
                pool.turn()
                pool.limit.busy = mean_busy([e.load_weight for e in pool.subset.members])
        if len(self.candidate_sets) < 2:
            return
        level = sum(p.sent for p in self.candidate_sets) / max(1, *(p.size for p in self.candidate_sets))
        for wide in self.candidate_sets:
            wide.spare = {}
            for narrow in self.candidate_sets:
                if level and 0 < narrow.size < wide.size:
                    left = max(LEAST_SPARE, 1.0 - narrow.sent / narrow.size / level)
                    wide.spare.update((e.id, left) for e in self.endpoints.values() if narrow.allows(e))
        for p in self.candidate_sets:
            p.sent *= SENT_DECAY

    def wake(self, now_us: int, mark: str) -> None:
        if mark == ASK:
            self.asking = False
            self.actions.tail(True)
        elif mark == SWEEP and now_us >= self.sweep_at >= 0:
            self.sweep_at = -1
            self._sweep(now_us)

    # --- requests ---

    def order(
        self,
        now_us: int,
        call: str,
        class_name: str,
        tenant: str | None,
        expires_in_us: int,
        hint_us: int | None,
    ) -> None:
        if not self.started:
            raise RuntimeError("order before start")
        if call in self.calls:
            raise RuntimeError(f"request {call} is here already")
        buckets = self.buckets
        if now_us >= buckets.next_refill:
            buckets.refill(now_us)
            self._share_out()
        bucket = buckets.bucket_for(tenant or "")
        new = self.calls[call] = Call(call, self.classes[class_name], now_us, now_us + expires_in_us, bucket)
        bucket.last_seen_at = now_us
        stress = self.ratio.stress()
        worth = self.worth[self.level[class_name, False]]
        price = BASE_COST_RU + HINT_RU_PER_US * (hint_us or 0)
        new.price = price
        inflated = price * (1 + PENALTY * stress * (1 - worth))
        # Danger: where the settings name no tenants all calls are of one, with nobody's share to pass.
        over = bucket.tokens < inflated and bool(self.settings.tenants)
        new.level = self.level[class_name, over]
        age = (
            self.tries[class_name].age(expires_in_us, new.request_class.deadline_us)
            if not self.settings.layer
            else 0
        )  # fmt: skip
        if expires_in_us <= 0:
            self._refuse(new)
            return
        if not new.request_class.late_worth_share:
            # Guards against repeats that can no longer be worth anything.
            usual = self.candidates[class_name].local.limit.median_latency * HOPELESS
            new.due = min(new.due, now_us + new.request_class.objective_us - age)
            if new.due - now_us <= new.request_class.objective_us * usual:
                self._refuse(new)
                return
        low = self.worth[new.level] < LOW_WORTH
        outer = self.settings.layer == 0
        if outer and over and (stress > 0 or self.scarcity > SCARCE):
            self._refuse(new)
            return
        if outer and self.queue.refusing(now_us):
            self._refuse(new)
            return
        if not over:
            bucket.tokens -= inflated
            new.paid = inflated
        at_once = (low or not self.queue.count) and self._try_send(now_us, new)
        if not over:
            self.scarcity += SCARCITY_WEIGHT * ((not at_once) - self.scarcity)
        if at_once:
            return
        if outer and low and (stress > 0 or self.queue.count):
            self._refuse(new)
            return
        self._hold(now_us, new)

    def _hold(self, now: int, call: Call) -> None:
        share = HOLD_SHARE_INSIDE if self.settings.layer else HOLD_SHARE
        until = min(now + int(share * call.request_class.objective_us), call.due - ANSWER_MARGIN_US)
        if until <= now:
            self._refuse(call)
            return
        self.queue.push(call, until)
        self._sweep_later(now)

    def _sweep_later(self, now: int) -> None:
        if self.sweep_at < 0:
            self.sweep_at = now + SWEEP_US
            self.actions.timer(SWEEP_US, SWEEP)

    def _sweep(self, now: int) -> None:
        queue = self.queue
        self._dispatch(now)
        while (call := queue.overdue(now)) is not None:
            queue.take(call)
            self._refuse(call)
        queue.watch(now)
        while self.pending_hedges and self.pending_hedges[0][0] <= now:
            self._copy(now, self.pending_hedges.popleft()[1])
        while self.pending_hedges and self.pending_hedges[0][1].answered:
            self.pending_hedges.popleft()
        if queue.count or self.pending_hedges:
            self._sweep_later(now)

    def _copy(self, now: int, call: Call) -> None:
        """Send a second copy: answers an endpoint that pauses or hangs under a call that is safe to repeat.

        Acts only while nothing is scarce: no stress, nobody held, room under the cap, retries left.
        """
        if (
            call.answered
            or len(call.attempts) != 1
            or not call.outstanding
            or call.request_class.max_attempts == 1
        ):  # fmt: skip
            return
        if self.ratio.stress() > 0 or self.queue.count or self.retries.tokens < 1.0:
            return
        if self._try_send(now, call):
            self.retries.spend()

    def _dispatch(self, now: int) -> None:
        """Send held calls while there is room, best worth first."""
        queue = self.queue
        queue.watch(now)
        for level in range(len(queue.levels)):
            while (call := queue.head(level)) is not None:
                if not self._try_send(now, call):
                    break
                queue.take(call)

    def _refuse(self, call: Call) -> None:
        """Final answer without a result: `shed` where that is legal."""
        if may_refuse(
            call.request_class.effect,
            call.request_class.dedup_scope,
            call.first_run is not None or bool(call.outstanding),
        ):
            wait = 0
            limits = self.settings.limits
            if limits.may_send_retry_after:
                # Drawn anew for each: clients told the same wait would come back together.
                wait = int(limits.max_retry_after_us * RETRY_AFTER_SHARE * (1 + self.random.random()))
            self.actions.shed(call.id, wait)
        else:
            self.actions.surrender(call.id)
        self._answered(call)

    def _answered(self, call: Call) -> None:
        call.answered = True
        if not call.outstanding:
            del self.calls[call.id]

    def _call_off(self, call: Call) -> None:
        """Cancel what nobody waits for any more: some endpoints stop such work."""
        if self.settings.limits.may_cancel:
            for attempt in sorted(call.outstanding):
                self.actions.cancel(call.id, attempt)

    def _try_send(self, now: int, call: Call) -> bool:
        worth = self.worth[call.level]
        barren = True  # whether this zone has no endpoint that could take the call, however long it waits
        placement = self.candidates[call.request_class.name]
        share = 1.0 if worth >= LOW_WORTH else LOW_TIER_SHARE
        for pool in placement.pools:
            if not pool.subset.members:
                continue
            limit = pool.limit
            self._count_in_use(now, pool)
            if pool is placement.remote and placement.local.subset.members:  # it carries what was lost here
                lost = 1.0 - placement.local.limit.open
                here, beyond = placement.local.limit.fair, placement.beyond
                limit.listed = limit.fair = max(REMOTE_PART * (here + beyond), lost * here + beyond)
            if limit.full(now, share * limit.max_in_flight(self.scarcity), self.random):
                barren = False
                continue
            if pool is placement.remote and not barren and not self._worth_crossing(now, call):
                return False
            endpoint = self._pick(now, pool, call)
            if endpoint is not None:
                self._send(now, call, endpoint, pool)
                return True
        return False

    def _worth_crossing(self, now: int, call: Call) -> bool:
        """Spill to another zone what this one cannot carry; the dearer the crossing, the longer it waits."""
        price = self.settings.prices.cross_zone
        gain = self.worth[call.level] * SPILL_GAIN
        if gain <= price:
            return False
        # Danger: stress and queue of the one endpoint near refused what may not wait, beside others at rest.
        if self.candidates[call.request_class.name].beyond > 0:
            return True  # a part of this copy's own lies there
        return now - call.arrived >= price / gain * HOLD_SHARE * call.request_class.objective_us

    def _pick(self, now: int, pool: Pool, call: Call) -> EndpointState | None:
        """The less busy, by own calls in flight, of two random members of the subset."""
        members = pool.subset.members
        n = len(members)
        best: EndpointState | None = None
        best_load = 0.0
        tried = call.attempts
        spare = self.candidates[call.request_class.name].spare
        drawn = 0
        # A retry that finds nobody is refused at once: past what chance drew it looks at each that is whole.
        for at in range(-2 * REDRAWS, n if tried else 0):
            e = members[at if at >= 0 else int(self.random.random() * n)]
            if e is best or (tried and any(a[0] is e for a in tried)):
                continue
            warmth = self._warmth(now, e)
            part = self._traffic_fraction(now, e, warmth) * spare.get(e.id, 1.0)
            if part < 1.0 and (at >= 0 or self.random.random() >= part):
                continue
            if warmth < 1.0 and not self._affords(now, e, pool, warmth):
                continue
            # Rule 2: it may leave only once a connection has come up.
            leaves = now + self.settings.limits.connect_timeout_us
            if call.first_run is not None and not may_resend(
                call.request_class.effect,
                call.request_class.dedup_scope,
                call.request_class.dedup_window_us,
                call.first_run,
                leaves,
                (e.zone, e.cell),
            ):
                continue
            dear = self.handshake if self.handshake and not self._linked(now, e) else 0.0
            # The draw has thinned what is cold: thinned again, one at rest would lose to any that is warm.
            load = (e.in_flight / warmth + 1 + dear) / (
                e.weight * part / warmth / e.peer_factor * e.load_weight.factor
            )  # fmt: skip
            if e.slow:
                load *= e.slow
            if best is None or load < best_load:
                best, best_load = e, load
            drawn += 1
            if drawn == 2:
                break
        return best

    def _linked(self, now: int, e: EndpointState) -> bool:
        """Whether a connection is likely to be open and free.

        Danger: where each of many copies sees little, two equal endpoints are drawn all the time of which one
        has a connection; taking either makes a new connection for one call in five or six.
        """
        if now - e.peak_at >= self.link_kept_us:
            e.peak, e.peak_at = max(e.in_flight, int(now - e.used < self.link_kept_us and e.used > 0)), now
        return e.in_flight < e.peak

    def _traffic_fraction(self, now: int, e: EndpointState, warmth: float) -> float:
        """The part of a warm peer's calls that this endpoint may have: slow start, ejection and return.

        Rule 4: a draw that falls on a cold endpoint stands only with the probability of its least capacity,
        so each copy sends it that part of what its warm endpoints get, and so do all copies together.
        """
        return warmth * self._returned(now, e) * e.peer_factor

    def _recount(self) -> None:
        """Count calls in flight anew: the cap is not on those at endpoints that have left."""
        for placement in self.candidate_sets:
            placement.local.limit.in_flight = placement.remote.limit.in_flight = 0
        for call in self.calls.values():
            for n in call.outstanding:
                e, _, pool, _ = call.attempts[n]
                pool.limit.in_flight += e.is_ready

    def _returned(self, now: int, e: EndpointState) -> float:
        """The part of its calls that an endpoint may have while it is ejected, and after."""
        since = now - e.ejected_until
        if not e.ejected_until or since >= RETURN_US:
            return 1.0
        return 0.0 if since < 0 else RETURN_FROM + (1 - RETURN_FROM) * since / RETURN_US

    def _count_in_use(self, now: int, pool: Pool) -> None:
        """Read now and then which part of a pool's endpoints is in use, and which is surely there.

        Covers ejection and slow start. Could hurt where sound endpoints are ejected while the rest have
        capacity to spare. What spoilt answers ejected is out of use, yet it is there.
        """
        if now < pool.counted_at + COUNT_EVERY_US:
            return
        pool.counted_at = now
        open_ = warm = 0.0
        for e in pool.subset.members:
            part = self._warmth(now, e)
            returned = self._returned(now, e)
            open_ += part * returned
            warm += part * (returned if e.unreachable else 1.0)
        pool.limit.open = open_ / len(pool.subset.members)
        pool.limit.warm = warm / len(pool.subset.members)

    def _warmth(self, now: int, e: EndpointState) -> float:
        """The least part of its capacity that the endpoint has, by its stated start."""
        rules = self.settings.rules
        age = now - e.launched
        if not e.launched or age >= rules.warm_up_us:
            return 1.0
        return rules.cold_capacity_share + (1 - rules.cold_capacity_share) * max(age, 0) / rules.warm_up_us

    def _affords(self, now: int, e: EndpointState, pool: Pool, warmth: float) -> bool:
        """Whether a cold endpoint has credit left: it earns a part of what those of its pool usually got.

        Danger: where most of a subset is cold there is little else to draw, so that redraws and held calls
        would send it all the same, from every copy; a burst right after the start may break rule 4. What all
        have in hand at first is what one endpoint bears in a second; what is earned counts from the
        hearing of the start, or a copy that draws each endpoint now and then sends none before it is warm.
        """
        fair = START_CALLS / self.settings.balancers  # a second, while no rate is known
        usual = max(pool.rate / len(pool.subset.members), fair)
        if e.cold_tokens < 0:
            e.cold_tokens = self.random.random() + fair  # all copies hear of the start at once
        earned = usual * min(1.0, COLD_USE * self.settings.rules.overload_factor * warmth)
        e.cold_tokens = min(1.0, e.cold_tokens + earned * (now - e.cold_tokens_at) / 1e6)
        e.cold_tokens_at = now
        return e.cold_tokens >= 1.0

    def _send(self, now: int, call: Call, e: EndpointState, pool: Pool) -> None:
        call.outstanding.add(len(call.attempts))
        if not call.attempts:
            self.retries.earn()
            self.candidates[call.request_class.name].sent += call.price
            usual = pool.limit.median_latency * call.request_class.objective_us
            # Only the outermost layer copies: copies inside multiply, and only it sees all stress.
            if (
                usual
                and self.copying
                and call.request_class.may_hedge
                and call.request_class.effect is Effect.IDEMPOTENT
            ):  # fmt: skip
                self.pending_hedges.append((now + int(COPY_RISE * usual), call))
                self._sweep_later(now)
        step = -1  # unknown: others are out, and which connection comes next is not told
        if not e.in_flight:
            step = self.idle.step(now - e.used) if e.used else IDLE_STEPS
            if self.idle.dead(step, self.random.random()):
                self.actions.disconnect(e.id)
                step, e.peak = IDLE_STEPS, 0
        call.attempts.append((e, now, pool, step))
        e.used = now
        e.cold_tokens -= 1.0 if e.cold_tokens >= 1.0 else 0.0
        pool.sent += 1
        e.in_flight += 1
        if e.in_flight >= e.peak:
            e.peak, e.peak_at = e.in_flight, now
        pool.limit.in_flight += 1
        # Guards against work that goes on when its answer can no longer be worth anything.
        self.actions.hand_off(
            call.id,
            e.id,
            0 if call.request_class.late_worth_share else max(1, call.due - now),
        )

    # --- outcomes ---

    def streaming(self, now_us: int, call: str, attempt: int) -> None:
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
        found = self.calls.get(call)
        if found is None or attempt not in found.outstanding:
            return
        found.outstanding.discard(attempt)
        e, sent, pool, step = found.attempts[attempt]
        if e.in_flight == e.peak:
            e.peak_at = now_us  # until now as many were at work, and then rest
        if outcome in UNLINKED:
            e.peak -= 1
        e.in_flight -= 1
        if load is not None:
            # Danger: what is cold reports idle cores since it gets less; its part would climb.
            warm = self._warmth(now_us, e) == 1.0
            e.load_weight.record(load.busy_share, pool.limit.busy if warm else None)
        if not e.listed and not e.in_flight and self.endpoints.get(e.id) is e:
            del self.endpoints[e.id]
        e.used = now_us
        if e.is_ready:
            pool.limit.in_flight -= 1
        if step >= 0 and outcome not in NEVER_RAN:
            silent = outcome in UNANSWERED
            long = spent_us > SILENT_RISE * pool.limit.median_latency * found.request_class.objective_us > 0
            if not silent or long or outcome is Outcome.RESET:
                self.idle.learn(step, silent)
        self._judge(now_us, found, e, pool, sent, spent_us, outcome)
        if outcome not in NEVER_RAN and (found.first_run is None or sent < found.first_run[0]):
            found.first_run = (sent, e.zone, e.cell)
        if found.answered or closed:
            self._answered(found)
            self._call_off(found)
        elif not found.outstanding:
            self._again(now_us, found, outcome)
        if self.queue.count:
            self._dispatch(now_us)

    def _judge(
        self, now: int, call: Call, e: EndpointState, pool: Pool, sent: int, spent: int, outcome: Outcome
    ) -> None:
        """Learn from an outcome: the endpoint's health, the ratio, the cap and the tenant's bill."""
        if outcome is Outcome.NOT_EXECUTED or outcome is Outcome.CANCELLED:
            return
        ok = outcome is Outcome.OK
        share = spent / call.request_class.objective_us
        # Danger: one that drains turns calls away at once, seconds before the list tells of it. With little
        # in flight it draws most of the sends, and each would count as crowding and cut the cap.
        e.declines = e.declines + 1 if outcome is Outcome.REJECTED else 0
        leaving = e.declines >= LEAVING_DECLINES
        if leaving and not e.in_flight:
            self._eject(now, e, "turns calls away")
        if outcome is not Outcome.REJECTED:  # a full endpoint is busy, not ill
            failed = 0.0 if ok else 1.0
            together = outcome is Outcome.RESET and now - e.failed_at < TOGETHER_US
            e.unreachable = outcome is Outcome.CONNECT_FAILED or together
            self.fleet_failing += FLEET_WEIGHT * (failed - self.fleet_failing)
            # Guards against one pause that fails all calls in flight: together they count as one failure.
            if ok or sent >= e.failed_at:
                e.failing += HEALTH_WEIGHT * (failed - e.failing)
            if failed:
                e.failed_at = now
                self._consider_ejecting(now, e)
        if ok or outcome is Outcome.TIMEOUT:
            if not self.fleet_latency:
                self.fleet_latency = share
            self.fleet_latency += FLEET_WEIGHT * (share - self.fleet_latency)
            relative = min(max(share / self.fleet_latency, 1 / SLOW_RANGE), SLOW_RANGE)
            e.slow = e.slow + SLOW_WEIGHT * (relative - e.slow) if e.slow else 0.5 + 0.5 * relative
        # Guards against one slow endpoint that gets tiers shed while its peers sit idle.
        if e.slow <= OUTLIER or share <= self.fleet_latency:
            if ok or outcome is Outcome.TIMEOUT:
                self.ratio.record(now, share)
            if ok or outcome is Outcome.TIMEOUT or (outcome is Outcome.REJECTED and not leaving):
                pool.limit.learn(now, sent, FULL_COUNTS if outcome is Outcome.REJECTED else share)
        self.buckets.charge(call.bucket, call.price, call.paid, spent, ok)

    def _consider_ejecting(self, now: int, e: EndpointState) -> None:
        # Endpoints that are down for sure raise the share of all: a multiple of that could never be reached.
        if e.failing >= EJECT_FAILING + EJECT_VERSUS_PEERS * self.fleet_failing:
            self._eject(now, e, "fails")

    def _eject(self, now: int, e: EndpointState, why: str) -> None:
        if now < e.ejected_until:
            return
        self.ejected = [o for o in self.ejected if o is not e and now < o.ejected_until + RETURN_US]
        if sum(now < o.ejected_until for o in self.ejected) + 1 > MAX_EJECTED * self.ready_count:
            return
        self.ejected.append(e)
        for placement in self.candidate_sets:
            placement.local.counted_at = placement.remote.counted_at = 0
        e.ejections += 1
        wait = min(EJECT_US * 2 ** (e.ejections - 1), EJECT_MAX_US)
        e.ejected_until = now + int(wait * (0.75 + 0.5 * self.random.random()))
        # Guards against copies so quiet that a failing endpoint is back before they have called it twice.
        e.failing = EJECTED_FAILING
        self.actions.write_log(f"endpoint {e.id} ejected for {(e.ejected_until - now) / 1e6:.1f} s: it {why}")

    def _again(self, now: int, call: Call, outcome: Outcome) -> None:
        """All attempts ended without an answer: send another where that is legal and wise, or give up."""
        s = self.settings
        tries = min(MAX_ATTEMPTS if s.layer == 0 else MAX_ATTEMPTS_INNER, s.limits.max_attempts)
        tries = min(tries, call.request_class.max_attempts or tries)
        legal = call.first_run is None or call.request_class.effect is not Effect.AT_MOST_ONCE
        legal = legal and len(call.attempts) < tries and now < call.due - ANSWER_MARGIN_US
        # What was turned away unseen made no work: the budget is for retries of what may have.
        if legal and (outcome in NEVER_RAN or self.retries.spend()):
            for pool in self.candidates[call.request_class.name].pools:
                if pool.subset.members and (endpoint := self._pick(now, pool, call)) is not None:
                    self._send(now, call, endpoint, pool)
                    return
        self._refuse(call)

    def hearsay(self, now_us: int, factors: Mapping[str, float]) -> None:
        """Others' evidence only lowers: nothing heard makes a cold endpoint warm or a draining one ready."""
        for e in self.endpoints.values():
            e.peer_factor = min(max(factors.get(e.id, 1.0), HEARSAY_FLOOR), 1.0)

    def expired(self, now_us: int, call: str) -> None:
        found = self.calls.get(call)
        if found is None:
            return
        if found.held_until:
            self.queue.take(found)
        self._answered(found)
        self._call_off(found)
