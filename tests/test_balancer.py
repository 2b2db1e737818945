"""The ordinary path and the departures around it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.balancer import FLOOR_CALLS, SOJOURN_INTERVAL_US, ConcurrencyLimit, TokenBuckets
from eiderhub.interface import Goal, Limits, Outcome, Prices
from tests.support import AT_MOST_ONCE, IDEMPOTENT, MS, RecordingHost, S, make_endpoints, make_settings


def held_calls(host: RecordingHost, count: int) -> list[str]:
    """Send calls of the small tenant until so many are held."""
    held: list[str] = []
    for _ in range(500):
        call = host.order()
        if not host.hand_offs(call) and not host.final_answers(call):
            held.append(call)
        if len(held) == count:
            return held
    raise AssertionError("nothing is held")


def test_long_sojourn_refuses_arrivals_and_an_empty_queue_none() -> None:
    """Found on a simulated day: refusing went on for good once the queue had emptied."""
    host = RecordingHost(entries=make_endpoints(4))
    held_calls(host, 2)
    host.advance(120 * MS + SOJOURN_INTERVAL_US + 25 * MS)
    refused = host.order()
    assert host.final_answers(refused) == ["shed"]
    for call in list(host.sent_to):
        host.reply(call, Outcome.OK)
    host.advance(S)
    for call in list(host.sent_to)[-2:]:
        host.reply(call, Outcome.OK)
    assert host.hand_offs(host.order())


def test_dear_crossing_waits_before_it_spills_and_cheap_worth_never_does() -> None:
    """Found on simulated days: crossings took a third of the worth while the own zone had room soon after."""
    both = make_endpoints(4) + make_endpoints(4, zone="west", start=4)
    host = RecordingHost(make_settings(prices=Prices(cross_zone=0.2)), both)
    call = held_calls(host, 1)[0]
    west = {e.id for e in both[4:]}
    assert not west & {d[2] for d in host.hand_offs()}
    host.advance(200 * MS)
    assert host.hand_offs(call)[0][2] in west
    dear = RecordingHost(make_settings(prices=Prices(cross_zone=0.6)), both)
    call = held_calls(dear, 1)[0]
    dear.advance(S)
    assert dear.final_answers(call) == ["shed"]
    assert not west & {d[2] for d in dear.hand_offs()}


def test_cheap_class_spills_where_the_goal_counts_each_class_alike() -> None:
    """Found on simulated days: a zone with half the clients refused its cheap class while others sat idle."""
    both = make_endpoints(4) + make_endpoints(4, zone="west", start=4)
    cheap = replace(IDEMPOTENT, worth=0.1)
    dear = replace(AT_MOST_ONCE, name="dear")
    for class_weight, spills in ((0.0, False), (0.7, True)):
        goal = Goal(worth_weight=1.0 - class_weight, class_weight=class_weight)
        host = RecordingHost(make_settings(classes=(cheap, dear), prices=Prices(cross_zone=0.06), goal=goal), both)
        call = held_calls(host, 1)[0]
        host.advance(300 * MS)
        assert bool(host.hand_offs(call)) is spills


def test_cap_ignores_a_few_slow_calls_but_falls_when_most_are_slow() -> None:
    """Found on simulated days: slow endpoints drew the cap down to its floor while the others sat idle."""
    for slow_in_ten, falls in ((2, False), (10, True)):
        limit = ConcurrencyLimit(0)
        limit.size(2.0)
        start = limit.cap
        for i in range(400):
            late = i > 100 and i % 10 < slow_in_ten
            limit.learn(i * 50 * MS, i * 50 * MS - 1, 0.9 if late else 0.1)
        assert (limit.cap < start) is falls
        assert limit.cap >= FLOOR_CALLS * limit.fair


def test_cap_judges_only_calls_sent_since_its_last_change() -> None:
    """Found on simulated days: late outcomes of calls sent before a cut brought the cap down to one call."""
    limit = ConcurrencyLimit(0)
    limit.size(4.0)
    for _ in range(100):
        limit.learn(10 * S, 9 * S, 0.9)
    once = limit.cap
    assert FLOOR_CALLS * limit.fair < once < 6.0 * 4.0
    for _ in range(100):
        limit.learn(11 * S, 9 * S, 0.9)
    assert limit.cap == once


def test_slow_answers_do_not_shrink_a_stated_quota() -> None:
    """Found on simulated days: latency was billed but not granted, so slow days cut tenants short."""
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
        assert (big.refill > 150) is (paid > 0)


def drive_with_down(host: RecordingHost, down: set[str], calls: int, step_us: int) -> None:
    """Play calls at this pace: endpoints that are down refuse connections, the others answer."""
    for _ in range(calls):
        call = host.order()
        host.advance(step_us)
        while host.hand_offs(call) and not host.final_answers(call):
            if host.sent_to[call][-1] not in down:
                host.reply(call, Outcome.OK)
                break
            host.reply(call, Outcome.CONNECT_FAILED)


def test_endpoints_that_are_down_are_ejected_even_when_they_are_many() -> None:
    """Found in an incident: a third of the endpoints refused connections and drew most of the sends."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(12))
    down = {e.id for e in make_endpoints(4)}
    drive_with_down(host, down, 600, 10 * MS)
    late = [d[2] for d in host.hand_offs()[-200:]]
    assert sum(e in down for e in late) < 20


