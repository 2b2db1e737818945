"""Declares and checks the sidecar's own file (JSON).

Its keys come from the platform's protocol and from the wire format of the decision module's settings. Keys that the
platform may send and the sidecar does not use are declared too, so that they give no findings.
"""

from __future__ import annotations

import math
import re
from typing import Any

from eiderhub.interface import DedupScope, Discovery, Effect
from eiderhub.routing.request_target import InvalidTargetError, segments_of
from eiderhub.schema.declared_classes import STRICTNESS, declared_classes, fold_name
from eiderhub.schema.findings import Location
from eiderhub.schema.units import format_duration
from eiderhub.schema.value_types import (
    HOUR_US,
    Choice,
    Flag,
    Int,
    Key,
    ListOf,
    MapOf,
    Number,
    Table,
    Text,
    ValueType,
    report_invalid,
)
from eiderhub.sidecar.resource_limits import ANSWER_MARGIN_US, BASE_MEMORY_MB, MIN_SOCKETS, RESERVED_SOCKETS

RECOMMENDED_MEMORY_MB = 32  # leaves capacity for bodies of 64 KiB beside the process itself
MAX_TOTAL_SHARE = 1.01  # allows for shares that were rounded
POSITIVE_US = Int(1, HOUR_US, "microseconds")
NON_NEGATIVE_US = Int(0, HOUR_US, "microseconds")
FRACTION = Number(0, 1)
WEIGHT = Number(0, 1e6)
ANY_TEXT = Text(r"(?s).{0,1024}", "a text")


class Address:
    """An IP address and a port. The platform does not resolve host names."""

    description = 'an address such as "127.0.0.1:7070"'

    def read(self, value: object, location: Location) -> Any:
        match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}|localhost|\[[0-9a-f:]+\]):(\d{1,5})", str(value))
        if not isinstance(value, str) or match is None or not 0 <= int(match[2]) <= 65535:
            return report_invalid(location, value, self.description, "address")
        if match[1][0].isdigit() and any(int(part) > 255 for part in match[1].split(".")):
            return report_invalid(location, value, self.description, "address")
        return value


class Anything:
    """Accepts any value: for keys that the platform sends and the sidecar does not use."""

    description = "anything"

    def read(self, value: object, location: Location) -> Any:
        return value


def _choice(enum: type[Any]) -> Choice:
    return Choice(tuple(member.value for member in enum))


def _optional(name: str, value_type: ValueType, help: str, default: Any = None) -> Key:
    return Key(name, value_type, help, default)


