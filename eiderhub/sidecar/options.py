"""The operator's tables that the sidecar itself owns."""

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
                "requests a second expected at this sidecar; the checker holds the descriptors against it",
                None,
            ),
        )
    ),
}


def check(pair: FilePair) -> None:
    limits: dict[str, Any] = pair.tables.get("limits", {})
    spot = pair.operator / "limits"
    if limits.get("listen") == LOOPBACK:
        _check_listen(pair.document.get("listen"), pair.sidecar / "listen")
    if limits.get("rate"):
        aims = [row["AimUs"] for row in pair.categories if "AimUs" in row]
        _check_rate(pair.document.get("limits") or {}, aims, limits["rate"], spot / "rate")


def _check_listen(listen: str | None, spot: Location) -> None:
    if listen is None:
        return
    host = listen.rpartition(":")[0].strip("[]")
    if host != "localhost" and not ip_address(host).is_loopback:
        spot.error(
            "listen",
            f"{listen} is no loopback address, and limits.listen asks for one",
            "Other machines could reach the sidecar",
            'Listen on 127.0.0.1, or write limits.listen = "any"',
        )


def _check_rate(limits: dict[str, Any], aims_us: list[int], rate: float, spot: Location) -> None:
    """Whether the descriptors carry the expected rate, each request open for its wanted time at the worst."""
    sockets = limits.get("sockets", 1024)
    if not aims_us or sockets < MIN_SOCKETS:
        return
    bounds = ResourceLimits.divide(sockets, limits.get("memory_mb", 192.0))
    most = min(bounds.caller_connections, bounds.endpoint_connections)
    needed = math.ceil(rate * max(aims_us) / 1e6)
    if needed > most:
        spot.error(
            "descriptors",
            f"{rate:g} requests a second, open for up to {format_duration(max(aims_us))}, need {needed} connections on "
            f"each side; {sockets} descriptors leave {most}",
            "Callers would be cut off at the expected rate",
            "Allow more descriptors, or run more sidecars",
        )