def test_endpoint_that_turns_calls_away_draws_few_and_does_not_cut_the_cap() -> None:
    """Found in an incident: one that drained took most of the sends and was counted as crowding."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    cap = host.balancer.candidate_sets[0].local.limit.endpoint_cap
    leaving = make_endpoints(1)[0].id
    for _ in range(200):
        call = host.order("pay")
        while host.sent_to[call][-1] == leaving and not host.final_answers(call):
            host.reply(call, Outcome.REJECTED, spent=1 * MS)
            if host.sent_to[call][-1] == leaving:
                break
        if not host.final_answers(call) and host.sent_to[call][-1] != leaving:
            host.reply(call, Outcome.OK)
        host.advance(10 * MS)
    late = [d[2] for d in host.hand_offs()[-150:]]
    assert late.count(leaving) < 10
    assert host.balancer.candidate_sets[0].local.limit.endpoint_cap >= cap


def test_trouble_that_all_share_leaves_most_endpoints_in_use() -> None:
    host = RecordingHost(make_settings(balancers=1), make_endpoints(12))
    for _ in range(600):
        call = host.order("pay")
        host.advance(10 * MS)
        if host.hand_offs(call):
            host.reply(call, Outcome.ERROR)
    out = [e for e in host.balancer.endpoints.values() if e.ejected_until > host.now]
    assert len(out) <= 6


def test_zone_that_is_wholly_down_is_left_at_once() -> None:
    both = make_endpoints(2) + make_endpoints(6, zone="west", start=2)
    host = RecordingHost(make_settings(prices=Prices(cross_zone=0.2)), both)
    east = {e.id for e in both[:2]}
    drive_with_down(host, east, 100, 20 * MS)
    late = [d[2] for d in host.hand_offs()[-30:]]
    assert sum(e in east for e in late) < 10


def test_calls_that_fail_together_count_as_one_failure() -> None:
    """Found on simulated days: an endpoint that pauses fails all its calls at once and was ejected."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(2))
    calls = [host.order("pay") for _ in range(8)]
    host.advance(S)
    for call in calls:
        host.reply(call, Outcome.TIMEOUT, spent=S)
    assert all(e.ejected_until == 0 for e in host.balancer.endpoints.values())


def warmed(grade: str, layer: int = 0) -> RecordingHost:
    host = RecordingHost(make_settings(balancers=1, tiers=2, layer=layer), make_endpoints(8))
    for _ in range(100):
        call = host.order(grade)
        host.advance(20 * MS)
        host.reply(call, Outcome.OK, spent=20 * MS)
    return host


def test_call_safe_to_repeat_gets_a_second_copy_when_its_endpoint_pauses() -> None:
    """Found on simulated days: endpoints that stand still for longer than the aim."""
    host = warmed("look")
    call = host.order("look")
    host.advance(150 * MS)
    assert len(set(host.sent_to[call])) == 2
    host.reply(call, Outcome.OK, attempt=1)
    assert ("cancel", call, 0) in host.actions
    host.reply(call, Outcome.CANCELLED, attempt=0, closed=True)
    assert call not in host.balancer.calls
    assert host.final_answers(call) == []