ZONES = ListOf(Text(description="a zone's name"), 1000)
CATEGORY = Table(
    (
        Key("Name", Text(r".{1,128}", "a name"), "the class's name, the first part of the path"),
        Key("AimUs", POSITIVE_US, "latency objective (microseconds)"),
        Key("DeadlineUs", POSITIVE_US, "deadline (microseconds)"),
        Key("Effect", _choice(Effect), "the effect of a repeat"),
        _optional("Group", _choice(DedupScope), "which endpoints drop a repeat of a keyed request", "all"),
        _optional("DedupWindowUs", NON_NEGATIVE_US, "how long they drop it (microseconds)", 0),
        _optional("Credit", WEIGHT, "the worth of a request", 1.0),
        _optional("LateShare", FRACTION, "share of the worth that a late answer earns", 0.0),
        _optional("Streaming", Flag(), "the answer is streamed", False),
        _optional("StaysIn", ZONES, "the only zones that may serve it"),
        _optional(
            "ServedOn", ListOf(Text(description="a kind's name"), 1000), "the only kinds of machine that may serve it"
        ),
        _optional("AimStretch", WEIGHT, "how the latency objective grows with the request's work"),
    ),
    allows_unknown=True,
)
PARTY = Table(
    (
        Key("Name", Text(r".{1,128}", "a name"), "the tenant's name"),
        _optional("Share", FRACTION, "its fraction of the service", 0.0),
        _optional("QuotaPerS", Number(0, 1e9, "requests per second"), "requests per second over all sidecars", 0.0),
    ),
    allows_unknown=True,
)
ALLOWED = Table(
    (
        _optional("MaxAttempts", Int(1, 100), "attempts per request", 3),
        _optional("MaxRetryAfterUs", NON_NEGATIVE_US, "longest Retry-After that clients obey (microseconds)",
                  1_000_000),
        _optional("SecondCopies", Flag(), "hedging: two attempts of one request may be in flight at once", False),
        _optional("MayCancel", Flag(), "attempts may be cancelled", False),
        _optional("RetryAfter", Flag(), "refusals may carry Retry-After", False),
        _optional("ConnIdleUs", NON_NEGATIVE_US, "endpoints close idle connections after this (microseconds);"
                  " 0: unknown", 0),
        _optional("ConnectTimeoutUs", POSITIVE_US, "connect timeout (microseconds)", 250_000),
        *(_optional(name, Anything(), "sent by the platform; not used") for name in (
            "CpuUsPerRequest", "CpuUsPerS", "MaxOpen", "Multiplex", "Peers", "Probing",
        )),
    ),
    allows_unknown=True,
)  # fmt: skip
RULES = Table(
    (
        _optional("ColdUs", NON_NEGATIVE_US, "an endpoint is warm this long after its start (microseconds)",
                  10_000_000),
        _optional("ColdFrom", Number(0.001, 1), "the fraction of its capacity that it starts with", 0.1),
        _optional("OverloadFactor", Number(0.001, 1000), "the multiple of its current capacity that overloads a cold"
                  " endpoint", 2.0),
        _optional("DrainGraceUs", NON_NEGATIVE_US, "how soon a drain must take effect (microseconds)", 1_000_000),
        _optional("AskEveryUs", NON_NEGATIVE_US, "how long a list of endpoints may be used without a watch"
                  " (microseconds)", 10_000_000),
        *(_optional(name, Anything(), "sent by the platform; not used") for name in ("AnswerSlackUs", "FallUs")),
    ),
    allows_unknown=True,
)  # fmt: skip
GOAL = Table(
    tuple(
        _optional(name, WEIGHT, "a weight", 0.0)
        for name in ("Whole", "WorstWindow", "WorstTenant", "Availability", "WorstClass", "Tail")
    ),
    allows_unknown=True,
)
SETTINGS = Table(
    (
        Key("Categories", ListOf(CATEGORY, 256), "the classes of requests"),
        _optional("Parties", ListOf(PARTY, 1000), "the tenants", []),
        _optional("Allowed", ALLOWED, "features and limits of the site", {}),
        _optional("Rules", RULES, "parameters of the rules", {}),
        _optional("Goal", GOAL, "weights of the goal", {}),
        _optional("Charges", Table((_optional("CrossZone", WEIGHT, "price of crossing zones", 0.0), *(
            _optional(name, Anything(), "sent by the platform; not used") for name in (
                "Connection", "Discovery", "Fleet", "Handshake", "LateFail", "Moves", "Origin", "Peer", "Probe",
                "Waste",
            ))), allows_unknown=True), "prices", {}),
        _optional("Rank", Int(0, 1_000_000), "this sidecar's number, from 0", 0),
        _optional("Balancers", Int(1, 1_000_000), "sidecars in this tier", 1),
        _optional("Layer", Int(0, 100), "the tier that this sidecar sends into", 0),
        _optional("Tiers", ListOf(ANY_TEXT, 100), "the tiers' names", [""]),
        _optional("MyZone", ANY_TEXT, "this sidecar's zone", ""),
        _optional("Localities", ZONES, "the names of all zones"),
        _optional("Kinds", ListOf(Text(description="a kind's name"), 1000), "the kinds of machine"),
        _optional("OverShareWorth", Number(0, 1000), "worth of a request over its tenant's share", 1.0),
        _optional("Discovery", _choice(Discovery), "whether lists are pushed or polled", "push"),
        *(_optional(name, Anything(), "sent by the platform; not used") for name in (
            "Clients", "Family", "FamilyInfo", "Report", "StepUs", "Weights", "WorthBy",
        )),
    ),
    allows_unknown=True,
)  # fmt: skip
INSTANCE = Table(
    (
        Key("instanceId", Text(r".{1,256}", "an id"), "the endpoint's id"),
        Key("hostPort", Address(), "its address"),
        Key("lifecycle", Choice(("ready", "draining", "gone")), "its state"),
        _optional("zone", ANY_TEXT, "its zone", ""),
        _optional("machineType", ANY_TEXT, "its kind", ""),
        _optional("cell", Int(-1, 1 << 31), "its cell"),
        _optional("weight", Number(0, 1e6), "its relative capacity", 1.0),
        _optional("startedAtMs", Int(0, 1 << 53), "when it started", 0),
        _optional("metadata", MapOf(Text(), ".{1,128}"), "labels, for pools", {}),
    ),
    allows_unknown=True,
)
DOCUMENT = Table(
    (
        _optional("name", ANY_TEXT, "the sidecar's name", ""),
        _optional("listen", Address(), "the address that callers connect to"),
        _optional("discovery", Address(), "the address of discovery"),
        Key(
            "seed", Text(r"(0x)?[0-9a-fA-F_]{1,64}", "a hexadecimal number in quotes"), "the seed of the random numbers"
        ),
        _optional(
            "limits",
            Table(
                (
                    _optional("cores", Number(0.001, 10_000), "CPU cores", 1.0),
                    _optional("memory_mb", Number(1, 1 << 24), "memory (MB)", 192.0),
                    _optional("sockets", Int(1, 1 << 24), "file descriptors", 1024),
                ),
                allows_unknown=True,
            ),
            "limits of the machine",
            {},
        ),
        _optional(
            "known",
            Table(
                (
                    Key("generation", Int(0, 1 << 62), "the list's version"),
                    Key("reset", Flag(), "whether the list is complete"),
                    Key("instances", ListOf(INSTANCE, 20_000), "endpoints"),
                ),
                allows_unknown=True,
            ),
            "the last known list of endpoints",
        ),
        Key("settings", SETTINGS, "settings of the decision module"),
        _optional("peer_listen", Anything(), "sent by the platform; not used"),
        _optional("peers", Anything(), "sent by the platform; not used"),
        _optional("peers_all", Anything(), "sent by the platform; not used"),
        _optional("notes", Anything(), "explanations of values; the sidecar ignores them"),
    ),
    allows_unknown=True,
)


