"""The sidecar's own file (JSON): its keys, as the platform's protocol and the module's wire state them, and its sense.

Keys that the sidecar does not use but the platform may send are known here, so that they are no findings.
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

LITTLE_MB = 32  # from here on bodies of 64 KiB have room beside the process itself
SHARES_MOST = 1.01  # shares are rounded when they are written down
US = Int(1, HOUR_US, "microseconds")
PAUSE = Int(0, HOUR_US, "microseconds")
PART = Number(0, 1)
WEIGHT = Number(0, 1e6)
ANY_TEXT = Text(r"(?s).{0,1024}", "a text")


class Address:
    """IP:port. The platform resolves no names."""

    description = 'an address such as "127.0.0.1:7070"'

    def read(self, value: object, location: Location) -> Any:
        match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}|localhost|\[[0-9a-f:]+\]):(\d{1,5})", str(value))
        if not isinstance(value, str) or match is None or not 0 <= int(match[2]) <= 65535:
            return report_invalid(location, value, self.description, "address")
        if match[1][0].isdigit() and any(int(part) > 255 for part in match[1].split(".")):
            return report_invalid(location, value, self.description, "address")
        return value


class Anything:
    """What the platform states and the sidecar does not use."""

    description = "anything"

    def read(self, value: object, location: Location) -> Any:
        return value


def _choice(enum: type[Any]) -> Choice:
    return Choice(tuple(member.value for member in enum))


def _optional(name: str, kind: ValueType, help: str, default: Any = None) -> Key:
    return Key(name, kind, help, default)


ZONES = ListOf(Text(description="a zone's name"), 1000)
CATEGORY = Table(
    (
        Key("Name", Text(r".{1,128}", "a name"), "the class's name, the first part of the path"),
        Key("AimUs", US, "wanted within (microseconds)"),
        Key("DeadlineUs", US, "given up after (microseconds)"),
        Key("Effect", _choice(Effect), "what a repeat would do"),
        _optional("Group", _choice(DedupScope), "which endpoints drop a repeat of a keyed request", "all"),
        _optional("DedupWindowUs", PAUSE, "for how long they drop it (microseconds)", 0),
        _optional("Credit", WEIGHT, "what a request is worth", 1.0),
        _optional("LateShare", PART, "share of the worth that a late answer earns", 0.0),
        _optional("Streaming", Flag(), "the answer streams", False),
        _optional("StaysIn", ZONES, "the only zones it may go to"),
        _optional("ServedOn", ListOf(Text(description="a kind's name"), 1000), "the only kinds of machine"),
        _optional("AimStretch", WEIGHT, "the aim grows with the request's work"),
    ),
    allows_unknown=True,
)
PARTY = Table(
    (
        Key("Name", Text(r".{1,128}", "a name"), "the tenant's name"),
        _optional("Share", PART, "its fraction of the service", 0.0),
        _optional("QuotaPerS", Number(0, 1e9, "requests a second"), "requests a second, at all sidecars", 0.0),
    ),
    allows_unknown=True,
)
ALLOWED = Table(
    (
        _optional("MaxAttempts", Int(1, 100), "attempts of one request", 3),
        _optional("MaxRetryAfterUs", PAUSE, "the longest wait that clients obey", 1_000_000),
        _optional("SecondCopies", Flag(), "two attempts of one request may be out together", False),
        _optional("MayCancel", Flag(), "attempts may be cancelled", False),
        _optional("RetryAfter", Flag(), "clients are told when to come back", False),
        _optional("ConnIdleUs", PAUSE, "endpoints close idle connections after this; 0: not told", 0),
        _optional("ConnectTimeoutUs", US, "a connection not up by then has failed", 250_000),
        *(_optional(name, Anything(), "stated by the platform") for name in (
            "CpuUsPerRequest", "CpuUsPerS", "MaxOpen", "Multiplex", "Peers", "Probing",
        )),
    ),
    allows_unknown=True,
)  # fmt: skip
RULES = Table(
    (
        _optional("ColdUs", PAUSE, "an endpoint is warm after this", 10_000_000),
        _optional("ColdFrom", Number(0.001, 1), "the part of its capacity that it starts with", 0.1),
        _optional("OverloadFactor", Number(0.001, 1000), "the multiple that a cold endpoint bears", 2.0),
        _optional("DrainGraceUs", PAUSE, "how soon news of a drain must be in force", 1_000_000),
        _optional("AskEveryUs", PAUSE, "how long a copy with no watch may go by its list", 10_000_000),
        *(_optional(name, Anything(), "stated by the platform") for name in ("AnswerSlackUs", "FallUs")),
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
        _optional("Allowed", ALLOWED, "what the site permits", {}),
        _optional("Rules", RULES, "figures of the rules", {}),
        _optional("Goal", GOAL, "what is counted", {}),
        _optional("Charges", Table((_optional("CrossZone", WEIGHT, "price of another zone", 0.0), *(
            _optional(name, Anything(), "stated by the platform") for name in (
                "Connection", "Discovery", "Fleet", "Handshake", "LateFail", "Moves", "Origin", "Peer", "Probe",
                "Waste",
            ))), allows_unknown=True), "prices", {}),
        _optional("Rank", Int(0, 1_000_000), "this sidecar's number", 0),
        _optional("Balancers", Int(1, 1_000_000), "sidecars in this tier", 1),
        _optional("Layer", Int(0, 100), "the tier this sidecar sends into", 0),
        _optional("Tiers", ListOf(ANY_TEXT, 100), "the tiers' names", [""]),
        _optional("MyZone", ANY_TEXT, "this sidecar's zone", ""),
        _optional("Localities", ZONES, "the zones' names"),
        _optional("Kinds", ListOf(Text(description="a kind's name"), 1000), "the kinds of machine"),
        _optional("OverShareWorth", Number(0, 1000), "worth of a request over its tenant's share", 1.0),
        _optional("Discovery", _choice(Discovery), "whether lists are pushed or asked for", "push"),
        *(_optional(name, Anything(), "stated by the platform") for name in (
            "Clients", "Family", "FamilyInfo", "Report", "StepUs", "Weights", "WorthBy",
        )),
    ),
    allows_unknown=True,
)  # fmt: skip
INSTANCE = Table(
    (
        Key("instanceId", Text(r".{1,256}", "an id"), "the endpoint's id"),
        Key("hostPort", Address(), "where it listens"),
        Key("lifecycle", Choice(("ready", "draining", "gone")), "its state"),
        _optional("zone", ANY_TEXT, "its zone", ""),
        _optional("machineType", ANY_TEXT, "its kind", ""),
        _optional("cell", Int(-1, 1 << 31), "its cell"),
        _optional("weight", Number(0, 1e6), "its size", 1.0),
        _optional("startedAtMs", Int(0, 1 << 53), "when it started", 0),
        _optional("metadata", MapOf(Text(), ".{1,128}"), "further facts, for pools", {}),
    ),
    allows_unknown=True,
)
DOCUMENT = Table(
    (
        _optional("name", ANY_TEXT, "the sidecar's name", ""),
        _optional("listen", Address(), "where clients connect"),
        _optional("discovery", Address(), "discovery"),
        Key("seed", Text(r"(0x)?[0-9a-fA-F_]{1,64}", "a hexadecimal number in quotes"), "for random numbers"),
        _optional(
            "limits",
            Table(
                (
                    _optional("cores", Number(0.001, 10_000), "CPU", 1.0),
                    _optional("memory_mb", Number(1, 1 << 24), "memory", 192.0),
                    _optional("sockets", Int(1, 1 << 24), "descriptors", 1024),
                ),
                allows_unknown=True,
            ),
            "the machine",
            {},
        ),
        _optional(
            "known",
            Table(
                (
                    Key("generation", Int(0, 1 << 62), "the list's version"),
                    Key("reset", Flag(), "whether the list is whole"),
                    Key("instances", ListOf(INSTANCE, 20_000), "endpoints"),
                ),
                allows_unknown=True,
            ),
            "the list of endpoints as last known",
        ),
        Key("settings", SETTINGS, "what the module is told"),
        _optional("peer_listen", Anything(), "stated by the platform"),
        _optional("peers", Anything(), "stated by the platform"),
        _optional("peers_all", Anything(), "stated by the platform"),
        _optional("notes", Anything(), "why values are as they are; the sidecar does not read it"),
    ),
    allows_unknown=True,
)


def check(document: dict[str, Any], root: Location) -> None:
    """What is well-formed and wrong in one sidecar's file. `document` is what `DOCUMENT` read."""
    settings = document.get("settings", {})
    location = root / "settings"
    _classes(settings, location / "Categories")
    _tenants(settings, location / "Parties")
    _place(settings, location)
    _machine(document, root)
    _addresses(document, root)
    _endpoints(document, root / "known" / "instances")


