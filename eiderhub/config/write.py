"""Generates the two files of each application from a description, with the reason for each derived value.

The same description gives the same bytes. Files are written only if the checker finds no errors in them.
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

from eiderhub.config import description
from eiderhub.config.consistency import check_consistency
from eiderhub.config.description import Application
from eiderhub.config.load import ExaminedFiles, SourceFile, examine
from eiderhub.routing.options import EFFECT_BY_REPEAT
from eiderhub.schema.findings import Finding, KeyPath, Location, Report, Severity, sort_findings
from eiderhub.schema.toml_writer import toml_key, toml_table, toml_value
from eiderhub.schema.units import format_duration

SIDECAR_FILE, OPERATOR_FILE = "sidecar.json", "operator.toml"
MAX_ATTEMPTS, MAX_ATTEMPTS_INNER = 3, 2  # the decision module's own limits, by tier


@dataclass
class GeneratedFiles:
    """Findings of a description, and the content of its files by name. There are no files if there are errors."""

    findings: list[Finding] = field(default_factory=list)
    files: dict[str, bytes] = field(default_factory=dict)

    @property
    def is_valid(self) -> bool:
        return not any(f.severity is Severity.ERROR for f in self.findings)


def generate(path: str) -> GeneratedFiles:
    """Generate and check the files of a description. Raises `UnreadableFileError` if it can't be read."""
    applications, report = description.read_description(path)
    if report.errors:
        return GeneratedFiles(sort_findings(report.findings))
    files: dict[str, bytes] = {}
    examined = []
    for application in applications:
        sidecar_content, operator_content = sidecar_text(application), operator_text(application)
        files[f"{application.name}/{SIDECAR_FILE}"] = sidecar_content
        files[f"{application.name}/{OPERATOR_FILE}"] = operator_content
        examined.append(examine(SourceFile(SIDECAR_FILE, sidecar_content), SourceFile(OPERATOR_FILE, operator_content)))
    check_consistency(examined)
    for application, examined_files in zip(applications, examined, strict=True):
        _report_at_origin(application, examined_files, report)
    found = GeneratedFiles(sort_findings(report.findings), files)
    if not found.is_valid:
        found.files = {}
    return found


def _report_at_origin(application: Application, examined: ExaminedFiles, report: Report) -> None:
    """Report findings of the generated files at the part of the description that they result from."""
    for finding in examined.findings:
        origin = Location(report, (*application.location.path, *_origin(application, finding.key)))
        report.add(finding.severity, origin.path, finding.code, finding.what, finding.follows, finding.do)


def _origin(application: Application, key: str) -> KeyPath:
    """Return the part of a description that a key of the generated files results from."""
    names = list(application.table["classes"])
    if match := re.match(r"settings\.Categories\[(\d+)\](?:\.(\w+))?", key):
        source_keys = {
            "AimUs": "wanted",
            "DeadlineUs": "give_up",
            "Effect": "repeat",
            "DedupWindowUs": "remembered",
        }
        return (
            "classes",
            names[int(match[1])],
            *([source_keys[match[2]]] if match[2] in source_keys else []),
        )
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


def write(path: str, folder: str) -> GeneratedFiles:
    """Write the files of a description below `folder`, or no files if there are errors.

    Each file is replaced atomically: a reader sees the old or the new content.
    Raises `UnreadableFileError` and OSError.
    """
    found = generate(path)
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


def dedup_window_us(remembered_us: int, connect_us: int) -> int:
    """Return how long a key may be resent, in microseconds.

    A resend may have to connect first, and must still arrive while endpoints remember the key.
    """
    return remembered_us - connect_us


def fitting_attempts(deadlines_us: list[int], connect_us: int, layer: int) -> int:
    """Return how many failed connection attempts fit into the shortest deadline, up to the decision module's limit."""
    max_attempts = MAX_ATTEMPTS_INNER if layer else MAX_ATTEMPTS
    return max(1, min(max_attempts, min(deadlines_us) // connect_us))


def sidecar_text(application: Application) -> bytes:
    """Return the content of the sidecar's file (JSON)."""
    table = application.table
    classes, servers, machine = table["classes"], table["servers"], table["machine"]
    tiers = list(table["tiers"] or ([table["tier"]] if table["tier"] else [""]))
    layer = tiers.index(table["tier"]) if table["tier"] else 0
    attempt_limit = fitting_attempts([row["give_up"] for row in classes.values()] or [1], servers["connect"], layer)
    harmless_classes = [name for name, row in classes.items() if row["repeat"] == "harmless"]
    notes = _notes(table, layer, attempt_limit, harmless_classes)
    settings: dict[str, Any] = {
        "Categories": [_category(name, row, servers["connect"]) for name, row in classes.items()],
        "Parties": [
            {"Name": name, "Share": share, "QuotaPerS": round(table["rate"] * share, 3)}
            for name, share in table["tenants"].items()
        ],
        "Allowed": {
            "MaxAttempts": attempt_limit,
            "SecondCopies": bool(harmless_classes) and layer == 0,
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


def _category(name: str, row: dict[str, Any], connect_us: int) -> dict[str, Any]:
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
        found["DedupWindowUs"] = dedup_window_us(row["remembered"], connect_us)
    return found


def _instances(table: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {"instanceId": address, "hostPort": address, "zone": table["zone"], "lifecycle": "ready", "startedAtMs": 0}
        for address in table["endpoints"]
    ]


def _notes(table: dict[str, Any], layer: int, attempt_limit: int, harmless_classes: list[str]) -> dict[str, str]:
    # Texts of written files stay as they are: the same description gives the same bytes in all versions.
    connect = format_duration(table["servers"]["connect"])
    notes = {
        "seed": "from the name, so that the same description gives the same file; sidecars of one tier should differ",
        "settings.Allowed.MaxAttempts": f"{attempt_limit}: as many as fit into the shortest give-up time if each takes "
        f"{connect} to fail, and no more than the module makes of them in tier {layer}",
        "settings.Allowed.SecondCopies": f"for {', '.join(harmless_classes)}, which are harmless to repeat"
        if harmless_classes and layer == 0
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
    """Return the content of the operator's file (TOML)."""
    return ("\n".join(_operator_lines(application)) + "\n").encode()


def _operator_lines(application: Application) -> Iterator[str]:
    table, raw = application.table, application.raw
    host = table["listen"].rpartition(":")[0].strip("[]")
    loopback = host == "localhost" or ip_address(host).is_loopback
    loopback_only = loopback if table["loopback"] is None else table["loopback"]
    yield f"# Operator's file of {application.name}. Written from its description: change that, and write again."
    yield "# `eiderhub config check` on this folder says whether a sidecar would start and run soundly from it."
    yield ""
    yield "[limits]"
    if table["loopback"] is None:
        yield f"# {'The description listens on loopback: nothing else should.' if loopback else 'Not on loopback.'}"
    yield f"listen = {toml_value('loopback' if loopback_only else 'any')}"
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
