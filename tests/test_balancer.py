"""The decision module: admission, queueing, choice of an endpoint, retries, hedges and ejection."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.balancer import MIN_ENDPOINT_CAP, SOJOURN_INTERVAL_US, ConcurrencyLimit, TokenBuckets
from eiderhub.interface import Goal, Limits, Outcome, Prices
from tests.support import AT_MOST_ONCE, IDEMPOTENT, MS, RecordingHost, S, make_endpoints, make_settings


def queue_calls(host: RecordingHost, count: int) -> list[str]:
    """Send calls of the small tenant until so many are queued, and return those."""
    queued: list[str] = []
    for _ in range(500):
        call = host.order()
        if not host.hand_offs(call) and not host.final_answers(call):
            queued.append(call)
        if len(queued) == count:
            return queued
    raise AssertionError("too few calls were queued")


def test_long_sojourn_refuses_arrivals_until_the_queue_is_empty() -> None:
    """Guards against a queue that goes on refusing arrivals after it has emptied."""
    host = RecordingHost(entries=make_endpoints(4))
    queue_calls(host, 2)
    host.advance(120 * MS + SOJOURN_INTERVAL_US + 25 * MS)
    refused = host.order()
    assert host.final_answers(refused) == ["shed"]
    for call in list(host.sent_to):
        host.reply(call, Outcome.OK)
    host.advance(S)
    for call in list(host.sent_to)[-2:]:
        host.reply(call, Outcome.OK)
    assert host.hand_offs(host.order())


def test_costly_spillover_waits_and_is_never_used_for_calls_worth_less() -> None:
    """Guards against crossings that cost a third of the served worth while the own zone has capacity soon after."""
    entries = make_endpoints(4) + make_endpoints(4, zone="west", start=4)
    host = RecordingHost(make_settings(prices=Prices(cross_zone=0.2)), entries)
    call = queue_calls(host, 1)[0]
    west = {e.id for e in entries[4:]}
    assert not west & {d[2] for d in host.hand_offs()}
    host.advance(200 * MS)
    assert host.hand_offs(call)[0][2] in west
    costly = RecordingHost(make_settings(prices=Prices(cross_zone=0.6)), entries)
    call = queue_calls(costly, 1)[0]
    costly.advance(S)
    assert costly.final_answers(call) == ["shed"]
    assert not west & {d[2] for d in costly.hand_offs()}


def test_low_worth_class_spills_over_where_the_goal_counts_each_class_alike() -> None:
    """Guards against a zone with half of the clients that refuses its class of low worth while others are idle."""
    entries = make_endpoints(4) + make_endpoints(4, zone="west", start=4)
    low_worth = replace(IDEMPOTENT, worth=0.1)
    high_worth = replace(AT_MOST_ONCE, name="high-worth")
    for class_weight, spills_over in ((0.0, False), (0.7, True)):
        goal = Goal(worth_weight=1.0 - class_weight, class_weight=class_weight)
        host = RecordingHost(
            make_settings(classes=(low_worth, high_worth), prices=Prices(cross_zone=0.06), goal=goal), entries
        )
        call = queue_calls(host, 1)[0]
        host.advance(300 * MS)
        assert bool(host.hand_offs(call)) is spills_over


def test_cap_ignores_a_few_slow_calls_but_falls_when_most_are_slow() -> None:
    """Guards against a cap that falls to its minimum for a few slow endpoints while the others are idle."""
    for slow_in_ten, falls in ((2, False), (10, True)):
        limit = ConcurrencyLimit(0)
        limit.set_endpoint_share(2.0)
        start = limit.cap
        for i in range(400):
            is_slow = i > 100 and i % 10 < slow_in_ten
            limit.record_outcome(i * 50 * MS, i * 50 * MS - 1, 0.9 if is_slow else 0.1)
        assert (limit.cap < start) is falls
        assert limit.cap >= MIN_ENDPOINT_CAP * limit.lagged_share


def test_cap_ignores_calls_sent_before_its_last_cut() -> None:
    """Guards against late outcomes of calls sent before a cut, which would lower the cap to one call."""
    limit = ConcurrencyLimit(0)
    limit.set_endpoint_share(4.0)
    for _ in range(100):
        limit.record_outcome(10 * S, 9 * S, 0.9)
    cap_after_cut = limit.cap
    assert MIN_ENDPOINT_CAP * limit.lagged_share < cap_after_cut < 6.0 * 4.0
    for _ in range(100):
        limit.record_outcome(11 * S, 9 * S, 0.9)
    assert limit.cap == cap_after_cut


def test_slow_answers_do_not_shrink_a_stated_quota() -> None:
    """Guards against latency that is charged but not granted: slow answers would reduce each tenant's quota."""
    buckets = TokenBuckets(make_settings(balancers=1), 0, 0)
    small = buckets.bucket_for("small")
    now, refused = 0, 0
    for i in range(3000):  # at its quota of 40 a second, each call taking 2 s
        now += 25 * MS
        if now >= buckets.next_refill:
            buckets.refill(now)
        small.last_seen_at = now
        if i > 500 and small.tokens < 1.0:
            refused += 1
        small.tokens -= 1.0
        buckets.charge(small, 1.0, 1.0, 2 * S, True)
    assert refused == 0