def check(document: dict[str, Any], root: Location) -> None:
    """Report well-formed values of one sidecar's file that are wrong. `document` is what `DOCUMENT` read."""
    settings = document.get("settings", {})
    location = root / "settings"
    _check_classes(settings, location / "Categories")
    _check_tenants(settings, location / "Parties")
    _check_position(settings, location)
    _check_limits(document, root)
    _check_addresses(document, root)
    _check_endpoints(document, root / "known" / "instances")


def _check_classes(settings: dict[str, Any], location: Location) -> None:
    rows = settings.get("Categories", [])
    if "Categories" in settings and not rows:
        location.error(
            "no-classes", "no class is declared", "The sidecar would not start", "Declare at least one class"
        )
    seen: dict[str, tuple[int, dict[str, Any]]] = {}
    for i, row in enumerate(rows):
        row_location = location / i
        name = row.get("Name", "")
        _check_times(row, row_location, settings.get("Allowed", {}))
        _check_effect(name, row, row_location)
        _check_class_name(name, row_location / "Name")
        other = seen.setdefault(fold_name(name), (i, row))
        if name and other[1] is not row:
            _check_same_name(name, row, other[1], row_location / "Name")


def _check_same_name(name: str, row: dict[str, Any], other: dict[str, Any], location: Location) -> None:
    if other["Name"] == name:
        location.error(
            "duplicate", f"the class {name!r} is declared twice", "The sidecar would not start", "Keep one of them"
        )
    elif other.get("Effect") != row.get("Effect"):
        location.error(
            "disguise",
            f"{name!r} differs from {other['Name']!r} only in spelling, but has another effect",
            "A request that must not be repeated could be sent under the name of the class that may be",
            "Declare the same effect for both, or keep one of them",
        )


