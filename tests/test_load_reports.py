"""Load reports: how they are parsed, and how the decision module uses them."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.reports import simulate
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
def test_reports_are_parsed_and_invalid_ones_ignored(text: str, separator: str, expected: LoadReport | None) -> None:
    assert parse_load_report(text, separator) == expected


@given(st.text(max_size=300), st.sampled_from((":", "=")))
def test_parser_accepts_any_text(text: str, separator: str) -> None:
    report = parse_load_report(text, separator)
    assert report is None or 0.0 <= report.busy_share <= 1e9


@given(st.lists(st.tuples(st.floats(0.0, 1e9), st.none() | st.floats(0.0, 1.0)), max_size=200))
def test_load_weight_stays_in_its_range_for_any_reports(reports: list[tuple[float, float | None]]) -> None:
    weight = LoadWeight()
    for busy_share, mean_of_others in reports:
        weight.record(busy_share, mean_of_others)
        assert 1 / MAX_FACTOR <= weight.factor <= MAX_FACTOR


def test_report_repeated_in_many_replies_counts_once() -> None:
    weight = LoadWeight()
    for _ in range(50):
        weight.record(0.9, 0.5)
    once = LoadWeight()
    once.record(0.9, 0.5)
    assert weight.factor == once.factor < 1.0


def test_mean_busy_share_covers_only_endpoints_that_report() -> None:
    assert mean_busy([LoadWeight(), LoadWeight()]) is None
    reporting = LoadWeight()
    reporting.record(7.0, None)  # above 1, which counts as 1
    assert mean_busy([LoadWeight(), reporting]) == 1.0


def slow_half_share(reports: bool) -> float:
    """Share of attempts that the slow half of the endpoints gets, all endpoints having the same latency.

    The latencies are equal because most of a call is spent in the tiers behind.
    """
    host = RecordingHost(make_settings(), make_endpoints(6), seed=3)
    slow = set(sorted(host.balancer.endpoints)[:3])
    rng = random.Random(1)
    sent_to_slow = 0
    total = 0
    for step in range(900):
        host.advance(50 * MS)
        call = host.order("look", tenant="big")
        for in_flight in [c for c in host.sent_to if c in host.balancer.calls][:-2]:
            endpoint = host.sent_to[in_flight][-1]
            busy_share = (0.9 if endpoint in slow else 0.3) + 0.001 * step + 0.01 * rng.random()
            load = LoadReport(min(busy_share, 1.0)) if reports else None
            host.balancer.reply(host.now, in_flight, 0, endpoint, 100 * MS, True, Outcome.OK, load)
        if step > 600 and host.hand_offs(call):
            total += 1
            sent_to_slow += host.sent_to[call][-1] in slow
    return sent_to_slow / total


def test_endpoints_that_report_high_load_get_fewer_calls_than_idle_ones() -> None:
    """On a deployment, endpoints with three slow cores got 1.5 times the calls of those with two fast cores."""
    assert slow_half_share(reports=True) < 0.35 < 0.42 < slow_half_share(reports=False)


def cap_under_load(host: RecordingHost, busy_share: float | None, seconds: int, spent: int) -> float:
    """Keep the instance at its concurrency limit for some seconds and return the limit per endpoint.

    Replies take `spent` microseconds; they report `busy_share`, or nothing where it is None.
    """
    for step in range(seconds * 20):
        host.advance(50 * MS)
        for _ in range(4):
            host.order("look", tenant="big")
        load = None if busy_share is None else LoadReport(busy_share + 0.0001 * (step % 2))
        for call in [c for c in host.sent_to if c in host.balancer.calls]:
            host.balancer.reply(host.now, call, 0, host.sent_to[call][-1], spent, True, Outcome.OK, load)
    return host.balancer.candidates["look"].local.limit.endpoint_cap


def test_limit_falls_on_reports_of_full_cores_before_latencies_rise() -> None:
    """On a deployment, all endpoints of a tier became overloaded under a limit that latencies alone had not lowered."""
    assert cap_under_load(RecordingHost(entries=make_endpoints(4)), 0.99, 20, 100 * MS) < 7.0
    assert cap_under_load(RecordingHost(entries=make_endpoints(4)), None, 20, 100 * MS) >= 7.0


def test_slow_calls_at_idle_endpoints_do_not_lower_the_limit() -> None:
    """Calls that are slow because of the tiers behind must not lower the limit.

    On a deployment, calls that waited two tiers behind caused half of the requests to be refused at low load.
    """
    slow = 400 * MS  # above the target latency of a class with an objective of 1 s, if the endpoint were at its limit
    idle = RecordingHost(entries=make_endpoints(4))
    cap_under_load(idle, 0.3, 10, 150 * MS)
    unreported = RecordingHost(entries=make_endpoints(4))
    cap_under_load(unreported, None, 10, 150 * MS)
    assert cap_under_load(idle, 0.3, 10, slow) > cap_under_load(unreported, None, 10, slow)


def test_report_in_a_reply_reaches_the_decision_module() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).reply(200, b"good", "Srv-Load: util=0.625,latency_ms=30")
            assert (await client.answer()).status == 200
            (endpoint,) = sidecar.host.balancer.endpoints.values()
            assert endpoint.load_weight.busy == 0.625

    run(test())


def test_reports_raise_and_even_out_the_throughput_of_unequal_machines() -> None:
    """Runs the benchmark's fleet in virtual time."""
    without, reporting = (simulate(3, 0.4, reports) for reports in (False, True))
    assert reporting.served_on_time > without.served_on_time
    assert abs(reporting.slow_busy - reporting.fast_busy) < abs(without.slow_busy - without.fast_busy)
    assert simulate(3, 0.4, True) == reporting
