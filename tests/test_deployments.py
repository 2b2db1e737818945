"""Behaviour of the decision module that only some deployments depend on."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from eiderhub.interface import Goal, ListForm, LoadReport, Outcome, Prices
from tests.support import AT_MOST_ONCE, DEDUPLICATED, IDEMPOTENT, MS, RecordingHost, S, make_endpoints, make_settings


def refused_share(host: RecordingHost, class_name: str, calls: int = 16) -> float:
    """Deliver requests of one class at the same time; return the share that is refused immediately."""
    return (
        sum(host.final_answers(host.order(class_name, expires_in_us=5 * S)) == ["shed"] for _ in range(calls)) / calls
    )


def test_class_of_low_worth_is_queued_like_the_others_with_a_goal_per_class() -> None:
    """On a deployment, 0.23 of a class of low worth was served, and 0.91 of the class of three times its worth."""
    low, high = replace(IDEMPOTENT, worth=2.0), replace(AT_MOST_ONCE, worth=6.0)
    weighted_by_worth = RecordingHost(make_settings(classes=(low, high), goal=Goal(1.0, 0.0)), make_endpoints(4))
    weighted_by_class = RecordingHost(make_settings(classes=(low, high), goal=Goal(0.65, 0.35)), make_endpoints(4))
    assert refused_share(weighted_by_worth, "look") > 0.3
    assert refused_share(weighted_by_class, "look") == 0.0


def test_without_tenants_no_request_exceeds_a_share() -> None:
    """On two deployments without tenants, more than half of the requests were refused while endpoints were idle."""

    def count_sent(tenant: str | None, **changes: Any) -> int:
        host = RecordingHost(make_settings(classes=(IDEMPOTENT,), **changes), make_endpoints(40))
        host.balancer.ratio.value = 0.1  # latencies have just risen: requests beyond their tenant's share are refused
        return sum(bool(host.hand_offs(host.order(tenant=tenant))) for _ in range(40))

    assert count_sent(None, tenants=()) == 40
    assert count_sent("small") < 40  # tenants with shares are limited


def test_attempt_ends_when_its_reply_has_no_worth_left() -> None:
    """On a deployment, 12% of the replies came too late to have any worth, while endpoints were overloaded."""
    worthless_when_late = replace(IDEMPOTENT, late_worth_share=0.0)
    worth_when_late = replace(DEDUPLICATED, late_worth_share=0.25)
    host = RecordingHost(make_settings(classes=(worthless_when_late, worth_when_late)), make_endpoints(4))
    host.advance(100 * MS)
    assert host.hand_offs(host.order("look"))[0][3] == worthless_when_late.objective_us
    assert host.hand_offs(host.order("hold"))[0][3] == 0


def test_timeout_at_the_objective_fails_a_request_of_an_at_most_once_class() -> None:
    """An attempt that timed out may have run, so the request is neither retried nor refused."""
    host = RecordingHost(make_settings(classes=(replace(AT_MOST_ONCE, late_worth_share=0.0),)), make_endpoints(4))
    call = host.order("pay", expires_in_us=5 * S)
    host.advance(AT_MOST_ONCE.objective_us)
    host.reply(call, Outcome.TIMEOUT, spent=AT_MOST_ONCE.objective_us)
    assert host.final_answers(call) == ["surrender"]
    assert len(host.hand_offs(call)) == 1


def test_other_zones_serve_what_a_failed_zone_cannot() -> None:
    """On a deployment, a zone whose only endpoint failed refused requests although three other zones were healthy."""

    def count_cross_zone(is_failing: bool) -> int:
        entries = make_endpoints(1) + make_endpoints(3, zone="west", start=1)
        host = RecordingHost(make_settings(limits=replace(make_settings().limits, hedging=False)), entries, seed=5)
        local = entries[0].id
        for _ in range(60):  # without a pause, so that the local endpoint fails often enough to be ejected
            call = host.order("look", tenant="big", expires_in_us=5 * S)
            if host.hand_offs(call):
                outcome = Outcome.ERROR if is_failing and host.sent_to[call][-1] == local else Outcome.OK
                host.reply(call, outcome, closed=True)
            host.advance(50 * MS)
        before = len(host.hand_offs())
        for _ in range(16):
            host.order("look", tenant="big", expires_in_us=5 * S)
        return sum(d[2] != local for d in host.hand_offs()[before:])

    assert count_cross_zone(is_failing=True) >= count_cross_zone(is_failing=False) + 2


def test_instance_limits_its_load_to_the_capacity_of_its_zone() -> None:
    """On a deployment of four zones, the only endpoint of a zone was overloaded by few instances, others being idle."""
    entries = [*make_endpoints(1), *make_endpoints(5, zone="west", start=1)]
    host = RecordingHost(make_settings(balancers=2), entries)
    (candidates,) = host.balancer.candidate_sets
    local, remote = candidates.local.limit, candidates.remote.limit
    assert local.cap == pytest.approx(local.endpoint_cap)  # its even share is three endpoints, one of them local
    for _ in range(40):
        host.order(tenant="big")
        host.advance(30 * MS)
    assert remote.cap == pytest.approx(2 * remote.endpoint_cap)  # and two in the other zone
    assert local.in_flight <= local.max_in_flight(0.0) + 1
    assert remote.in_flight > 0


def instance_with_full_zone(instances: int) -> RecordingHost:
    """One of several instances with five remote endpoints and a local one, which a high-worth class fills."""
    classes = (replace(IDEMPOTENT, worth=0.3), replace(DEDUPLICATED, worth=1.0))
    entries = [*make_endpoints(1), *make_endpoints(5, zone="west", start=1)]
    prices = Prices(cross_zone=0.02)
    host = RecordingHost(make_settings(balancers=instances, tenants=(), classes=classes, prices=prices), entries)
    local = host.balancer.candidate_sets[0].local.limit
    while local.in_flight < local.max_in_flight(0.0):
        host.order("hold")
    host.balancer.ratio.value = 0.1
    return host


def test_low_worth_request_uses_the_share_of_other_zones_immediately() -> None:
    """On two deployments, requests were refused because one endpoint was overloaded while others were idle."""
    host = instance_with_full_zone(instances=2)
    call = host.order("look")
    assert host.balancer.candidate_sets[0].remote.limit.in_flight == 1
    assert host.final_answers(call) == []


def test_low_worth_request_is_refused_if_the_whole_share_is_local() -> None:
    """With many instances, other zones serve their own callers and would be overloaded if all instances sent there."""
    host = instance_with_full_zone(instances=6)
    assert host.final_answers(host.order("look")) == ["shed"]


def test_load_weight_is_reset_when_an_endpoint_restarts() -> None:
    """A weight learned from the previous process must not overload the cold one."""
    host = RecordingHost(entries=make_endpoints(1))
    (state,) = host.balancer.endpoints.values()
    for step in range(20):
        state.load_weight.record(0.01 * step, 0.9)
    assert state.load_weight.factor > 2.0
    restarted = make_endpoints(1, started_us=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, restarted)
    assert state.load_weight.factor == 1.0
    assert state.load_weight.busy is None


def test_cold_endpoint_that_reports_idle_cores_gets_no_higher_weight() -> None:
    """It is idle because it gets less load; a weight raised meanwhile would overload it once it is warm."""
    cold = make_endpoints(1, started_us=1_000_000_000)
    host = RecordingHost(entries=[*cold, *make_endpoints(3, start=1)])
    for step in range(300):
        host.advance(25 * MS)
        host.order("look", tenant="big", expires_in_us=5 * S)
        for call in [c for c in host.sent_to if c in host.balancer.calls][:-4]:
            endpoint = host.sent_to[call][-1]
            load = LoadReport((0.05 if endpoint == cold[0].id else 0.6) + 0.0001 * (step % 7))
            host.balancer.reply(host.now, call, 0, endpoint, 100 * MS, True, Outcome.OK, load)
    assert len([d for d in host.hand_offs() if d[2] == cold[0].id]) > 3
    state = host.balancer.endpoints[cold[0].id]
    assert state.load_weight.busy is not None
    assert state.load_weight.factor == 1.0


def test_attempt_sent_after_the_objective_has_a_minimal_timeout() -> None:
    """In `hand_off` 0 means no timeout and a negative one has no meaning; both would result where a host is delayed."""
    host = RecordingHost(entries=make_endpoints(4))
    sent_calls = []
    while host.hand_offs(call := host.order("look", tenant="big")):
        sent_calls.append(call)
    host.now += IDEMPOTENT.objective_us  # no timer has fired: the host was delayed
    for sent_call in sent_calls:
        host.reply(sent_call, Outcome.OK)
    (attempt,) = host.hand_offs(call)
    assert attempt[3] == 1
