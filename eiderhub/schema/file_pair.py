"""One sidecar's two files, read: what the owners of the operator's tables check theirs against."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from eiderhub.schema.findings import Location, Report


@dataclass(frozen=True)
class FilePair:
    """Either side may be empty: a file that is missing, or could not be read, has its finding already."""

    document: dict[str, Any]  # the sidecar's file, as `sidecar_file.DOCUMENT` read it
    sidecar: Location
    tables: dict[str, Any]  # the operator's file, as its owners' tables read it
    operator: Location

    @property
    def settings(self) -> dict[str, Any]:
        found: dict[str, Any] = self.document.get("settings", {})
        return found

    @property
    def categories(self) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = self.settings.get("Categories", [])
        return found

    @property
    def reports(self) -> list[Report]:
        return [self.sidecar.report, self.operator.report]
