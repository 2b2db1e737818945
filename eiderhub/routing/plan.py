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
from eiderhub.routing.target import first_part_of

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
    routed_headers: frozenset[bytes] = frozenset()  # in lower case: those that some route looks at
    tighter_us: Mapping[str, int] = field(default_factory=dict)  # deadlines that routes make tighter, by variant

    @property
    def variants(self) -> list[RequestClass]:
        return [c for c in self.settings.classes if c.variant_of]

    def grade_at(self, path: bytes) -> RequestClass | None:
        """As `grade` where there are no routes: nothing but the path is looked at. Raises `target.Refused`."""
        first = first_part_of(path)
        return None if self.default == REFUSE else self.first_part.get(first)

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


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What an operator narrows for a whole class."""

    retries: bool = True
    copies: bool = True


FREE = ClassRule()


def variant(grade: RequestClass, route: Route | None, pool: PoolRule | None, rule: ClassRule = FREE) -> RequestClass:
    """The class as a rule and a route narrow it, under a name that tells all of it: equal names, equal variants."""
    parts = []
    changes: dict[str, object] = {}
    if pool is not None:
        zones, kinds = _narrowed(grade.stays_in, pool.zones), _narrowed(grade.served_on, pool.kinds)
        labels = grade.labels | pool.labels
        changes |= {"stays_in": zones, "served_on": kinds, "labels": labels}
        for key, names in (("zones", zones), ("kinds", kinds), ("labels", labels or None)):
            if names is not None:
                parts.append(f"{key}={','.join(sorted(names))}")
    if route is not None and 0 < route.deadline_us < grade.deadline_us:
        changes["deadline_us"] = route.deadline_us
        changes["aim_us"] = min(grade.aim_us, route.deadline_us)
        parts.append(f"deadline={route.deadline_us}us")
    attempts = (route.attempts if route is not None else 0) if rule.retries else 1
    if attempts:
        changes["max_attempts"] = attempts
        parts.append(f"attempts={attempts}")
    if not rule.copies and grade.copies:
        changes["copies"] = False
        parts.append("copies=no")
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
    rules: Mapping[str, ClassRule] | None = None,
) -> Plan:
    """Compile routes. Raises KeyError for a class or pool that is not there and `TableError` for no table."""
    rules = rules or {}
    classes = {c.name: c for c in settings.classes}
    by_default = {name: variant(c, None, None, rules.get(name, FREE)) for name, c in classes.items()}
    grades = {
        r.name: variant(classes[r.grade], r, pools[r.pool] if r.pool else None, rules.get(r.grade, FREE))
        for r in routes
    }
    first_part = {name.encode(): c for name, c in by_default.items()}
    for alias, name in (aliases or {}).items():
        first_part.setdefault(alias.encode(), by_default[name])
    variants = {c.name: c for c in (*by_default.values(), *grades.values()) if c.variant_of}
    return Plan(
        dataclasses.replace(settings, classes=(*settings.classes, *variants.values())),
        default,
        Table(routes) if routes else None,
        grades,
        first_part,
        frozenset(name.encode() for route in routes for name, _ in route.headers),
        {c.name: c.deadline_us for c in variants.values() if c.deadline_us < classes[c.variant_of].deadline_us},
    )
