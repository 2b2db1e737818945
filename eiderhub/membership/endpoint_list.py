"""Lists of endpoints, as every source tells them, and the platform's own form of one. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from eiderhub.interface import Endpoint, Readiness
from eiderhub.sidecar.clock import UNIX_OFFSET_US


class ListedEndpoint(NamedTuple):
    """One entry: the endpoint as the module knows it, and where it listens."""

    endpoint: Endpoint
    host: str
    port: int


class EndpointList(NamedTuple):
    generation: int
    is_full: bool
    entries: list[ListedEndpoint]


def _labels(metadata: Any) -> frozenset[str]:
    """What a list says of an endpoint beside the platform's own fields, for the pools that routes name."""
    if metadata is None:
        return frozenset()
    return frozenset(f"{name}={value}" for name, value in metadata.items())


def _entry(row: Any) -> ListedEndpoint:
    host, _, port = row["hostPort"].rpartition(":")
    started_ms = int(row.get("startedAtMs") or 0)
    weight = float(row.get("weight") or 1.0)
    endpoint = Endpoint(
        id=str(row["instanceId"]),
        zone=str(row.get("zone") or ""),
        machine_kind=str(row.get("machineType") or ""),
        cell=int(row["cell"]) if row.get("cell") is not None else -1,
        readiness=Readiness(row["lifecycle"]),
        weight=weight if weight > 0 else 1.0,
        # 0 stands for long ago; the module's clock is monotonic, so a start may lie before its zero.
        started_us=started_ms * 1000 - UNIX_OFFSET_US or 1 if started_ms else 0,
        labels=_labels(row.get("metadata")),
    )
    if not host:
        raise ValueError("hostPort")
    return ListedEndpoint(endpoint, host, int(port))


def read_endpoint_list(document: Any) -> EndpointList:
    """Read a list in discovery's form."""
    if document is None:  # a sidecar that never had one
        return EndpointList(0, True, [])
    try:
        entries = [_entry(row) for row in document["instances"]]
        return EndpointList(int(document["generation"]), bool(document["reset"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"no list of endpoints ({type(error).__name__}: {error})") from None
