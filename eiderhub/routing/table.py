"""The table of routes: what a route asks of a request, which of two is the more specific, and the look-up.

Order, total and never by place in the file. Of the routes that match, the one wins that comes first by:

1. path, from the left: a literal part before `{name}`, and either before the end of a prefix (`/*`);
2. more conditions (tenant, method, protocol, service, call, headers, query values) before fewer;
3. the names of the conditions, in the order of `Condition` keys, and then their values.

Where one route's requests are all another's too, 1 and 2 alone let the narrower win. Where two overlap and neither
is the narrower, rule 3 would decide by accident: the checker refuses such a pair (`routing.conflicts`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from eiderhub.routing.target import query_values, segments_of

MAX_ROUTES = 10_000  # of one table: a few bytes each, but a file past this was made by mistake
MAX_SHAPES = 16  # sets of conditions at one path: each costs a look in a dictionary for each request

# What a condition looks at: ("tenant",), ("method",), ("header", name) and the like.
Condition = tuple[str, ...]
PLAIN = ("tenant", "method", "protocol", "service", "call")  # conditions that carry no name of their own
PARAM = b"{}"  # in a pattern: any one part
REST = b"*"  # in a pattern, at its end: nothing, or any parts


class Pattern(NamedTuple):
    """A path's pattern: literal parts in lower case, `PARAM` for any, and whether it is a prefix."""

    parts: tuple[bytes, ...]
    prefix: bool

    def __str__(self) -> str:
        text = "/" + b"/".join(self.parts).decode("ascii")
        return text.rstrip("/") + "/*" if self.prefix else text


EVERYTHING = Pattern((), True)


@dataclass(frozen=True, slots=True)
class Route:
    """One route. Conditions that are None or empty ask nothing."""

    name: str
    grade: str  # the class
    pattern: Pattern = EVERYTHING
    methods: frozenset[str] = frozenset()
    protocol: str | None = None
    tenant: str | None = None
    service: str | None = None
    call: str | None = None
    headers: tuple[tuple[str, str], ...] = ()  # names in lower case
    query: tuple[tuple[str, str], ...] = ()
    pool: str | None = None
    deadline_us: int = 0  # 0: the class's own
    attempts: int = 0  # 0: the site's

    def outcome(self) -> tuple[str, str | None, int, int]:
        """What it does with a request."""
        return self.grade, self.pool, self.deadline_us, self.attempts

    def conditions(self) -> dict[Condition, str]:
        """What it asks beside path and method."""
        found: dict[Condition, str] = {}
        for key in ("tenant", "protocol", "service", "call"):
            value = getattr(self, key)
            if value is not None:
                found[(key,)] = value
        found.update({("header", name): value for name, value in self.headers})
        found.update({("query", name): value for name, value in self.query})
        return found

    def entries(self) -> Iterator[dict[Condition, str]]:
        """Its conditions, once for each method that it names."""
        base = self.conditions()
        if not self.methods:
            yield base
        for method in sorted(self.methods):
            yield {**base, ("method",): method}


class Asked:
    """A request as a route sees it. `header` and `query` are read only where some route asks for them."""

    __slots__ = ("call", "header", "method", "protocol", "query", "segments", "service", "tenant")

    def __init__(
        self,
        protocol: str,
        method: str = "",
        segments: tuple[bytes, ...] = (),
        header: Callable[[str], str | None] = lambda name: None,
        query: bytes = b"",
        tenant: str | None = None,
        service: str | None = None,
        call: str | None = None,
    ) -> None:
        self.protocol = protocol
        self.method = method
        self.segments = segments
        self.header = header
        self.query = query
        self.tenant = tenant
        self.service = service
        self.call = call


def condition_order(condition: Condition) -> tuple[int, Condition]:
    """Where a condition stands in the order: the plain ones first, then headers and query values by name."""
    return (PLAIN.index(condition[0]) if condition[0] in PLAIN else len(PLAIN), condition)


Shape = tuple[Condition, ...]


class _Node:
    """One place in the tree of paths."""

    __slots__ = ("exact", "literals", "param", "rest")

    def __init__(self) -> None:
        self.literals: dict[bytes, _Node] = {}
        self.param: _Node | None = None
        self.exact: list[tuple[Shape, dict[tuple[str, ...], Route]]] = []
        self.rest: list[tuple[Shape, dict[tuple[str, ...], Route]]] = []


class TableError(ValueError):
    """Routes that make no table: two that ask the same, or too many of something."""


