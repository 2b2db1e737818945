"""The two configuration files of one sidecar, decoded, as passed to the checks of each operator's table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from eiderhub.schema.findings import Location, Report


@dataclass(frozen=True)
class FilePair:
    """A sidecar's file and its operator's file.

    Each may be empty: if a file is invalid, its findings were added before.
    """

    document: dict[str, Any]  # the sidecar's file, converted by `sidecar_file.DOCUMENT`
    sidecar: Location  # the root of the sidecar's file
    tables: dict[str, Any]  # the operator's file, converted by the types of its tables
    operator: Location  # the root of the operator's file

    @property
    def settings(self) -> dict[str, Any]:
        settings: dict[str, Any] = self.document.get("settings", {})
        return settings

    @property
    def categories(self) -> list[dict[str, Any]]:
        categories: list[dict[str, Any]] = self.settings.get("Categories", [])
        return categories

    @property
    def reports(self) -> list[Report]:
        return [self.sidecar.report, self.operator.report]
