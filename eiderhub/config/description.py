"""Reads descriptions, the input of `eiderhub config write`: about twenty lines for an application, or for a fleet."""

from __future__ import annotations

import copy
from typing import Any

from eiderhub.config.sidecar_file import FRACTION, Address
from eiderhub.protocols.thrift.options import TABLES as THRIFT_TABLES
from eiderhub.routing.options import EFFECT_BY_REPEAT
from eiderhub.routing.options import TABLES as ROUTING_TABLES
from eiderhub.schema.files import decode_text, parse_toml, read_bytes
from eiderhub.schema.findings import Location, Report
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
    MapOf,
    Number,
    OneOrMore,
    Size,
    Table,
    Text,
)

POSITIVE_DURATION = Duration(1, HOUR_US)
NAMES = OneOrMore(Text(r"[^\x00-\x1f]{1,128}", "a name"), 1000)
APPLICATIONS = "application"  # the key of the list of applications in a fleet's description

CLASS = Table(
    (
        Key("wanted", POSITIVE_DURATION, "the latency objective: answers within it earn the full worth"),
        Key("give_up", POSITIVE_DURATION, "the deadline: the client gives up after this time"),
        Key("repeat", Choice(tuple(EFFECT_BY_REPEAT)), "what a repeat does"),
        Key("remembered", POSITIVE_DURATION, "how long endpoints drop a repeated key; only for keyed classes", None),
        Key("dropped_by", Choice(("all", "zone", "cell")), "which endpoints drop it", "all"),
        Key("worth", Number(0, 1e6), "the worth of a request", 1.0),
        Key("late", FRACTION, "share of the worth that an answer after the latency objective earns", 0.0),
        Key("aliases", NAMES, "further first path segments that select the class", ()),
    )
)
MACHINE = Table(
    (
        Key("memory", Size(1 << 20, 1 << 40), "the memory limit", 64 << 20),
        Key("descriptors", Int(1, 1 << 24), "the limit on file descriptors", 512),
        Key("cores", Number(0.01, 10_000), "the number of CPU cores", 1.0),
    )
)
SERVERS = Table(
    (
        Key("cold", Duration(0, HOUR_US), "a server is warm this long after its start", 10_000_000),
        Key("cold_from", Number(0.001, 1), "the fraction of its capacity that it starts with", 0.3),
        Key("bears", Number(1, 1000), "the multiple of its current capacity that overloads a cold server", 2.0),
        Key("idle", Duration(100_000, HOUR_US), "servers close idle connections after this time", 5_000_000),
        Key("connect", Duration(1_000, 60_000_000), "the connect timeout", 250_000),
    )
)
APPLICATION = Table(
    (
        Key("name", NAME_TEXT, "the application's name"),
        Key("tiers", NAMES, "all tiers in the order of calls", None),
        Key("tier", Text(r"[^\x00-\x1f]{1,128}", "a tier's name"), "the tier that the sidecar sends into", None),
        Key("sidecars", Int(1, 1_000_000), "the number of sidecars that send into the tier", 1),
        Key("number", Int(0, 999_999), "the number of this sidecar among them, from 0", 0),
        Key("listen", Address(), "the address that callers connect to"),
        Key("discovery", Address(), "the address of discovery; not needed if endpoints are listed", None),
        Key("lists", Choice(("ask", "push")), "whether discovery is polled or pushes its lists", "ask"),
        Key("endpoints", OneOrMore(Address(), 20_000), "endpoints that are used until discovery answers", ()),
        Key("zone", Text(r"[^\x00-\x1f]{1,128}", "a zone's name"), "the zone of the sidecar", ""),
        Key("zones", NAMES, "all zones", None),
        Key("kinds", NAMES, "all kinds of machine", None),
        Key("rate", Number(0, 1e9, "requests per second"), "requests per second into the tier, from all sidecars"),
        Key("over_share", FRACTION, "worth of a request over its tenant's share", 0.1),
        Key("machine", MACHINE, "the resources of the sidecar", MACHINE.read({}, Location(Report("")))),
        Key("servers", SERVERS, "properties of the servers", SERVERS.read({}, Location(Report("")))),
        Key("classes", MapOf(CLASS, r"[^\x00-\x1f]{1,128}"), "the classes of requests"),
        Key("tenants", MapOf(FRACTION, r"[^\x00-\x1f]{1,128}"), "tenants and their shares", {}),
        Key("clients_wait", Duration(0, HOUR_US), "the longest Retry-After that clients obey; 0: they ignore it",
            1_000_000),
        Key("default", Choice(("first-part", "refuse")), "how a request that no route matches is handled",
            "first-part"),
        Key("pools", ROUTING_TABLES["pools"], "pools of endpoints", {}),
        Key("routes", ROUTING_TABLES["routes"], "routes", []),
        Key("thrift", THRIFT_TABLES["thrift"], "the port for framed Thrift, as in the operator's file", None),
        Key("loopback", Flag(), "whether the sidecar may listen only on loopback addresses", None),
    )
)  # fmt: skip


