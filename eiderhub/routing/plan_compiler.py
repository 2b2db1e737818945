"""Compiles routes and pools into a plan.

A route's pool and limits become a variant of its class, so that only the decision module has to enforce them: it
selects endpoints from the pool, counts attempts and learns the pool's concurrency limit as for any class that is
restricted to some endpoints.
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
    """Which endpoints belong to a pool; None or empty does not restrict them."""

    name: str
    zones: frozenset[str] | None = None
    kinds: frozenset[str] | None = None
    labels: frozenset[str] = frozenset()


def _intersection(own: frozenset[str] | None, pool: frozenset[str] | None) -> frozenset[str] | None:
    """Return the values that both allow; None allows all."""
    if own is None or pool is None:
        return pool if own is None else own
    return own & pool


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What an operator allows for a whole class."""

    retries: bool = True
    hedging: bool = True


UNRESTRICTED = ClassRule()


def variant(
    request_class: RequestClass, route: Route | None, pool: PoolRule | None, rule: ClassRule = UNRESTRICTED
) -> RequestClass:
    """Return the class as restricted by a route, a pool and a rule; the class itself if nothing restricts it.

    The variant's name contains all restrictions, so that variants with equal names are equal.
    """
    restrictions = []
    changes: dict[str, object] = {}
    if pool is not None:
        zones, kinds = (
            _intersection(request_class.allowed_zones, pool.zones),
            _intersection(request_class.allowed_machine_kinds, pool.kinds),
        )
        labels = request_class.labels | pool.labels
        changes |= {"allowed_zones": zones, "allowed_machine_kinds": kinds, "labels": labels}
        for key, names in (("zones", zones), ("kinds", kinds), ("labels", labels or None)):
            if names is not None:
                restrictions.append(f"{key}={','.join(sorted(names))}")
    if route is not None and 0 < route.deadline_us < request_class.deadline_us:
        changes["deadline_us"] = route.deadline_us
        changes["objective_us"] = min(request_class.objective_us, route.deadline_us)
        restrictions.append(f"deadline={route.deadline_us}us")
    attempts = (route.attempts if route is not None else 0) if rule.retries else 1
    if attempts:
        changes["max_attempts"] = attempts
        restrictions.append(f"attempts={attempts}")
    if not rule.hedging and request_class.may_hedge:
        changes["may_hedge"] = False
        restrictions.append("copies=no")
    if not restrictions:
        return request_class
    name = f"{request_class.name}[{' '.join(restrictions)}]"
    return dataclasses.replace(request_class, name=name, variant_of=request_class.name, **changes)  # type: ignore[arg-type]


def compile_plan(
    settings: Settings,
    routes: Sequence[Route],
    pools: Mapping[str, PoolRule],
    default: str = FIRST_PART,
    aliases: Mapping[str, str] | None = None,
    rules: Mapping[str, ClassRule] | None = None,
) -> Plan:
    """Compile routes into a plan; aliases map further first segments to class names.

    Raises KeyError for an unknown class or pool, and `TableError`.
    """
    rules = rules or {}
    classes = {c.name: c for c in settings.classes}
    default_classes = {name: variant(c, None, None, rules.get(name, UNRESTRICTED)) for name, c in classes.items()}
    classes_by_route = {
        r.name: variant(
            classes[r.class_name], r, pools[r.pool] if r.pool else None, rules.get(r.class_name, UNRESTRICTED)
        )
        for r in routes
    }
    classes_by_first_segment = {name.encode(): c for name, c in default_classes.items()}
    for alias, name in (aliases or {}).items():
        classes_by_first_segment.setdefault(alias.encode(), default_classes[name])
    variants = {c.name: c for c in (*default_classes.values(), *classes_by_route.values()) if c.variant_of}
    return Plan(
        dataclasses.replace(settings, classes=(*settings.classes, *variants.values())),
        default,
        RouteTable(routes) if routes else None,
        classes_by_route,
        classes_by_first_segment,
        frozenset(name.encode() for route in routes for name, _ in route.headers),
        {c.name: c.deadline_us for c in variants.values() if c.deadline_us < classes[c.variant_of].deadline_us},
    )
