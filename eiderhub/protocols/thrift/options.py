"""The operator's table `[thrift]`: a port for framed Thrift, and where its calls tell what HTTP's headers tell."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from eiderhub.interface import Effect
from eiderhub.protocols.thrift import field_paths
from eiderhub.protocols.thrift.admission import COST, DEADLINE, KEY, REQUEST_ID, TENANT, ListenerOptions
from eiderhub.protocols.thrift.definitions import MAX_FRAME, MAX_NAME, Encoding
from eiderhub.routing.options import EFFECT_BY_REPEAT, REPEAT_BY_EFFECT, route_of
from eiderhub.routing.plan import FIRST_PART
from eiderhub.routing.request_target import RequestAttributes
from eiderhub.routing.table import RouteTable, TableError
from eiderhub.schema.declared_classes import STRICTNESS, declared_classes, fold_name
from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.findings import Location
from eiderhub.schema.value_types import (
    HOUR_US,
    INVALID,
    Choice,
    Duration,
    Int,
    Key,
    MapOf,
    OneOrMore,
    Size,
    SocketAddress,
    Table,
    Text,
    ValueType,
    report_invalid,
)

AS_ASKED, STATED = "as-asked", "stated"
ENCODINGS = (AS_ASKED, "binary", "compact", STATED)
IN_ORDER, AS_READY = "in-order", "as-ready"
FIELDS = (TENANT, KEY, REQUEST_ID, DEADLINE, COST)


@dataclass(frozen=True)
class FieldPath:
    description: str = 'field ids with dots between them, such as "1.3": field 3 of argument 1'

    def read(self, value: object, spot: Location) -> Any:
        if not isinstance(value, str):
            return report_invalid(spot, value, self.description)
        try:
            return field_paths.parse(value)
        except ValueError as error:
            spot.error("field-path", str(error), "No call could have it", f"Write {self.description}")
            return INVALID


CALL_NAME = rf"[^\x00-\x1f]{{1,{MAX_NAME}}}"
TABLES: dict[str, ValueType] = {
    "thrift": Table(
        (
            Key("listen", SocketAddress(), "where callers that speak framed Thrift connect"),
            Key("endpoints", Choice(ENCODINGS), "the encoding that endpoints speak; `stated`: by their label `thrift`",
                AS_ASKED),
            Key("frame", Size(64, 1 << 24), "the largest frame, either way", MAX_FRAME),
            Key("answers", Choice((IN_ORDER, AS_READY)), "the order in which one caller's answers leave", IN_ORDER),
            Key("calls", Int(1, 1024), "calls that one connection may have out", 16),
            Key("idle", Duration(1_000_000, 24 * HOUR_US), "how long a caller may ask for nothing", 300_000_000),
            Key("tenant", Text(r".{1,128}", "a tenant's name"), "the tenant of calls that tell none", None),
            Key("deadline", Duration(100_000, HOUR_US), "how long callers wait, where no field tells", 0),
            Key("fields", MapOf(FieldPath(), "|".join(FIELDS), len(FIELDS)), "where calls tell these", {}),
            Key("shedding", OneOrMore(Int(0, 0x7FFFFFFF)),
                "types of exceptions by which endpoints turn calls away unrun", ()),
            Key("methods", MapOf(Choice(tuple(EFFECT_BY_REPEAT)), CALL_NAME),
                "what a repeat of each does, to be checked", {}),
        )
    ),
}  # fmt: skip


def listener(tables: dict[str, Any]) -> ListenerOptions | None:
    """The port that a checked operator's file asks for."""
    row = tables.get("thrift")
    if row is None:
        return None
    encodings = {"binary": Encoding.BINARY, "compact": Encoding.COMPACT}
    host, port = row["listen"]
    return ListenerOptions(
        host,
        port,
        encodings.get(row["endpoints"]),
        row["endpoints"] == STATED,
        row["idle"],
        row["frame"],
        row["answers"] == IN_ORDER,
        row["calls"],
        row["tenant"],
        row["deadline"],
        row["fields"],
        frozenset(row["shedding"]),
    )


# --- checks ---


