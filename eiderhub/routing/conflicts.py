"""Which routes contradict each other, and which can never be reached. Slow and thorough; used by the checker."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from eiderhub.routing.table import ANY_PATH, ANY_SEGMENT, Condition, Pattern, Route


class Conflict(NamedTuple):
    """Two routes (by their places), and what is wrong between them."""

    first: int
    second: int
    kind: str  # "same" or "twice" (the same match; with another outcome, or not), or "overlap"
    example: str  # a path that both take


def intersect(a: Pattern, b: Pattern) -> Pattern | None:
    """The pattern of the paths that both take, or None. Two patterns meet in one pattern at the most."""
    if len(a.segments) < len(b.segments):
        a, b = b, a
    if len(a.segments) > len(b.segments) and not b.is_prefix:
        return None
    parts = []
    for i, part in enumerate(a.segments):
        other = b.segments[i] if i < len(b.segments) else ANY_SEGMENT
        if ANY_SEGMENT not in (part, other) and part != other:
            return None
        parts.append(other if part == ANY_SEGMENT else part)
    if len(a.segments) == len(b.segments):
        return Pattern(tuple(parts), a.is_prefix and b.is_prefix)
    return Pattern(tuple(parts), a.is_prefix)


def example_path(pattern: Pattern) -> str:
    """A path that the pattern takes."""
    parts = ["x" if part == ANY_SEGMENT else part.decode("ascii") for part in pattern.segments]
    return "/" + "/".join(parts + ["x"] * pattern.is_prefix)


class RequestSet(NamedTuple):
    """What a route takes: a pattern and conditions, one value for each. A route has one for each method."""

    pattern: Pattern
    conditions: frozenset[tuple[Condition, str]]

    def intersect(self, other: RequestSet) -> RequestSet | None:
        pattern = intersect(self.pattern, other.pattern)
        both = self.conditions | other.conditions
        if pattern is None or len({key for key, _ in both}) != len(both):
            return None
        return RequestSet(pattern, both)


def request_sets(route: Route) -> list[RequestSet]:
    return [RequestSet(route.pattern, frozenset(entry.items())) for entry in route.entries()]


def _pairs(routes: Sequence[Route]) -> Iterator[tuple[int, int]]:
    """Pairs that may overlap: by the first part of the path, or one of them has none that is literal."""
    first: dict[bytes, list[int]] = defaultdict(list)
    loose: list[int] = []
    for i, route in enumerate(routes):
        parts = route.pattern.segments
        if parts and parts[0] != ANY_SEGMENT:
            first[parts[0]].append(i)
        else:
            loose.append(i)
    for group in first.values():
        for n, i in enumerate(group):
            for j in group[n + 1 :]:
                yield i, j
    for n, i in enumerate(loose):
        for j in loose[n + 1 :]:
            yield i, j
        for group in first.values():
            for j in group:
                yield min(i, j), max(i, j)


def find_conflicts(routes: Sequence[Route]) -> list[Conflict]:
    """All contradictions: the same match twice, overlaps with no most specific route and another outcome."""
    taken = [request_sets(route) for route in routes]
    all_claims = {claim for own in taken for claim in own}
    found = []
    for i, j in _pairs(routes):
        kind, example = _between(routes[i], routes[j], taken[i], taken[j], all_claims)
        if kind:
            found.append(Conflict(i, j, kind, example))
    return sorted(found)


def _apart(a: Route, b: Route) -> bool:
    """No protocol has both a path or a method of HTTP's and a service with calls."""
    return bool(a.service or a.call) and (b.pattern != ANY_PATH or bool(b.methods))


def _between(
    a: Route, b: Route, own: list[RequestSet], others: list[RequestSet], known: set[RequestSet]
) -> tuple[str, str]:
    if _apart(a, b) or _apart(b, a):
        return "", ""
    differ = a.outcome() != b.outcome()
    for claim in own:
        for other in others:
            both = claim.intersect(other)
            if both is None:
                continue
            if claim == other:
                return "same" if differ else "twice", example_path(both.pattern)
            # A third route that takes just what both take settles which of them it is.
            if differ and both not in (claim, other) and both not in known:
                return "overlap", example_path(both.pattern)
    return "", ""


def unreachable(routes: Sequence[Route], methods_of: dict[str, frozenset[str]], tenants: frozenset[str]) -> list[int]:
    """Routes that no request can take: a method that the class never has, or a tenant that does not exist.

    `methods_of` tells the methods of each class; `tenants` is empty where the site has none.
    """
    found = []
    for i, route in enumerate(routes):
        allowed = methods_of.get(route.class_name)
        no_method = bool(route.methods and allowed is not None and not route.methods & allowed)
        if no_method or (route.tenant is not None and route.tenant not in tenants):
            found.append(i)
    return found