def test_calls_served_over_the_share_do_not_raise_the_budget() -> None:
    buckets = TokenBuckets(make_settings(balancers=1), 0, 0)
    big, now = buckets.bucket_for("big"), 0
    for paid in (1.0, 0.0):
        for _ in range(2000):
            now += 5 * MS
            big.last_seen_at = now
            buckets.charge(big, 1.0, paid, 0, True)
            if now >= buckets.next_refill:
                buckets.refill(now)
        assert (big.refill_per_s > 150) is (paid > 0)


def play_with_endpoints_down(host: RecordingHost, down: set[str], calls: int, step_us: int) -> None:
    """Send calls at this interval; endpoints that are down refuse connections, the others answer."""
    for _ in range(calls):
        call = host.order()
        host.advance(step_us)
        while host.hand_offs(call) and not host.final_answers(call):
            if host.sent_to[call][-1] not in down:
                host.reply(call, Outcome.OK)
                break
            host.reply(call, Outcome.CONNECT_FAILED)


def test_endpoints_that_are_down_are_ejected_even_when_they_are_many() -> None:
    """Guards against a third of the endpoints that refuse connections, and so draw most of the attempts."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(12))
    down = {e.id for e in make_endpoints(4)}
    play_with_endpoints_down(host, down, 600, 10 * MS)
    recent = [d[2] for d in host.hand_offs()[-200:]]
    assert sum(e in down for e in recent) < 20


def test_endpoint_that_rejects_calls_gets_few_and_does_not_cut_the_cap() -> None:
    """Guards against a draining endpoint that draws most attempts, its rejections being counted as crowding."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    initial_cap = host.balancer.candidate_sets[0].local.limit.endpoint_cap
    rejecting = make_endpoints(1)[0].id
    for _ in range(200):
        call = host.order("pay")
        while host.sent_to[call][-1] == rejecting and not host.final_answers(call):
            host.reply(call, Outcome.REJECTED, spent=1 * MS)
            if host.sent_to[call][-1] == rejecting:
                break
        if not host.final_answers(call) and host.sent_to[call][-1] != rejecting:
            host.reply(call, Outcome.OK)
        host.advance(10 * MS)
    recent = [d[2] for d in host.hand_offs()[-150:]]
    assert recent.count(rejecting) < 10
    assert host.balancer.candidate_sets[0].local.limit.endpoint_cap >= initial_cap


