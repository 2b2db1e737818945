"""From routes and pools to what the host and the decision module work with: classes, and a narrower form of each.

A route's pool and limits become a variant of its class, so that the module, and nothing else, keeps them: it draws
endpoints from the pool, counts attempts and learns the pool's cap like those of any class bound to endpoints.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from eiderhub.interface import Effect, RequestClass, Settings
from eiderhub.routing.table import Asked, Route, Table

FIRST_PART, REFUSE = "first-part", "refuse"  # what takes a request that no route takes

# PROTOCOL: the method follows from the class.
METHOD = {Effect.IDEMPOTENT: "GET", Effect.DEDUPLICATED: "POST", Effect.AT_MOST_ONCE: "POST"}


@dataclass(frozen=True, slots=True)
class PoolRule:
    """Which endpoints belong to a pool; None or empty asks nothing."""

    name: str
    zones: frozenset[str] | None = None
    kinds: frozenset[str] | None = None
    labels: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Plan:
    """How requests are told apart. Made whole, swapped whole."""

    settings: Settings  # with the variants among its classes
    default: str = FIRST_PART
    table: Table | None = None
    grades: Mapping[str, RequestClass] = field(default_factory=dict)  # by the route's name
    first_part: Mapping[bytes, RequestClass] = field(default_factory=dict)  # classes and their aliases

    @property
    def variants(self) -> list[RequestClass]:
        return [c for c in self.settings.classes if c.variant_of]

    def grade(self, asked: Asked) -> RequestClass | None:
        """The class of a request, or its variant; None where nothing takes it. Raises `target.Refused`."""
        if self.table is not None:
            route = self.table.find(asked)
            if route is not None:
                return self.grades[route.name]
        if self.default == REFUSE or not asked.segments:
            return None
        return self.first_part.get(asked.segments[0])


def _narrowed(own: frozenset[str] | None, pool: frozenset[str] | None) -> frozenset[str] | None:
    if own is None or pool is None:
        return pool if own is None else own
    return own & pool


def variant(grade: RequestClass, route: Route, pool: PoolRule | None) -> RequestClass:
    """The class as this route narrows it, under a name that tells all of it: equal names mean equal variants."""
    parts = []
    changes: dict[str, object] = {}
    if pool is not None:
        zones, kinds = _narrowed(grade.stays_in, pool.zones), _narrowed(grade.served_on, pool.kinds)
        labels = grade.labels | pool.labels
        changes |= {"stays_in": zones, "served_on": kinds, "labels": labels}
        for key, names in (("zones", zones), ("kinds", kinds), ("labels", labels or None)):
            if names is not None:
                parts.append(f"{key}={','.join(sorted(names))}")
    if route.deadline_us and route.deadline_us < grade.deadline_us:
        changes["deadline_us"] = route.deadline_us
        changes["aim_us"] = min(grade.aim_us, route.deadline_us)
        parts.append(f"deadline={route.deadline_us}us")
    if route.attempts:
        changes["max_attempts"] = route.attempts
        parts.append(f"attempts={route.attempts}")
    if not parts:
        return grade
    name = f"{grade.name}[{' '.join(parts)}]"
    return dataclasses.replace(grade, name=name, variant_of=grade.name, **changes)  # type: ignore[arg-type]


def plain(settings: Settings) -> Plan:
    """Today's rule alone: the first part of the path is the class."""
    return Plan(settings, first_part={c.name.encode(): c for c in settings.classes})


def plan(
    settings: Settings,
    routes: Sequence[Route],
    pools: Mapping[str, PoolRule],
    default: str = FIRST_PART,
    aliases: Mapping[str, str] | None = None,
) -> Plan:
    """Compile routes. Raises KeyError for a class or pool that is not there and `TableError` for no table."""
    classes = {c.name: c for c in settings.classes}
    grades = {}
    for route in routes:
        grades[route.name] = variant(classes[route.grade], route, pools[route.pool] if route.pool else None)
    variants = {c.name: c for c in grades.values() if c.variant_of}
    first_part = {c.name.encode(): c for c in settings.classes}
    for alias, name in (aliases or {}).items():
        first_part.setdefault(alias.encode(), classes[name])
    return Plan(
        dataclasses.replace(settings, classes=(*settings.classes, *variants.values())),
        default,
        Table(routes) if routes else None,
        grades,
        first_part,
    )
