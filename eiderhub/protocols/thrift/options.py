"""The table `[thrift]` of the operator's file: the listener, and which fields of calls replace HTTP's headers.

The checks compare the table with the sidecar's JSON file and with the routes.
"""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from eiderhub.interface import Effect
from eiderhub.protocols.thrift import field_paths
from eiderhub.protocols.thrift.admission import COST, DEADLINE, KEY, REQUEST_ID, TENANT, ListenerOptions
from eiderhub.protocols.thrift.definitions import MAX_FRAME_BYTES, MAX_NAME_BYTES, Encoding
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
    """Value of the operator's file that holds a path of field ids."""

    description: str = 'field ids separated by dots, such as "1.3" for field 3 of argument 1'

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, str):
            return report_invalid(location, value, self.description)
        try:
            return field_paths.parse_path(value)
        except ValueError as error:
            location.error("field-path", str(error), "No call can have such a field", f"Write {self.description}")
            return INVALID


CALL_NAME = rf"[^\x00-\x1f]{{1,{MAX_NAME_BYTES}}}"
TABLES: dict[str, ValueType] = {
    "thrift": Table(
        (
            Key("listen", SocketAddress(), "address and port for callers that speak framed Thrift"),
            Key("endpoints", Choice(ENCODINGS), "encoding of endpoints; `stated`: from their label `thrift`",
                AS_ASKED),
            Key("frame", Size(64, 1 << 24), "maximum size of a frame, of calls and of replies", MAX_FRAME_BYTES),
            Key("answers", Choice((IN_ORDER, AS_READY)), "order of the responses on a caller's connection", IN_ORDER),
            Key("calls", Int(1, 1024), "maximum of pending calls per connection", 16),
            Key("idle", Duration(1_000_000, 24 * HOUR_US), "how long a caller's connection may be idle", 300_000_000),
            Key("tenant", Text(r".{1,128}", "a tenant's name"), "tenant of calls without a tenant field", None),
            Key("deadline", Duration(100_000, HOUR_US), "deadline of calls without a deadline field", 0),
            Key("fields", MapOf(FieldPath(), "|".join(FIELDS), len(FIELDS)),
                "path of the field that holds each of these values", {}),
            Key("shedding", OneOrMore(Int(0, 0x7FFFFFFF)),
                "exception types by which endpoints shed calls without running them",
                ()),
            Key("methods", MapOf(Choice(tuple(EFFECT_BY_REPEAT)), CALL_NAME),
                "effect of a repeated call of each method, for checks only", {}),
        )
    ),
}  # fmt: skip


def listener(tables: dict[str, Any]) -> ListenerOptions | None:
    """Return the listener that a checked operator's file configures, None if it has none."""
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
    """Check the table `[thrift]` on its own and, if there is one, against the sidecar's JSON file."""
    row = pair.tables.get("thrift")
    if row is None:
        return
    location = pair.operator / "thrift"
    try:
        field_paths.build_tree(row["fields"].items())
    except ValueError as error:
        (location / "fields").error(
            "field-path", str(error), "The sidecar would not start", "Give each value its own field"
        )
    if not pair.document:
        return
    _check_listen(pair, row, location)
    _check_tenant(pair, row, location)
    _check_calls(pair, row, location)


def _check_listen(pair: FilePair, row: dict[str, Any], location: Location) -> None:
    host, port = row["listen"]
    http_address = pair.document.get("listen")
    if port and http_address == f"{host}:{port}":
        (location / "listen").error(
            "address",
            f"{http_address} is the address for HTTP",
            "One of the two listeners could not bind",
            "Choose another port",
        )
    if pair.tables.get("limits", {}).get("listen") == "loopback" and not ip_address(host).is_loopback:
        (location / "listen").error(
            "listen",
            f"{host} is not a loopback address, which limits.listen requires",
            "Other machines could reach the sidecar",
            'Listen on 127.0.0.1, or write limits.listen = "any"',
        )


def _check_tenant(pair: FilePair, row: dict[str, Any], location: Location) -> None:
    tenants = {t["Name"] for t in pair.settings.get("Parties") or [] if "Name" in t}
    if row["tenant"] is not None and row["tenant"] not in tenants:
        (location / "tenant").error(
            "unknown-tenant",
            f"there is no tenant {row['tenant']!r}",
            "Its calls would have no budget",
            "Name an existing tenant",
        )
    if tenants and row["tenant"] is None and TENANT not in row["fields"]:
        location.error(
            "tenant",
            "calls have no tenant, as neither a default nor a field is set",
            "Every call would be rejected",
            'Write tenant = "NAME", or fields.tenant with the path of the field that holds it',
        )


def _check_calls(pair: FilePair, row: dict[str, Any], location: Location) -> None:
    """Check that no method is routed to a class whose calls are repeated more freely than the method allows.

    No effect may run twice.
    """
    effects = {c["Name"]: c["Effect"] for c in pair.categories if "Name" in c and "Effect" in c}
    routes = [route_of(found) for _, found in pair.tables.get("routes", [])]
    try:
        table = RouteTable(routes)
    except TableError:
        return  # reported by the check of routes
    use_method_name = pair.tables.get("routing", {}).get("default", FIRST_PART) == FIRST_PART
    for name, effect in row["methods"].items():
        class_name = _class_name_of(name, table, effects, use_method_name)
        if class_name is None:
            (location / "methods" / name).error(
                "unreachable", "no route matches the method", "Its calls would be rejected", "Add a route for it"
            )
        elif STRICTNESS[effects[class_name]] < STRICTNESS[EFFECT_BY_REPEAT[effect].value]:
            (location / "methods" / name).error(
                "unsafe-method",
                f"the method is declared {effect!r}, but its calls are of the class {class_name!r}, which is "
                f"{REPEAT_BY_EFFECT[effects[class_name]]!r}",
                "A call that may have run would be sent again",
                f"Route it to a class that is {effect!r}",
            )
    _check_disguises(pair, effects)
    if Effect.DEDUPLICATED.value in effects.values() and KEY not in row["fields"]:
        location.warn(
            "key",
            "no field is set for the idempotency key of calls",
            "Calls of deduplicated classes are forwarded unchecked; endpoints must drop repeated calls themselves",
            "Set fields.key if calls carry a key",
        )


def _class_name_of(name: str, table: RouteTable, effects: dict[str, str], use_method_name: bool) -> str | None:
    """Return the class of a method's calls by the routes; without a match, the method's name if that is a class."""
    service, _, method = name.rpartition(":")
    attributes = RequestAttributes("thrift", segments=(method.encode(),), service=service or None, call=method)
    route = table.find(attributes)
    if route is not None:
        return route.class_name if route.class_name in effects else None
    return method if use_method_name and method in effects else None


def _check_disguises(pair: FilePair, effects: dict[str, str]) -> None:
    """Check that no route by method name gives a class less strict than the effect declared for that name."""
    for route_location, row in pair.tables.get("routes", []):
        declaration = declared_classes().get(fold_name(row["call"] or ""))
        if declaration is None or row["class"] not in effects:
            continue
        if STRICTNESS[effects[row["class"]]] < STRICTNESS[declaration.effect.value]:
            (route_location / "call").error(
                "disguise",
                f"calls of {row['call']!r} would be of the class {row['class']!r}, which is repeated more freely",
                "A request that must not be repeated would be sent again",
                "Choose a class that is as strict",
            )
