"""The cap on calls in flight follows the endpoints that are in use."""

from __future__ import annotations

import pytest

from eiderhub.balancer import INITIAL_ENDPOINT_CAP, SAFE_ENDPOINT_CAP
from eiderhub.interface import ListForm, Outcome, Readiness
from tests.support import MS, RecordingHost, S, make_endpoints, make_settings


def play(host: RecordingHost, seconds: float, spent: int = 100 * MS) -> None:
    """Send calls at a steady rate and answer each after `spent`."""
    in_flight: list[tuple[int, str]] = []
    end = host.now + int(seconds * S)
    while host.now < end:
        host.order()
        host.advance(20 * MS)
        for due in sorted(o for o in in_flight if o[0] <= host.now):
            in_flight.remove(due)
            host.reply(due[1], Outcome.OK, spent=spent)
        in_flight += [(host.now + spent, d[1]) for d in host.hand_offs()]
        host.actions.clear()
    for _, call in in_flight:
        host.reply(call, Outcome.OK, spent=spent)


def fleet(count: int = 6) -> tuple[RecordingHost, list[str]]:
    listed = make_endpoints(count)
    host = RecordingHost(make_settings(), listed)
    play(host, 12)
    return host, [e.id for e in listed]


def test_cap_shrinks_when_half_of_the_tier_is_removed() -> None:
    """Guards against a cap learned with twelve endpoints that overloads six; calls at removed ones do not count."""
    host, ids = fleet(12)
    limit = host.balancer.candidate_sets[0].local.limit
    before = limit.cap
    calls = [host.order() for _ in range(20)]
    removed = [e._replace(readiness=Readiness.REMOVED) for e in make_endpoints(6)]
    host.balancer.discovery(host.now, ListForm.DELTA, removed)
    assert limit.cap <= SAFE_ENDPOINT_CAP * limit.endpoint_share  # at once: the rest safely bear this much
    left = [d[2] for c in calls for d in host.hand_offs(c) if d[2] in ids[6:]]
    assert 0 < len(left) < 20
    assert limit.in_flight == len(left)
    for _ in range(3):  # queued calls are sent as others end
        host.complete_all()
    assert not host.balancer.calls
    assert limit.in_flight == 0
    endpoint_cap = limit.endpoint_cap
    play(host, 25)
    assert limit.lagged_share == limit.endpoint_share
    assert limit.cap <= max(endpoint_cap, limit.endpoint_cap) * limit.endpoint_share < 1.3 * before


def test_a_rolling_release_does_not_lower_the_cap() -> None:
    """Guards against a cap that follows each endpoint which leaves the list for seconds, and starves the tier."""
    host, _ = fleet(9)
    limit = host.balancer.candidate_sets[0].local.limit
    before = limit.cap
    for count in (1, 2):
        draining = [e._replace(readiness=Readiness.DRAINING) for e in make_endpoints(count)]
        host.balancer.discovery(host.now, ListForm.DELTA, draining)
        play(host, 0.5)
        assert limit.cap >= 0.9 * before
    host.balancer.discovery(host.now, ListForm.DELTA, make_endpoints(2))
    assert limit.cap >= 0.9 * before


def test_cold_endpoints_add_only_their_fraction_to_the_cap() -> None:
    host, _ = fleet(6)
    limit = host.balancer.candidate_sets[0].local.limit
    before = limit.endpoint_cap * limit.lagged_share
    host.balancer.discovery(host.now, ListForm.DELTA, make_endpoints(6, start=6, started_us=host.now))
    host.order()
    assert limit.usable_fraction == pytest.approx((6 + 6 * 0.2) / 12, rel=0.02)
    assert before * 0.4 < limit.cap < before * 1.25


def test_a_slow_endpoint_that_answers_goes_on_getting_calls() -> None:
    """Guards against slow endpoints without calls for seconds, when a load near the tier's capacity needs them.

    They do get fewer calls than others, since of two drawn endpoints the less loaded one is used.
    """
    host, ids = fleet(6)
    slow = frozenset(ids[:3])
    in_flight: list[tuple[int, str, str]] = []
    last_call_at = dict.fromkeys(ids, host.now)
    longest = 0
    for _ in range(1000):
        host.order()
        host.advance(20 * MS)
        for due in sorted(o for o in in_flight if o[0] <= host.now):
            in_flight.remove(due)
            host.reply(due[1], Outcome.OK, spent=(400 if due[2] in slow else 100) * MS)
        for _, call, endpoint, _ in host.hand_offs():
            longest = max(longest, host.now - last_call_at[endpoint])
            last_call_at[endpoint] = host.now
            in_flight.append((host.now + (400 if endpoint in slow else 100) * MS, call, endpoint))
        host.actions.clear()
    assert max(longest, *(host.now - at for at in last_call_at.values())) < 3 * S


@pytest.mark.parametrize(("outcome", "shrinks"), [(Outcome.CONNECT_FAILED, True), (Outcome.RESET, False)])
def test_learned_cap_shrinks_with_unreachable_endpoints_but_not_with_corrupt_answers(
    outcome: Outcome, shrinks: bool
) -> None:
    """Guards against a cap that shrinks because live endpoints are ejected for corrupt answers."""
    host, ids = fleet()
    limit = host.balancer.candidate_sets[0].local.limit
    limit.endpoint_cap = 2 * INITIAL_ENDPOINT_CAP
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
    assert limit.usable_fraction == pytest.approx(5 / 6, abs=0.01)
    endpoint_cap = limit.cap / limit.lagged_share / limit.usable_fraction
    assert (endpoint_cap < 1.3 * INITIAL_ENDPOINT_CAP) is shrinks
    assert (endpoint_cap > 1.9 * INITIAL_ENDPOINT_CAP) is not shrinks


@pytest.mark.parametrize(("interval", "unreachable"), [(5 * MS, True), (300 * MS, False)])
def test_an_endpoint_that_resets_several_calls_at_once_is_unreachable(interval: int, unreachable: bool) -> None:
    """A process that ends resets all its connections at once; corrupt answers come one at a time."""
    host, ids = fleet()
    for call in [host.order() for _ in range(12)]:
        if host.sent_to.get(call, [""])[-1] == ids[0]:
            host.advance(interval)
            host.reply(call, Outcome.RESET)
    state = host.balancer.endpoints[ids[0]]
    assert state.last_failure_at
    assert state.is_unreachable is unreachable
