"""The plan that gives each request its class: by the first segment of the path, or by a compiled table of routes.

A sidecar without routes imports nothing else of this package, except for `request_target`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from eiderhub.interface import Effect, RequestClass, Settings
from eiderhub.routing.request_target import RequestAttributes, first_segment_of

if TYPE_CHECKING:
    from eiderhub.routing.table import RouteTable  # at run time it is imported only if there are routes

FIRST_PART, REFUSE = "first-part", "refuse"  # what happens to requests that match no route

# The platform's HTTP protocol: the method depends on the class's effect.
METHOD = {Effect.IDEMPOTENT: "GET", Effect.DEDUPLICATED: "POST", Effect.AT_MOST_ONCE: "POST"}


@dataclass(frozen=True, slots=True)
class Plan:
    """Maps requests to classes. A plan is immutable; a reload replaces it as a whole."""

    settings: Settings  # its classes include the variants
    default: str = FIRST_PART
    table: RouteTable | None = None
    classes_by_route: Mapping[str, RequestClass] = field(default_factory=dict)  # by the name of the route
    classes_by_first_segment: Mapping[bytes, RequestClass] = field(default_factory=dict)  # with aliases
    routed_headers: frozenset[bytes] = frozenset()  # names in lower case, of all routes
    deadline_limits_us: Mapping[str, int] = field(default_factory=dict)  # shorter deadlines of variants, by name

    @property
    def variants(self) -> list[RequestClass]:
        return [c for c in self.settings.classes if c.variant_of]

    def class_at_path(self, path: bytes) -> RequestClass | None:
        """Return the class of a request with this path, for plans without routes. Raises `InvalidTargetError`."""
        segment = first_segment_of(path)
        return None if self.default == REFUSE else self.classes_by_first_segment.get(segment)

    def class_of(self, request: RequestAttributes) -> RequestClass | None:
        """Return the class or variant of a request, or None if nothing matches. Raises `InvalidTargetError`."""
        if self.table is not None:
            route = self.table.find(request)
            if route is not None:
                return self.classes_by_route[route.name]
        if self.default == REFUSE or not request.segments:
            return None
        return self.classes_by_first_segment.get(request.segments[0])


def default_plan(settings: Settings) -> Plan:
    """Return the plan of a sidecar without routes: the first segment of the path is the class."""
    return Plan(settings, classes_by_first_segment={c.name.encode(): c for c in settings.classes})