def _classes(settings: dict[str, Any], location: Location) -> None:
    rows = settings.get("Categories", [])
    if "Categories" in settings and not rows:
        location.error("no-classes", "there is no class", "No sidecar starts from it", "Name at least one class")
    seen: dict[str, tuple[int, dict[str, Any]]] = {}
    for i, row in enumerate(rows):
        own = location / i
        name = row.get("Name", "")
        _times(row, own, settings.get("Allowed", {}))
        _effect(name, row, own)
        _class_name(name, own / "Name")
        other = seen.setdefault(fold_name(name), (i, row))
        if name and other[1] is not row:
            _same_name(name, row, other[1], own / "Name")


def _same_name(name: str, row: dict[str, Any], other: dict[str, Any], location: Location) -> None:
    if other["Name"] == name:
        location.error(
            "duplicate", f"the class {name!r} is there twice", "No sidecar starts from it", "Keep one of them"
        )
    elif other.get("Effect") != row.get("Effect"):
        location.error(
            "disguise",
            f"{name!r} differs from {other['Name']!r} in spelling alone, and a repeat of it would do something else",
            "A request that must not be repeated could be sent under the name that may",
            "Give one effect to both, or keep one of them",
        )


def _times(row: dict[str, Any], location: Location, allowed: dict[str, Any]) -> None:
    aim, deadline = row.get("AimUs"), row.get("DeadlineUs")
    if deadline is None:
        return
    if aim is not None and aim > deadline:
        (location / "AimUs").error(
            "aim-after-deadline",
            f"wanted within {format_duration(aim)}, given up after {format_duration(deadline)}",
            "Every answer that counts would come after the client has gone",
            "Let the wanted time be the shorter one",
        )
    if deadline <= ANSWER_MARGIN_US:
        (location / "DeadlineUs").error(
            "deadline-too-short",
            f"given up after {format_duration(deadline)}, and answers leave {format_duration(ANSWER_MARGIN_US)} ahead",
            "Every request would be answered 504 at once",
            "Give it more time",
        )
    least = allowed.get("MaxAttempts", 3) * allowed.get("ConnectTimeoutUs", 250_000)
    if least > deadline:
        (location / "DeadlineUs").error(
            "attempts-do-not-fit",
            f"{allowed.get('MaxAttempts', 3)} attempts that fail to connect take {format_duration(least)}, "
            f"longer than {format_duration(deadline)}",
            "The last attempts would never be made",
            "Lower Allowed.MaxAttempts or Allowed.ConnectTimeoutUs",
        )


