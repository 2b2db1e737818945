"""The tables of the operator's file for routing: `[routing]`, `[classes.NAME]`, `[pools.NAME]` and `[[routes]]`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from eiderhub.interface import Effect, Settings
from eiderhub.routing.conflicts import find_conflicts, intersect, unreachable
from eiderhub.routing.plan import FIRST_PART, METHOD, REFUSE, Plan
from eiderhub.routing.plan_compiler import ClassRule, PoolRule, compile_plan
from eiderhub.routing.table import ANY_SEGMENT, MAX_ROUTES, Pattern, Route, RouteTable, TableError, parse_pattern
from eiderhub.schema.declared_classes import STRICTNESS, DeclaredClass, declared_classes, fold_name
from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.findings import Location
from eiderhub.schema.units import format_duration
from eiderhub.schema.value_types import (
    HOUR_US,
    INVALID,
    NAME_TEXT,
    Choice,
    Duration,
    Flag,
    Int,
    Key,
    ListOf,
    Located,
    MapOf,
    OneOrMore,
    Table,
    Text,
    ValueType,
    did_you_mean,
)
from eiderhub.sidecar.resource_limits import ANSWER_MARGIN_US

HTTP = "http"
PROTOCOLS = (HTTP, "thrift")
# Values of the key `repeat`, and the effect of a class that each stands for.
EFFECT_BY_REPEAT = {"harmless": Effect.IDEMPOTENT, "keyed": Effect.DEDUPLICATED, "never": Effect.AT_MOST_ONCE}
REPEAT_BY_EFFECT = {effect.value: repeat for repeat, effect in EFFECT_BY_REPEAT.items()}
TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}"  # RFC 9110, 5.6.2: methods and names of headers
LABEL = Text(r"[^=\x00-\x1f]{1,128}", "a string without '='")


@dataclass(frozen=True)
class PathText:
    """A path pattern, parsed by the same code as the paths of requests."""

    description: str = 'a path such as "/stock", "/stock/{id}" or "/stock/*"'

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, str):
            location.error(
                "route-path", f"{value!r} is not a string", "The sidecar would not start", f"Write {self.description}"
            )
            return INVALID
        try:
            return parse_pattern(value)
        except ValueError as error:
            location.error("route-path", str(error), "The route would never be reached", f"Write {self.description}")
            return INVALID


ROUTE = Table(
    (
        Key("name", NAME_TEXT, "the route's name, for logs and the tool"),
        Key("class", Text(r".{1,128}", "a class's name"), "the class of its requests"),
        Key("path", PathText(), "exact, with {name} for any segment, or a prefix with /*", Pattern((), True)),
        Key("method", OneOrMore(Text(TOKEN, 'a method such as "GET"')), "the methods that it matches", ()),
        Key("protocol", Choice(PROTOCOLS), "the protocol that it matches", None),
        Key("tenant", Text(r".{1,128}", "a tenant's name"), "the tenant that it matches", None),
        Key("service", Text(r"[^\x00-\x1f]{1,128}", "a service's name"), "the service that it matches", None),
        Key("call", Text(r"[^\x00-\x1f]{1,128}", "a method's name"), "the method of the service that it matches", None),
        Key("headers", MapOf(Text(r"[\x20-\x7e]{0,256}", "a header's value"), TOKEN, 8), "headers that it matches", {}),
        Key("query", MapOf(Text(r"[^\x00-\x1f]{0,256}", "a value"), r".{1,64}", 8), "query values that it matches", {}),
        Key("pool", NAME_TEXT, "the pool of endpoints that serves it", None),
        Key("deadline", Duration(1, HOUR_US), "its deadline, if it is shorter than the class's", 0),
        Key("attempts", Int(1, 100), "its attempts, if they are fewer than the site's", 0),
    )
)
TABLES: dict[str, ValueType] = {
    "routing": Table(
        (
            Key(
                "default",
                Choice((FIRST_PART, REFUSE)),
                "what happens to a request that no route matches: the first part of its path is its class, or 404",
                FIRST_PART,
            ),
        )
    ),
    "classes": MapOf(
        Table(
            (
                Key(
                    "repeat",
                    Choice(tuple(EFFECT_BY_REPEAT)),
                    "what a repeat does; checked against the sidecar's file",
                    None,
                ),
                Key("remembered", Duration(1, HOUR_US), "how long endpoints drop repeated keys", None),
                Key("aliases", OneOrMore(Text(r".{1,128}", "a name")), "further first segments for the class", ()),
                Key("retries", Flag(), "false: only one attempt; true: as the class and the site allow", None),
                Key("second_copies", Flag(), "false: no hedged requests; true: as the class allows", None),
            )
        ),
        r"[^\x00-\x1f]{1,128}",
    ),
    "pools": MapOf(
        Table(
            (
                Key("zones", OneOrMore(Text(description="a zone's name")), "the zones of its endpoints", None),
                Key("kinds", OneOrMore(Text(description="a kind's name")), "the kinds of its machines", None),
                Key("labels", MapOf(LABEL, r"[^=\x00-\x1f]{1,128}", 16), "labels that its endpoints have", {}),
            )
        )
    ),
    "routes": ListOf(Located(ROUTE), MAX_ROUTES),
}


# --- conversion to a plan ---


def route_of(row: dict[str, Any]) -> Route:
    """Return the route of a converted row of `[[routes]]`."""
    return Route(
        row["name"],
        row["class"],
        row["path"],
        frozenset(row["method"]),
        row["protocol"],
        row["tenant"],
        row["service"],
        row["call"],
        tuple(sorted((name.lower(), value) for name, value in row["headers"].items())),
        tuple(sorted(row["query"].items())),
        row["pool"],
        row["deadline"],
        row["attempts"],
    )


def pool_of(name: str, row: dict[str, Any]) -> PoolRule:
    """Return the pool of a converted table `[pools.NAME]`."""
    return PoolRule(
        name,
        frozenset(row["zones"]) if row["zones"] else None,
        frozenset(row["kinds"]) if row["kinds"] else None,
        frozenset(f"{key}={value}" for key, value in row["labels"].items()),
    )


def make_plan(tables: dict[str, Any], settings: Settings) -> Plan:
    """Return the plan of an operator's file that was checked against these settings."""
    classes = tables.get("classes", {})
    return compile_plan(
        settings,
        [route_of(row) for _, row in tables.get("routes", [])],
        {name: pool_of(name, row) for name, row in tables.get("pools", {}).items()},
        tables.get("routing", {}).get("default", FIRST_PART),
        {alias: name for name, row in classes.items() for alias in row["aliases"]},
        {
            name: ClassRule(row["retries"] is not False, row["second_copies"] is not False)
            for name, row in classes.items()
        },
    )