def test_trouble_of_all_endpoints_leaves_half_of_them_in_use() -> None:
    host = RecordingHost(make_settings(balancers=1), make_endpoints(12))
    for _ in range(600):
        call = host.order("pay")
        host.advance(10 * MS)
        if host.hand_offs(call):
            host.reply(call, Outcome.ERROR)
    ejected = [e for e in host.balancer.endpoints.values() if e.ejected_until > host.now]
    assert len(ejected) <= 6


def test_calls_leave_a_zone_that_is_down_at_once() -> None:
    entries = make_endpoints(2) + make_endpoints(6, zone="west", start=2)
    host = RecordingHost(make_settings(prices=Prices(cross_zone=0.2)), entries)
    east = {e.id for e in entries[:2]}
    play_with_endpoints_down(host, east, 100, 20 * MS)
    recent = [d[2] for d in host.hand_offs()[-30:]]
    assert sum(e in east for e in recent) < 10


def test_calls_that_fail_together_count_as_one_failure() -> None:
    """Guards against the ejection of an endpoint for one pause, which fails all its calls at once."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(2))
    calls = [host.order("pay") for _ in range(8)]
    host.advance(S)
    for call in calls:
        host.reply(call, Outcome.TIMEOUT, spent=S)
    assert all(e.ejected_until == 0 for e in host.balancer.endpoints.values())


def host_with_learned_latency(class_name: str, layer: int = 0) -> RecordingHost:
    host = RecordingHost(make_settings(balancers=1, tiers=2, layer=layer), make_endpoints(8))
    for _ in range(100):
        call = host.order(class_name)
        host.advance(20 * MS)
        host.reply(call, Outcome.OK, spent=20 * MS)
    return host


def test_idempotent_call_is_hedged_when_its_endpoint_pauses() -> None:
    """Guards against endpoints that pause for longer than the latency objective."""
    host = host_with_learned_latency("look")
    call = host.order("look")
    host.advance(150 * MS)
    assert len(set(host.sent_to[call])) == 2
    host.reply(call, Outcome.OK, attempt=1)
    assert ("cancel", call, 0) in host.actions
    host.reply(call, Outcome.CANCELLED, attempt=0, closed=True)
    assert call not in host.balancer.calls
    assert host.final_answers(call) == []


def test_no_hedge_of_other_effects_nor_in_inner_tiers_nor_under_stress() -> None:
    for class_name in ("pay", "hold"):
        host = host_with_learned_latency(class_name)
        call = host.order(class_name)
        host.advance(S)
        assert len(host.sent_to[call]) == 1
    for layer, ratio in ((0, 0.3), (1, 1.0)):
        host = host_with_learned_latency("look", layer)
        call = host.order("look")
        host.balancer.ratio.value = ratio
        host.advance(S)
        assert len(host.sent_to[call]) == 1


def test_only_retries_of_attempts_that_may_have_run_spend_the_budget() -> None:
    """Guards against refused connections that spend the budget: calls that others could take would be refused."""
    for outcome, all_retried in ((Outcome.CONNECT_FAILED, True), (Outcome.ERROR, False)):
        host = RecordingHost(make_settings(balancers=1), make_endpoints(40))
        retried = 0
        for call in [host.order("look") for _ in range(30)]:
            host.reply(call, outcome)
            retried += len(host.sent_to[call]) == 2
        assert retried == 30 if all_retried else retried < 10


@pytest.mark.parametrize("count", [2, 3])
def test_a_retry_finds_the_only_endpoint_left_whatever_is_drawn(count: int) -> None:
    """Guards against refusing a call that never ran while the other of two endpoints is healthy and idle."""
    host = RecordingHost(make_settings(tenants=()), make_endpoints(count))
    for _ in range(2000):
        call = host.order("pay")
        for attempts in range(1, count):
            host.reply(call, Outcome.CONNECT_FAILED, spent=0)
            assert len(host.hand_offs(call)) == attempts + 1
        host.reply(call, Outcome.OK)
        for state in host.balancer.endpoints.values():
            state.failure_rate = 0.0  # or random failures would eject one
        host.actions.clear()


def test_random_bursts_above_the_cap_pass_while_uncrowded() -> None:
    """Guards against quiet instances that, by a cap of one call, queue and refuse calls while endpoints are idle."""
    for layer, latency, saturation, allowance in (
        (1, 0.05, 0.0, 1.5),
        (0, 0.05, 0.0, 0.4),
        (0, 0.05, 1.0, 0.0),
        (1, 0.9, 0.0, 0.0),
    ):
        limit = ConcurrencyLimit(layer)
        limit.set_endpoint_share(0.2)
        for i in range(60):
            limit.record_outcome(i * 50 * MS, i * 50 * MS - 1, 0.05 if i < 30 else latency)
        assert allowance <= limit.max_in_flight(saturation) - limit.cap < allowance + 1.2


def test_over_share_calls_are_refused_while_others_find_no_capacity() -> None:
    """Guards against a tenant whose clients retry at once, and so take the capacity of the others permanently."""
    host = RecordingHost(entries=make_endpoints(4))
    assert host.hand_offs(host.order(tenant="big"))
    queue_calls(host, 8)  # all of them of the small tenant, within its share
    for _ in range(60):
        host.order(tenant="big")  # far over its share by now
    while host.balancer.queue.count:
        host.complete_all()
    assert host.balancer.ratio.stress() == 0.0
    assert host.final_answers(host.order(tenant="big")) == ["shed"]
    assert host.hand_offs(host.order(tenant="small"))


def test_attempts_are_cancelled_when_the_client_gives_up_if_cancelling_is_allowed() -> None:
    """Guards against work for clients that have given up, which would fill the endpoints."""
    for may_cancel in (True, False):
        host = RecordingHost(make_settings(limits=Limits(may_cancel=may_cancel)), make_endpoints(4))
        call = host.order()
        host.balancer.expired(host.now, call)
        assert (("cancel", call, 0) in host.actions) is may_cancel
        host.reply(call, Outcome.CANCELLED, closed=True)
        assert host.balancer.calls == {}


def test_retry_after_the_objective_is_refused_unless_late_answers_have_worth() -> None:
    """Guards against client retries too late to be worth anything, which took a third of the endpoints' time."""
    for late_worth_share, sent in ((0.0, False), (0.5, True)):
        host = RecordingHost(
            make_settings(classes=(replace(IDEMPOTENT, late_worth_share=late_worth_share),)), make_endpoints(4)
        )
        for _ in range(20):
            host.reply(host.order(expires_in_us=2 * S), Outcome.OK)
        assert host.hand_offs(host.order(expires_in_us=2500 * MS))  # a retry 0.5 s after the first try
        late = host.order(expires_in_us=1800 * MS)  # and one after 1.2 s; the objective is 1 s
        assert bool(host.hand_offs(late)) is sent
        assert bool(host.final_answers(late)) is not sent


