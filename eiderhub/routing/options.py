"""The operator's tables for routing: `[routing]`, `[classes.NAME]`, `[pools.NAME]` and `[[routes]]`."""

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
EFFECT_BY_REPEAT = {"harmless": Effect.IDEMPOTENT, "keyed": Effect.DEDUPLICATED, "never": Effect.AT_MOST_ONCE}
REPEAT_BY_EFFECT = {effect.value: word for word, effect in EFFECT_BY_REPEAT.items()}
TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}"  # RFC 9110, 5.6.2: what a method or a header's name may hold
LABEL = Text(r"[^=\x00-\x1f]{1,128}", "a text without '='")


@dataclass(frozen=True)
class PathText:
    """A pattern, read by the same code that reads requests."""

    description: str = 'a path such as "/stock", "/stock/{id}" or "/stock/*"'

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, str):
            location.error(
                "route-path", f"{value!r} is no text", "No sidecar starts from it", f"Write {self.description}"
            )
            return INVALID
        try:
            return parse_pattern(value)
        except ValueError as error:
            location.error("route-path", str(error), "The route would never be reached", f"Write {self.description}")
            return INVALID


ROUTE = Table(
    (
        Key("name", NAME_TEXT, "what the route is called, in logs and by the tool"),
        Key("class", Text(r".{1,128}", "a class's name"), "the class of its requests"),
        Key("path", PathText(), "exact, with {name} for any one part, or with /* for all below", Pattern((), True)),
        Key("method", OneOrMore(Text(TOKEN, 'a method such as "GET"')), "the methods that it takes", ()),
        Key("protocol", Choice(PROTOCOLS), "the protocol that it takes", None),
        Key("tenant", Text(r".{1,128}", "a tenant's name"), "the tenant that it takes", None),
        Key("service", Text(r"[^\x00-\x1f]{1,128}", "a service's name"), "the service, where there is one", None),
        Key("call", Text(r"[^\x00-\x1f]{1,128}", "a method's name"), "the method called on the service", None),
        Key("headers", MapOf(Text(r"[\x20-\x7e]{0,256}", "a header's value"), TOKEN, 8), "headers it asks for", {}),
        Key("query", MapOf(Text(r"[^\x00-\x1f]{0,256}", "a value"), r".{1,64}", 8), "query values it asks for", {}),
        Key("pool", NAME_TEXT, "the pool of endpoints that serves it", None),
        Key("deadline", Duration(1, HOUR_US), "its time, where that is shorter than the class's", 0),
        Key("attempts", Int(1, 100), "its attempts, where these are fewer than the site's", 0),
    )
)
TABLES: dict[str, ValueType] = {
    "routing": Table(
        (
            Key(
                "default",
                Choice((FIRST_PART, REFUSE)),
                "what becomes of a request that no route takes: the first part of its path is its class, or 404",
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
                    "what a repeat does; held against the sidecar's file",
                    None,
                ),
                Key("remembered", Duration(1, HOUR_US), "how long endpoints drop a repeated key", None),
                Key("aliases", OneOrMore(Text(r".{1,128}", "a name")), "further first parts that mean the class", ()),
                Key("retries", Flag(), "false: one attempt and no more; true: as the class and the site allow", None),
                Key("second_copies", Flag(), "false: never two attempts together; true: as the class allows", None),
            )
        ),
        r"[^\x00-\x1f]{1,128}",
    ),
    "pools": MapOf(
        Table(
            (
                Key("zones", OneOrMore(Text(description="a zone's name")), "the zones of its endpoints", None),
                Key("kinds", OneOrMore(Text(description="a kind's name")), "their kinds of machine", None),
                Key("labels", MapOf(LABEL, r"[^=\x00-\x1f]{1,128}", 16), "facts that its endpoints state", {}),
            )
        )
    ),
    "routes": ListOf(Located(ROUTE), MAX_ROUTES),
}


# --- from tables to a plan ---


def route_of(row: dict[str, Any]) -> Route:
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
    return PoolRule(
        name,
        frozenset(row["zones"]) if row["zones"] else None,
        frozenset(row["kinds"]) if row["kinds"] else None,
        frozenset(f"{key}={value}" for key, value in row["labels"].items()),
    )