# --- checks ---


def check(pair: FilePair) -> None:
    """Add findings for errors in valid tables, by themselves and together with the sidecar's file."""
    effects = {row["Name"]: row["Effect"] for row in pair.categories if "Name" in row and "Effect" in row}
    _check_classes(pair, effects)
    _check_pools(pair)
    located_rows = pair.tables.get("routes", [])
    rows, locations = [row for _, row in located_rows], [location for location, _ in located_rows]
    _check_names(rows, locations)
    for row, location in zip(rows, locations, strict=True):
        _check_route(pair, row, location, effects)
    _check_all_routes(pair, rows, locations, effects)


def _check_names(rows: list[dict[str, Any]], locations: list[Location]) -> None:
    seen: set[str] = set()
    for row, location in zip(rows, locations, strict=True):
        if row["name"] in seen:
            (location / "name").error(
                "duplicate", f"the route {row['name']!r} appears twice", "Logs would not distinguish them", "Rename one"
            )
        seen.add(row["name"])


def _check_known(name: str | None, known: set[str], location: Location, code: str, what: str, follows: str) -> bool:
    """Whether the name is None or known; otherwise add a finding."""
    if name is None or name in known:
        return True
    location.error(code, f"there is no {what} {name!r}", follows, did_you_mean(name, known))
    return False


