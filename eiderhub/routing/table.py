"""The table of routes: what a route asks of a request, which of two is the more specific, and the look-up.

Order, total and never by place in the file. Of the routes that match, the one wins that comes first by:

1. path, from the left: a literal part before `{name}`, and either before the end of a prefix (`/*`);
2. more conditions (tenant, method, protocol, service, call, headers, query values) before fewer;
3. the names of the conditions, in the order of `Condition` keys, and then their values.

Where one route's requests are all another's too, 1 and 2 alone let the narrower win. Where two overlap and neither
is the narrower, rule 3 would decide by accident: the checker refuses such a pair (`routing.conflicts`).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from eiderhub.routing.request_target import RequestAttributes, query_values, segments_of

MAX_ROUTES = 10_000  # of one table: a few bytes each, but a file past this was made by mistake
MAX_SHAPES = 16  # sets of conditions at one path: each costs a look in a dictionary for each request

# What a condition looks at: ("tenant",), ("method",), ("header", name) and the like.
Condition = tuple[str, ...]
PLAIN = ("tenant", "method", "protocol", "service", "call")  # conditions that carry no name of their own
ANY_SEGMENT = b"{}"  # in a pattern: any one part
ANY_SUFFIX = b"*"  # in a pattern, at its end: nothing, or any parts


class Pattern(NamedTuple):
    """A path's pattern: literal parts in lower case, `PARAM` for any, and whether it is a prefix."""

    segments: tuple[bytes, ...]
    is_prefix: bool

    def __str__(self) -> str:
        text = "/" + b"/".join(self.segments).decode("ascii")
        return text.rstrip("/") + "/*" if self.is_prefix else text


ANY_PATH = Pattern((), True)


@dataclass(frozen=True, slots=True)
class Route:
    """One route. Conditions that are None or empty ask nothing."""

    name: str
    class_name: str  # the class
    pattern: Pattern = ANY_PATH
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
        return self.class_name, self.pool, self.deadline_us, self.attempts

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


def condition_order(condition: Condition) -> tuple[int, Condition]:
    """Where a condition stands in the order: the plain ones first, then headers and query values by name."""
    return (PLAIN.index(condition[0]) if condition[0] in PLAIN else len(PLAIN), condition)


Shape = tuple[Condition, ...]


Group = tuple[Shape, dict[tuple[str, ...], Route]]  # routes that ask for the same things, by what they ask of them


class _Node:
    """One place in the tree of paths. Most have only one of these: what is empty is shared."""

    __slots__ = ("exact", "literals", "param", "rest")

    def __init__(self) -> None:
        self.literals: dict[bytes, _Node] = _NO_LITERALS
        self.param: _Node | None = None
        self.exact: tuple[Group, ...] = ()
        self.rest: tuple[Group, ...] = ()


_NO_LITERALS: dict[bytes, _Node] = {}


class TableError(ValueError):
    """Routes that make no table: two that ask the same, or too many of something."""


class RouteTable:
    """Routes, compiled once. A look-up walks the request's path and tries the few shapes that stand there."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = tuple(routes)
        if len(self.routes) > MAX_ROUTES:
            raise TableError(f"{len(self.routes)} routes; {MAX_ROUTES} are the most")
        self._root = _Node()
        self._queries = frozenset(name for r in self.routes for name, _ in r.query)
        for route in self.routes:
            self._place(route)

    def _place(self, route: Route) -> None:
        node = self._root
        for part in route.pattern.segments:
            if part == ANY_SEGMENT:
                node.param = node.param or _Node()
                node = node.param
            else:
                if node.literals is _NO_LITERALS:
                    node.literals = {}
                node = node.literals.setdefault(part, _Node())
        if route.pattern.is_prefix:
            node.rest = _with(node.rest, route)
        else:
            node.exact = _with(node.exact, route)

    def find(self, asked: RequestAttributes) -> Route | None:
        """The most specific route that takes the request, or None. Raises `target.Refused` on two query values.

        Depth first, in the stated order. What comes after the literal branch waits in `later`, so that the usual
        request, which its first branch takes, goes straight down.
        """
        query = query_values(asked.query, self._queries) if self._queries and asked.query else {}
        parts = [part.lower() for part in asked.segments]
        end = len(parts)
        later: list[tuple[_Node, int]] = []  # nodes to go on from, with the part that comes next; -1: a prefix's end
        node: _Node | None = self._root
        at = 0
        while True:
            if node is None:
                if not later:
                    return None
                node, at = later.pop()
            if 0 <= at < end:
                if node.rest:
                    later.append((node, -1))
                if node.param is not None:
                    later.append((node.param, at + 1))
                node = node.literals.get(parts[at])
                at += 1
                continue
            # A path that ends here may be the node's own, or one that a prefix ends with.
            found = _first(node.exact, asked, query) if at >= 0 else None
            if found is None and node.rest:
                found = _first(node.rest, asked, query)
            if found is not None:
                return found
            node = None


def _with(groups: tuple[Group, ...], route: Route) -> tuple[Group, ...]:
    """The groups of one place with a route more, in the order in which they are tried. Raises `TableError`."""
    for conditions in route.entries():
        shape = tuple(sorted(conditions, key=condition_order))
        values = tuple(conditions[key] for key in shape)
        group = next((found for known, found in groups if known == shape), None)
        if group is None:
            if len(groups) == MAX_SHAPES:
                raise TableError(f"{route.pattern}: over {MAX_SHAPES} sets of conditions at one path")
            group = {}
            groups = tuple(sorted((*groups, (shape, group)), key=_group_order))
        taken = group.setdefault(values, route)
        if taken is not route:
            raise TableError(f"routes {taken.name!r} and {route.name!r} ask the same")
    return groups


def _group_order(group: Group) -> tuple[int, list[tuple[int, Condition]]]:
    return -len(group[0]), [condition_order(condition) for condition in group[0]]


def _first(groups: tuple[Group, ...], asked: RequestAttributes, query: Mapping[str, str]) -> Route | None:
    for shape, group in groups:
        if not shape:
            return group[()]
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


def value_of(condition: Condition, asked: RequestAttributes, query: Mapping[str, str]) -> str | None:
    """What the request has where a condition looks; None: nothing."""
    kind = condition[0]
    if kind == "method":
        return asked.method
    if kind == "tenant":
        return asked.tenant
    if kind == "header":
        value = asked.headers.get(condition[1].encode("latin-1"))
        return None if value is None else value.decode("latin-1")
    if kind == "query":
        return query.get(condition[1])
    if kind == "protocol":
        return asked.protocol
    return asked.service if kind == "service" else asked.call


def parse_pattern(text: str) -> Pattern:
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
            parts.append(ANY_SEGMENT)
        elif "*" in part:
            raise ValueError(f"{text!r}: '*' stands only for the rest of a path, at its end")
        else:
            parts.extend(segment.lower() for segment in segments_of(b"/" + part.encode("utf-8")))
    return Pattern(tuple(parts), prefix)
