"""The compiled table against the obvious matcher, and the order that decides between routes."""

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

PARTS = (b"a", b"b", b"{}")
patterns = st.builds(Pattern, st.lists(st.sampled_from(PARTS), max_size=3).map(tuple), st.booleans())
maybe = st.sampled_from([None, "x", "y"])
pairs = st.sampled_from([(), (("k", "x"),), (("k", "y"),), (("k", "x"), ("m", "x"))])
routes = st.builds(
    Route,
    name=st.just(""),
    class_name=st.sampled_from(["one", "two"]),
    pattern=patterns,
    methods=st.sampled_from([frozenset(), frozenset(("GET",)), frozenset(("GET", "POST"))]),
    protocol=maybe,
    tenant=maybe,
    service=maybe,
    call=maybe,
    headers=pairs,
    query=pairs,
)


@st.composite
def tables(draw: st.DrawFn) -> list[Route]:
    """Routes of which no two ask the same."""
    found: list[Route] = []
    seen: set[object] = set()
    for route in draw(st.lists(routes, max_size=12)):
        keys = {(route.pattern, frozenset(entry.items())) for entry in route.entries()}
        if not keys & seen:
            seen |= keys
            found.append(replace(route, name=f"r{len(found)}"))
    return found


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
        draw(maybe),
        draw(maybe),
        draw(maybe),
    )


@given(tables(), st.lists(requests(), min_size=1, max_size=8))
def test_the_table_answers_as_the_obvious_matcher(table: list[Route], asked: list[RequestAttributes]) -> None:
    compiled = RouteTable(table)
    for request in asked:
        assert compiled.find(request) is reference.find(table, request)


@given(tables(), requests(), st.randoms(use_true_random=False))
def test_places_in_the_file_decide_nothing(table: list[Route], asked: RequestAttributes, chance: random.Random) -> None:
    before = RouteTable(table).find(asked)
    chance.shuffle(table)
    assert RouteTable(table).find(asked) is before


@given(tables(), requests())
def test_without_conflicts_the_winner_is_the_narrowest(table: list[Route], asked: RequestAttributes) -> None:
    """Where the checker finds nothing, all that match beside the winner are wider, or do the same."""
    if find_conflicts(table):
        return
    winner = RouteTable(table).find(asked)
    for other in table:
        if winner is not None and reference.matches(other, asked) and other is not winner:
            narrower = any(
                (meeting := mine.intersect(theirs)) is not None and meeting == mine
                for mine in request_sets(winner)
                for theirs in request_sets(other)
            )
            assert narrower or other.outcome() == winner.outcome()


def route(name: str, path: str, class_name: str = "one", **conditions: object) -> Route:
    return Route(name, class_name, parse_pattern(path), **conditions)  # type: ignore[arg-type]


def test_most_specific_wins() -> None:
    narrowest_first = [
        route("exact", "/a/b", tenant="t", methods=frozenset(("GET",))),
        route("two conditions", "/a/b", tenant="t"),
        route("literal", "/a/b"),
        route("template", "/a/{id}"),
        route("prefix", "/a/*"),
        route("all", "/*"),
    ]
    asked = RequestAttributes("http", "GET", (b"a", b"b"), tenant="t")
    for order in permutations(narrowest_first):
        left = list(order)
        for expected in narrowest_first:
            assert RouteTable(left).find(asked) is expected
            left.remove(expected)


def test_a_branch_that_fails_on_conditions_is_left_for_the_wider_one() -> None:
    wide = route("wide", "/a/*")
    table = RouteTable([route("narrow", "/a/b/c", tenant="t"), route("template", "/a/{x}/d"), wide])
    assert table.find(RequestAttributes("http", "GET", (b"a", b"b", b"c"), tenant="u")) is wide


def test_a_header_or_query_value_given_twice_is_refused_where_a_route_asks_for_it() -> None:
    table = RouteTable([route("q", "/a", query=(("kind", "slow"),))])
    with pytest.raises(InvalidTargetError, match="kind"):
        table.find(RequestAttributes("http", "GET", (b"a",), query=b"kind=slow&kind=fast"))
    with pytest.raises(InvalidTargetError, match="kind"):
        table.find(RequestAttributes("http", "GET", (b"a",), query=b"kind=slow&k%69nd=fast"))
    assert table.find(RequestAttributes("http", "GET", (b"a",), query=b"other=1&other=2&kind=slow")) is not None


def test_two_routes_that_ask_the_same_make_no_table() -> None:
    with pytest.raises(TableError, match="'one' and 'two' match the same requests"):
        RouteTable([route("one", "/a/{x}"), route("two", "/A/{y}/")])


@pytest.mark.parametrize(
    "text", ["a", "/a//b", "/a/../b", "/a/%2e%2e/b", "/a/*/b", "/a/{x}y", "/a/{}", "/a b", "/a/%2fb", "/a/b*"]
)
def test_patterns_that_no_request_could_meet_are_refused(text: str) -> None:
    with pytest.raises(ValueError, match=r"/|no path"):
        parse_pattern(text)


@pytest.mark.parametrize(
    ("first", "second", "kind"),
    [
        (route("a", "/x/{i}/c"), route("b", "/x/y/{j}", "two"), "overlap"),
        (route("a", "/x", tenant="t"), route("b", "/x", "two", methods=frozenset(("GET",))), "overlap"),
        (route("a", "/x/y"), route("b", "/X/%79/", "two"), "same"),
        (route("a", "/x/y"), route("b", "/x/y"), "twice"),
        (route("a", "/x/{i}/c"), route("b", "/x/y/{j}"), ""),  # they overlap and do the same
        (route("a", "/x/y"), route("b", "/x/*", "two"), ""),
        (route("a", "/x", tenant="t"), route("b", "/x", "two", tenant="u"), ""),
        (route("a", "/{i}/c"), route("b", "/x/{j}", "two"), "overlap"),
        (route("a", "/x/*", tenant="t"), route("b", "/x/y", "two"), "overlap"),
    ],
)
def test_conflicts(first: Route, second: Route, kind: str) -> None:
    assert [c.kind for c in find_conflicts([first, second])] == ([kind] if kind else [])


def test_a_third_route_for_just_the_overlap_settles_it() -> None:
    two = [route("a", "/x/{i}/c"), route("b", "/x/y/{j}", "two")]
    assert [c.example for c in find_conflicts(two)] == ["/x/y/c"]
    assert not find_conflicts([*two, route("c", "/x/y/c", "two")])


def test_routes_that_nothing_reaches() -> None:
    methods = {"one": frozenset(("GET",))}
    made = [
        route("post", "/a", methods=frozenset(("POST",))),
        route("tenant", "/b", tenant="nobody"),
        route("fine", "/c", methods=frozenset(("GET", "POST"))),
    ]
    assert unreachable(made, methods, frozenset(("acme",))) == [0, 1]
