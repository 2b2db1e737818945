"""What one deployment never asked of the module, and another did."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from eiderhub.interface import Goal, ListForm, LoadReport, Outcome, Prices
from tests.support import AT_MOST_ONCE, DEDUPLICATED, IDEMPOTENT, MS, RecordingHost, S, make_endpoints, make_settings


def refused_share(host: RecordingHost, grade: str, calls: int = 16) -> float:
    """Crowd the instance with calls of one class, all at once, and count those that are refused at once."""
    return sum(host.final_answers(host.order(grade, expires_in_us=5 * S)) == ["shed"] for _ in range(calls)) / calls


def test_cheap_class_is_held_like_the_dear_one_where_the_goal_looks_at_each_class() -> None:
    """Found on a second deployment: a class of a third of the worth was served 0.23, the dear one 0.91."""
    cheap, dear = replace(IDEMPOTENT, worth=2.0), replace(AT_MOST_ONCE, worth=6.0)
    by_worth = RecordingHost(make_settings(classes=(cheap, dear), goal=Goal(1.0, 0.0)), make_endpoints(4))
    by_class = RecordingHost(make_settings(classes=(cheap, dear), goal=Goal(0.65, 0.35)), make_endpoints(4))
    assert refused_share(by_worth, "look") > 0.3
    assert refused_share(by_class, "look") == 0.0


def test_where_no_tenants_are_stated_no_call_is_over_a_share() -> None:
    """Found on two deployments without tenants: over half of the calls were refused beside endpoints at rest."""

    def sent(tenant: str | None, **changes: Any) -> int:
        host = RecordingHost(make_settings(classes=(IDEMPOTENT,), **changes), make_endpoints(40))
        host.balancer.ratio.value = 0.1  # answers have just been slow: what is over a share is refused
        return sum(bool(host.hand_offs(host.order(tenant=tenant))) for _ in range(40))

    assert sent(None, tenants=()) == 40
    assert sent("small") < 40  # where there are shares they hold


def test_an_attempt_ends_when_its_answer_is_worth_nothing_any_more() -> None:
    """Found on a second deployment: 12% of the answers came late, for nothing, while endpoints were full."""
    worthless = replace(IDEMPOTENT, late_worth_share=0.0)
    worth_something = replace(DEDUPLICATED, late_worth_share=0.25)
    host = RecordingHost(make_settings(classes=(worthless, worth_something)), make_endpoints(4))
    host.advance(100 * MS)
    assert host.hand_offs(host.order("look"))[0][3] == worthless.objective_us
    assert host.hand_offs(host.order("hold"))[0][3] == 0


def test_the_end_of_a_worthless_attempt_is_the_answer_for_an_unsafe_class() -> None:
    """Rule 2: what timed out may have run, so it is neither sent again nor refused."""
    host = RecordingHost(make_settings(classes=(replace(AT_MOST_ONCE, late_worth_share=0.0),)), make_endpoints(4))
    call = host.order("pay", expires_in_us=5 * S)
    host.advance(AT_MOST_ONCE.objective_us)
    host.reply(call, Outcome.TIMEOUT, spent=AT_MOST_ONCE.objective_us)
    assert host.final_answers(call) == ["surrender"]
    assert len(host.hand_offs(call)) == 1


def test_other_zones_carry_what_the_own_one_has_lost() -> None:
    """Found on a second deployment: a zone whose one endpoint failed refused, with three zones beside it."""

    def sent_out(sick: bool) -> int:
        entries = make_endpoints(1) + make_endpoints(3, zone="west", start=1)
        host = RecordingHost(make_settings(limits=replace(make_settings().limits, hedging=False)), entries, seed=5)
        near = entries[0].id
        for _ in range(60):  # without a break, so that its own endpoint fails often enough to be left out
            call = host.order("look", tenant="big", expires_in_us=5 * S)
            if host.hand_offs(call):
                outcome = Outcome.ERROR if sick and host.sent_to[call][-1] == near else Outcome.OK
                host.reply(call, outcome, closed=True)
            host.advance(50 * MS)
        before = len(host.hand_offs())
        for _ in range(16):
            host.order("look", tenant="big", expires_in_us=5 * S)
        return sum(d[2] != near for d in host.hand_offs()[before:])

    assert sent_out(sick=True) >= sent_out(sick=False) + 2


def test_a_copy_puts_no_more_on_its_zone_than_that_holds() -> None:
    """Found on a deployment of four zones and few copies: the one endpoint near was crowded, others at rest."""
    entries = [*make_endpoints(1), *make_endpoints(5, zone="west", start=1)]
    host = RecordingHost(make_settings(balancers=2), entries)
    (placement,) = host.balancer.candidate_sets
    near, far = placement.local.limit, placement.remote.limit
    assert near.cap == pytest.approx(near.endpoint_cap)  # of its part of three endpoints it has one here
    for _ in range(40):
        host.order(tenant="big")
        host.advance(30 * MS)
    assert far.cap == pytest.approx(2 * far.endpoint_cap)  # and has the two others elsewhere
    assert near.in_flight <= near.max_in_flight(0.0) + 1
    assert far.in_flight > 0


def under_stress(copies: int) -> RecordingHost:
    """One of so many copies that has one endpoint near, filled by the dear class, and five elsewhere."""
    classes = (replace(IDEMPOTENT, worth=0.3), replace(DEDUPLICATED, worth=1.0))
    entries = [*make_endpoints(1), *make_endpoints(5, zone="west", start=1)]
    prices = Prices(cross_zone=0.02)
    host = RecordingHost(make_settings(balancers=copies, tenants=(), classes=classes, prices=prices), entries)
    near = host.balancer.candidate_sets[0].local.limit
    while near.in_flight < near.max_in_flight(0.0):
        host.order("hold")
    host.balancer.ratio.value = 0.1
    return host


def test_a_cheap_call_goes_at_once_to_the_part_that_its_copy_has_elsewhere() -> None:
    """Found on the long day of two deployments: refused for the stress of one endpoint, beside others at rest."""
    host = under_stress(copies=2)
    call = host.order("look")
    assert host.balancer.candidate_sets[0].remote.limit.in_flight == 1
    assert host.final_answers(call) == []


def test_a_cheap_call_is_refused_where_the_copys_whole_part_is_near() -> None:
    """With many copies the others' zones are for their own callers: what all send there at once would jam them."""
    host = under_stress(copies=6)
    assert host.final_answers(host.order("look")) == ["shed"]


