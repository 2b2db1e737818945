"""A slow and obvious matcher, written from the stated order alone: what the compiled table is held against."""

from __future__ import annotations

from eiderhub.routing.request_target import RequestAttributes, query_values
from eiderhub.routing.table import ANY_SEGMENT, Route, condition_order


def matches(route: Route, asked: RequestAttributes) -> bool:
    parts = [part.lower() for part in asked.segments]
    pattern = route.pattern
    if len(parts) < len(pattern.segments) or (len(parts) > len(pattern.segments) and not pattern.is_prefix):
        return False
    if any(want not in (ANY_SEGMENT, have) for want, have in zip(pattern.segments, parts, strict=False)):
        return False
    if route.methods and asked.method not in route.methods:
        return False
    for key in ("tenant", "protocol", "service", "call"):
        if getattr(route, key) is not None and getattr(route, key) != getattr(asked, key):
            return False
    if any(asked.headers.get(name.encode()) != value.encode() for name, value in route.headers):
        return False
    names = frozenset(name for name, _ in route.query)
    given = query_values(asked.query, names)
    return all(given.get(name) == value for name, value in route.query)


def rank(route: Route, asked: RequestAttributes) -> tuple[object, ...]:
    """The stated order as a sort key among routes that match this request."""
    path = tuple(int(part == ANY_SEGMENT) for part in route.pattern.segments) + (
        (2,) if route.pattern.is_prefix else ()
    )
    conditions = sorted(route.conditions(), key=condition_order)
    if route.methods:
        conditions = sorted([*conditions, ("method",)], key=condition_order)
    return path, -len(conditions), [condition_order(c) for c in conditions]


def find(routes: list[Route], asked: RequestAttributes) -> Route | None:
    return min((r for r in routes if matches(r, asked)), key=lambda r: rank(r, asked), default=None)