def _check_route(pair: FilePair, row: dict[str, Any], location: Location, effects: dict[str, str]) -> None:
    names = {c["Name"] for c in pair.categories if "Name" in c}
    if pair.document:
        if _check_known(
            row["class"], names, location / "class", "unknown-class", "class", "The sidecar would not start"
        ):
            _check_effect(row, location, effects)
            _check_limits(pair, row, location)
        tenants = {t["Name"] for t in pair.settings.get("Parties") or [] if "Name" in t}
        _check_known(
            row["tenant"], tenants, location / "tenant", "unknown-tenant", "tenant", "No request would match the route"
        )
    pools = set(pair.tables.get("pools", {}))
    _check_known(row["pool"], pools, location / "pool", "unknown-pool", "pool", "The sidecar would not start")
    if row["protocol"] == HTTP and (row["service"] or row["call"]):
        (location / "protocol").error(
            "unreachable", "HTTP requests have no service and no call", "No request would match the route",
            "Remove 'protocol', or 'service' and 'call'",
        )  # fmt: skip
    if row["path"] == Pattern((b"up",), False):
        (location / "path").error(
            "unreachable", "/up reports whether the sidecar is ready", "No request would match the route", "Rename it"
        )


def _check_effect(row: dict[str, Any], location: Location, effects: dict[str, str]) -> None:
    """Check that a route's methods fit its class: a class that is safe to repeat must contain only GET requests."""
    effect = effects.get(row["class"])
    if effect is None or not row["method"]:
        return
    expected = METHOD[Effect(effect)]
    for method in row["method"]:
        if method == expected:
            continue
        if effect == Effect.IDEMPOTENT.value:
            (location / "method").error(
                "unsafe-method",
                f"{method} requests would be of the class {row['class']!r}, which is safe to repeat",
                "A request that may have run would be sent again",
                "Use a class that is keyed or never repeated, or the method GET",
            )
        else:
            (location / "method").error(
                "unreachable",
                f"requests of the class {row['class']!r} have the method {expected}, never {method}",
                "All requests that match the route would be answered 405",
                f'Write method = "{expected}"',
            )


def _check_limits(pair: FilePair, row: dict[str, Any], location: Location) -> None:
    category = next(c for c in pair.categories if c.get("Name") == row["class"])
    allowed = pair.settings.get("Allowed", {})
    max_attempts, connect_us = allowed.get("MaxAttempts", 3), allowed.get("ConnectTimeoutUs", 250_000)
    class_deadline_us = category.get("DeadlineUs")
    if row["deadline"] and class_deadline_us and row["deadline"] > class_deadline_us:
        (location / "deadline").error(
            "wider-limit",
            f"{format_duration(row['deadline'])} is longer than the class's {format_duration(class_deadline_us)}",
            "It would have no effect: a route can only shorten the deadline",
            "Write a shorter deadline, or remove the key",
        )
    if row["deadline"] and row["deadline"] <= ANSWER_MARGIN_US:
        (location / "deadline").error(
            "deadline-too-short",
            f"{format_duration(row['deadline'])}, and answers are due {format_duration(ANSWER_MARGIN_US)} before the "
            "deadline",
            "Every request would be answered 504 immediately",
            "Write a longer deadline",
        )
    if row["attempts"] > max_attempts:
        (location / "attempts").error(
            "wider-limit",
            f"{row['attempts']} attempts, but the site allows {max_attempts}",
            "It would have no effect: a route can only reduce the attempts",
            "Write fewer attempts, or remove the key",
        )
    if (
        row["deadline"]
        and min(row["attempts"] or max_attempts, max_attempts) * connect_us > row["deadline"] > ANSWER_MARGIN_US
    ):
        attempts = min(row["attempts"] or max_attempts, max_attempts)
        (location / ("attempts" if row["attempts"] else "deadline")).error(
            "attempts-do-not-fit",
            f"{attempts} attempts that fail to connect take {format_duration(attempts * connect_us)}, longer than "
            f"{format_duration(row['deadline'])}",
            "The last attempts would never be made",
            f"Write attempts = {max(1, row['deadline'] // connect_us)}, or a longer deadline",
        )


