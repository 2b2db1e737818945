"""The writer's input: some twenty lines that describe an application, or a fleet of them."""

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
APPLICATIONS = "application"  # the rows of a fleet's file

CLASS = Table(
    (
        Key("wanted", POSITIVE_DURATION, "answers count in full within this time"),
        Key("give_up", POSITIVE_DURATION, "the client gives up after this time"),
        Key("repeat", Choice(tuple(EFFECT_BY_REPEAT)), "what a repeat does"),
        Key("remembered", POSITIVE_DURATION, "how long endpoints drop a repeated key; for keyed classes", None),
        Key("dropped_by", Choice(("all", "zone", "cell")), "which endpoints drop it", "all"),
        Key("worth", Number(0, 1e6), "what a request is worth", 1.0),
        Key("late", FRACTION, "share of the worth that an answer after the wanted time earns", 0.0),
        Key("aliases", NAMES, "further first parts that mean the class", ()),
    )
)
MACHINE = Table(
    (
        Key("memory", Size(1 << 20, 1 << 40), "the memory limit", 64 << 20),
        Key("descriptors", Int(1, 1 << 24), "the limit on descriptors", 512),
        Key("cores", Number(0.01, 10_000), "the part of a core", 1.0),
    )
)
SERVERS = Table(
    (
        Key("cold", Duration(0, HOUR_US), "a server that has started is warm after this time", 10_000_000),
        Key("cold_from", Number(0.001, 1), "the part of its capacity that it starts with", 0.3),
        Key("bears", Number(1, 1000), "the multiple of its present capacity that pushes a cold one over", 2.0),
        Key("idle", Duration(100_000, HOUR_US), "servers close idle connections after this time", 5_000_000),
        Key("connect", Duration(1_000, 60_000_000), "a connection not up by then has failed", 250_000),
    )
)
APPLICATION = Table(
    (
        Key("name", NAME_TEXT, "the application's name"),
        Key("tiers", NAMES, "all tiers in the order of calls", None),
        Key("tier", Text(r"[^\x00-\x1f]{1,128}", "a tier's name"), "the tier that the sidecar sends into", None),
        Key("sidecars", Int(1, 1_000_000), "sidecars that send into the tier", 1),
        Key("number", Int(0, 999_999), "which of them this one is, from 0", 0),
        Key("listen", Address(), "where callers connect"),
        Key("discovery", Address(), "where endpoints are asked for; not needed where they are named", None),
        Key("lists", Choice(("ask", "push")), "whether discovery is asked, or pushes", "ask"),
        Key("endpoints", OneOrMore(Address(), 20_000), "endpoints known before discovery answers", ()),
        Key("zone", Text(r"[^\x00-\x1f]{1,128}", "a zone's name"), "the zone of the sidecar", ""),
        Key("zones", NAMES, "all zones", None),
        Key("kinds", NAMES, "all kinds of machine", None),
        Key("rate", Number(0, 1e9, "requests a second"), "requests a second into the tier, from all sidecars"),
        Key("over_share", FRACTION, "worth of a request over its tenant's share", 0.1),
        Key("machine", MACHINE, "the machine of the sidecar", MACHINE.read({}, Location(Report("")))),
        Key("servers", SERVERS, "what the servers bear", SERVERS.read({}, Location(Report("")))),
        Key("classes", MapOf(CLASS, r"[^\x00-\x1f]{1,128}"), "the classes of requests"),
        Key("tenants", MapOf(FRACTION, r"[^\x00-\x1f]{1,128}"), "tenants and their shares", {}),
        Key("clients_wait", Duration(0, HOUR_US), "the longest Retry-After that clients obey; 0: they obey none",
            1_000_000),
        Key("default", Choice(("first-part", "refuse")), "what becomes of a request that no route takes", "first-part"),
        Key("pools", ROUTING_TABLES["pools"], "pools of endpoints", {}),
        Key("routes", ROUTING_TABLES["routes"], "routes", []),
        Key("thrift", THRIFT_TABLES["thrift"], "a port for framed Thrift, as the operator's file has it", None),
        Key("loopback", Flag(), "whether the sidecar may listen on loopback addresses only", None),
    )
)  # fmt: skip


def is_description(document: dict[str, Any]) -> bool:
    """Whether a decoded file describes applications: an operator's file has none of these keys."""
    return APPLICATIONS in document or "name" in document or "listen" in document or "rate" in document


class Application:
    """One application's description as it was read, and where."""

    def __init__(self, table: dict[str, Any], raw: dict[str, Any], location: Location) -> None:
        self.table = table
        self.raw = raw  # for what goes on as it was written
        self.location = location

    @property
    def name(self) -> str:
        return str(self.table["name"])


def read_description(path: str) -> tuple[list[Application], Report]:
    """The applications that a file describes, with findings.

    Raises `UnreadableFileError` where it can't be read at all.
    """
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
    """Each application's own table: in a fleet's file what stands above the rows holds for all of them."""
    if APPLICATIONS not in document:
        return [(document, location)]
    shared = {key: value for key, value in document.items() if key != APPLICATIONS}
    rows = document[APPLICATIONS]
    if (
        ListOf(Table((), allows_unknown=True, description="tables")).read(rows, Location(Report(""))) is INVALID
        or not rows
    ):
        (location / APPLICATIONS).error(
            "value", "no list of tables", "Nothing is written", "Write [[application]] for each application"
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
                "duplicate", f"{application.name!r} is there twice", "One would be written over", "Rename one"
            )
        seen.add(application.name.casefold())


def _check(application: Application) -> None:
    """What the files made of it could not show any more; all else is found in them, by the checker."""
    table, location = application.table, application.location
    tiers = table["tiers"] or ((table["tier"],) if table["tier"] else ("",))
    if table["tier"] and table["tier"] not in tiers:
        (location / "tier").error(
            "unknown-tier", f"{table['tier']!r} is none of the tiers", "Its place in the chain is not known",
            f"Write one of {', '.join(tiers)}",
        )  # fmt: skip
    if table["number"] >= table["sidecars"]:
        (location / "number").error(
            "rank", f"number {table['number']} of {table['sidecars']}, counted from 0", "Two sidecars would be one",
            f"Write 0 to {table['sidecars'] - 1}",
        )  # fmt: skip
    if not table["discovery"] and not table["endpoints"]:
        (location / "discovery").error(
            "missing", "neither discovery nor endpoints are named", "Nothing could be served",
            "Give discovery, or endpoints",
        )  # fmt: skip
    for name, row in table["classes"].items():
        table_location = location / "classes" / name
        if row["repeat"] == "keyed" and not row["remembered"]:
            (table_location / "remembered").error(
                "missing", "a keyed class needs it", "No repeat could ever be sent", "Say how long a key is remembered"
            )
        elif row["repeat"] != "keyed" and row["remembered"]:
            (table_location / "remembered").error(
                "unused", f"the class is {row['repeat']!r}, and carries no key", "It would do nothing",
                'Leave it out, or write repeat = "keyed"',
            )  # fmt: skip
        elif row["remembered"] and row["remembered"] <= table["servers"]["connect"]:
            (table_location / "remembered").error(
                "window",
                f"{format_duration(row['remembered'])} is not more than the time to connect, "
                f"{format_duration(table['servers']['connect'])}",
                "A repeat could always come too late and run a second time",
                'Write repeat = "never"',
            )