def check(pair: FilePair) -> None:
    row = pair.tables.get("thrift")
    if row is None:
        return
    spot = pair.operator / "thrift"
    try:
        field_paths.tree(row["fields"].items())
    except ValueError as error:
        (spot / "fields").error("field-path", str(error), "No sidecar starts from it", "Give each its own field")
    if not pair.document:
        return
    _check_listen(pair, row, spot)
    _check_tenant(pair, row, spot)
    _check_calls(pair, row, spot)


def _check_listen(pair: FilePair, row: dict[str, Any], spot: Location) -> None:
    host, port = row["listen"]
    own = pair.document.get("listen")
    if port and own == f"{host}:{port}":
        (spot / "listen").error(
            "address", f"{own} is where HTTP is served", "One of the two ports could not be opened", "Name another port"
        )
    if pair.tables.get("limits", {}).get("listen") == "loopback" and not ip_address(host).is_loopback:
        (spot / "listen").error(
            "listen",
            f"{host} is no loopback address, and limits.listen asks for one",
            "Other machines could reach the sidecar",
            'Listen on 127.0.0.1, or write limits.listen = "any"',
        )


def _check_tenant(pair: FilePair, row: dict[str, Any], spot: Location) -> None:
    tenants = {t["Name"] for t in pair.settings.get("Parties") or [] if "Name" in t}
    if row["tenant"] is not None and row["tenant"] not in tenants:
        (spot / "tenant").error(
            "unknown-tenant", f"there is no tenant {row['tenant']!r}", "Its calls would have no budget", "Name another"
        )
    if tenants and row["tenant"] is None and TENANT not in row["fields"]:
        spot.error(
            "tenant",
            "no call could tell its tenant",
            "Every call would be turned away",
            'Write tenant = "NAME", or fields.tenant with the path of the field that tells it',
        )


def _check_calls(pair: FilePair, row: dict[str, Any], spot: Location) -> None:
    """Rule 2: no method may come to a class that is repeated more freely than the method bears."""
    effects = {c["Name"]: c["Effect"] for c in pair.categories if "Name" in c and "Effect" in c}
    routes = [route_of(found) for _, found in pair.tables.get("routes", [])]
    try:
        table = RouteTable(routes)
    except TableError:
        return  # told where routes are checked
    default = pair.tables.get("routing", {}).get("default", FIRST_PART) == FIRST_PART
    for name, word in row["methods"].items():
        grade = _grade_of(name, table, effects, default)
        if grade is None:
            (spot / "methods" / name).error(
                "unreachable", "no route takes the method", "Its calls would be turned away", "Add a route for it"
            )
        elif STRICTNESS[effects[grade]] < STRICTNESS[EFFECT_BY_REPEAT[word].value]:
            (spot / "methods" / name).error(
                "unsafe-method",
                f"the method is declared {word!r}, and its calls are of the class {grade!r}, which is "
                f"{REPEAT_BY_EFFECT[effects[grade]]!r}",
                "One that may have run would be sent again",
                f"Route it to a class that is {word!r}",
            )
    _check_disguises(pair, effects)
    if Effect.DEDUPLICATED.value in effects.values() and KEY not in row["fields"]:
        spot.warn(
            "key",
            "no field tells the key of calls",
            "Calls of keyed classes are sent on without one being seen; endpoints drop repeats by their own means",
            "Name fields.key where calls carry one",
        )


def _grade_of(name: str, table: RouteTable, effects: dict[str, str], default: bool) -> str | None:
    service, _, method = name.rpartition(":")
    asked = RequestAttributes("thrift", segments=(method.encode(),), service=service or None, call=method)
    route = table.find(asked)
    if route is not None:
        return route.class_name if route.class_name in effects else None
    return method if default and method in effects else None


def _check_disguises(pair: FilePair, effects: dict[str, str]) -> None:
    """A route by a method's name must not carry off what the business has declared to be stricter."""
    for placed, row in pair.tables.get("routes", []):
        known = declared_classes().get(fold_name(row["call"] or ""))
        if known is None or row["class"] not in effects:
            continue
        if STRICTNESS[effects[row["class"]]] < STRICTNESS[known.effect.value]:
            (placed / "call").error(
                "disguise",
                f"calls of {row['call']!r} would be of the class {row['class']!r}, which is repeated more freely",
                "A request that must not be repeated would be sent again",
                "Name a class that is as strict",
            )