def make_plan(tables: dict[str, Any], settings: Settings) -> Plan:
    """The plan of an operator's file that was checked against these settings."""
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
    """What is well-formed and wrong in these tables, alone and against the sidecar's file."""
    effects = {row["Name"]: row["Effect"] for row in pair.categories if "Name" in row and "Effect" in row}
    _check_classes(pair, effects)
    _check_pools(pair)
    placed = pair.tables.get("routes", [])
    rows, spots = [row for _, row in placed], [location for location, _ in placed]
    _check_names(rows, spots)
    for row, location in zip(rows, spots, strict=True):
        _check_route(pair, row, location, effects)
    _check_between(pair, rows, spots, effects)


def _check_names(rows: list[dict[str, Any]], spots: list[Location]) -> None:
    seen: set[str] = set()
    for row, location in zip(rows, spots, strict=True):
        if row["name"] in seen:
            (location / "name").error(
                "duplicate", f"the route {row['name']!r} is there twice", "Logs could not tell them apart", "Rename one"
            )
        seen.add(row["name"])


def _known(found: str | None, known: set[str], location: Location, code: str, what: str, follows: str) -> bool:
    if found is None or found in known:
        return True
    location.error(code, f"there is no {what} {found!r}", follows, did_you_mean(found, known))
    return False


def _check_route(pair: FilePair, row: dict[str, Any], location: Location, effects: dict[str, str]) -> None:
    names = {c["Name"] for c in pair.categories if "Name" in c}
    if pair.document:
        if _known(row["class"], names, location / "class", "unknown-class", "class", "No sidecar starts from it"):
            _check_effect(row, location, effects)
            _check_limits(pair, row, location)
        tenants = {t["Name"] for t in pair.settings.get("Parties") or [] if "Name" in t}
        _known(
            row["tenant"], tenants, location / "tenant", "unknown-tenant", "tenant", "No request would meet the route"
        )
    pools = set(pair.tables.get("pools", {}))
    _known(row["pool"], pools, location / "pool", "unknown-pool", "pool", "No sidecar starts from it")
    if row["protocol"] == HTTP and (row["service"] or row["call"]):
        (location / "protocol").error(
            "unreachable", "HTTP requests have no service and no call", "No request would meet the route",
            "Leave out 'protocol', or 'service' and 'call'",
        )  # fmt: skip
    if row["path"] == Pattern((b"up",), False):
        (location / "path").error(
            "unreachable", "/up tells whether the sidecar is ready", "No request would meet the route", "Rename it"
        )


def _check_effect(row: dict[str, Any], location: Location, effects: dict[str, str]) -> None:
    """A route must not send to a class what its method says may not be repeated."""
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
                "One that may have run would be sent again",
                "Name a class that is keyed or unsafe, or the method GET",
            )
        else:
            (location / "method").error(
                "unreachable",
                f"a request of the class {row['class']!r} is a {expected}, never a {method}",
                "The route would answer all that it takes with 405",
                f'Write method = "{expected}"',
            )


def _check_limits(pair: FilePair, row: dict[str, Any], location: Location) -> None:
    category = next(c for c in pair.categories if c.get("Name") == row["class"])
    allowed = pair.settings.get("Allowed", {})
    site, connect = allowed.get("MaxAttempts", 3), allowed.get("ConnectTimeoutUs", 250_000)
    own = category.get("DeadlineUs")
    if row["deadline"] and own and row["deadline"] > own:
        (location / "deadline").error(
            "wider-limit",
            f"{format_duration(row['deadline'])} is longer than the class's {format_duration(own)}",
            "It would do nothing: a route can only be tighter",
            "Write less, or leave it out",
        )
    if row["deadline"] and row["deadline"] <= ANSWER_MARGIN_US:
        (location / "deadline").error(
            "deadline-too-short",
            f"{format_duration(row['deadline'])}, and answers leave {format_duration(ANSWER_MARGIN_US)} ahead",
            "Every request would be answered 504 at once",
            "Give it more time",
        )
    if row["attempts"] > site:
        (location / "attempts").error(
            "wider-limit",
            f"{row['attempts']} attempts, where the site allows {site}",
            "It would do nothing: a route can only be tighter",
            "Write fewer, or leave it out",
        )
    if row["deadline"] and min(row["attempts"] or site, site) * connect > row["deadline"] > ANSWER_MARGIN_US:
        tries = min(row["attempts"] or site, site)
        (location / ("attempts" if row["attempts"] else "deadline")).error(
            "attempts-do-not-fit",
            f"{tries} attempts that fail to connect take {format_duration(tries * connect)}, longer than "
            f"{format_duration(row['deadline'])}",
            "The last attempts would never be made",
            f"Write attempts = {max(1, row['deadline'] // connect)}, or a longer deadline",
        )


