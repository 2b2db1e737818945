"""Endpoints that have tipped over rest; what only looks like it goes on as before."""

from __future__ import annotations

import random

import pytest

from eiderhub.balancer import START_CALLS
from eiderhub.interface import ListForm, Outcome, Readiness
from eiderhub.policy.rest import (
    MOST_RESTING,
    PACE_SAMPLES,
    RAMP_FROM,
    RAMP_US,
    REST_US,
    TIPPED_PACE,
    Rest,
    due,
)
from tests.support import MS, Host, S, endpoints, settings

NOW = 100 * S


def paced(*paces: float, samples: int = 20) -> list[Rest]:
    """Endpoints whose calls have all taken so many times the usual."""
    pool = []
    for pace in paces:
        rest = Rest()
        for _ in range(samples):
            rest.learn(pace)
        pool.append(rest)
    return pool


@pytest.mark.parametrize(
    ("case", "paces", "samples", "expected"),
    [
        ("one endpoint has tipped", [1.0, 1.2, 0.9, 3.0, 1.1, 1.0], 20, [3]),
        ("a third of the tier has", [1.0, 3.1, 0.9, 3.0, 1.1, 1.0], 20, [1, 3]),
        ("more than half: no more than half rests", [3.1, 3.1, 1.0, 3.1, 1.2, 3.0, 1.1, 3.2], 20, [0, 1, 3, 5]),
        ("nearly all: not to be told from a trouble of the site", [3.1, 3.1, 1.0, 3.1, 1.2, 3.0], 20, []),
        ("all are slow alike: a trouble of the site", [3.0, 3.2, 2.9, 3.1, 3.0, 3.3], 20, []),
        ("all are slow, and one more so", [2.0, 2.2, 1.9, 2.1, 2.0, 5.0], 20, []),
        ("crowded, not tipped", [1.6, 1.8, 1.5, 2.0, 1.7, 2.2], 20, []),
        ("machines of two speeds", [0.8, 1.5, 0.8, 1.5, 0.9, 1.6], 20, []),
        ("a quiet copy's few long calls", [1.0, 4.0, 1.0, 1.0, 1.0, 1.0], PACE_SAMPLES - 1, []),
        ("a single endpoint in the subset", [4.0], 20, []),
        ("one of two", [1.0, 4.0], 20, [1]),
        ("none", [], 20, []),
    ],
)
def test_verdicts(case: str, paces: list[float], samples: int, expected: list[int]) -> None:
    pool = paced(*paces, samples=samples)
    assert [pool.index(r) for r in due(NOW, pool)] == expected, case


def test_a_cold_endpoint_is_slow_by_nature_and_gets_no_rest() -> None:
    host, _ = fleet()
    cold = endpoints(1, start=6, launched=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, cold)
    for _ in range(32):
        play(host, 0.25, frozenset(e.id for e in cold))
        assert not resting(host)
    assert not host.balancer.endpoints[cold[0].id].rest.samples


def test_whatever_the_paces_half_of_the_pool_is_left_and_all_copies_choose_alike() -> None:
    chance = random.Random(3)
    for _ in range(500):
        paces = [chance.lognormvariate(0.2, 0.8) for _ in range(chance.randrange(1, 30))]
        one, other = paced(*paces), paced(*paces)
        for now in (NOW, NOW + S, NOW + 2 * REST_US):
            first, second = due(now, one), due(now, other)
            assert [one.index(r) for r in first] == [other.index(r) for r in second]
            for rest in (*first, *second):
                assert rest.pace > TIPPED_PACE
                rest.begin(now)
            assert sum(r.resting(now) for r in one) <= MOST_RESTING * len(one)


