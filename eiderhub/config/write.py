"""From a description to the two files of each application, with the reason for every value that was derived.

The same description gives the same bytes. What is written has passed the checker, as a sidecar would read it.
"""

from __future__ import annotations

import hashlib
import json
import os
import re
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any

from eiderhub.config import describe
from eiderhub.config.across import across
from eiderhub.config.describe import Application
from eiderhub.config.load import Examined, Source, examine
from eiderhub.routing.options import EFFECT_BY_REPEAT
from eiderhub.schema.findings import Finding, KeyPath, Location, Report, Severity, sort_findings
from eiderhub.schema.toml_writer import toml_key, toml_table, toml_value
from eiderhub.schema.units import format_duration

SIDECAR, OPERATOR = "sidecar.json", "operator.toml"
MAX_TRIES, MAX_TRIES_INSIDE = 3, 2  # what the decision module makes of any larger figure, by tier


@dataclass
class Outcome:
    """Findings of a description, and its files by name where there are no errors."""

    findings: list[Finding] = field(default_factory=list)
    files: dict[str, bytes] = field(default_factory=dict)

    @property
    def sound(self) -> bool:
        return not any(f.severity is Severity.ERROR for f in self.findings)


def outcome(path: str) -> Outcome:
    """Everything that a description gives. Raises `files.UnreadableFileError` where it can't be read at all."""
    applications, report = describe.read(path)
    if report.errors:
        return Outcome(sort_findings(report.findings))
    files: dict[str, bytes] = {}
    examined = []
    for application in applications:
        own, theirs = sidecar_text(application), operator_text(application)
        files[f"{application.name}/{SIDECAR}"] = own
        files[f"{application.name}/{OPERATOR}"] = theirs
        examined.append(examine(Source(SIDECAR, own), Source(OPERATOR, theirs)))
    across(examined)
    for application, one in zip(applications, examined, strict=True):
        _tell_back(application, one, report)
    found = Outcome(sort_findings(report.findings), files)
    if not found.sound:
        found.files = {}
    return found


def _tell_back(application: Application, examined: Examined, report: Report) -> None:
    """Findings of the written files, at the place of the description that they come from."""
    for finding in examined.findings:
        place = Location(report, (*application.location.path, *_origin(application, finding.key)))
        report.add(finding.severity, place.path, finding.code, finding.what, finding.follows, finding.do)


def _origin(application: Application, key: str) -> KeyPath:
    names = list(application.table["classes"])
    if match := re.match(r"settings\.Categories\[(\d+)\](?:\.(\w+))?", key):
        own = {"AimUs": "wanted", "DeadlineUs": "give_up", "Effect": "repeat", "DedupWindowUs": "remembered"}
        return ("classes", names[int(match[1])], *([own[match[2]]] if match[2] in own else []))
    if key.startswith("settings.Parties"):
        return ("tenants",)
    if key.startswith("limits.rate"):
        return ("machine", "descriptors")
    if match := re.match(r"limits\.(\w+)", key):
        return ("machine", {"memory_mb": "memory", "sockets": "descriptors"}.get(match[1], match[1]))
    if match := re.match(r"routes\[(\d+)\](?:\.(.+))?", key):
        return ("routes", int(match[1]), *([match[2]] if match[2] else []))
    if match := re.match(r"(thrift)(?:\.(\w+))?", key):
        return tuple(part for part in match.groups() if part)
    if match := re.match(r"(classes|pools)\.([^.]+)(?:\.(\w+))?", key):
        return tuple(part for part in match.groups() if part)
    return (key,) if key in application.raw else ()


def write(path: str, folder: str) -> Outcome:
    """Write the files of a description below `folder`; nothing is written where there are errors.

    Raises `UnreadableFileError` and OSError. Each file is replaced whole: a reader sees the old one or the new one.
    """
    found = outcome(path)
    for name, content in found.files.items():
        target = os.path.join(folder, name)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        with tempfile.NamedTemporaryFile(dir=os.path.dirname(target), delete=False) as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(file.name, 0o644)
        os.replace(file.name, target)
    return found


# --- the sidecar's file ---


def window_us(remembered: int, connect: int) -> int:
    """For how long a key is sent again: a resend may have to connect first, and must still arrive in time."""
    return remembered - connect


