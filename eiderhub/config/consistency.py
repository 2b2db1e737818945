"""Checks that need several files: duplicate addresses, conflicting effects, deadlines that outlast the outer tier."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from eiderhub.config.load import ExaminedFiles
from eiderhub.schema.declared_classes import STRICTNESS, fold_name
from eiderhub.schema.findings import Location
from eiderhub.schema.units import format_duration


class _ClassRow(NamedTuple):
    """One class of one sidecar's file."""

    name: str
    row: dict[str, Any]
    location: Location
    layer: int
    tiers: tuple[str, ...]


def check_consistency(examined: Sequence[ExaminedFiles]) -> None:
    """Report duplicate addresses, and classes of the same name with conflicting effects or deadlines."""
    _check_addresses(examined)
    classes: dict[str, list[_ClassRow]] = {}
    for examined_files in examined:
        settings = examined_files.pair.settings
        for i, row in enumerate(examined_files.pair.categories):
            if "Name" in row and "Effect" in row:
                location = examined_files.pair.sidecar / "settings" / "Categories" / i
                tiers = tuple(settings.get("Tiers") or [""])
                found = _ClassRow(row["Name"], row, location, settings.get("Layer", 0), tiers)
                classes.setdefault(fold_name(row["Name"]), []).append(found)
    for same_name_rows in classes.values():
        _check_effects(same_name_rows)
        _check_deadlines(same_name_rows)


def _check_addresses(examined: Sequence[ExaminedFiles]) -> None:
    files_by_address: dict[str, str] = {}
    for examined_files in examined:
        listen = examined_files.pair.document.get("listen")
        if not listen or listen.endswith(":0"):
            continue
        file = examined_files.pair.sidecar.report.file
        if listen in files_by_address:
            (examined_files.pair.sidecar / "listen").error(
                "same-address",
                f"{listen} is used by {files_by_address[listen]} as well",
                "The second sidecar would not start",
                "Give each sidecar an address of its own",
            )
        files_by_address.setdefault(listen, file)


def _check_effects(same_name_rows: list[_ClassRow]) -> None:
    """Report classes that are less strict than the same class in another file.

    Calls pass through several tiers, so no tier may repeat what another tier declares unsafe to repeat.
    """
    strictest = max(same_name_rows, key=lambda c: STRICTNESS[c.row["Effect"]])
    for class_row in same_name_rows:
        if class_row.location.report is strictest.location.report:
            continue  # `sidecar_file.check` compares names within one file
        if STRICTNESS[class_row.row["Effect"]] < STRICTNESS[strictest.row["Effect"]]:
            (class_row.location / "Effect").error(
                "effects-differ",
                f"{class_row.name!r} is {class_row.row['Effect']} here and {strictest.row['Effect']} in "
                f"{strictest.location.report.file}:"
                f"{strictest.location.report.line((*strictest.location.path, 'Effect'))}",
                "One sidecar could repeat requests that must not run twice at the other",
                f'Write "{strictest.row["Effect"]}" in both, or correct the other',
            )


def _check_deadlines(same_name_rows: list[_ClassRow]) -> None:
    """Report deadlines longer than those of the outer tier, since inner calls run within the outer deadline."""
    for inner in same_name_rows:
        outer = [
            c for c in same_name_rows if c.tiers == inner.tiers and c.layer < inner.layer and "DeadlineUs" in c.row
        ]
        if not outer or "DeadlineUs" not in inner.row:
            continue
        outer_row = min(outer, key=lambda c: (c.row["DeadlineUs"], c.location.report.file))
        if inner.row["DeadlineUs"] > outer_row.row["DeadlineUs"]:
            (inner.location / "DeadlineUs").error(
                "outlasts-tier-above",
                f"{format_duration(inner.row['DeadlineUs'])}, and the outer tier gives up after "
                f"{format_duration(outer_row.row['DeadlineUs'])} ({outer_row.location.report.file})",
                "The caller gives up before this deadline, and the rest of the work is wasted",
                "Shorten this deadline, or lengthen that of the outer tier",
            )
