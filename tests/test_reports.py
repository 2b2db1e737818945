"""Load reports: how they are read, and what the module makes of them."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.reports import play
from eiderhub.interface import LoadReport, Outcome
from eiderhub.load_reports import parse_load_report
from eiderhub.policy.load_weight import MAX_FACTOR, LoadWeight, mean_busy
from tests.sidecar_support import Sidecar, run
from tests.support import MS, RecordingHost, make_endpoints, make_settings

CASES = [
    ("cpu_share:0.25,svc_ms:40,failed_ps:0", ":", LoadReport(0.25)),
    ("util=0.61,inflight=7", "=", LoadReport(0.61)),
    ("latency_ms=12.5", "=", None),
    ("-", ":", None),
    ("", "=", None),
    ("=,;inflight=nan", "=", None),
    ("util=nan,latency_ms=5", "=", None),
    ("util=-1", "=", None),
    ("util=inf", "=", None),
    ("util=1e400", "=", None),
    ("util=0.5" + "," * 300, "=", None),
    ("util:0.5", "=", None),
]


@pytest.mark.parametrize(("text", "separator", "expected"), CASES)
def test_reports_are_read_and_noise_counts_as_not_told(text: str, separator: str, expected: LoadReport | None) -> None:
    assert parse_load_report(text, separator) == expected


@given(st.text(max_size=300), st.sampled_from((":", "=")))
def test_no_text_of_a_peer_breaks_the_reader(text: str, separator: str) -> None:
    found = parse_load_report(text, separator)
    assert found is None or 0.0 <= found.busy_share <= 1e9


@given(st.lists(st.tuples(st.floats(0.0, 1e9), st.none() | st.floats(0.0, 1.0)), max_size=200))
def test_no_row_of_reports_takes_a_part_out_of_its_range(reports: list[tuple[float, float | None]]) -> None:
    pull = LoadWeight()
    for busy, others in reports:
        pull.record(busy, others)
        assert 1 / MAX_FACTOR <= pull.factor <= MAX_FACTOR


def test_one_report_in_many_answers_nudges_once() -> None:
    pull = LoadWeight()
    for _ in range(50):
        pull.record(0.9, 0.5)
    once = LoadWeight()
    once.record(0.9, 0.5)
    assert pull.factor == once.factor < 1.0


def test_usual_is_told_only_by_those_that_report() -> None:
    assert mean_busy([LoadWeight(), LoadWeight()]) is None
    told = LoadWeight()
    told.record(7.0, None)  # more than all of its cores
    assert mean_busy([LoadWeight(), told]) == 1.0


def fleet_shares(reports: bool) -> float:
    """The share of sends of a slow half of a fleet, whose calls take as long as the others' in the tiers behind."""
    host = RecordingHost(make_settings(), make_endpoints(6), seed=3)
    slow = set(sorted(host.balancer.endpoints)[:3])
    chance = random.Random(1)
    sent = 0
    total = 0
    for step in range(900):
        host.advance(50 * MS)
        call = host.order("look", tenant="big")
        for out in [c for c in host.sent_to if c in host.balancer.calls][:-2]:
            endpoint = host.sent_to[out][-1]
            busy = (0.9 if endpoint in slow else 0.3) + 0.001 * step + 0.01 * chance.random()
            load = LoadReport(min(busy, 1.0)) if reports else None
            host.balancer.reply(host.now, out, 0, endpoint, 100 * MS, True, Outcome.OK, load)
        if step > 600 and host.hand_offs(call):
            total += 1
            sent += host.sent_to[call][-1] in slow
    return sent / total


def test_endpoints_that_report_full_cores_draw_less_than_idle_peers() -> None:
    """Found on a second deployment: three slow cores got half as much again as two cores twice as fast."""
    assert fleet_shares(reports=True) < 0.35 < 0.42 < fleet_shares(reports=False)


def crowd(host: RecordingHost, busy: float | None, seconds: int, spent: int) -> float:
    """Keep the instance at its cap for some seconds and return the cap."""
    for step in range(seconds * 20):
        host.advance(50 * MS)
        for _ in range(4):
            host.order("look", tenant="big")
        load = None if busy is None else LoadReport(busy + 0.0001 * (step % 2))
        for out in [c for c in host.sent_to if c in host.balancer.calls]:
            host.balancer.reply(host.now, out, 0, host.sent_to[out][-1], spent, True, Outcome.OK, load)
    return host.balancer.candidates["look"].local.limit.endpoint_cap


def test_the_cap_falls_where_cores_are_reported_full_before_latencies_show_it() -> None:
    """Found on a second deployment: all endpoints of a tier tipped over under a cap that latencies had left."""
    assert crowd(RecordingHost(entries=make_endpoints(4)), 0.99, 20, 100 * MS) < 7.0
    assert crowd(RecordingHost(entries=make_endpoints(4)), None, 20, 100 * MS) >= 7.0


def test_slow_calls_at_idle_endpoints_wait_behind_them_and_cut_no_cap() -> None:
    """Found on a second deployment: calls that waited two tiers behind had half of a quiet start refused."""
    slow = 400 * MS  # past the target of a class wanted within a second, if the endpoint itself were crowded
    waits = RecordingHost(entries=make_endpoints(4))
    crowd(waits, 0.3, 10, 150 * MS)
    crowded = RecordingHost(entries=make_endpoints(4))
    crowd(crowded, None, 10, 150 * MS)
    assert crowd(waits, 0.3, 10, slow) > crowd(crowded, None, 10, slow)


def test_a_report_in_an_answer_reaches_the_module() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).reply(200, b"good", "Srv-Load: util=0.625,latency_ms=30")
            assert (await client.answer()).status == 200
            (known,) = sidecar.host.balancer.endpoints.values()
            assert known.load_weight.busy == 0.625

    run(test())


def test_a_fleet_of_unlike_machines_serves_more_and_evens_out_where_reports_come() -> None:
    """The benchmark's fleet, in virtual time: its claim is the guide's."""
    without, reporting = (play(3, 0.4, reports) for reports in (False, True))
    assert reporting.served > without.served
    assert abs(reporting.slow_busy - reporting.fast_busy) < abs(without.slow_busy - without.fast_busy)
    assert play(3, 0.4, True) == reporting