def _check_times(row: dict[str, Any], location: Location, allowed: dict[str, Any]) -> None:
    objective_us, deadline_us = row.get("AimUs"), row.get("DeadlineUs")
    if deadline_us is None:
        return
    if objective_us is not None and objective_us > deadline_us:
        (location / "AimUs").error(
            "aim-after-deadline",
            f"the latency objective {format_duration(objective_us)} is longer than "
            f"the deadline {format_duration(deadline_us)}",
            "Answers could arrive after the client gave up and still count as on time",
            "Make the latency objective shorter than the deadline",
        )
    if deadline_us <= ANSWER_MARGIN_US:
        (location / "DeadlineUs").error(
            "deadline-too-short",
            f"the deadline is {format_duration(deadline_us)}, and answers are sent "
            f"{format_duration(ANSWER_MARGIN_US)} before it",
            "Every request would be answered with 504 at once",
            "Use a longer deadline",
        )
    total_connect_time_us = allowed.get("MaxAttempts", 3) * allowed.get("ConnectTimeoutUs", 250_000)
    if total_connect_time_us > deadline_us:
        (location / "DeadlineUs").error(
            "attempts-do-not-fit",
            f"{allowed.get('MaxAttempts', 3)} failed connection attempts take "
            f"{format_duration(total_connect_time_us)}, longer than {format_duration(deadline_us)}",
            "The last attempts would never be made",
            "Lower Allowed.MaxAttempts or Allowed.ConnectTimeoutUs",
        )


def _check_effect(name: str, row: dict[str, Any], location: Location) -> None:
    effect, window = row.get("Effect"), row.get("DedupWindowUs", 0)
    if effect is None:
        return
    if effect == Effect.DEDUPLICATED.value and not window:
        (location / "DedupWindowUs").error(
            "no-window",
            "the class is keyed, but its deduplication window is 0",
            "The sidecar would not start, or no repeat would ever be sent",
            "State how long endpoints drop repeats, or make the class at_most_once",
        )
    known = declared_classes().get(fold_name(name))
    if known is None:
        return
    if STRICTNESS[effect] < STRICTNESS[known.effect.value]:
        (location / "Effect").error(
            "effect-declared",
            f"{name!r} is declared {known.effect.value}, but is {effect} here",
            "A request that may have run would be sent again",
            f'Write "{known.effect.value}"',
        )
    elif effect == Effect.DEDUPLICATED.value and known.window_us and window > known.window_us:
        (location / "DedupWindowUs").error(
            "window",
            f"keys are resent for {format_duration(window)}, but endpoints drop them only for "
            f"{format_duration(known.window_us)}",
            "A later repeat would run a second time",
            f"Write {known.window_us} or less",
        )


def _check_class_name(name: str, location: Location) -> None:
    if name == "up":
        location.error(
            "class-name", "/up is the sidecar's readiness check", "The class would get no requests", "Rename it"
        )
        return
    try:
        plain = not name or segments_of(b"/" + name.encode("utf-8")) == (name.encode("utf-8"),)
    except InvalidTargetError:
        plain = False
    if not plain:
        location.warn(
            "class-name",
            f"{name!r} can't be the first part of a path",
            "The class gets no requests unless a route names it",
            "Use letters, digits, '-', '_', '.' or '~'",
        )


def _check_tenants(settings: dict[str, Any], location: Location) -> None:
    rows = settings.get("Parties") or []
    seen: set[str] = set()
    for i, row in enumerate(rows):
        name = row.get("Name", "")
        if name in seen:
            (location / i / "Name").error(
                "duplicate", f"the tenant {name!r} is declared twice", "The sidecar would not start", "Keep one of them"
            )
        seen.add(name)
        if name and not re.fullmatch(r"[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?", name):
            (location / i / "Name").error(
                "tenant-name",
                f"{name!r} can't be the value of a header",
                "No request could name the tenant",
                "Use printable ASCII characters, without spaces at the ends",
            )
    total = math.fsum(row.get("Share", 0.0) for row in rows)
    if total > MAX_TOTAL_SHARE:
        location.error(
            "shares",
            f"the shares add up to {total:.3f}",
            "Each tenant would get less than its share",
            "Lower the shares until they add up to at most 1",
        )