def _check_classes(pair: FilePair, effects: dict[str, str]) -> None:
    if not pair.document:
        return
    windows_us = {row.get("Name"): row.get("DedupWindowUs", 0) for row in pair.categories}
    taken: dict[str, str] = {}
    for name, row in pair.tables.get("classes", {}).items():
        location = pair.operator / "classes" / name
        if not _check_known(name, set(effects), location, "unknown-class", "class", "The table would have no effect"):
            continue
        effect = effects[name]
        declared = EFFECT_BY_REPEAT[row["repeat"]].value if row["repeat"] else None
        if declared and STRICTNESS[effect] < STRICTNESS[declared]:
            (location / "repeat").error(
                "effect-declared",
                f"{name!r} is declared {row['repeat']!r}, but in the sidecar's file it is {REPEAT_BY_EFFECT[effect]!r}",
                "A request that may have run would be sent again",
                f'Write "Effect": "{declared}" in the sidecar\'s file',
            )
        elif declared and declared != effect:
            (location / "repeat").error(
                "effect-weakened",
                f"{name!r} is {REPEAT_BY_EFFECT[effect]!r} in the sidecar's file, but {row['repeat']!r} here",
                "This value would allow repeated requests that the sidecar's file forbids",
                f'Write repeat = "{REPEAT_BY_EFFECT[effect]}"',
            )
        _check_repeats(name, row, effect, windows_us.get(name, 0), location)
        for alias in row["aliases"]:
            _check_alias(alias, name, effects, taken, location / "aliases")


def _check_repeats(name: str, row: dict[str, Any], effect: str, window_us: int, location: Location) -> None:
    if row["remembered"] and effect == Effect.DEDUPLICATED.value and window_us > row["remembered"]:
        (location / "remembered").error(
            "window",
            f"a key is sent again for {format_duration(window_us)}, but endpoints drop it for only "
            f"{format_duration(row['remembered'])}",
            "A later repeat would run a second time",
            f'Write "DedupWindowUs": {row["remembered"]} or less in the sidecar\'s file',
        )
    if row["retries"] and effect == Effect.AT_MOST_ONCE.value:
        (location / "retries").error(
            "unsafe-retry",
            f"retries are enabled for {name!r}, which must never run twice",
            "If it were obeyed, requests that may have run would be sent again",
            "Remove the key: requests that certainly never ran are retried without it",
        )
    if row["second_copies"] and effect != Effect.IDEMPOTENT.value:
        (location / "second_copies").error(
            "unsafe-retry",
            f"hedging is enabled for {name!r}, which is not safe to repeat",
            "If it were obeyed, a request would run twice at the same time",
            "Remove the key, or write false",
        )


def _check_alias(alias: str, name: str, effects: dict[str, str], taken: dict[str, str], location: Location) -> None:
    names_by_fold = {fold_name(known): known for known in effects}
    similar = names_by_fold.get(fold_name(alias))
    if alias in taken or alias in effects:
        location.error(
            "alias",
            f"{alias!r} means {taken.get(alias, alias)!r} already",
            "The other class would get its requests",
            "Use each name for one class only",
        )
    strictness = STRICTNESS[effects[name]]
    known = declared_classes().get(fold_name(alias), DeclaredClass(Effect.IDEMPOTENT))
    required = max(STRICTNESS[known.effect.value], STRICTNESS[effects[similar]] if similar else 0)
    if required > strictness:
        location.error(
            "disguise",
            f"{alias!r} looks like {similar or fold_name(alias)!r}, but {name!r} is a class that is repeated more "
            "freely",
            "A request that must not be repeated would be sent again",
            f"Make it an alias of {similar or fold_name(alias)!r}, or remove it",
        )
    taken[alias] = name


def _check_pools(pair: FilePair) -> None:
    zones, kinds = pair.settings.get("Localities"), pair.settings.get("Kinds")
    for name, row in pair.tables.get("pools", {}).items():
        location = pair.operator / "pools" / name
        if not (row["zones"] or row["kinds"] or row["labels"]):
            location.error(
                "empty-pool", "the pool restricts nothing", "It would contain every endpoint", "Name zones or kinds"
            )
        for key, known in (("zones", zones), ("kinds", kinds)):
            for value in row[key] or ():
                if known and value not in known:
                    (location / key).error(
                        "empty-pool",
                        f"there is no {key[:-1]} {value!r}",
                        "The pool would contain no endpoint for it",
                        did_you_mean(value, known),
                    )