def test_a_rest_takes_all_calls_and_gives_them_back_by_and_by() -> None:
    rest = paced(4.0)[0]
    assert rest.part(NOW) == 1.0
    rest.begin(NOW)
    assert [rest.part(NOW + at) for at in (0, REST_US - 1)] == [0.0, 0.0]
    climb = [rest.part(NOW + REST_US + at) for at in range(0, RAMP_US, RAMP_US // 10)]
    assert climb[0] == pytest.approx(RAMP_FROM)
    assert climb == sorted(climb)
    assert rest.part(NOW + REST_US + RAMP_US) == 1.0
    assert rest.pace == 1.0  # what it was before says nothing of what it is


# --- in the module ---


def play(host: Host, seconds: float, slow: frozenset[str] = frozenset(), spent: int = 100 * MS) -> dict[str, int]:
    """A steady load, each call answered after its time; calls to the slow ones take four times as long."""
    sent: dict[str, int] = {}
    out: list[tuple[int, str, int]] = []
    end = host.now + int(seconds * S)
    while host.now < end:
        host.order()
        host.advance(20 * MS)
        for late in sorted(o for o in out if o[0] <= host.now):
            out.remove(late)
            host.reply(late[1], Outcome.OK, spent=late[2])
        for _, call, endpoint, _ in host.sends():
            sent[endpoint] = sent.get(endpoint, 0) + 1
            took = spent * (4 if endpoint in slow else 1)
            out.append((host.now + took, call, took))
        host.did.clear()
    while out:
        _, call, took = out.pop()
        host.reply(call, Outcome.OK, spent=took)
        out += [(0, d[1], spent) for d in host.sends()]
        host.did.clear()
    return sent


def fleet(count: int = 6) -> tuple[Host, list[str]]:
    listed = endpoints(count)
    host = Host(settings(), listed)
    play(host, 12)
    return host, [e.id for e in listed]


def resting(host: Host) -> set[str]:
    return {e.id for e in host.balancer.endpoints.values() if e.rest.resting(host.now)}


def play_until_rest(host: Host, slow: frozenset[str]) -> None:
    for _ in range(60):
        play(host, 0.25, slow)
        if resting(host):
            return
    raise AssertionError("nothing rests")


def test_the_endpoint_that_tipped_gets_nothing_while_it_rests_and_its_share_afterwards() -> None:
    host, ids = fleet()
    play_until_rest(host, frozenset(ids[:1]))
    assert resting(host) == {ids[0]}
    assert ids[0] not in play(host, 2)
    host.advance(REST_US + RAMP_US)
    after = play(host, 6)
    assert after[ids[0]] > sum(after.values()) / len(ids) / 2


def test_the_cap_of_the_others_does_not_grow_while_one_rests() -> None:
    host, ids = fleet()
    limit = host.balancer.placements[0].local.limit
    play_until_rest(host, frozenset(ids[:1]))
    play(host, 0.25)
    assert limit.open == pytest.approx(5 / 6)
    assert limit.cap <= START_CALLS * limit.fair * 5 / 6 + 0.2 * limit.each * limit.fair


def test_what_a_resting_endpoint_still_holds_is_not_held_against_the_others() -> None:
    host, ids = fleet()
    calls = [host.order() for _ in range(12)]
    limit = host.balancer.placements[0].local.limit
    at = [d[2] for c in calls for d in host.sends(c)]
    assert limit.in_flight == len(at)
    state = host.balancer.endpoints[ids[0]]
    for _ in range(PACE_SAMPLES + 1):
        state.rest.learn(9.0)
    host.advance(S)
    more = host.order()
    assert resting(host) == {ids[0]}
    expected = len(at) + len(host.sends(more)) - at.count(ids[0])
    assert limit.in_flight == expected
    host.answer_all()
    assert limit.in_flight == 0


def test_no_second_copy_goes_out_while_an_endpoint_rests() -> None:
    host, ids = fleet()
    play_until_rest(host, frozenset(ids[:1]))
    call = host.order()
    assert len(host.sends(call)) == 1
    host.advance(1500 * MS)  # far beyond the usual latency
    assert len(host.sends(call)) == 1


def test_spoilt_answers_are_tried_again_while_an_endpoint_rests() -> None:
    """Found on a day of spoilt answers: without retries it fell from 1.00 to 0.81."""
    host, ids = fleet()
    play_until_rest(host, frozenset(ids[:1]))
    call = host.order()
    host.reply(call, Outcome.RESET)
    assert len(host.sends(call)) == 2


def test_an_attempt_that_never_ran_is_sent_on_also_while_an_endpoint_rests() -> None:
    host, ids = fleet()
    play_until_rest(host, frozenset(ids[:1]))
    call = host.order()
    host.reply(call, Outcome.CONNECT_FAILED)
    assert len(host.sends(call)) == 2


def test_trouble_of_all_endpoints_rests_none() -> None:
    host, ids = fleet()
    play(host, 6, frozenset(ids))
    assert not resting(host)


def test_a_jam_with_a_single_endpoint_in_the_subset_closes_nothing() -> None:
    host, ids = fleet(1)
    assert play(host, 4, frozenset(ids))[ids[0]] > 10
    assert not resting(host)


def test_an_endpoint_replaced_under_rest_starts_as_a_cold_one() -> None:
    """Rule 4: the new process under the id is cold; it neither rests for the old one nor returns as a warm one."""
    host, ids = fleet()
    play_until_rest(host, frozenset(ids[:1]))
    fresh = endpoints(1, launched=host.now)[0]
    host.balancer.discovery(host.now, ListForm.DELTA, [fresh])
    assert not resting(host)
    sent = play(host, 3)
    usual = sum(sent.values()) / len(ids)
    assert 0 < sent.get(ids[0], 0) < 0.8 * usual


def test_half_of_the_tier_gone_shrinks_the_cap_with_it() -> None:
    """Calls learned for twelve endpoints are not laid on six, and what the dead hold does not fill the cap."""
    host, ids = fleet(12)
    limit = host.balancer.placements[0].local.limit
    before = limit.cap
    calls = [host.order() for _ in range(20)]
    gone = [e._replace(readiness=Readiness.GONE) for e in endpoints(6)]
    host.balancer.discovery(host.now, ListForm.DELTA, gone)
    assert limit.cap == pytest.approx(before / 2, rel=0.01)
    left = [d[2] for c in calls for d in host.sends(c) if d[2] in ids[6:]]
    assert 0 < len(left) < 20
    assert limit.in_flight == len(left)
    for _ in range(3):  # held calls go out as others end
        host.answer_all()
    assert not host.balancer.calls
    assert limit.in_flight == 0


def test_cold_endpoints_open_only_their_part_of_the_cap() -> None:
    host, _ = fleet(6)
    limit = host.balancer.placements[0].local.limit
    before = limit.each * limit.fair
    host.balancer.discovery(host.now, ListForm.DELTA, endpoints(6, start=6, launched=host.now))
    host.order()
    assert limit.open == pytest.approx((6 + 6 * 0.2) / 12, rel=0.02)
    assert before * 0.4 < limit.cap < before * 1.25


@pytest.mark.parametrize(("outcome", "narrowed"), [(Outcome.CONNECT_FAILED, True), (Outcome.RESET, False)])
def test_room_above_the_start_goes_with_endpoints_out_of_reach_not_with_spoilt_answers(
    outcome: Outcome, narrowed: bool
) -> None:
    """Found on a day of spoilt answers: sound endpoints were ejected, and the cap of all the others closed."""
    host, ids = fleet()
    limit = host.balancer.placements[0].local.limit
    limit.each = 2 * START_CALLS
    state = host.balancer.endpoints[ids[0]]
    for _ in range(200):
        call = host.order()
        if host.sent.get(call, [""])[-1] == ids[0]:
            host.reply(call, outcome)
        if state.ejected_until:
            break
        host.answer_all()
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
        if host.sent.get(call, [""])[-1] == ids[0]:
            host.advance(apart)
            host.reply(call, Outcome.RESET)
    state = host.balancer.endpoints[ids[0]]
    assert state.failed_at
    assert state.unreachable is gone


def test_a_burst_that_ends_as_a_rest_begins_leaves_the_tier_whole_afterwards() -> None:
    host, ids = fleet()
    play_until_rest(host, frozenset(ids[:2]))
    play(host, (REST_US + RAMP_US) / S + 1)
    assert not resting(host)
    sent = play(host, 4)
    assert set(sent) == set(ids)


def test_a_sidecar_that_starts_amid_a_jam_rests_the_endpoints_that_stand_out() -> None:
    listed = endpoints(6)
    host = Host(settings(), listed)
    ill = frozenset(e.id for e in listed[:2])
    for _ in range(60):
        play(host, 0.25, ill)
        if resting(host):
            break
    assert resting(host) <= ill
    assert resting(host)


def test_errors_that_an_inner_jam_makes_of_calls_rest_no_outer_endpoint() -> None:
    host, _ = fleet()
    for _ in range(40):
        call = host.order()
        if host.sends(call):
            host.reply(call, Outcome.ERROR, spent=1200 * MS, closed=True)
        host.advance(50 * MS)
    assert not resting(host)
