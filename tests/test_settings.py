"""Settings of the interface, and deployments with little in them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.interface import Discovery, Effect, ListForm, Outcome, RequestClass, Settings
from tests.support import IDEMPOTENT, MS, RecordingHost, S, make_endpoints, make_settings


@pytest.mark.parametrize("count", [0, 1])
def test_no_tenants_no_zones_and_hardly_an_endpoint(count: int) -> None:
    host = RecordingHost(Settings(classes=(IDEMPOTENT,)), make_endpoints(count, zone=""))
    call = host.order(tenant="")
    if count:
        host.advance(10 * MS)
        host.reply(call, Outcome.OK)
    host.advance(3 * S)
    assert host.final_answers(call) == ([] if count else ["shed"])


def test_tenant_not_met_before_is_served() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    assert host.hand_offs(host.order(tenant="stranger"))


def test_impossible_values_name_their_field() -> None:
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match="deadline_us"):
        RequestClass("look", 1, 0, Effect.IDEMPOTENT)
    with pytest.raises(ValueError, match="balancers"):
        replace(make_settings(), balancers=0)


def test_order_before_start_is_an_error() -> None:
    host = RecordingHost(entries=make_endpoints(1))
    host.balancer.started = False
    with pytest.raises(RuntimeError, match="before start"):
        host.order()


def test_failed_subscription_is_renewed_with_growing_jittered_waits() -> None:
    waits = set()
    for seed in range(5):
        host = RecordingHost(make_settings(discovery=Discovery.POLL), make_endpoints(2), seed=seed)
        assert host.actions == [("tail", True)]
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        first = host.timers[0][0] - host.now
        assert len(host.timers) == 1
        host.advance(2 * S)
        assert host.actions.count(("tail", True)) == 2
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        waits.add(first)
        assert 250 * MS <= first <= 750 * MS
        assert 500 * MS <= host.timers[0][0] - host.now <= 1500 * MS
    assert len(waits) == 5


def test_new_process_under_a_known_id_starts_with_a_clean_record() -> None:
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    bad = make_endpoints(4)[0]
    host.balancer.endpoints[bad.id].ejected_until = host.now + 9 * S
    again = bad._replace(started_us=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, [again])
    assert host.balancer.endpoints[bad.id].ejected_until == 0


def test_streamed_answer_belongs_to_the_client_from_its_start() -> None:
    host = RecordingHost(make_settings(classes=(replace(IDEMPOTENT, streaming=True),)), make_endpoints(4))
    call = host.order()
    host.balancer.streaming(host.now, call, 0)
    host.advance(9 * S)
    host.reply(call, Outcome.RESET, closed=True)
    assert len(host.hand_offs(call)) == 1
    assert host.final_answers(call) == []
    assert host.balancer.calls == {}
