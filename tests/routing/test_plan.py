"""Routes as the decision module sees them: variants of classes, their pools and limits."""

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


def asked(path: str) -> RequestAttributes:
    return RequestAttributes("http", "GET", tuple(part.encode() for part in path.strip("/").split("/") if part))


def test_without_routes_the_first_part_is_the_class() -> None:
    rule = default_plan(SETTINGS)
    assert rule.class_of(asked("/look/a")) is LOOK
    assert rule.class_of(asked("/LOOK/a")) is None
    assert rule.class_of(asked("/")) is None
    assert rule.variants == []


def test_a_route_with_a_pool_and_limits_is_a_variant_that_ranks_as_its_class() -> None:
    route = Route("r", "look", parse_pattern("/stock/{id}"), pool="near", deadline_us=500_000, attempts=1)
    made = compile_plan(SETTINGS, [route], {"near": NEAR})
    request_class = made.class_of(asked("/stock/7"))
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
    assert made.class_of(asked("/stock")) is None
    assert made.class_of(asked("/look/a")) is LOOK


def test_equal_narrowings_share_one_variant_and_none_keeps_the_class() -> None:
    routes = [
        Route("r1", "look", parse_pattern("/one"), attempts=2),
        Route("r2", "look", parse_pattern("/two"), attempts=2),
        Route("r3", "look", parse_pattern("/three"), deadline_us=9_000_000),
    ]
    made = compile_plan(SETTINGS, routes, {})
    assert len(made.variants) == 1
    assert made.class_of(asked("/three")) is LOOK


def test_aliases_and_the_default() -> None:
    made = compile_plan(SETTINGS, [], {}, aliases={"charge": "pay", "look": "pay"})
    assert made.class_of(asked("/charge/a")) is PAY
    assert made.class_of(asked("/look/a")) is LOOK  # an alias never stands above a class
    assert compile_plan(SETTINGS, [], {}, "refuse").class_of(asked("/look/a")) is None


def endpoint(name: str, zone: str = "a", *labels: str) -> Endpoint:
    return Endpoint(name, zone, "m", 0, Readiness.READY, labels=frozenset(labels))


@pytest.mark.parametrize("pool", [NEAR, GOLD])
def test_the_module_sends_a_variant_to_its_pool_alone(pool: PoolRule) -> None:
    made = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), pool=pool.name)], {pool.name: pool})
    others = [endpoint(f"s{i}", "b", "rank=tin") for i in range(2, 9)]
    host = RecordingHost(made.settings, [endpoint("s1", "a", "rank=gold"), *others])
    for _ in range(30):
        host.reply(host.order(made.variants[0].name), Outcome.OK)
        host.advance(50 * MS)
    assert {sent[2] for sent in host.hand_offs()} == {"s1"}


def test_the_attempts_of_a_route_bound_the_retries() -> None:
    made = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), attempts=1)], {})
    host = RecordingHost(made.settings, [endpoint("s1"), endpoint("s2")])
    bound, free = host.order(made.variants[0].name), host.order("look")
    for call in (bound, free):
        host.reply(call, Outcome.CONNECT_FAILED)
    assert (len(host.hand_offs(bound)), host.final_answers(bound)) == (1, ["shed"])
    assert (len(host.hand_offs(free)), host.final_answers(free)) == (2, [])


def test_variants_change_while_calls_are_out() -> None:
    old = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), pool="near")], {"near": NEAR})
    new = compile_plan(SETTINGS, [Route("r", "look", parse_pattern("/x"), attempts=2)], {})
    host = RecordingHost(old.settings, [endpoint("s1"), endpoint("s2")])
    call = host.order(old.variants[0].name)
    host.balancer.adopt(host.now, new.variants)
    other = host.order(new.variants[0].name)
    assert old.variants[0].name in host.balancer.classes  # in use still
    host.reply(call, Outcome.CONNECT_FAILED)
    assert (len(host.hand_offs(call)), len(host.hand_offs(other))) == (2, 1)
    host.reply(call, Outcome.OK)
    host.balancer.adopt(host.now, new.variants)
    assert old.variants[0].name not in host.balancer.classes
    assert len(host.balancer.candidate_sets) == 1