def test_no_second_copy_of_what_must_not_run_twice_nor_inside_nor_under_stress() -> None:
    for grade in ("pay", "hold"):
        host = warmed(grade)
        call = host.order(grade)
        host.advance(S)
        assert len(host.sent_to[call]) == 1
    for layer, ratio in ((0, 0.3), (1, 1.0)):
        host = warmed("look", layer)
        call = host.order("look")
        host.balancer.ratio.value = ratio
        host.advance(S)
        assert len(host.sent_to[call]) == 1


def test_only_retries_of_what_may_have_run_draw_on_the_budget() -> None:
    """Found in an incident: refused connections spent the budget; calls that others could take were shed."""
    for outcome, all_again in ((Outcome.CONNECT_FAILED, True), (Outcome.ERROR, False)):
        host = RecordingHost(make_settings(balancers=1), make_endpoints(40))
        again = 0
        for call in [host.order("look") for _ in range(30)]:
            host.reply(call, outcome)
            again += len(host.sent_to[call]) == 2
        assert again == 30 if all_again else again < 10


@pytest.mark.parametrize("count", [2, 3])
def test_a_retry_finds_the_endpoint_that_is_left_whatever_chance_draws(count: int) -> None:
    """Seen with two endpoints: a call that had never run was refused, with the other one sound and at rest."""
    host = RecordingHost(make_settings(tenants=()), make_endpoints(count))
    for _ in range(2000):
        call = host.order("pay")
        for tries in range(1, count):
            host.reply(call, Outcome.CONNECT_FAILED, spent=0)
            assert len(host.hand_offs(call)) == tries + 1
        host.reply(call, Outcome.OK)
        for e in host.balancer.endpoints.values():
            e.failing = 0.0  # or chance alone would have one ejected
        host.actions.clear()


def test_copy_rides_out_chance_above_its_cap_while_uncrowded() -> None:
    """Found on simulated days: caps of one call at quiet copies held and refused while all sat idle."""
    for layer, share, scarcity, more in (
        (1, 0.05, 0.0, 1.5),
        (0, 0.05, 0.0, 0.4),
        (0, 0.05, 1.0, 0.0),
        (1, 0.9, 0.0, 0.0),
    ):
        limit = ConcurrencyLimit(layer)
        limit.size(0.2)
        for i in range(60):
            limit.learn(i * 50 * MS, i * 50 * MS - 1, 0.05 if i < 30 else share)
        assert more <= limit.max_in_flight(scarcity) - limit.cap < more + 1.2


def test_over_share_calls_are_refused_while_calls_within_their_share_find_no_room() -> None:
    """Found on simulated days: a tenant whose clients repeat at once took the room of the others for good."""
    host = RecordingHost(entries=make_endpoints(4))
    assert host.hand_offs(host.order(tenant="big"))
    held_calls(host, 8)  # all of them of the small tenant, within its share
    for _ in range(60):
        host.order(tenant="big")  # far over its share by now
    while host.balancer.queue.count:
        host.complete_all()
    assert host.balancer.ratio.stress() == 0.0
    assert host.final_answers(host.order(tenant="big")) == ["shed"]
    assert host.hand_offs(host.order(tenant="small"))


def test_attempts_of_a_client_that_left_are_called_off_where_the_site_permits() -> None:
    """Found on simulated days: clients that leave early left work behind that filled the endpoints."""
    for may in (True, False):
        host = RecordingHost(make_settings(limits=Limits(may_cancel=may)), make_endpoints(4))
        call = host.order()
        host.balancer.expired(host.now, call)
        assert (("cancel", call, 0) in host.actions) is may
        host.reply(call, Outcome.CANCELLED, closed=True)
        assert host.balancer.calls == {}


def test_repeat_whose_aim_has_passed_is_refused_unless_a_late_answer_pays() -> None:
    """Found on simulated days: repeats that could earn nothing took a third of the endpoints' time."""
    for late_worth_share, sent in ((0.0, False), (0.5, True)):
        host = RecordingHost(
            make_settings(classes=(replace(IDEMPOTENT, late_worth_share=late_worth_share),)), make_endpoints(4)
        )
        for _ in range(20):
            host.reply(host.order(expires_in_us=2 * S), Outcome.OK)
        assert host.hand_offs(host.order(expires_in_us=2500 * MS))  # a repeat 0.5 s after the first try
        late = host.order(expires_in_us=1800 * MS)  # and one after 1.2 s, the aim being 1 s
        assert bool(host.hand_offs(late)) is sent
        assert bool(host.final_answers(late)) is not sent