def _effect(name: str, row: dict[str, Any], location: Location) -> None:
    effect, window = row.get("Effect"), row.get("DedupWindowUs", 0)
    if effect is None:
        return
    if effect == Effect.DEDUPLICATED.value and not window:
        (location / "DedupWindowUs").error(
            "no-window",
            "keyed, but no endpoint remembers a key for any time",
            "No sidecar starts from it, or no repeat would ever be sent",
            "Say for how long repeats are dropped, or make the class at_most_once",
        )
    known = declared_classes().get(fold_name(name))
    if known is None:
        return
    if STRICTNESS[effect] < STRICTNESS[known.effect.value]:
        (location / "Effect").error(
            "effect-declared",
            f"{name!r} is declared {known.effect.value}, and is {effect} here",
            "A request that may have run would be sent again",
            f'Write "{known.effect.value}"',
        )
    elif effect == Effect.DEDUPLICATED.value and known.window_us and window > known.window_us:
        (location / "DedupWindowUs").error(
            "window",
            f"a key is resent for {format_duration(window)}, and endpoints drop it for "
            f"{format_duration(known.window_us)}",
            "A repeat after that would run a second time",
            f"Write {known.window_us} or less",
        )


def _class_name(name: str, location: Location) -> None:
    if name == "up":
        location.error("class-name", "/up tells whether the sidecar is ready", "The class gets no request", "Rename it")
        return
    try:
        plain = not name or segments_of(b"/" + name.encode("utf-8")) == (name.encode("utf-8"),)
    except InvalidTargetError:
        plain = False
    if not plain:
        location.warn(
            "class-name",
            f"{name!r} can't be the first part of a path",
            "Without a route that names it, the class gets no request",
            "Use letters, digits, '-', '_', '.' or '~'",
        )


