"""From routes and pools to a plan: classes, and a narrower form of each for what the routes narrow.

A route's pool and limits become a variant of its class, so that the module, and nothing else, keeps them: it draws
endpoints from the pool, counts attempts and learns the pool's cap like those of any class bound to endpoints.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from eiderhub.interface import RequestClass, Settings
from eiderhub.routing.plan import FIRST_PART, Plan
from eiderhub.routing.table import Route, RouteTable


@dataclass(frozen=True, slots=True)
class PoolRule:
    """Which endpoints belong to a pool; None or empty asks nothing."""

    name: str
    zones: frozenset[str] | None = None
    kinds: frozenset[str] | None = None
    labels: frozenset[str] = frozenset()


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


def variant(
    request_class: RequestClass, route: Route | None, pool: PoolRule | None, rule: ClassRule = FREE
) -> RequestClass:
    """The class as a rule and a route narrow it, under a name that tells all of it: equal names, equal variants."""
    parts = []
    changes: dict[str, object] = {}
    if pool is not None:
        zones, kinds = (
            _narrowed(request_class.allowed_zones, pool.zones),
            _narrowed(request_class.allowed_machine_kinds, pool.kinds),
        )
        labels = request_class.labels | pool.labels
        changes |= {"allowed_zones": zones, "allowed_machine_kinds": kinds, "labels": labels}
        for key, names in (("zones", zones), ("kinds", kinds), ("labels", labels or None)):
            if names is not None:
                parts.append(f"{key}={','.join(sorted(names))}")
    if route is not None and 0 < route.deadline_us < request_class.deadline_us:
        changes["deadline_us"] = route.deadline_us
        changes["objective_us"] = min(request_class.objective_us, route.deadline_us)
        parts.append(f"deadline={route.deadline_us}us")
    attempts = (route.attempts if route is not None else 0) if rule.retries else 1
    if attempts:
        changes["max_attempts"] = attempts
        parts.append(f"attempts={attempts}")
    if not rule.copies and request_class.may_hedge:
        changes["may_hedge"] = False
        parts.append("copies=no")
    if not parts:
        return request_class
    name = f"{request_class.name}[{' '.join(parts)}]"
    return dataclasses.replace(request_class, name=name, variant_of=request_class.name, **changes)  # type: ignore[arg-type]


def compile_plan(
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
        r.name: variant(classes[r.class_name], r, pools[r.pool] if r.pool else None, rules.get(r.class_name, FREE))
        for r in routes
    }
    first_part = {name.encode(): c for name, c in by_default.items()}
    for alias, name in (aliases or {}).items():
        first_part.setdefault(alias.encode(), by_default[name])
    variants = {c.name: c for c in (*by_default.values(), *grades.values()) if c.variant_of}
    return Plan(
        dataclasses.replace(settings, classes=(*settings.classes, *variants.values())),
        default,
        RouteTable(routes) if routes else None,
        grades,
        first_part,
        frozenset(name.encode() for route in routes for name, _ in route.headers),
        {c.name: c.deadline_us for c in variants.values() if c.deadline_us < classes[c.variant_of].deadline_us},
    )
