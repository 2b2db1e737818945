"""A simple reference matcher, written from the documented order of routes, to compare the compiled table with."""

from __future__ import annotations

from eiderhub.routing.request_target import RequestAttributes, query_values
from eiderhub.routing.table import ANY_SEGMENT, Route, condition_order


def matches(route: Route, request: RequestAttributes) -> bool:
    segments = [segment.lower() for segment in request.segments]
    pattern = route.pattern
    if len(segments) < len(pattern.segments) or (len(segments) > len(pattern.segments) and not pattern.is_prefix):
        return False
    if any(want not in (ANY_SEGMENT, have) for want, have in zip(pattern.segments, segments, strict=False)):
        return False
    if route.methods and request.method not in route.methods:
        return False
    for key in ("tenant", "protocol", "service", "call"):
        if getattr(route, key) is not None and getattr(route, key) != getattr(request, key):
            return False
    if any(request.headers.get(name.encode()) != value.encode() for name, value in route.headers):
        return False
    names = frozenset(name for name, _ in route.query)
    values = query_values(request.query, names)
    return all(values.get(name) == value for name, value in route.query)


def rank(route: Route, request: RequestAttributes) -> tuple[object, ...]:
    """Return the documented order as a sort key of routes that match this request."""
    path_rank = tuple(int(segment == ANY_SEGMENT) for segment in route.pattern.segments) + (
        (2,) if route.pattern.is_prefix else ()
    )
    conditions = sorted(route.conditions(), key=condition_order)
    if route.methods:
        conditions = sorted([*conditions, ("method",)], key=condition_order)
    return path_rank, -len(conditions), [condition_order(c) for c in conditions]


def find(routes: list[Route], request: RequestAttributes) -> Route | None:
    return min((r for r in routes if matches(r, request)), key=lambda r: rank(r, request), default=None)
