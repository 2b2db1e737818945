"""Plans of routes: variants of classes, and how the decision module applies their pools and limits."""

from __future__ import annotations

import pytest

from eiderhub.interface import Effect, Endpoint, Limits, Outcome, Readiness, RequestClass, Settings
from eiderhub.routing.plan import default_plan
from eiderhub.routing.plan_compiler import PoolRule, compile_plan
from eiderhub.routing.request_target import RequestAttributes
from eiderhub.routing.table import Route, parse_pattern
from tests.support import MS, RecordingHost

LOOK = RequestClass("look", 1_000_000, 3_000_000, Effect.IDEMPOTENT)
PAY = RequestClass("pay", 2_000_000, 3_000_000, Effect.AT_MOST_ONCE)
SETTINGS = Settings(classes=[LOOK, PAY], limits=Limits(max_attempts=5))
NEAR = PoolRule("near", zones=frozenset(("a",)))
GOLD = PoolRule("gold", labels=frozenset(("rank=gold",)))


def get(path: str) -> RequestAttributes:
    return RequestAttributes(
        "http", "GET", tuple(segment.encode() for segment in path.strip("/").split("/") if segment)
    )


def test_without_routes_the_first_segment_is_the_class() -> None:
    plan = default_plan(SETTINGS)
    assert plan.class_of(get("/look/a")) is LOOK
    assert plan.class_of(get("/LOOK/a")) is None
    assert plan.class_of(get("/")) is None
    assert plan.variants == []


def test_a_route_with_a_pool_and_limits_gives_a_variant_of_its_class() -> None:
    route = Route("r", "look", parse_pattern("/stock/{id}"), pool="near", deadline_us=500_000, attempts=1)
    plan = compile_plan(SETTINGS, [route], {"near": NEAR})
    request_class = plan.class_of(get("/stock/7"))
    assert request_class is not None
    assert (
        request_class.variant_of,
        request_class.deadline_us,
        request_class.objective_us,
        request_class.max_attempts,
    ) == (
        "look",
        500_000,
        500_000,
        1,
    )
    assert request_class.allowed_zones == frozenset(("a",))
    assert plan.class_of(get("/stock")) is None
    assert plan.class_of(get("/look/a")) is LOOK


def test_equal_restrictions_share_a_variant_and_without_any_the_class_is_used() -> None:
    routes = [
        Route("r1", "look", parse_pattern("/one"), attempts=2),
        Route("r2", "look", parse_pattern("/two"), attempts=2),
        Route("r3", "look", parse_pattern("/three"), deadline_us=9_000_000),
    ]
    plan = compile_plan(SETTINGS, routes, {})
    assert len(plan.variants) == 1
    assert plan.class_of(get("/three")) is LOOK


def test_aliases_and_the_default_for_other_requests() -> None:
    plan = compile_plan(SETTINGS, [], {}, aliases={"charge": "pay", "look": "pay"})
    assert plan.class_of(get("/charge/a")) is PAY
    assert plan.class_of(get("/look/a")) is LOOK  # a class takes precedence over an alias
    assert compile_plan(SETTINGS, [], {}, "refuse").class_of(get("/look/a")) is None


def endpoint(name: str, zone: str = "a", *labels: str) -> Endpoint:
    return Endpoint(name, zone, "m", 0, Readiness.READY, labels=frozenset(labels))


@pytest.mark.parametrize("pool", [NEAR, GOLD])
def test_requests_of_a_variant_go_to_its_pool_only(pool: PoolRule) -> None:
    plan = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), pool=pool.name)], {pool.name: pool})
    others = [endpoint(f"s{i}", "b", "rank=tin") for i in range(2, 9)]
    host = RecordingHost(plan.settings, [endpoint("s1", "a", "rank=gold"), *others])
    for _ in range(30):
        host.reply(host.order(plan.variants[0].name), Outcome.OK)
        host.advance(50 * MS)
    assert {sent[2] for sent in host.hand_offs()} == {"s1"}


def test_the_attempts_of_a_route_limit_the_retries() -> None:
    plan = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), attempts=1)], {})
    host = RecordingHost(plan.settings, [endpoint("s1"), endpoint("s2")])
    limited, unlimited = host.order(plan.variants[0].name), host.order("look")
    for call in (limited, unlimited):
        host.reply(call, Outcome.CONNECT_FAILED)
    assert (len(host.hand_offs(limited)), host.final_answers(limited)) == (1, ["shed"])
    assert (len(host.hand_offs(unlimited)), host.final_answers(unlimited)) == (2, [])


def test_variants_are_replaced_while_calls_are_in_progress() -> None:
    old = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), pool="near")], {"near": NEAR})
    new = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), attempts=2)], {})
    host = RecordingHost(old.settings, [endpoint("s1"), endpoint("s2")])
    call = host.order(old.variants[0].name)
    host.balancer.adopt(host.now, new.variants)
    other = host.order(new.variants[0].name)
    assert old.variants[0].name in host.balancer.classes  # a call still uses it
    host.reply(call, Outcome.CONNECT_FAILED)
    assert (len(host.hand_offs(call)), len(host.hand_offs(other))) == (2, 1)
    host.reply(call, Outcome.OK)
    host.balancer.adopt(host.now, new.variants)
    assert old.variants[0].name not in host.balancer.classes
    assert len(host.balancer.candidate_sets) == 1