def _check_position(settings: dict[str, Any], location: Location) -> None:
    tiers, layer = settings.get("Tiers") or [""], settings.get("Layer", 0)
    if layer >= len(tiers):
        (location / "Layer").error(
            "layer",
            f"the tier {layer} is not below the number of tiers, {len(tiers)}",
            "The sidecar would not start",
            f"Write 0 to {len(tiers) - 1}",
        )
    rank, count = settings.get("Rank", 0), settings.get("Balancers", 1)
    if rank >= count:
        (location / "Rank").warn(
            "rank",
            f"sidecar {rank} of {count}, counted from 0",
            "It would use the same subset of endpoints as another sidecar",
            f"Write 0 to {count - 1}",
        )
    zones = settings.get("Localities")
    if zones and settings.get("MyZone") and settings["MyZone"] not in zones:
        (location / "MyZone").warn(
            "zone",
            f"{settings['MyZone']!r} is not one of the zones",
            "All endpoints count as remote",
            "Write one of the zones",
        )
    worths = [row.get("Credit", 1.0) for row in settings.get("Categories", [])]
    if worths and not any(worths):
        (location / "Categories").warn(
            "worth",
            "all classes are worth 0",
            "No class gets priority over another",
            "Set Credit for the classes that matter",
        )


def _check_limits(document: dict[str, Any], root: Location) -> None:
    limits = document.get("limits") or {}
    memory, sockets = limits.get("memory_mb", 192.0), limits.get("sockets", 1024)
    location = root / "limits"
    if memory < BASE_MEMORY_MB:
        (location / "memory_mb").error(
            "memory",
            f"{memory:g} MB; the process and its connections alone need {BASE_MEMORY_MB} MB",
            "It would soon be killed for lack of memory",
            f"Give it {RECOMMENDED_MEMORY_MB} MB or more",
        )
    elif memory < RECOMMENDED_MEMORY_MB:
        (location / "memory_mb").warn(
            "memory",
            f"{memory:g} MB",
            "The buffer limit is reached early, and requests are refused with 503",
            f"Give it {RECOMMENDED_MEMORY_MB} MB or more",
        )
    if sockets < MIN_SOCKETS:
        (location / "sockets").error(
            "descriptors",
            f"{sockets} file descriptors, of which {RESERVED_SOCKETS} are reserved for the process itself",
            "Connections of callers and to endpoints would be closed in any burst",
            f"Allow {MIN_SOCKETS} or more",
        )


def _check_addresses(document: dict[str, Any], root: Location) -> None:
    listen = document.get("listen")
    if "discovery" in document and not document["discovery"] and not (document.get("known") or {}).get("instances"):
        (root / "discovery").warn(
            "no-endpoints",
            "neither discovery nor any endpoint is configured",
            "The sidecar would not start unless GW_DISCOVERY is set",
            "Set discovery, list endpoints under 'known', or configure Consul in the operator's file",
        )
    if listen and listen == document.get("discovery"):
        (root / "discovery").error(
            "address",
            f"it is the sidecar's own address {listen}",
            "The sidecar would poll itself for endpoints",
            "Write the address of discovery",
        )
    for i, row in enumerate((document.get("known") or {}).get("instances", [])):
        if listen and row.get("hostPort") == listen:
            (root / "known" / "instances" / i / "hostPort").error(
                "address",
                f"it is the sidecar's own address {listen}",
                "Requests would loop",
                "Write the endpoint's address",
            )


def _check_endpoints(document: dict[str, Any], location: Location) -> None:
    ids: set[str] = set()
    addresses: set[str] = set()
    for i, row in enumerate((document.get("known") or {}).get("instances", [])):
        name, address = row.get("instanceId"), row.get("hostPort")
        if name in ids:
            (location / i / "instanceId").error(
                "duplicate",
                f"the id {name!r} is listed twice",
                "The later entry would replace the earlier one",
                "Keep one of them",
            )
        elif address in addresses:
            (location / i / "hostPort").warn(
                "address",
                f"{address} is listed under two ids",
                "It would get twice its share of requests",
                "Keep one of them",
            )
        ids.add(str(name))
        addresses.add(str(address))
