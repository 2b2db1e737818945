"""The tables of the operator's file that the sidecar package defines."""

from __future__ import annotations

import math
from ipaddress import ip_address
from typing import Any

from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.findings import Location
from eiderhub.schema.units import format_duration
from eiderhub.schema.value_types import Choice, Key, Number, Table, ValueType
from eiderhub.sidecar.resource_limits import MIN_SOCKETS, ResourceLimits

ANY, LOOPBACK = "any", "loopback"

TABLES: dict[str, ValueType] = {
    "limits": Table(
        (
            Key("listen", Choice((ANY, LOOPBACK)), "which addresses the sidecar may listen on", ANY),
            Key(
                "rate",
                Number(0, 1e6, "requests a second"),
                "requests a second expected at this sidecar; the checker compares the descriptors with it",
                None,
            ),
        )
    ),
}


def check(pair: FilePair) -> None:
    """Report findings on the listen address and on the descriptors for the expected rate."""
    limits: dict[str, Any] = pair.tables.get("limits", {})
    location = pair.operator / "limits"
    if limits.get("listen") == LOOPBACK:
        _check_listen(pair.document.get("listen"), pair.sidecar / "listen")
    if limits.get("rate"):
        objectives_us = [row["AimUs"] for row in pair.categories if "AimUs" in row]
        _check_rate(pair.document.get("limits") or {}, objectives_us, limits["rate"], location / "rate")


def _check_listen(listen: str | None, location: Location) -> None:
    if listen is None:
        return
    host = listen.rpartition(":")[0].strip("[]")
    if host != "localhost" and not ip_address(host).is_loopback:
        location.error(
            "listen",
            f"{listen} is not a loopback address, and limits.listen requires one",
            "Other machines could reach the sidecar",
            'Listen on 127.0.0.1, or write limits.listen = "any"',
        )


def _check_rate(limits: dict[str, Any], objectives_us: list[int], rate: float, location: Location) -> None:
    """Report a finding if the descriptors do not suffice for the expected rate.

    Each request is assumed to be open for the longest latency objective.
    """
    sockets = limits.get("sockets", 1024)
    if not objectives_us or sockets < MIN_SOCKETS:
        return
    bounds = ResourceLimits.divide(sockets, limits.get("memory_mb", 192.0))
    max_connections = min(bounds.caller_connections, bounds.endpoint_connections)
    needed = math.ceil(rate * max(objectives_us) / 1e6)
    if needed > max_connections:
        location.error(
            "descriptors",
            f"{rate:g} requests a second, open for up to {format_duration(max(objectives_us))}, need {needed} "
            f"connections on each side; {sockets} descriptors allow {max_connections}",
            "Callers would be disconnected at the expected rate",
            "Allow more descriptors, or run more sidecars",
        )
