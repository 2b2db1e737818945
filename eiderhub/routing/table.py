"""Routes, their order of precedence, and the table that finds the route of a request.

The order is total and does not depend on positions in the file. Of the routes that match a request, the first one in
this order is used:

1. path, from the left: a literal segment before `{name}`, and either before the end of a prefix (`/*`);
2. more conditions (tenant, method, protocol, service, call, headers, query values) before fewer;
3. the names of the conditions, in the order of `condition_order`, and then their values.

If a route matches a subset of another one's requests, 1 and 2 suffice to prefer it. If two routes overlap and neither
is more specific, 3 would be an arbitrary choice, so the checker rejects such a pair (`routing.conflicts`).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from eiderhub.routing.request_target import RequestAttributes, query_values, segments_of

MAX_ROUTES = 10_000  # per table; routes take little memory, but a file with more was probably made by mistake
MAX_SHAPES = 16  # different sets of condition names at one path; each costs a dictionary look-up per request

# The attribute that a condition compares: ("tenant",), ("method",), ("header", name) and so on.
Condition = tuple[str, ...]
UNNAMED_CONDITIONS = ("tenant", "method", "protocol", "service", "call")  # conditions without a name
ANY_SEGMENT = b"{}"  # in a pattern: matches one segment
ANY_SUFFIX = b"*"  # at the end of a pattern: matches any number of segments


class Pattern(NamedTuple):
    """A pattern of paths: segments in lower case, or `ANY_SEGMENT`, and whether further segments may follow."""

    segments: tuple[bytes, ...]
    is_prefix: bool

    def __str__(self) -> str:
        text = "/" + b"/".join(self.segments).decode("ascii")
        return text.rstrip("/") + "/*" if self.is_prefix else text


ANY_PATH = Pattern((), True)


@dataclass(frozen=True, slots=True)
class Route:
    """One route. Conditions that are None or empty match every request."""

    name: str
    class_name: str
    pattern: Pattern = ANY_PATH
    methods: frozenset[str] = frozenset()
    protocol: str | None = None
    tenant: str | None = None
    service: str | None = None
    call: str | None = None
    headers: tuple[tuple[str, str], ...] = ()  # names in lower case
    query: tuple[tuple[str, str], ...] = ()
    pool: str | None = None
    deadline_us: int = 0  # 0: as the class
    attempts: int = 0  # 0: as the settings allow

    def outcome(self) -> tuple[str, str | None, int, int]:
        """Return the class, pool, deadline and attempts that matching requests get."""
        return self.class_name, self.pool, self.deadline_us, self.attempts

    def conditions(self) -> dict[Condition, str]:
        """Return the required values, except for the path and the methods."""
        conditions: dict[Condition, str] = {}
        for key in ("tenant", "protocol", "service", "call"):
            value = getattr(self, key)
            if value is not None:
                conditions[(key,)] = value
        conditions.update({("header", name): value for name, value in self.headers})
        conditions.update({("query", name): value for name, value in self.query})
        return conditions

    def entries(self) -> Iterator[dict[Condition, str]]:
        """Yield the conditions, once for each method that the route names."""
        base = self.conditions()
        if not self.methods:
            yield base
        for method in sorted(self.methods):
            yield {**base, ("method",): method}


def condition_order(condition: Condition) -> tuple[int, Condition]:
    """Return the sort key of a condition: those without a name first, then headers and query values by name."""
    return (
        UNNAMED_CONDITIONS.index(condition[0]) if condition[0] in UNNAMED_CONDITIONS else len(UNNAMED_CONDITIONS),
        condition,
    )


Shape = tuple[Condition, ...]  # the condition names of a route, in the order of `condition_order`


Group = tuple[Shape, dict[tuple[str, ...], Route]]  # routes with the same condition names, by the required values


class _Node:
    """One node of the path tree. Most nodes have few children, so an empty dictionary of literals is shared."""

    __slots__ = ("any_segment", "exact", "literals", "prefixed")

    def __init__(self) -> None:
        self.literals: dict[bytes, _Node] = _NO_LITERALS
        self.any_segment: _Node | None = None
        self.exact: tuple[Group, ...] = ()  # routes whose path ends here
        self.prefixed: tuple[Group, ...] = ()  # routes whose prefix ends here


_NO_LITERALS: dict[bytes, _Node] = {}


class TableError(ValueError):
    """The routes can't be compiled: two are equal, or there are too many routes or shapes."""