def is_description(document: dict[str, Any]) -> bool:
    """Return whether a decoded file is a description. An operator's file has none of these keys."""
    return APPLICATIONS in document or "name" in document or "listen" in document or "rate" in document


class Application:
    """One application's description, and its location in the file."""

    def __init__(self, table: dict[str, Any], raw: dict[str, Any], location: Location) -> None:
        self.table = table
        self.raw = raw  # as decoded, for tables that are copied to the operator's file unchanged
        self.location = location

    @property
    def name(self) -> str:
        return str(self.table["name"])


def read_description(path: str) -> tuple[list[Application], Report]:
    """Return the applications in a file, and a report. Raises `UnreadableFileError` if it can't be read."""
    report = Report(path)
    text = decode_text(read_bytes(path), Location(report))
    document = parse_toml(text, report) if text is not None else None
    if document is None:
        return [], report
    location = Location(report)
    found = []
    for raw, table_location in _application_tables(document, location):
        table = APPLICATION.read(raw, table_location)
        if table is not INVALID:
            found.append(Application(table, raw, table_location))
    _check_names(found)
    for application in found:
        _check(application)
    return found, report


def _application_tables(document: dict[str, Any], location: Location) -> list[tuple[dict[str, Any], Location]]:
    """Return each application's table, merged with the keys that a fleet's file shares between all applications."""
    if APPLICATIONS not in document:
        return [(document, location)]
    shared = {key: value for key, value in document.items() if key != APPLICATIONS}
    rows = document[APPLICATIONS]
    if (
        ListOf(Table((), allows_unknown=True, description="tables")).read(rows, Location(Report(""))) is INVALID
        or not rows
    ):
        (location / APPLICATIONS).error(
            "value", "it is not a list of tables", "No files are written", "Write [[application]] for each application"
        )
        return []
    return [(_merged(shared, row), location / APPLICATIONS / i) for i, row in enumerate(rows) if isinstance(row, dict)]


def _merged(shared: dict[str, Any], row: dict[str, Any]) -> dict[str, Any]:
    merged = copy.deepcopy(shared)
    for key, value in row.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = {**merged[key], **value}
        else:
            merged[key] = value
    return merged


def _check_names(applications: list[Application]) -> None:
    seen: set[str] = set()
    for application in applications:
        if application.name.casefold() in seen:
            (application.location / "name").error(
                "duplicate",
                f"{application.name!r} is declared twice",
                "One would overwrite the other",
                "Rename one of them",
            )
        seen.add(application.name.casefold())


def _check(application: Application) -> None:
    """Report errors that the generated files would no longer show. The checker finds all others in those files."""
    table, location = application.table, application.location
    tiers = table["tiers"] or ((table["tier"],) if table["tier"] else ("",))
    if table["tier"] and table["tier"] not in tiers:
        (location / "tier").error(
            "unknown-tier", f"{table['tier']!r} is not one of the tiers",
            "Its position in the chain of calls is unknown",
            f"Write one of {', '.join(tiers)}",
        )  # fmt: skip
    if table["number"] >= table["sidecars"]:
        (location / "number").error(
            "rank", f"number {table['number']} of {table['sidecars']}, counted from 0",
            "Two sidecars would have the same number",
            f"Write 0 to {table['sidecars'] - 1}",
        )  # fmt: skip
    if not table["discovery"] and not table["endpoints"]:
        (location / "discovery").error(
            "missing", "neither discovery nor endpoints are given", "No request could be served",
            "Give discovery or endpoints",
        )  # fmt: skip
    for name, row in table["classes"].items():
        class_location = location / "classes" / name
        if row["repeat"] == "keyed" and not row["remembered"]:
            (class_location / "remembered").error(
                "missing",
                "a keyed class needs it",
                "No repeat could be sent",
                "State how long endpoints remember a key",
            )
        elif row["repeat"] != "keyed" and row["remembered"]:
            (class_location / "remembered").error(
                "unused", f"the class is {row['repeat']!r} and has no keys", "It would have no effect",
                'Remove it, or write repeat = "keyed"',
            )  # fmt: skip
        elif row["remembered"] and row["remembered"] <= table["servers"]["connect"]:
            (class_location / "remembered").error(
                "window",
                f"{format_duration(row['remembered'])} is not longer than the connect timeout, "
                f"{format_duration(table['servers']['connect'])}",
                "Each repeat could arrive too late and run a second time",
                'Write repeat = "never"',
            )
