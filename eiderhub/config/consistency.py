"""What shows only between files: one address twice, effects that differ, times that don't fit into each other."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from eiderhub.config.load import ExaminedFiles
from eiderhub.schema.declared_classes import STRICTNESS, fold_name
from eiderhub.schema.findings import Location
from eiderhub.schema.units import format_duration


class _ClassRow(NamedTuple):
    """One class in one file."""

    name: str
    row: dict[str, Any]
    location: Location
    layer: int
    tiers: tuple[str, ...]


def check_consistency(examined: Sequence[ExaminedFiles]) -> None:
    """What shows only between files: one address twice, effects that differ, times that don't fit."""
    _check_addresses(examined)
    classes: dict[str, list[_ClassRow]] = {}
    for one in examined:
        settings = one.pair.settings
        for i, row in enumerate(one.pair.categories):
            if "Name" in row and "Effect" in row:
                location = one.pair.sidecar / "settings" / "Categories" / i
                tiers = tuple(settings.get("Tiers") or [""])
                found = _ClassRow(row["Name"], row, location, settings.get("Layer", 0), tiers)
                classes.setdefault(fold_name(row["Name"]), []).append(found)
    for same_name_rows in classes.values():
        _check_effects(same_name_rows)
        _check_deadlines(same_name_rows)


def _check_addresses(examined: Sequence[ExaminedFiles]) -> None:
    files_by_address: dict[str, str] = {}
    for one in examined:
        listen = one.pair.document.get("listen")
        if not listen or listen.endswith(":0"):
            continue
        file = one.pair.sidecar.report.file
        if listen in files_by_address:
            (one.pair.sidecar / "listen").error(
                "same-address",
                f"{listen} is the address of {files_by_address[listen]} too",
                "The second of them would not start",
                "Give each sidecar an address of its own",
            )
        files_by_address.setdefault(listen, file)


def _check_effects(same_name_rows: list[_ClassRow]) -> None:
    """A call goes on down the chain: what one tier takes for unsafe, no other may send again."""
    strictest = max(same_name_rows, key=lambda c: STRICTNESS[c.row["Effect"]])
    for one in same_name_rows:
        if one.location.report is strictest.location.report:
            continue  # two names in one file are that file's own finding
        if STRICTNESS[one.row["Effect"]] < STRICTNESS[strictest.row["Effect"]]:
            (one.location / "Effect").error(
                "effects-differ",
                f"{one.name!r} is {one.row['Effect']} here and {strictest.row['Effect']} in "
                f"{strictest.location.report.file}:"
                f"{strictest.location.report.line((*strictest.location.path, 'Effect'))}",
                "One of the two would send again what the other must not see twice",
                f'Write "{strictest.row["Effect"]}" in both, or mend the other',
            )


def _check_deadlines(same_name_rows: list[_ClassRow]) -> None:
    """Inner calls are made within the time of the request above: more than that is never there."""
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
                f"{format_duration(inner.row['DeadlineUs'])}, and the tier above gives up after "
                f"{format_duration(outer_row.row['DeadlineUs'])} ({outer_row.location.report.file})",
                "The caller is gone before the time is up, and the work goes on for nobody",
                "Write less here, or more there",
            )