def _check_all_routes(
    pair: FilePair, rows: list[dict[str, Any]], locations: list[Location], effects: dict[str, str]
) -> None:
    routes = [route_of(row) for row in rows]
    for conflict in find_conflicts(routes):
        _report_conflict(routes, locations, conflict.first, conflict.second, conflict.kind, conflict.example)
    if pair.document:
        methods = {name: frozenset((METHOD[Effect(effect)],)) for name, effect in effects.items()}
        tenants = frozenset(t["Name"] for t in pair.settings.get("Parties") or [] if "Name" in t)
        reported = {finding.key.partition(".")[0] for finding in pair.operator.report.errors}
        for i in unreachable(routes, methods, tenants):
            if str(locations[i]) not in reported:
                locations[i].error(
                    "unreachable", "no request can match the route", "It would have no effect", "Remove or correct it"
                )
        _check_disguises(pair, routes, locations, effects)
    try:
        RouteTable(routes)
    except TableError as error:
        if not any(f.code in ("same-match", "duplicate-route") for f in pair.operator.report.errors):
            (pair.operator / "routes").error("table", str(error), "The sidecar would not start", "Use fewer routes")


def _report_conflict(routes: list[Route], locations: list[Location], i: int, j: int, kind: str, example: str) -> None:
    one, two = routes[i].name, routes[j].name
    line = locations[i].report.line(locations[i].path)
    if kind == "twice":
        locations[j].error(
            "duplicate-route",
            f"matches the same requests as {one!r} (line {line})",
            "The sidecar would not start",
            "Remove one of them",
        )
    elif kind == "same":
        locations[j].error(
            "same-match",
            f"matches the same requests as {one!r} (line {line}), but has another outcome for {example}",
            "Which of them is used would be arbitrary",
            "Remove one of them, or change what they match",
        )
    else:
        locations[j].error(
            "no-most-specific",
            f"{two!r} and {one!r} (line {line}) both match {example}, neither is more specific, and their outcomes "
            "differ",
            "Which of them is used would depend on the spelling of their conditions",
            "Add a third route for exactly the requests that both match, or give both the same outcome",
        )


def _check_disguises(pair: FilePair, routes: list[Route], locations: list[Location], effects: dict[str, str]) -> None:
    """Check that no route gives a less strict class to paths whose first segment names a stricter one.

    Otherwise a request that must not run twice could be sent again.
    """
    names: dict[str, str] = dict(effects)
    for name, row in pair.tables.get("classes", {}).items():
        if name in effects:
            names.update((alias, effects[name]) for alias in row["aliases"])
    strictness_by_fold: dict[str, int] = {fold_name(name): STRICTNESS[effect] for name, effect in names.items()}
    for name, known in declared_classes().items():
        strictness_by_fold[name] = max(strictness_by_fold.get(name, 0), STRICTNESS[known.effect.value])
    guards = _guards(routes, effects)
    for route, location in zip(routes, locations, strict=True):
        if route.class_name not in effects:
            continue
        for name, required in sorted(strictness_by_fold.items()):
            if required <= STRICTNESS[effects[route.class_name]] or not _diverts(route, name, names, guards, required):
                continue
            (location / "path").error(
                "disguise",
                f"it gives paths below /{_spelling_of(name, names)} the class {route.class_name!r}, which is repeated "
                "more freely",
                "A request that must not be repeated would be sent again",
                f"Use the class of that name, or add a route for /{_spelling_of(name, names)}/* that does",
            )


def _spelling_of(folded_name: str, names: dict[str, str]) -> str:
    """Return a name as configured for its folded form, or the folded form if there is none."""
    return next((spelling for spelling in sorted(names) if fold_name(spelling) == folded_name), folded_name)


def _guards(routes: list[Route], effects: dict[str, str]) -> dict[bytes, int]:
    """Return the first segments that an unconditional prefix route covers, with the strictness of its class."""
    guards: dict[bytes, int] = {}
    for route in routes:
        segments = route.pattern.segments
        if len(segments) == 1 and route.pattern.is_prefix and not route.conditions() and not route.methods:
            if route.class_name in effects:
                guards[segments[0]] = STRICTNESS[effects[route.class_name]]
    return guards


def _diverts(route: Route, name: str, names: dict[str, str], guards: dict[bytes, int], required: int) -> bool:
    """Whether the route matches paths whose first segment folds to `name` and that no strict enough guard covers."""
    if route.service or route.call:
        return False
    segments = route.pattern.segments
    if segments and segments[0] != ANY_SEGMENT:
        return fold_name(segments[0].decode("ascii")) == name
    # The route begins with a template or matches all paths, so a guard takes precedence over it.
    spelling = _spelling_of(name, names).lower().encode()
    return guards.get(spelling, -1) < required and intersect(route.pattern, Pattern((spelling,), True)) is not None