def play_with_idle_connections(host: RecordingHost, calls: int, dead_after_us: int) -> int:
    """Pause between calls so that connections idle; return how many calls used one idle for too long."""
    last_used_at: dict[str, int] = {}
    unanswered = 0
    for i in range(calls):
        host.advance(100 * MS if i % 3 else 900 * MS)
        actions_before = len(host.actions)
        call = host.order("pay", expires_in_us=5 * S)
        if not host.hand_offs(call):
            continue
        endpoint = host.sent_to[call][0]
        is_new = ("disconnect", endpoint) in host.actions[actions_before:] or endpoint not in last_used_at
        if not is_new and host.now - last_used_at[endpoint] > dead_after_us:
            unanswered += 1
            host.advance(S)
            host.reply(call, Outcome.TIMEOUT, spent=S)
        else:
            host.advance(20 * MS)
            host.reply(call, Outcome.OK, spent=20 * MS)
        last_used_at[endpoint] = host.now
    return unanswered


def test_idle_connections_that_lose_requests_are_closed_before_use() -> None:
    """Guards against requests lost on idle connections: a third of the calls into the last tier, at any endpoint."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    first, later = play_with_idle_connections(host, 60, 700 * MS), play_with_idle_connections(host, 300, 700 * MS)
    assert first > 5
    assert later < first * 5 * 0.4


def test_connections_that_answer_are_left_open() -> None:
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    assert play_with_idle_connections(host, 300, 99 * S) == 0
    assert not any(d[0] == "disconnect" for d in host.actions)


def test_unconstrained_classes_leave_the_endpoints_of_a_constrained_class_to_it() -> None:
    """Guards against crowding of the endpoints, a third of all, that a constrained class depends on."""
    listed = [e._replace(machine_kind="fast" if i < 4 else "std") for i, e in enumerate(make_endpoints(12))]
    constrained = replace(IDEMPOTENT, name="bound", allowed_machine_kinds=frozenset(("fast",)))
    host = RecordingHost(make_settings(classes=(IDEMPOTENT, constrained), balancers=1), listed)
    unconstrained = []
    for i in range(1200):
        call = host.order("bound" if i % 2 else "look")
        host.advance(10 * MS)
        if host.hand_offs(call):
            host.reply(call, Outcome.OK, spent=10 * MS)
            if i % 2 == 0:
                unconstrained.append(host.sent_to[call][0])
    constrained_ids = {e.id for e in listed[:4]}
    assert sum(e in constrained_ids for e in unconstrained[300:]) < 0.15 * len(unconstrained[300:])


def test_call_with_too_little_time_left_is_refused_at_once() -> None:
    """Guards against attempts that cannot be answered in time: clients with short timeouts retry at once."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    for _ in range(60):
        call = host.order()
        host.advance(400 * MS)
        host.reply(call, Outcome.OK, spent=400 * MS)
    host_with_late_worth = RecordingHost(
        make_settings(classes=(replace(IDEMPOTENT, late_worth_share=0.5),)), make_endpoints(4)
    )
    for left in (-5, 0):
        assert host.final_answers(host.order(expires_in_us=left)) == ["shed"]
        assert host_with_late_worth.final_answers(host_with_late_worth.order(expires_in_us=left)) == ["shed"]
    for left in (100 * MS, 500 * MS):
        for _ in range(120):  # until this is the usual timeout, and so no sign of a retry
            call = host.order(expires_in_us=left)
            host.complete_all(spent=400 * MS)
        assert bool(host.hand_offs(call)) is (left == 500 * MS)