def attempts(deadlines: list[int], connect: int, layer: int) -> int:
    """Attempts that fit into the shortest deadline, each failing to connect, and that the module makes use of."""
    most = MAX_TRIES_INSIDE if layer else MAX_TRIES
    return max(1, min(most, min(deadlines) // connect))


def sidecar_text(application: Application) -> bytes:
    table = application.table
    classes, servers, machine = table["classes"], table["servers"], table["machine"]
    tiers = list(table["tiers"] or ([table["tier"]] if table["tier"] else [""]))
    layer = tiers.index(table["tier"]) if table["tier"] else 0
    tries = attempts([row["give_up"] for row in classes.values()] or [1], servers["connect"], layer)
    harmless = [name for name, row in classes.items() if row["repeat"] == "harmless"]
    notes = _notes(table, layer, tries, harmless)
    settings: dict[str, Any] = {
        "Categories": [_category(name, row, servers["connect"]) for name, row in classes.items()],
        "Parties": [
            {"Name": name, "Share": share, "QuotaPerS": round(table["rate"] * share, 3)}
            for name, share in table["tenants"].items()
        ],
        "Allowed": {
            "MaxAttempts": tries,
            "SecondCopies": bool(harmless) and layer == 0,
            "MayCancel": True,
            "RetryAfter": table["clients_wait"] > 0,
            "MaxRetryAfterUs": table["clients_wait"],
            "ConnIdleUs": servers["idle"],
            "ConnectTimeoutUs": servers["connect"],
        },
        "Rules": {
            "ColdUs": servers["cold"],
            "ColdFrom": servers["cold_from"],
            "OverloadFactor": servers["bears"],
        },
        "Rank": table["number"],
        "Balancers": table["sidecars"],
        "Layer": layer,
        "Tiers": tiers,
        "MyZone": table["zone"],
        "OverShareWorth": table["over_share"],
        "Discovery": table["lists"] if table["discovery"] else "push",
    }
    for key, names in (("Localities", table["zones"]), ("Kinds", table["kinds"])):
        if names:
            settings[key] = list(names)
    document = {
        "name": application.name,
        "listen": table["listen"],
        **({"discovery": table["discovery"]} if table["discovery"] else {}),
        "seed": hashlib.sha256(application.name.encode()).hexdigest()[:16],
        "limits": {
            "cores": machine["cores"],
            "memory_mb": machine["memory"] / (1 << 20),
            "sockets": machine["descriptors"],
        },
        "known": {"generation": 0, "reset": True, "instances": _instances(table)},
        "settings": settings,
        "notes": notes,
    }
    return (json.dumps(document, indent=2, ensure_ascii=False) + "\n").encode()


def _category(name: str, row: dict[str, Any], connect: int) -> dict[str, Any]:
    found: dict[str, Any] = {
        "Name": name,
        "AimUs": row["wanted"],
        "DeadlineUs": row["give_up"],
        "Effect": EFFECT_BY_REPEAT[row["repeat"]].value,
        "Credit": row["worth"],
        "LateShare": row["late"],
    }
    if row["repeat"] == "keyed":
        found["Group"] = row["dropped_by"]
        found["DedupWindowUs"] = window_us(row["remembered"], connect)
    return found


def _instances(table: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {"instanceId": address, "hostPort": address, "zone": table["zone"], "lifecycle": "ready", "startedAtMs": 0}
        for address in table["endpoints"]
    ]


def _notes(table: dict[str, Any], layer: int, tries: int, harmless: list[str]) -> dict[str, str]:
    connect = format_duration(table["servers"]["connect"])
    notes = {
        "seed": "from the name, so that the same description gives the same file; sidecars of one tier should differ",
        "settings.Allowed.MaxAttempts": f"{tries}: as many as fit into the shortest give-up time if each takes "
        f"{connect} to fail, and no more than the module makes of them in tier {layer}",
        "settings.Allowed.SecondCopies": f"for {', '.join(harmless)}, which are harmless to repeat"
        if harmless and layer == 0
        else "off: in an inner tier copies multiply"
        if layer
        else "off: no class is harmless to repeat",
        "settings.Allowed.MaxRetryAfterUs": "the longest wait that clients obey, as described",
    }
    if table["tenants"]:
        notes["settings.Parties"] = f"QuotaPerS is the share of {table['rate']:g} requests a second, at all sidecars"
    for name, row in table["classes"].items():
        if row["repeat"] == "keyed":
            notes[f"settings.Categories {name}"] = (
                f"DedupWindowUs is {format_duration(row['remembered'])} less {connect}: "
                "a resend may have to connect first"
            )
        elif row["repeat"] == "never":
            notes[f"settings.Categories {name}"] = "at_most_once: sent again only where it surely has not run"
    if not table["discovery"]:
        notes["known"] = "all there is: no discovery is described, so a change of it needs a restart"
    elif not table["endpoints"]:
        notes["known"] = "empty: nothing is served until discovery has answered"
    return notes


# --- the operator's file ---


def operator_text(application: Application) -> bytes:
    return ("\n".join(_operator_lines(application)) + "\n").encode()


def _operator_lines(application: Application) -> Iterator[str]:
    table, raw = application.table, application.raw
    host = table["listen"].rpartition(":")[0].strip("[]")
    loopback = host == "localhost" or ip_address(host).is_loopback
    asked = loopback if table["loopback"] is None else table["loopback"]
    yield f"# Operator's file of {application.name}. Written from its description: change that, and write again."
    yield "# `eiderhub config check` on this folder says whether a sidecar would start and run soundly from it."
    yield ""
    yield "[limits]"
    if table["loopback"] is None:
        yield f"# {'The description listens on loopback: nothing else should.' if loopback else 'Not on loopback.'}"
    yield f"listen = {toml_value('loopback' if asked else 'any')}"
    yield f"# {table['rate']:g} requests a second over {table['sidecars']} sidecars; descriptors are held against it."
    yield f"rate = {toml_value(round(table['rate'] / table['sidecars'], 3))}"
    for name, row in table["classes"].items():
        yield ""
        yield f"[classes.{toml_key(name)}]"
        yield "# Said once more, so that a change of the sidecar's file alone is found."
        yield f"repeat = {toml_value(row['repeat'])}"
        if row["remembered"]:
            yield f"remembered = {toml_value(format_duration(row['remembered']))}"
        if row["aliases"]:
            yield f"aliases = {toml_value(list(row['aliases']))}"
    yield ""
    yield "[routing]"
    yield "# What becomes of a request that no route takes."
    yield f"default = {toml_value(table['default'])}"
    for name, pool in raw.get("pools", {}).items():
        yield from toml_table(f"[pools.{toml_key(name)}]", pool)
    for route in raw.get("routes", []):
        yield from toml_table("[[routes]]", route)
    if "thrift" in raw:
        yield from toml_table("[thrift]", raw["thrift"])
