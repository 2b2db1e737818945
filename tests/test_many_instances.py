"""Behaviour of many instances together: what is harmless in one sidecar can be harmful in two hundred."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import replace

from eiderhub.balancer import TokenBuckets
from eiderhub.interface import Discovery, Limits, ListForm, Outcome, Prices, Rules, Tenant
from tests.sidecar_support import Sidecar, readiness_status, run
from tests.support import MS, RecordingHost, S, make_endpoints, make_settings

FLEET = 200
NOW = 1_000_000_000


def make_instances(count: int = FLEET, fleet_size: int = FLEET, **changes: object) -> list[RecordingHost]:
    """The first `count` instances of a fleet, all with the same sixty endpoints."""
    settings = make_settings(balancers=fleet_size, **changes)
    return [
        RecordingHost(replace(settings, rank=i), make_endpoints(60), seed=1000 + i, now=NOW, has_cached_list=True)
        for i in range(count)
    ]


def poll_times(host: RecordingHost, until: int, response: ListForm) -> list[int]:
    """The times after NOW at which an instance polls discovery, each poll getting the response immediately."""
    times = []
    while True:
        if ("tail", True) in host.actions:
            host.actions.remove(("tail", True))
            times.append(host.now - NOW)
            host.balancer.discovery(host.now, response, [])
        due = min((at for at, _ in host.timers), default=until + 1)
        if due > until:
            return times
        host.advance(max(0, due - host.now))


def test_first_polls_after_a_simultaneous_start_are_spread() -> None:
    """In a simulation, discovery rejected 138 of 270 sidecars in the first second."""
    first_polls = [
        poll_times(host, NOW + 10 * S, ListForm.DELTA)[0] for host in make_instances(discovery=Discovery.POLL)
    ]
    tenths = Counter(at // (100 * MS) for at in first_polls)
    # 200 polls in a second are 20 in a tenth of it; the bound leaves a margin for randomness.
    assert max(tenths.values()) < FLEET / 6
    assert max(first_polls) < S


def test_instance_without_a_cached_list_polls_immediately() -> None:
    host = RecordingHost(make_settings(balancers=FLEET, discovery=Discovery.POLL), now=NOW)
    assert poll_times(host, NOW + S, ListForm.DELTA) == [0]


def test_instance_that_discovery_rejects_polls_again_within_the_configured_interval() -> None:
    """After a failed poll its list may be used for four times the interval."""
    interval = 2 * S
    host = RecordingHost(
        make_settings(discovery=Discovery.POLL, rules=Rules(poll_interval_us=interval)), make_endpoints(4), now=NOW
    )
    polls = poll_times(host, NOW + 60 * S, ListForm.FAILED)
    assert max(later - at for at, later in itertools.pairwise(polls)) <= 1.5 * interval


def test_instances_that_discovery_rejects_back_off_with_jitter() -> None:
    hosts = make_instances(discovery=Discovery.POLL)
    polls = [at for host in hosts for at in poll_times(host, NOW + 60 * S, ListForm.FAILED)]
    late_polls = Counter(at // (100 * MS) for at in polls if at > 20 * S)
    # Polls per second: the longest delay is 8 s, times 0.5 to 1.5.
    assert sum(late_polls.values()) / 40 < FLEET / 7
    # Polls in a tenth of a second: the instances do not poll at the same time.
    assert max(late_polls.values()) < 3 * FLEET / 70
    for host in hosts[:20]:  # the last list stays in use
        assert host.hand_offs(host.order())


def test_instance_with_six_calls_a_minute_detects_a_failing_endpoint() -> None:
    """With one request in ten seconds and sixty endpoints, the subset is small, so that it meets the same few again."""
    first_attempts: Counter[bool] = Counter()  # by whether they went to the failing endpoint
    for host in make_instances(20, limits=Limits(max_attempts=4)):
        members = host.balancer.candidate_sets[0].local.subset.members
        assert len(members) == 5
        for number in range(120):
            host.advance(10 * S)
            call = host.order()
            endpoint = host.sent_to[call][0]
            host.reply(call, Outcome.ERROR if endpoint == members[0].id else Outcome.OK)
            if len(host.sent_to[call]) == 2:  # an idempotent call that failed there is retried at another endpoint
                host.reply(call, Outcome.OK)
            if number >= 30:
                first_attempts[endpoint == members[0].id] += 1
    assert first_attempts[True] / first_attempts.total() < 0.7 / 5  # 0.7 of an even share


def test_cold_endpoint_is_not_overloaded_by_two_hundred_small_instances() -> None:
    """Each instance sends four requests per second; the cold endpoint bears a multiple of its share of the load.

    Each instance alone may send it very little, and randomness decides which of them sends first.
    """
    rules = Rules(warm_up_us=9 * S, cold_capacity_share=0.32, overload_factor=4.0)
    hosts = make_instances(rules=rules, limits=Limits(max_attempts=4))
    cold = make_endpoints(60)[7]
    hosts = [h for h in hosts if any(e.id == cold.id for e in h.balancer.candidate_sets[0].local.subset.members)]
    rng = random.Random(5)
    sent_at: list[int] = []
    for host in hosts:
        ends: list[tuple[int, str]] = []
        is_restart_delivered, seen = False, 0
        while host.now < NOW + 19 * S:
            host.advance(int(rng.expovariate(4.0) * S))
            while ends and ends[0][0] <= host.now:
                host.reply(heapq.heappop(ends)[1], Outcome.OK)
            if host.now > NOW + 10 * S and not is_restart_delivered:
                is_restart_delivered = True
                changed = [cold._replace(started_us=NOW + 10 * S)]
                host.balancer.discovery(host.now, ListForm.DELTA, changed)
            host.order()
            for call in itertools.islice(host.sent_to, seen, None):  # this call, or calls that were queued before it
                heapq.heappush(ends, (host.now + int(rng.uniform(0.1, 0.3) * S), call))
                if is_restart_delivered and host.sent_to[call][0] == cold.id:
                    sent_at.append(host.now)
            seen = len(host.sent_to)
    capacity = rules.overload_factor * rules.cold_capacity_share * FLEET * 4.0 / 60  # requests per second at its start
    max_per_second = max(sum(at <= other < at + S for other in sent_at) for at in sent_at)
    assert 0 < max_per_second < capacity + 3 * math.sqrt(capacity) + 3


def test_cold_endpoints_of_a_rollout_get_their_share_of_the_load() -> None:
    """During a rollout of 60% of the endpoints within 7 s, the others got 95% of the calls for 5 s and slowed down.

    With capacity shares from 0.4 to 0.6, the 36 cold endpoints have the capacity of 18 warm ones, next to 24: a share
    of 0.43.
    """
    rules = Rules(warm_up_us=12 * S, cold_capacity_share=0.4, overload_factor=3.0)
    fresh = {e.id: e._replace(started_us=NOW + 10 * S) for e in make_endpoints(36)}
    attempts: Counter[bool] = Counter()  # by whether they went to a cold endpoint
    for host in make_instances(
        8, fleet_size=30, rules=rules, limits=Limits(max_attempts=4), prices=Prices(handshake=0.06)
    ):
        ends: list[tuple[int, str]] = []
        is_restart_delivered = False
        rng = random.Random(host.balancer.settings.rank)
        while host.now < NOW + 14 * S:
            host.advance(int(rng.expovariate(10.0) * S))
            while ends and ends[0][0] <= host.now:
                host.reply(heapq.heappop(ends)[1], Outcome.OK, spent=500 * MS)
            if host.now > NOW + 10 * S and not is_restart_delivered:
                is_restart_delivered = True
                host.balancer.discovery(host.now, ListForm.DELTA, list(fresh.values()))
            call = host.order(expires_in_us=5 * S)
            if call in host.sent_to:
                heapq.heappush(ends, (host.now + 500 * MS, call))
                if is_restart_delivered:
                    attempts[host.sent_to[call][0] in fresh] += 1
    assert 0.3 < attempts[True] / attempts.total() < 0.43


# --- connections ---


def new_connection_share(price: float) -> float:
    """Share of the attempts of low-rate instances that need a new connection; connections close when idle for 4 s."""
    limits = Limits(max_attempts=4, conn_idle_us=5 * S)
    new = attempts = 0
    for host in make_instances(10, limits=limits, prices=Prices(handshake=price)):
        rng = random.Random(host.balancer.settings.rank)
        free: dict[str, list[int]] = {}  # when each idle connection became idle
        ends: list[tuple[int, str]] = []
        for _ in range(400):
            host.advance(int(rng.expovariate(1.5) * S))
            while ends and ends[0][0] <= host.now:
                end, call = heapq.heappop(ends)
                host.reply(call, Outcome.OK)
                free.setdefault(host.sent_to[call][0], []).append(end)
            call = host.order()
            if not host.hand_offs(call):
                continue
            endpoint = host.sent_to[call][0]
            idle = [end for end in free.get(endpoint, []) if host.now - end < 4 * S]
            new += not idle
            attempts += 1
            free[endpoint] = idle[:-1]
            heapq.heappush(ends, (host.now + int(rng.uniform(0.1, 0.4) * S), call))
    return new / attempts


def test_low_rate_instance_opens_fewer_connections_if_they_have_a_price() -> None:
    """In a simulation, sidecars opened a connection for one call in five."""
    assert new_connection_share(0.08) < 0.8 * new_connection_share(0.0)


# --- shares of tenants ---

TENANTS = (Tenant("big", 0.44, 12.0), *(Tenant(f"small-{i}", 0.14, 4.0) for i in range(4)))


def over_share(traffic_factor: float) -> tuple[float, float]:
    """Shares of the calls beyond their tenant's share, for the small tenants together and for the large one.

    The instance is one of ten and gets `traffic_factor` times an even share of the traffic. The small tenants send 0.8
    of their quotas, the large one 3 times its quota.
    """
    buckets = TokenBuckets(make_settings(tenants=TENANTS, balancers=10), 0, 0)
    rates = {t.name: t.quota_per_s / 10 * traffic_factor * (3.0 if t.name == "big" else 0.8) for t in TENANTS}
    rng = random.Random(3)
    over: Counter[bool] = Counter()  # by whether the tenant is the large one
    total: Counter[bool] = Counter()
    now = 0
    while now < 240 * S:
        now += int(rng.expovariate(sum(rates.values())) * S)
        if now >= buckets.next_refill:
            buckets.refill(now)
        tenant = rng.choices(list(rates), list(rates.values()))[0]
        bucket = buckets.bucket_for(tenant)
        bucket.last_seen_at = now
        is_within = bucket.tokens >= 1.0
        if is_within:
            bucket.tokens -= 1.0
            buckets.charge(bucket, 1.0, 1.0, 500 * MS, True)
        if now > 60 * S:
            total[tenant == "big"] += 1
            over[tenant == "big"] += not is_within
    return over[False] / total[False], over[True] / total[True]


def test_instance_with_much_of_the_traffic_adapts_its_tenants_shares() -> None:
    """Quotas are split evenly, but some instances get more traffic than others.

    In a simulation, four of 36 outermost sidecars got several times the mean traffic and made nearly all refusals.
    """
    for traffic_factor, limit in ((1.0, 0.07), (3.0, 0.04), (5.0, 0.02)):  # 0.06, 0.07 and 0.04 without adaptation
        small, big = over_share(traffic_factor)
        assert small < limit and big > 0.5


# --- connections and requests at their limits ---


def test_connection_beyond_the_limit_gets_a_refusal_before_it_is_closed() -> None:
    """One of the 16 connections is reserved for refusals with a Retry-After: with 15 in use, the next is refused."""

    async def test() -> None:
        async with Sidecar(callers=16) as sidecar:
            busy = [await sidecar.client() for _ in range(15)]
            for client in busy:
                assert await readiness_status(client) == 200
                client.send()
            extra = await sidecar.client()
            extra.send()
            answer = await extra.answer()
            assert (answer.status, answer.headers["retry-after"]) == (503, "1")
            assert await extra.reader.read() == b""
            for _ in busy:
                (await sidecar.next()).reply()
            assert {(await client.answer()).status for client in busy} == {200}
            assert sidecar.endpoints[0].received.empty()

    run(test())


def test_request_with_almost_no_time_left_gets_an_answer() -> None:
    """Nothing is sent to an endpoint, and the answer comes immediately."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            for left_ms in (0, 1, 40, 41):
                started = asyncio.get_running_loop().time()
                answer = await client.request("pay", deadline_ms=left_ms)
                assert answer.status in (503, 504)
                assert asyncio.get_running_loop().time() - started < 0.5

    run(test())
