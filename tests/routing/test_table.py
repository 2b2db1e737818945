"""The compiled table of routes, compared with a reference matcher; precedence, conflicts and invalid patterns."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.routing.conflicts import find_conflicts, request_sets, unreachable
from eiderhub.routing.request_target import InvalidTargetError, RequestAttributes
from eiderhub.routing.table import Pattern, Route, RouteTable, TableError, parse_pattern
from tests.routing import reference

SEGMENTS = (b"a", b"b", b"{}")
patterns = st.builds(Pattern, st.lists(st.sampled_from(SEGMENTS), max_size=3).map(tuple), st.booleans())
optional_values = st.sampled_from([None, "x", "y"])
name_value_pairs = st.sampled_from([(), (("k", "x"),), (("k", "y"),), (("k", "x"), ("m", "x"))])
routes = st.builds(
    Route,
    name=st.just(""),
    class_name=st.sampled_from(["one", "two"]),
    pattern=patterns,
    methods=st.sampled_from([frozenset(), frozenset(("GET",)), frozenset(("GET", "POST"))]),
    protocol=optional_values,
    tenant=optional_values,
    service=optional_values,
    call=optional_values,
    headers=name_value_pairs,
    query=name_value_pairs,
)


@st.composite
def tables(draw: st.DrawFn) -> list[Route]:
    """Routes of which no two match the same requests."""
    unique: list[Route] = []
    seen: set[object] = set()
    for route in draw(st.lists(routes, max_size=12)):
        keys = {(route.pattern, frozenset(entry.items())) for entry in route.entries()}
        if not keys & seen:
            seen |= keys
            unique.append(replace(route, name=f"r{len(unique)}"))
    return unique


@st.composite
def requests(draw: st.DrawFn) -> RequestAttributes:
    headers = {name: draw(st.sampled_from([b"x", b"y"])) for name in draw(st.sets(st.sampled_from([b"k", b"m"])))}
    names = draw(st.sets(st.sampled_from(["k", "m"])))
    query = "&".join(f"{name}={draw(st.sampled_from(['x', 'y']))}" for name in sorted(names))
    return RequestAttributes(
        draw(st.sampled_from(["x", "http"])),
        draw(st.sampled_from(["GET", "POST"])),
        draw(st.lists(st.sampled_from([b"a", b"b", b"A", b"c"]), max_size=4).map(tuple)),
        headers,
        query.encode(),
        draw(optional_values),
        draw(optional_values),
        draw(optional_values),
    )


@given(tables(), st.lists(requests(), min_size=1, max_size=8))
def test_the_table_agrees_with_the_reference_matcher(table: list[Route], examples: list[RequestAttributes]) -> None:
    compiled = RouteTable(table)
    for request in examples:
        assert compiled.find(request) is reference.find(table, request)


@given(tables(), requests(), st.randoms(use_true_random=False))
def test_the_order_of_routes_in_the_file_does_not_matter(
    table: list[Route], request: RequestAttributes, shuffler: random.Random
) -> None:
    before = RouteTable(table).find(request)
    shuffler.shuffle(table)
    assert RouteTable(table).find(request) is before


@given(tables(), requests())
def test_without_conflicts_the_most_specific_route_is_found(table: list[Route], request: RequestAttributes) -> None:
    """Without conflicts, the other matching routes are less specific or have the same outcome."""
    if find_conflicts(table):
        return
    best = RouteTable(table).find(request)
    for other in table:
        if best is not None and reference.matches(other, request) and other is not best:
            is_narrower = any(
                (overlap := mine.intersect(theirs)) is not None and overlap == mine
                for mine in request_sets(best)
                for theirs in request_sets(other)
            )
            assert is_narrower or other.outcome() == best.outcome()


def route(name: str, path: str, class_name: str = "one", **conditions: object) -> Route:
    return Route(name, class_name, parse_pattern(path), **conditions)  # type: ignore[arg-type]


def test_the_most_specific_route_is_found() -> None:
    most_specific_first = [
        route("exact", "/a/b", tenant="t", methods=frozenset(("GET",))),
        route("two conditions", "/a/b", tenant="t"),
        route("literal", "/a/b"),
        route("template", "/a/{id}"),
        route("prefix", "/a/*"),
        route("all", "/*"),
    ]
    request = RequestAttributes("http", "GET", (b"a", b"b"), tenant="t")
    for order in permutations(most_specific_first):
        remaining = list(order)
        for expected in most_specific_first:
            assert RouteTable(remaining).find(request) is expected
            remaining.remove(expected)


def test_a_branch_whose_conditions_fail_falls_back_to_a_wider_route() -> None:
    wide = route("wide", "/a/*")
    table = RouteTable([route("narrow", "/a/b/c", tenant="t"), route("template", "/a/{x}/d"), wide])
    assert table.find(RequestAttributes("http", "GET", (b"a", b"b", b"c"), tenant="u")) is wide


def test_a_query_value_given_twice_is_rejected_if_a_route_compares_it() -> None:
    table = RouteTable([route("q", "/a", query=(("kind", "slow"),))])
    with pytest.raises(InvalidTargetError, match="kind"):
        table.find(RequestAttributes("http", "GET", (b"a",), query=b"kind=slow&kind=fast"))
    with pytest.raises(InvalidTargetError, match="kind"):
        table.find(RequestAttributes("http", "GET", (b"a",), query=b"kind=slow&k%69nd=fast"))
    assert table.find(RequestAttributes("http", "GET", (b"a",), query=b"other=1&other=2&kind=slow")) is not None


def test_two_routes_that_match_the_same_requests_are_rejected() -> None:
    with pytest.raises(TableError, match="'one' and 'two' match the same requests"):
        RouteTable([route("one", "/a/{x}"), route("two", "/A/{y}/")])


@pytest.mark.parametrize(
    "text", ["a", "/a//b", "/a/../b", "/a/%2e%2e/b", "/a/*/b", "/a/{x}y", "/a/{}", "/a b", "/a/%2fb", "/a/b*"]
)
def test_patterns_that_no_request_could_match_are_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"/|no path"):
        parse_pattern(text)


@pytest.mark.parametrize(
    ("first", "second", "kind"),
    [
        (route("a", "/x/{i}/c"), route("b", "/x/y/{j}", "two"), "overlap"),
        (route("a", "/x", tenant="t"), route("b", "/x", "two", methods=frozenset(("GET",))), "overlap"),
        (route("a", "/x/y"), route("b", "/X/%79/", "two"), "same"),
        (route("a", "/x/y"), route("b", "/x/y"), "twice"),
        (route("a", "/x/{i}/c"), route("b", "/x/y/{j}"), ""),  # they overlap with the same outcome
        (route("a", "/x/y"), route("b", "/x/*", "two"), ""),
        (route("a", "/x", tenant="t"), route("b", "/x", "two", tenant="u"), ""),
        (route("a", "/{i}/c"), route("b", "/x/{j}", "two"), "overlap"),
        (route("a", "/x/*", tenant="t"), route("b", "/x/y", "two"), "overlap"),
    ],
)
def test_conflicts(first: Route, second: Route, kind: str) -> None:
    assert [c.kind for c in find_conflicts([first, second])] == ([kind] if kind else [])


def test_a_third_route_for_exactly_the_overlap_resolves_the_conflict() -> None:
    two = [route("a", "/x/{i}/c"), route("b", "/x/y/{j}", "two")]
    assert [c.example for c in find_conflicts(two)] == ["/x/y/c"]
    assert not find_conflicts([*two, route("c", "/x/y/c", "two")])


def test_unreachable_routes() -> None:
    methods = {"one": frozenset(("GET",))}
    table = [
        route("post", "/a", methods=frozenset(("POST",))),
        route("tenant", "/b", tenant="nobody"),
        route("fine", "/c", methods=frozenset(("GET", "POST"))),
    ]
    assert unreachable(table, methods, frozenset(("acme",))) == [0, 1]
