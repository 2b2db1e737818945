"""The operator's tables that the sidecar itself owns."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Any

from eiderhub.config.findings import Spot
from eiderhub.config.pair import Pair
from eiderhub.config.schema import Choice, Key, Kind, Number, Table
from eiderhub.config.sidecar_file import check_rate

ANY, LOOPBACK = "any", "loopback"

TABLES: dict[str, Kind] = {
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


def check(pair: Pair) -> None:
    limits: dict[str, Any] = pair.tables.get("limits", {})
    spot = pair.operator / "limits"
    if limits.get("listen") == LOOPBACK:
        _check_listen(pair.document.get("listen"), pair.sidecar / "listen")
    if limits.get("rate"):
        aims = [row["AimUs"] for row in pair.categories if "AimUs" in row]
        check_rate(pair.document.get("limits") or {}, aims, limits["rate"], spot / "rate")


def _check_listen(listen: str | None, spot: Spot) -> None:
    if listen is None:
        return
    host = listen.rpartition(":")[0].strip("[]")
    if host != "localhost" and not ip_address(host).is_loopback:
        spot.error(
            "listen",
            f"{listen} is no loopback address, and limits.listen asks for one",
            "Other machines could reach the sidecar",
            "Listen on 127.0.0.1, or write limits.listen = \"any\"",
        )