def play_idle(host: RecordingHost, calls: int, dead_after_us: int) -> int:
    """Calls spaced so that connections idle; those idle for too long stay silent. Returns how many did."""
    used: dict[str, int] = {}
    silent = 0
    for i in range(calls):
        host.advance(100 * MS if i % 3 else 900 * MS)
        mark = len(host.actions)
        call = host.order("pay", expires_in_us=5 * S)
        if not host.hand_offs(call):
            continue
        where = host.sent_to[call][0]
        fresh = ("disconnect", where) in host.actions[mark:] or where not in used
        if not fresh and host.now - used[where] > dead_after_us:
            silent += 1
            host.advance(S)
            host.reply(call, Outcome.TIMEOUT, spent=S)
        else:
            host.advance(20 * MS)
            host.reply(call, Outcome.OK, spent=20 * MS)
        used[where] = host.now
    return silent


def test_idle_connections_that_stay_silent_are_closed_before_use() -> None:
    """Found in an incident: a third of the calls into the last tier got no answer, whatever the endpoint."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    first, later = play_idle(host, 60, 700 * MS), play_idle(host, 300, 700 * MS)
    assert first > 5
    assert later < first * 5 * 0.4


def test_connections_that_answer_are_left_open() -> None:
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    assert play_idle(host, 300, 99 * S) == 0
    assert not any(d[0] == "disconnect" for d in host.actions)


def test_free_classes_leave_the_endpoints_of_a_bound_class_to_it() -> None:
    """Found on simulated days: a third of the endpoints, all that one class may use, were the slowest."""
    listed = [e._replace(machine_kind="fast" if i < 4 else "std") for i, e in enumerate(make_endpoints(12))]
    bound = replace(IDEMPOTENT, name="bound", allowed_machine_kinds=frozenset(("fast",)))
    host = RecordingHost(make_settings(classes=(IDEMPOTENT, bound), balancers=1), listed)
    free = []
    for i in range(1200):
        call = host.order("bound" if i % 2 else "look")
        host.advance(10 * MS)
        if host.hand_offs(call):
            host.reply(call, Outcome.OK, spent=10 * MS)
            if i % 2 == 0:
                free.append(host.sent_to[call][0])
    few = {e.id for e in listed[:4]}
    assert sum(e in few for e in free[300:]) < 0.15 * len(free[300:])


def test_call_whose_client_is_about_to_leave_is_refused_at_once() -> None:
    """Danger: impatient clients repeat at once, and a try that cannot be answered in time is waste."""
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    for _ in range(60):
        call = host.order()
        host.advance(400 * MS)
        host.reply(call, Outcome.OK, spent=400 * MS)
    late = RecordingHost(make_settings(classes=(replace(IDEMPOTENT, late_worth_share=0.5),)), make_endpoints(4))
    for left in (-5, 0):
        assert host.final_answers(host.order(expires_in_us=left)) == ["shed"]
        assert late.final_answers(late.order(expires_in_us=left)) == ["shed"]
    for left in (100 * MS, 500 * MS):
        for _ in range(120):  # until this is the time that most tries last, so that it tells no age
            call = host.order(expires_in_us=left)
            host.complete_all(spent=400 * MS)
        assert bool(host.hand_offs(call)) is (left == 500 * MS)


def test_part_of_a_call_is_granted_part_of_the_time_while_crowded() -> None:
    """Found in an incident: a whole call at each of 285 copies kept the first tier crowded for good."""
    for slack, most in ((0.0, 80), (1.0, 100)):
        host = RecordingHost(make_settings(balancers=40), make_endpoints(4))
        at_once = 0
        for _ in range(100):
            host.balancer.candidate_sets[0].local.limit.slack = slack
            host.balancer.scarcity = 0.0
            call = host.order()
            at_once += bool(host.hand_offs(call))
            host.advance(S)
            if host.hand_offs(call):
                host.reply(call, Outcome.OK)
        assert most - 40 <= at_once <= most


def test_never_two_attempts_out_where_second_copies_are_forbidden() -> None:
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