def _check_classes(pair: FilePair, effects: dict[str, str]) -> None:
    if not pair.document:
        return
    windows = {row.get("Name"): row.get("DedupWindowUs", 0) for row in pair.categories}
    taken: dict[str, str] = {}
    for name, row in pair.tables.get("classes", {}).items():
        location = pair.operator / "classes" / name
        if not _known(name, set(effects), location, "unknown-class", "class", "What it says would not be done"):
            continue
        effect = effects[name]
        declared = EFFECT_BY_REPEAT[row["repeat"]].value if row["repeat"] else None
        if declared and STRICTNESS[effect] < STRICTNESS[declared]:
            (location / "repeat").error(
                "effect-declared",
                f"{name!r} is declared {row['repeat']!r}, and the sidecar's file makes it {REPEAT_BY_EFFECT[effect]!r}",
                "A request that may have run would be sent again",
                f'Write "Effect": "{declared}" there',
            )
        elif declared and declared != effect:
            (location / "repeat").error(
                "effect-weakened",
                f"{name!r} is {REPEAT_BY_EFFECT[effect]!r} in the sidecar's file, and {row['repeat']!r} here",
                "One of them is wrong, and this one would allow repeats that the other forbids",
                f'Write repeat = "{REPEAT_BY_EFFECT[effect]}"',
            )
        _check_promises(name, row, effect, windows.get(name, 0), location)
        for alias in row["aliases"]:
            _check_alias(alias, name, effects, taken, location / "aliases")


def _check_promises(name: str, row: dict[str, Any], effect: str, window: int, location: Location) -> None:
    if row["remembered"] and effect == Effect.DEDUPLICATED.value and window > row["remembered"]:
        (location / "remembered").error(
            "window",
            f"a key is resent for {format_duration(window)}, and endpoints drop it for "
            f"{format_duration(row['remembered'])}",
            "A repeat after that would run a second time",
            f'Write "DedupWindowUs": {row["remembered"]} or less in the sidecar\'s file',
        )
    if row["retries"] and effect == Effect.AT_MOST_ONCE.value:
        (location / "retries").error(
            "unsafe-retry",
            f"retries are switched on for {name!r}, which must never run twice",
            "What may have run would be sent again, if it were done",
            "Leave the key out: what surely never ran is tried again all the same",
        )
    if row["second_copies"] and effect != Effect.IDEMPOTENT.value:
        (location / "second_copies").error(
            "unsafe-retry",
            f"second copies are switched on for {name!r}, which is not safe to repeat",
            "Two copies would run at the same time, if it were done",
            "Leave the key out, or write false",
        )


def _check_alias(alias: str, name: str, effects: dict[str, str], taken: dict[str, str], location: Location) -> None:
    real = {fold_name(known): known for known in effects}
    other = real.get(fold_name(alias))
    if alias in taken or alias in effects:
        location.error(
            "alias",
            f"{alias!r} means {taken.get(alias, alias)!r} already",
            "The other one takes its requests",
            "Give each name to one class",
        )
    weaker = STRICTNESS[effects[name]]
    known = declared_classes().get(fold_name(alias), DeclaredClass(Effect.IDEMPOTENT))
    strict = max(STRICTNESS[known.effect.value], STRICTNESS[effects[other]] if other else 0)
    if strict > weaker:
        location.error(
            "disguise",
            f"{alias!r} stands for {other or fold_name(alias)!r}, and {name!r} is a class that is repeated more freely",
            "A request that must not be repeated would be sent again",
            f"Make it an alias of {other or fold_name(alias)!r}, or leave it out",
        )
    taken[alias] = name


def _check_pools(pair: FilePair) -> None:
    zones, kinds = pair.settings.get("Localities"), pair.settings.get("Kinds")
    for name, row in pair.tables.get("pools", {}).items():
        location = pair.operator / "pools" / name
        if not (row["zones"] or row["kinds"] or row["labels"]):
            location.error("empty-pool", "the pool asks nothing", "It would hold every endpoint", "Name zones or kinds")
        for key, known in (("zones", zones), ("kinds", kinds)):
            for found in row[key] or ():
                if known and found not in known:
                    (location / key).error(
                        "empty-pool",
                        f"there is no {key[:-1]} {found!r}",
                        "No endpoint would be in the pool",
                        did_you_mean(found, known),
                    )


