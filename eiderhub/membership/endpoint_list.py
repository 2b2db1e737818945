"""Endpoint lists as every source provides them, and the reader of the platform's own format. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from eiderhub.interface import Endpoint, Readiness
from eiderhub.sidecar.clock import UNIX_OFFSET_US

MAX_NAMED_ENDPOINTS = 8  # of each state, in a line of the log


class ListedEndpoint(NamedTuple):
    """One entry: the endpoint as the decision module knows it, and the address it listens on."""

    endpoint: Endpoint
    host: str
    port: int


class EndpointList(NamedTuple):
    """One list of the platform and its version: all endpoints if `is_full`, else the changes since a version."""

    generation: int  # the version
    is_full: bool
    entries: list[ListedEndpoint]


def _parse_labels(metadata: Any) -> frozenset[str]:
    """Return an entry's metadata as labels, which the pools of routes select endpoints by."""
    if metadata is None:
        return frozenset()
    return frozenset(f"{name}={value}" for name, value in metadata.items())


def _parse_entry(row: Any) -> ListedEndpoint:
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
        # 0 means long ago. The module's clock is monotonic, so a start may be negative, and 1 replaces an exact 0.
        started_us=started_ms * 1000 - UNIX_OFFSET_US or 1 if started_ms else 0,
        labels=_parse_labels(row.get("metadata")),
    )
    if not host:
        raise ValueError("hostPort")
    return ListedEndpoint(endpoint, host, int(port))


def read_endpoint_list(document: Any) -> EndpointList:
    """Read a decoded list in the platform's format; None is an empty list. Raises ValueError if it is malformed."""
    if document is None:  # the sidecar has never received a list
        return EndpointList(0, True, [])
    try:
        entries = [_parse_entry(row) for row in document["instances"]]
        return EndpointList(int(document["generation"]), bool(document["reset"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"not a list of endpoints ({type(error).__name__}: {error})") from None


def describe_entries(entries: Iterable[ListedEndpoint]) -> str:
    """Return the entries by state for the log: counts, and the first ids that are draining or removed."""
    ids: dict[Readiness, list[str]] = {state: [] for state in Readiness}
    for entry in entries:
        ids[entry.endpoint.readiness].append(entry.endpoint.id)
    parts = [f"{len(ids[Readiness.READY])} ready"]
    for state in (Readiness.DRAINING, Readiness.REMOVED):
        named = ids[state][:MAX_NAMED_ENDPOINTS]
        more = len(ids[state]) - len(named)
        listed = " ".join(named) + (f" and {more} more" if more else "")
        parts.append(f"{len(ids[state])} {state.value}" + (f" ({listed})" if listed else ""))
    return ", ".join(parts)