def _tenants(settings: dict[str, Any], location: Location) -> None:
    rows = settings.get("Parties") or []
    seen: set[str] = set()
    for i, row in enumerate(rows):
        name = row.get("Name", "")
        if name in seen:
            (location / i / "Name").error(
                "duplicate", f"the tenant {name!r} is there twice", "No sidecar starts from it", "Keep one of them"
            )
        seen.add(name)
        if name and not re.fullmatch(r"[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?", name):
            (location / i / "Name").error(
                "tenant-name",
                f"{name!r} can't be the value of a header",
                "No request could name the tenant",
                "Use letters, digits and signs of ASCII",
            )
    total = math.fsum(row.get("Share", 0.0) for row in rows)
    if total > SHARES_MOST:
        location.error(
            "shares",
            f"the shares add up to {total:.3f}",
            "Each tenant would get less than is written",
            "Let them add up to 1 at the most",
        )


def _place(settings: dict[str, Any], location: Location) -> None:
    tiers, layer = settings.get("Tiers") or [""], settings.get("Layer", 0)
    if layer >= len(tiers):
        (location / "Layer").error(
            "layer", f"tier {layer} of {len(tiers)}", "No sidecar starts from it", f"Write 0 to {len(tiers) - 1}"
        )
    rank, count = settings.get("Rank", 0), settings.get("Balancers", 1)
    if rank >= count:
        (location / "Rank").warn(
            "rank",
            f"sidecar {rank} of {count}, counted from 0",
            "It shares its subset of endpoints with another one",
            f"Write 0 to {count - 1}",
        )
    zones = settings.get("Localities")
    if zones and settings.get("MyZone") and settings["MyZone"] not in zones:
        (location / "MyZone").warn(
            "zone", f"{settings['MyZone']!r} is none of the zones", "All endpoints count as far", "Name its zone"
        )
    credits = [row.get("Credit", 1.0) for row in settings.get("Categories", [])]
    if credits and not any(credits):
        (location / "Categories").warn(
            "worth", "no class is worth anything", "None comes before another", "Give Credit to what matters"
        )


def _machine(document: dict[str, Any], root: Location) -> None:
    limits = document.get("limits") or {}
    memory, sockets = limits.get("memory_mb", 192.0), limits.get("sockets", 1024)
    location = root / "limits"
    if memory < BASE_MEMORY_MB:
        (location / "memory_mb").error(
            "memory",
            f"{memory:g} MB; the process alone takes {BASE_MEMORY_MB} MB with its connections",
            "It would be killed before long",
            f"Give it {LITTLE_MB} MB or more",
        )
    elif memory < LITTLE_MB:
        (location / "memory_mb").warn(
            "memory", f"{memory:g} MB", "Bodies are turned away with 503 early", f"Give it {LITTLE_MB} MB or more"
        )
    if sockets < MIN_SOCKETS:
        (location / "sockets").error(
            "descriptors",
            f"{sockets} descriptors, {RESERVED_SOCKETS} of them for the process itself",
            "Callers and endpoints would be cut off in any burst",
            f"Allow {MIN_SOCKETS} or more",
        )


def _addresses(document: dict[str, Any], root: Location) -> None:
    listen = document.get("listen")
    if "discovery" in document and not document["discovery"] and not (document.get("known") or {}).get("instances"):
        (root / "discovery").warn(
            "no-endpoints",
            "neither discovery nor an endpoint is named",
            "No sidecar starts from it, unless GW_DISCOVERY names discovery",
            "Name discovery, endpoints under 'known', or Consul in the operator's file",
        )
    if listen and listen == document.get("discovery"):
        (root / "discovery").error(
            "address", f"the sidecar's own address {listen}", "It would ask itself for endpoints", "Name discovery's"
        )
    for i, row in enumerate((document.get("known") or {}).get("instances", [])):
        if listen and row.get("hostPort") == listen:
            (root / "known" / "instances" / i / "hostPort").error(
                "address", f"the sidecar's own address {listen}", "Requests would go round", "Name the endpoint's"
            )


def _endpoints(document: dict[str, Any], location: Location) -> None:
    ids: set[str] = set()
    places: set[str] = set()
    for i, row in enumerate((document.get("known") or {}).get("instances", [])):
        name, place = row.get("instanceId"), row.get("hostPort")
        if name in ids:
            (location / i / "instanceId").error(
                "duplicate", f"the id {name!r} is there twice", "The later entry would stand for both", "Keep one"
            )
        elif place in places:
            (location / i / "hostPort").warn(
                "address", f"{place} is there under two ids", "It gets twice its part", "Keep one of them"
            )
        ids.add(str(name))
        places.add(str(place))
