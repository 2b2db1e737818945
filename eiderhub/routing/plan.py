"""How a sidecar tells the classes of its requests: by the first part of the path, or by a compiled table of routes.

A sidecar without routes needs nothing else of this package.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from eiderhub.interface import Effect, RequestClass, Settings
from eiderhub.routing.request_target import RequestAttributes, first_part_of

if TYPE_CHECKING:
    from eiderhub.routing.table import RouteTable  # the module is there where there are routes

FIRST_PART, REFUSE = "first-part", "refuse"  # what takes a request that no route takes

# PROTOCOL: the method follows from the class.
METHOD = {Effect.IDEMPOTENT: "GET", Effect.DEDUPLICATED: "POST", Effect.AT_MOST_ONCE: "POST"}


@dataclass(frozen=True, slots=True)
class Plan:
    """How requests are told apart. Made whole, swapped whole."""

    settings: Settings  # with the variants among its classes
    default: str = FIRST_PART
    table: RouteTable | None = None
    classes_by_route: Mapping[str, RequestClass] = field(default_factory=dict)  # by the route's name
    classes_by_first_segment: Mapping[bytes, RequestClass] = field(default_factory=dict)  # classes and their aliases
    routed_headers: frozenset[bytes] = frozenset()  # in lower case: those that some route looks at
    deadline_limits_us: Mapping[str, int] = field(
        default_factory=dict
    )  # deadlines that routes make tighter, by variant

    @property
    def variants(self) -> list[RequestClass]:
        return [c for c in self.settings.classes if c.variant_of]

    def class_at_path(self, path: bytes) -> RequestClass | None:
        """As `grade` where there are no routes: nothing but the path is looked at. Raises `target.Refused`."""
        first = first_part_of(path)
        return None if self.default == REFUSE else self.classes_by_first_segment.get(first)

    def class_of(self, asked: RequestAttributes) -> RequestClass | None:
        """The class of a request, or its variant; None where nothing takes it. Raises `target.Refused`."""
        if self.table is not None:
            route = self.table.find(asked)
            if route is not None:
                return self.classes_by_route[route.name]
        if self.default == REFUSE or not asked.segments:
            return None
        return self.classes_by_first_segment.get(asked.segments[0])


def default_plan(settings: Settings) -> Plan:
    """Today's rule alone: the first part of the path is the class."""
    return Plan(settings, classes_by_first_segment={c.name.encode(): c for c in settings.classes})