def test_fraction_of_a_call_is_granted_for_that_fraction_of_the_time_while_crowded() -> None:
    """Guards against caps rounded up: a whole call at each of 285 instances keeps a tier crowded permanently."""
    for headroom, max_at_once in ((0.0, 80), (1.0, 100)):
        host = RecordingHost(make_settings(balancers=40), make_endpoints(4))
        at_once = 0
        for _ in range(100):
            host.balancer.candidate_sets[0].local.limit.headroom = headroom
            host.balancer.saturation = 0.0
            call = host.order()
            at_once += bool(host.hand_offs(call))
            host.advance(S)
            if host.hand_offs(call):
                host.reply(call, Outcome.OK)
        assert max_at_once - 40 <= at_once <= max_at_once


def test_never_two_attempts_in_flight_where_hedging_is_forbidden() -> None:
    limits = Limits(max_attempts=4, hedging=False, may_cancel=True)
    host = RecordingHost(make_settings(balancers=1, limits=limits), make_endpoints(8))
    for _ in range(100):
        call = host.order()
        host.advance(20 * MS)
        host.reply(call, Outcome.OK, spent=20 * MS)
    call = host.order()
    host.advance(S)
    assert len(host.hand_offs(call)) == 1
    host.reply(call, Outcome.ERROR, spent=S)
    host.advance(S)
    assert len(host.hand_offs(call)) <= 2