def _check_between(pair: FilePair, rows: list[dict[str, Any]], spots: list[Location], effects: dict[str, str]) -> None:
    routes = [route_of(row) for row in rows]
    for conflict in find_conflicts(routes):
        _tell_conflict(routes, spots, conflict.first, conflict.second, conflict.kind, conflict.example)
    if pair.document:
        methods = {name: frozenset((METHOD[Effect(effect)],)) for name, effect in effects.items()}
        tenants = frozenset(t["Name"] for t in pair.settings.get("Parties") or [] if "Name" in t)
        told = {finding.key.partition(".")[0] for finding in pair.operator.report.errors}
        for i in unreachable(routes, methods, tenants):
            if str(spots[i]) not in told:
                spots[i].error(
                    "unreachable", "no request can meet the route", "It would do nothing", "Leave it out, or mend it"
                )
        _check_disguises(pair, routes, spots, effects)
    try:
        RouteTable(routes)
    except TableError as error:
        if not any(f.code in ("same-match", "duplicate-route") for f in pair.operator.report.errors):
            (pair.operator / "routes").error("table", str(error), "No sidecar starts from it", "Merge some routes")


def _tell_conflict(routes: list[Route], spots: list[Location], i: int, j: int, kind: str, example: str) -> None:
    one, two = routes[i].name, routes[j].name
    line = spots[i].report.line(spots[i].path)
    if kind == "twice":
        spots[j].error(
            "duplicate-route", f"asks the same as {one!r} (line {line})", "No sidecar starts from it", "Leave one out"
        )
    elif kind == "same":
        spots[j].error(
            "same-match",
            f"asks the same as {one!r} (line {line}) and does something else with {example}",
            "Which of them counts would be chance",
            "Leave one out, or let them ask something different",
        )
    else:
        spots[j].error(
            "no-most-specific",
            f"{two!r} and {one!r} (line {line}) both take {example}, neither is the more specific, and they do "
            "different things",
            "Which of them counts would be decided by spelling",
            "Add a third route for just what both take, or let them do the same",
        )


def _check_disguises(pair: FilePair, routes: list[Route], spots: list[Location], effects: dict[str, str]) -> None:
    """Rule 2: no route may carry off what the first part of a path names as a stricter class."""
    names: dict[str, str] = dict(effects)
    for name, row in pair.tables.get("classes", {}).items():
        if name in effects:
            names.update((alias, effects[name]) for alias in row["aliases"])
    folded: dict[str, int] = {fold_name(name): STRICTNESS[effect] for name, effect in names.items()}
    for name, known in declared_classes().items():
        folded[name] = max(folded.get(name, 0), STRICTNESS[known.effect.value])
    guards = _guards(routes, effects)
    for route, location in zip(routes, spots, strict=True):
        if route.class_name not in effects:
            continue
        for name, strict in sorted(folded.items()):
            if strict <= STRICTNESS[effects[route.class_name]] or not _carries_off(route, name, names, guards, strict):
                continue
            (location / "path").error(
                "disguise",
                f"it takes paths below /{_spelt(name, names)} to {route.class_name!r}, which is repeated more freely",
                "A request that must not be repeated would be sent again",
                f"Name its class, or add a route for /{_spelt(name, names)}/* that does",
            )


def _spelt(name: str, names: dict[str, str]) -> str:
    return next((spelling for spelling in sorted(names) if fold_name(spelling) == name), name)


def _guards(routes: list[Route], effects: dict[str, str]) -> dict[bytes, int]:
    """First parts whose every path some unconditional route takes already, and how strict its class is."""
    found: dict[bytes, int] = {}
    for route in routes:
        parts = route.pattern.segments
        if len(parts) == 1 and route.pattern.is_prefix and not route.conditions() and not route.methods:
            if route.class_name in effects:
                found[parts[0]] = STRICTNESS[effects[route.class_name]]
    return found


def _carries_off(route: Route, name: str, names: dict[str, str], guards: dict[bytes, int], strict: int) -> bool:
    if route.service or route.call:
        return False
    parts = route.pattern.segments
    if parts and parts[0] != ANY_SEGMENT:
        return fold_name(parts[0].decode("ascii")) == name
    # A template or prefix over everything: it is the guard that comes first, where there is one.
    spelling = _spelt(name, names).lower().encode()
    return guards.get(spelling, -1) < strict and intersect(route.pattern, Pattern((spelling,), True)) is not None