class RouteTable:
    """Compiled routes. A look-up follows the request's path in a tree and tries the shapes at each matching node."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = tuple(routes)
        if len(self.routes) > MAX_ROUTES:
            raise TableError(f"{len(self.routes)} routes; at most {MAX_ROUTES} are allowed")
        self._root = _Node()
        self._query_names = frozenset(name for r in self.routes for name, _ in r.query)
        for route in self.routes:
            self._insert(route)

    def _insert(self, route: Route) -> None:
        node = self._root
        for segment in route.pattern.segments:
            if segment == ANY_SEGMENT:
                node.any_segment = node.any_segment or _Node()
                node = node.any_segment
            else:
                if node.literals is _NO_LITERALS:
                    node.literals = {}
                node = node.literals.setdefault(segment, _Node())
        if route.pattern.is_prefix:
            node.prefixed = _with_route(node.prefixed, route)
        else:
            node.exact = _with_route(node.exact, route)

    def find(self, request: RequestAttributes) -> Route | None:
        """Return the most specific route that matches the request, or None.

        Raises `InvalidTargetError` if a query value that some route looks at is given twice.

        The search is depth first, in the order of precedence. Alternatives to the literal branch are kept in
        `later`, so that the usual request, which matches in its first branch, needs no backtracking.
        """
        query = query_values(request.query, self._query_names) if self._query_names and request.query else {}
        segments = [segment.lower() for segment in request.segments]
        end = len(segments)
        later: list[tuple[_Node, int]] = []  # nodes to continue at, with the next segment's index; -1: only prefixes
        node: _Node | None = self._root
        index = 0
        while True:
            if node is None:
                if not later:
                    return None
                node, index = later.pop()
            if 0 <= index < end:
                if node.prefixed:
                    later.append((node, -1))
                if node.any_segment is not None:
                    later.append((node.any_segment, index + 1))
                node = node.literals.get(segments[index])
                index += 1
                continue
            # A path that ends here matches the node's exact routes first, and then its prefixes.
            route = _first_match(node.exact, request, query) if index >= 0 else None
            if route is None and node.prefixed:
                route = _first_match(node.prefixed, request, query)
            if route is not None:
                return route
            node = None


def _with_route(groups: tuple[Group, ...], route: Route) -> tuple[Group, ...]:
    """Return a node's groups with a route added, in the order in which they are tried. Raises `TableError`."""
    for conditions in route.entries():
        shape = tuple(sorted(conditions, key=condition_order))
        values = tuple(conditions[key] for key in shape)
        group = next((routes for known, routes in groups if known == shape), None)
        if group is None:
            if len(groups) == MAX_SHAPES:
                raise TableError(f"{route.pattern}: more than {MAX_SHAPES} sets of conditions at one path")
            group = {}
            groups = tuple(sorted((*groups, (shape, group)), key=_group_order))
        existing = group.setdefault(values, route)
        if existing is not route:
            raise TableError(f"routes {existing.name!r} and {route.name!r} match the same requests")
    return groups


def _group_order(group: Group) -> tuple[int, list[tuple[int, Condition]]]:
    return -len(group[0]), [condition_order(condition) for condition in group[0]]


def _first_match(groups: tuple[Group, ...], request: RequestAttributes, query: Mapping[str, str]) -> Route | None:
    for shape, group in groups:
        if not shape:
            return group[()]
        values = []
        for condition in shape:
            value = value_of(condition, request, query)
            if value is None:
                break
            values.append(value)
        else:
            route = group.get(tuple(values))
            if route is not None:
                return route
    return None


def value_of(condition: Condition, request: RequestAttributes, query: Mapping[str, str]) -> str | None:
    """Return the request's value for a condition, or None if it has none."""
    kind = condition[0]
    if kind == "method":
        return request.method
    if kind == "tenant":
        return request.tenant
    if kind == "header":
        value = request.headers.get(condition[1].encode("latin-1"))
        return None if value is None else value.decode("latin-1")
    if kind == "query":
        return query.get(condition[1])
    if kind == "protocol":
        return request.protocol
    return request.service if kind == "service" else request.call


def parse_pattern(text: str) -> Pattern:
    """Parse a pattern of the operator's file: `/a/b`, `/a/{id}/b`, `/a/*`. Raises ValueError with the reason."""
    is_prefix = text == "/*" or text.endswith("/*")
    path = text[:-2] or "/" if is_prefix else text
    without_braces = path.replace("{", "").replace("}", "")
    try:
        segments_of(without_braces.encode("utf-8"))
    except ValueError as error:
        raise ValueError(f"{text!r}: {error}; no request could have this path") from None
    segments = []
    for part in path.strip("/").split("/") if path != "/" else []:
        if "{" in part or "}" in part:
            name = part[1:-1]
            if not (part.startswith("{") and part.endswith("}")) or not name.replace("_", "a").isalnum():
                raise ValueError(f"{text!r}: {part!r} is not a {{name}} that is a whole segment")
            segments.append(ANY_SEGMENT)
        elif "*" in part:
            raise ValueError(f"{text!r}: '*' is allowed only as the last segment of a path")
        else:
            segments.extend(segment.lower() for segment in segments_of(b"/" + part.encode("utf-8")))
    return Pattern(tuple(segments), is_prefix)