def test_what_was_told_of_an_endpoint_is_void_once_another_process_answers() -> None:
    """Rule 4: a part learned from the process before must not push the cold one over."""
    host = RecordingHost(entries=make_endpoints(1))
    (known,) = host.balancer.endpoints.values()
    for step in range(20):
        known.load_weight.record(0.01 * step, 0.9)
    assert known.load_weight.factor > 2.0
    again = make_endpoints(1, started_us=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, again)
    assert known.load_weight.factor == 1.0
    assert known.load_weight.busy is None


def test_a_cold_endpoint_that_reports_idle_cores_is_given_no_larger_part() -> None:
    """Rule 4: it is idle since it gets less; a part that climbed meanwhile would push it over once it is warm."""
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
    known = host.balancer.endpoints[cold[0].id]
    assert known.load_weight.busy is not None
    assert known.load_weight.factor == 1.0


def test_a_call_that_leaves_late_waits_a_moment_and_not_for_as_long_as_its_client() -> None:
    """A wait of 0 stands for no end, and one below it for nothing: both come up where a host runs late."""
    host = RecordingHost(entries=make_endpoints(4))
    sent = []
    while host.hand_offs(call := host.order("look", tenant="big")):
        sent.append(call)
    host.now += IDEMPOTENT.objective_us  # no timer has come: the host stood still
    for one in sent:
        host.reply(one, Outcome.OK)
    (late,) = host.hand_offs(call)
    assert late[3] == 1
