"""Finds routes that conflict and routes that no request can reach.

It compares all pairs of routes that may overlap, which only the checker can afford.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from eiderhub.routing.table import ANY_PATH, ANY_SEGMENT, Condition, Pattern, Route


class Conflict(NamedTuple):
    """Two routes, by index, and how they conflict."""

    first: int
    second: int
    kind: str  # "twice": equal; "same": they match the same requests with different outcomes; "overlap"
    example: str  # a path that both match


def intersect(a: Pattern, b: Pattern) -> Pattern | None:
    """Return the pattern of the paths that both match, or None. The intersection is always a single pattern."""
    if len(a.segments) < len(b.segments):
        a, b = b, a
    if len(a.segments) > len(b.segments) and not b.is_prefix:
        return None
    segments = []
    for i, segment in enumerate(a.segments):
        other = b.segments[i] if i < len(b.segments) else ANY_SEGMENT
        if ANY_SEGMENT not in (segment, other) and segment != other:
            return None
        segments.append(other if segment == ANY_SEGMENT else segment)
    if len(a.segments) == len(b.segments):
        return Pattern(tuple(segments), a.is_prefix and b.is_prefix)
    return Pattern(tuple(segments), a.is_prefix)


def example_path(pattern: Pattern) -> str:
    """Return a path that the pattern matches."""
    segments = ["x" if segment == ANY_SEGMENT else segment.decode("ascii") for segment in pattern.segments]
    return "/" + "/".join(segments + ["x"] * pattern.is_prefix)


class RequestSet(NamedTuple):
    """The requests that match a pattern and have one value for each condition."""

    pattern: Pattern
    conditions: frozenset[tuple[Condition, str]]

    def intersect(self, other: RequestSet) -> RequestSet | None:
        """Return the requests in both sets, or None if there are none."""
        pattern = intersect(self.pattern, other.pattern)
        conditions = self.conditions | other.conditions
        if pattern is None or len({key for key, _ in conditions}) != len(conditions):
            return None
        return RequestSet(pattern, conditions)


def request_sets(route: Route) -> list[RequestSet]:
    """Return what a route matches: one set for each of its methods, or a single one."""
    return [RequestSet(route.pattern, frozenset(entry.items())) for entry in route.entries()]


def _candidate_pairs(routes: Sequence[Route]) -> Iterator[tuple[int, int]]:
    """Yield the pairs of indexes that may overlap: equal first segments, or at least one that is not a literal."""
    by_first_segment: dict[bytes, list[int]] = defaultdict(list)
    without_literal: list[int] = []
    for i, route in enumerate(routes):
        segments = route.pattern.segments
        if segments and segments[0] != ANY_SEGMENT:
            by_first_segment[segments[0]].append(i)
        else:
            without_literal.append(i)
    for group in by_first_segment.values():
        for n, i in enumerate(group):
            for j in group[n + 1 :]:
                yield i, j
    for n, i in enumerate(without_literal):
        for j in without_literal[n + 1 :]:
            yield i, j
        for group in by_first_segment.values():
            for j in group:
                yield min(i, j), max(i, j)


def find_conflicts(routes: Sequence[Route]) -> list[Conflict]:
    """Return all conflicts: equal routes, and overlaps with different outcomes and no most specific route."""
    sets = [request_sets(route) for route in routes]
    all_sets = {request_set for own in sets for request_set in own}
    conflicts = []
    for i, j in _candidate_pairs(routes):
        kind, example = _compare(routes[i], routes[j], sets[i], sets[j], all_sets)
        if kind:
            conflicts.append(Conflict(i, j, kind, example))
    return sorted(conflicts)


def _are_disjoint(a: Route, b: Route) -> bool:
    """Whether `a` needs a service or call and `b` an HTTP path or method: no protocol has both."""
    return bool(a.service or a.call) and (b.pattern != ANY_PATH or bool(b.methods))


def _compare(
    a: Route, b: Route, own: list[RequestSet], others: list[RequestSet], known: set[RequestSet]
) -> tuple[str, str]:
    """Return the kind of the conflict of two routes and an example path, or empty strings.

    `own` and `others` are the request sets of `a` and `b`, and `known` are those of all routes.
    """
    if _are_disjoint(a, b) or _are_disjoint(b, a):
        return "", ""
    outcomes_differ = a.outcome() != b.outcome()
    for request_set in own:
        for other in others:
            overlap = request_set.intersect(other)
            if overlap is None:
                continue
            if request_set == other:
                return "same" if outcomes_differ else "twice", example_path(overlap.pattern)
            # A third route that matches exactly the overlap resolves the conflict.
            if outcomes_differ and overlap not in (request_set, other) and overlap not in known:
                return "overlap", example_path(overlap.pattern)
    return "", ""


def unreachable(routes: Sequence[Route], methods_of: dict[str, frozenset[str]], tenants: frozenset[str]) -> list[int]:
    """Return the indexes of routes that no request can match, because of their methods or an unknown tenant.

    `methods_of` maps class names to the methods of their requests; `tenants` is empty if the site has none.
    """
    indexes = []
    for i, route in enumerate(routes):
        allowed = methods_of.get(route.class_name)
        has_no_method = bool(route.methods and allowed is not None and not route.methods & allowed)
        if has_no_method or (route.tenant is not None and route.tenant not in tenants):
            indexes.append(i)
    return indexes
