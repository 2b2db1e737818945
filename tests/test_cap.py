"""The cap on calls in flight goes with the endpoints that are in use."""

from __future__ import annotations

import pytest

from eiderhub.balancer import START_CALLS, SURE_CALLS
from eiderhub.interface import ListForm, Outcome, Readiness
from tests.support import MS, RecordingHost, S, make_endpoints, make_settings


def play(host: RecordingHost, seconds: float, spent: int = 100 * MS) -> None:
    """A steady load, each call answered after its time."""
    out: list[tuple[int, str]] = []
    end = host.now + int(seconds * S)
    while host.now < end:
        host.order()
        host.advance(20 * MS)
        for late in sorted(o for o in out if o[0] <= host.now):
            out.remove(late)
            host.reply(late[1], Outcome.OK, spent=spent)
        out += [(host.now + spent, d[1]) for d in host.hand_offs()]
        host.actions.clear()
    for _, call in out:
        host.reply(call, Outcome.OK, spent=spent)


def fleet(count: int = 6) -> tuple[RecordingHost, list[str]]:
    listed = make_endpoints(count)
    host = RecordingHost(make_settings(), listed)
    play(host, 12)
    return host, [e.id for e in listed]


def test_half_of_the_tier_gone_shrinks_the_cap_with_it() -> None:
    """Calls learned for twelve endpoints are not laid on six, and what the dead hold does not fill the cap."""
    host, ids = fleet(12)
    limit = host.balancer.candidate_sets[0].local.limit
    before = limit.cap
    calls = [host.order() for _ in range(20)]
    gone = [e._replace(readiness=Readiness.REMOVED) for e in make_endpoints(6)]
    host.balancer.discovery(host.now, ListForm.DELTA, gone)
    assert limit.cap <= SURE_CALLS * limit.listed  # at once: those that are left bear so much on any day
    left = [d[2] for c in calls for d in host.hand_offs(c) if d[2] in ids[6:]]
    assert 0 < len(left) < 20
    assert limit.in_flight == len(left)
    for _ in range(3):  # held calls go out as others end
        host.complete_all()
    assert not host.balancer.calls
    assert limit.in_flight == 0
    each = limit.endpoint_cap
    play(host, 25)
    assert limit.fair == limit.listed
    assert limit.cap <= max(each, limit.endpoint_cap) * limit.listed < 1.3 * before


def test_a_release_that_replaces_one_endpoint_after_another_takes_no_calls_away() -> None:
    """Found on days of releases: the cap went with each endpoint that left for seconds, and the tier starved."""
    host, _ = fleet(9)
    limit = host.balancer.candidate_sets[0].local.limit
    before = limit.cap
    for left in (1, 2):
        gone = [e._replace(readiness=Readiness.DRAINING) for e in make_endpoints(left)]
        host.balancer.discovery(host.now, ListForm.DELTA, gone)
        play(host, 0.5)
        assert limit.cap >= 0.9 * before
    host.balancer.discovery(host.now, ListForm.DELTA, make_endpoints(2))
    assert limit.cap >= 0.9 * before


def test_cold_endpoints_open_only_their_part_of_the_cap() -> None:
    host, _ = fleet(6)
    limit = host.balancer.candidate_sets[0].local.limit
    before = limit.endpoint_cap * limit.fair
    host.balancer.discovery(host.now, ListForm.DELTA, make_endpoints(6, start=6, started_us=host.now))
    host.order()
    assert limit.open == pytest.approx((6 + 6 * 0.2) / 12, rel=0.02)
    assert before * 0.4 < limit.cap < before * 1.25


def test_a_slow_endpoint_that_answers_goes_on_getting_calls() -> None:
    """Found on a recorded day: slow machines, under a load near what the tier bears, were given no calls for seconds.

    That took the capacity away which the day needed most. A slow machine gets less, for the less busy is drawn.
    """
    host, ids = fleet(6)
    slow = frozenset(ids[:3])
    out: list[tuple[int, str, str]] = []
    dry = dict.fromkeys(ids, host.now)  # when an endpoint last got a call
    longest = 0
    for _ in range(1000):
        host.order()
        host.advance(20 * MS)
        for late in sorted(o for o in out if o[0] <= host.now):
            out.remove(late)
            host.reply(late[1], Outcome.OK, spent=(400 if late[2] in slow else 100) * MS)
        for _, call, endpoint, _ in host.hand_offs():
            longest = max(longest, host.now - dry[endpoint])
            dry[endpoint] = host.now
            out.append((host.now + (400 if endpoint in slow else 100) * MS, call, endpoint))
        host.actions.clear()
    assert max(longest, *(host.now - d for d in dry.values())) < 3 * S


@pytest.mark.parametrize(("outcome", "narrowed"), [(Outcome.CONNECT_FAILED, True), (Outcome.RESET, False)])
def test_room_above_the_start_goes_with_endpoints_out_of_reach_not_with_spoilt_answers(
    outcome: Outcome, narrowed: bool
) -> None:
    """Found on a day of spoilt answers: sound endpoints were ejected, and the cap of all the others closed."""
    host, ids = fleet()
    limit = host.balancer.candidate_sets[0].local.limit
    limit.endpoint_cap = 2 * START_CALLS
    state = host.balancer.endpoints[ids[0]]
    for _ in range(200):
        call = host.order()
        if host.sent_to.get(call, [""])[-1] == ids[0]:
            host.reply(call, outcome)
        if state.ejected_until:
            break
        host.complete_all()
        host.advance(20 * MS)
    host.advance(100 * MS)
    host.order()
    assert limit.open == pytest.approx(5 / 6, abs=0.01)
    each = limit.cap / limit.fair / limit.open
    assert (each < 1.3 * START_CALLS) is narrowed
    assert (each > 1.9 * START_CALLS) is not narrowed


@pytest.mark.parametrize(("apart", "gone"), [(5 * MS, True), (300 * MS, False)])
def test_resets_of_several_calls_at_once_tell_that_an_endpoint_is_gone(apart: int, gone: bool) -> None:
    """Found on churn days: a process that ends resets what it holds; spoilt answers come one by one."""
    host, ids = fleet()
    for call in [host.order() for _ in range(12)]:
        if host.sent_to.get(call, [""])[-1] == ids[0]:
            host.advance(apart)
            host.reply(call, Outcome.RESET)
    state = host.balancer.endpoints[ids[0]]
    assert state.failed_at
    assert state.unreachable is gone
