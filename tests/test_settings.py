"""Settings of the interface, deployments with few entities, subscriptions and events of single endpoints and calls."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.interface import Discovery, Effect, ListForm, Outcome, RequestClass, Settings
from tests.support import IDEMPOTENT, MS, RecordingHost, S, make_endpoints, make_settings


@pytest.mark.parametrize("count", [0, 1])
def test_deployment_without_tenants_zones_and_with_at_most_one_endpoint(count: int) -> None:
    host = RecordingHost(Settings(classes=(IDEMPOTENT,)), make_endpoints(count, zone=""))
    call = host.order(tenant="")
    if count:
        host.advance(10 * MS)
        host.reply(call, Outcome.OK)
    host.advance(3 * S)
    assert host.final_answers(call) == ([] if count else ["shed"])


def test_request_of_an_unknown_tenant_is_served() -> None:
    host = RecordingHost(entries=make_endpoints(4))
    assert host.hand_offs(host.order(tenant="stranger"))


def test_invalid_values_are_reported_with_their_field() -> None:
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


def test_failed_subscription_is_retried_with_growing_jittered_delays() -> None:
    first_delays = set()
    for seed in range(5):
        host = RecordingHost(make_settings(discovery=Discovery.POLL), make_endpoints(2), seed=seed)
        assert host.actions == [("tail", True)]
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        first_delay = host.timers[0][0] - host.now
        assert len(host.timers) == 1
        host.advance(2 * S)
        assert host.actions.count(("tail", True)) == 2
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        first_delays.add(first_delay)
        assert 250 * MS <= first_delay <= 750 * MS
        assert 500 * MS <= host.timers[0][0] - host.now <= 1500 * MS
    assert len(first_delays) == 5


def test_new_process_under_a_known_id_is_not_ejected_for_the_old_one() -> None:
    host = RecordingHost(make_settings(balancers=1), make_endpoints(4))
    ejected = make_endpoints(4)[0]
    host.balancer.endpoints[ejected.id].ejected_until = host.now + 9 * S
    restarted = ejected._replace(started_us=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, [restarted])
    assert host.balancer.endpoints[ejected.id].ejected_until == 0


def test_streamed_reply_is_the_final_answer_from_its_start() -> None:
    host = RecordingHost(make_settings(classes=(replace(IDEMPOTENT, streaming=True),)), make_endpoints(4))
    call = host.order()
    host.balancer.streaming(host.now, call, 0)
    host.advance(9 * S)
    host.reply(call, Outcome.RESET, closed=True)
    assert len(host.hand_offs(call)) == 1
    assert host.final_answers(call) == []
    assert host.balancer.calls == {}