class Table:
    """Routes, compiled once. A look-up walks the request's path and tries the few shapes that stand there."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = tuple(routes)
        if len(self.routes) > MAX_ROUTES:
            raise TableError(f"{len(self.routes)} routes; {MAX_ROUTES} are the most")
        self._root = _Node()
        self._queries = frozenset(name for r in self.routes for name, _ in r.query)
        for route in self.routes:
            self._place(route)
        self._sort()

    def _place(self, route: Route) -> None:
        node = self._root
        for part in route.pattern.parts:
            if part == PARAM:
                node.param = node.param or _Node()
                node = node.param
            else:
                node = node.literals.setdefault(part, _Node())
        shapes = node.rest if route.pattern.prefix else node.exact
        for conditions in route.entries():
            shape = tuple(sorted(conditions, key=condition_order))
            values = tuple(conditions[key] for key in shape)
            group = next((found for known, found in shapes if known == shape), None)
            if group is None:
                group = {}
                shapes.append((shape, group))
            if len(shapes) > MAX_SHAPES:
                raise TableError(f"{route.pattern}: over {MAX_SHAPES} sets of conditions at one path")
            taken = group.setdefault(values, route)
            if taken is not route:
                raise TableError(f"routes {taken.name!r} and {route.name!r} ask the same")

    def _sort(self) -> None:
        nodes = [self._root]
        while nodes:
            node = nodes.pop()
            for shapes in (node.exact, node.rest):
                shapes.sort(key=lambda item: (-len(item[0]), [condition_order(c) for c in item[0]]))
            nodes += node.literals.values()
            if node.param is not None:
                nodes.append(node.param)

    def find(self, asked: Asked) -> Route | None:
        """The most specific route that takes the request, or None. Raises `target.Refused` on two query values."""
        values = query_values(asked.query, self._queries) if self._queries and asked.query else {}
        parts = tuple([part.lower() for part in asked.segments])
        return self._walk(self._root, parts, 0, asked, values)

    def _walk(
        self, node: _Node, parts: tuple[bytes, ...], at: int, asked: Asked, query: Mapping[str, str]
    ) -> Route | None:
        if at == len(parts):
            found = _first(node.exact, asked, query)
            if found is not None:
                return found
        else:
            child = node.literals.get(parts[at])
            if child is not None:
                found = self._walk(child, parts, at + 1, asked, query)
                if found is not None:
                    return found
            if node.param is not None:
                found = self._walk(node.param, parts, at + 1, asked, query)
                if found is not None:
                    return found
        return _first(node.rest, asked, query) if node.rest else None


def _first(
    shapes: list[tuple[Shape, dict[tuple[str, ...], Route]]], asked: Asked, query: Mapping[str, str]
) -> Route | None:
    for shape, group in shapes:
        values = []
        for condition in shape:
            value = value_of(condition, asked, query)
            if value is None:
                break
            values.append(value)
        else:
            found = group.get(tuple(values))
            if found is not None:
                return found
    return None


def value_of(condition: Condition, asked: Asked, query: Mapping[str, str]) -> str | None:
    """What the request has where a condition looks; None: nothing."""
    kind = condition[0]
    if kind == "method":
        return asked.method
    if kind == "tenant":
        return asked.tenant
    if kind == "header":
        return asked.header(condition[1])
    if kind == "query":
        return query.get(condition[1])
    if kind == "protocol":
        return asked.protocol
    return asked.service if kind == "service" else asked.call


def read_pattern(text: str) -> Pattern:
    """A pattern as the operator's file writes it: `/a/b`, `/a/{id}/b`, `/a/*`. Raises ValueError saying why."""
    prefix = text == "/*" or text.endswith("/*")
    body = text[:-2] or "/" if prefix else text
    shown = body.replace("{", "").replace("}", "")
    try:
        segments_of(shown.encode("utf-8"))
    except ValueError as error:
        raise ValueError(f"{text!r}: {error}; no request could have this path") from None
    parts = []
    for part in body.strip("/").split("/") if body != "/" else []:
        if "{" in part or "}" in part:
            inner = part[1:-1]
            if not (part.startswith("{") and part.endswith("}")) or not inner.replace("_", "a").isalnum():
                raise ValueError(f"{text!r}: {part!r} is no {{name}} that fills a whole part")
            parts.append(PARAM)
        elif "*" in part:
            raise ValueError(f"{text!r}: '*' stands only for the rest of a path, at its end")
        else:
            parts.extend(segment.lower() for segment in segments_of(b"/" + part.encode("utf-8")))
    return Pattern(tuple(parts), prefix)
