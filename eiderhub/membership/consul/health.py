"""Reads instances of a service from Consul's responses: bytes in, endpoints out, no I/O.

Supports the health API, `/v1/health/service/:name`, and the catalogue, `/v1/catalog/service/:name`, without checks.

What a send depends on (address, port, checks) is validated strictly, all else is tolerated. An instance that can't be
used is left out with a reason and does not affect the others; a response that can't be read is rejected as a whole.

Sources: Consul's HTTP API, "Health", "List Service Instances for Service"; "Catalog", "List Nodes for Service".
"""

from __future__ import annotations

from ipaddress import ip_address
from typing import NamedTuple

import msgspec

from eiderhub.interface import Endpoint, Readiness
from eiderhub.membership.endpoint_list import ListedEndpoint
from eiderhub.sidecar.clock import UNIX_OFFSET_US

NODE_MAINTENANCE = "_node_maintenance"
SERVICE_MAINTENANCE = "_service_maintenance"


class FieldMapping(NamedTuple):
    """Where an instance's fields are found: keys of the service's `Meta`, of its node's, or of tags `key=value`."""

    zone_key: str = "zone"
    kind_key: str = "kind"
    cell_key: str = "cell"
    started_ms_key: str = "started_ms"  # Unix time
    warning_state: Readiness = Readiness.READY  # the state of an instance with a check in status warning


class _Check(msgspec.Struct, rename="pascal"):
    status: str
    check_id: str = msgspec.field(name="CheckID", default="")


class _Node(msgspec.Struct, rename="pascal"):
    node: str
    address: str = ""
    meta: dict[str, str] | None = None


class _Weights(msgspec.Struct, rename="pascal"):
    passing: int = 1
    warning: int = 1


class _Locality(msgspec.Struct, rename="pascal"):
    zone: str = ""


class _Service(msgspec.Struct, rename="pascal"):
    id: str = msgspec.field(name="ID")
    service: str
    port: int
    address: str = ""
    tags: list[str] | None = None
    meta: dict[str, str] | None = None
    weights: _Weights | None = None
    locality: _Locality | None = None


class _Instance(msgspec.Struct, rename="pascal"):
    node: _Node
    service: _Service
    checks: list[_Check]


class _CatalogueRow(msgspec.Struct, rename="pascal"):
    """An instance in the flat format of the catalogue."""

    node: str
    service_id: str = msgspec.field(name="ServiceID")
    service_name: str
    service_port: int
    address: str = ""
    service_address: str = ""
    node_meta: dict[str, str] | None = None
    service_tags: list[str] | None = None
    service_meta: dict[str, str] | None = None
    service_weights: _Weights | None = None

    def to_instance(self) -> _Instance:
        service = _Service(
            self.service_id, self.service_name, self.service_port, self.service_address, self.service_tags,
            self.service_meta, self.service_weights,
        )  # fmt: skip
        return _Instance(_Node(self.node, self.address, self.node_meta), service, [])


_HEALTH = msgspec.json.Decoder(list[_Instance] | None)
_CATALOGUE = msgspec.json.Decoder(list[_CatalogueRow] | None)


class InstanceList(NamedTuple):
    """The instances of one response."""

    entries: list[ListedEndpoint]
    rejected: list[str]  # instances that were left out, each with its reason


def read_health(body: bytes, field_mapping: FieldMapping) -> InstanceList:
    """Read a response of the health API. Raises ValueError if it is malformed; the caller then keeps its last list."""
    try:
        instances = _HEALTH.decode(body) or []
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"malformed response of the health API: {error}") from None
    return _to_list(instances, field_mapping)


def read_catalogue(body: bytes, field_mapping: FieldMapping) -> InstanceList:
    """Read a response of the catalogue, in which every instance is ready. Raises ValueError if it is malformed."""
    try:
        rows = _CATALOGUE.decode(body) or []
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"malformed response of the catalogue: {error}") from None
    return _to_list([row.to_instance() for row in rows], field_mapping)


def _to_list(instances: list[_Instance], field_mapping: FieldMapping) -> InstanceList:
    entries, rejected = [], []
    for instance in instances:
        try:
            entries.append(_to_entry(instance, field_mapping))
        except ValueError as error:
            rejected.append(f"{instance.node.node}/{instance.service.id}: {error}")
    return InstanceList(entries, rejected)


def _to_entry(instance: _Instance, field_mapping: FieldMapping) -> ListedEndpoint:
    service, node = instance.service, instance.node
    tags = service.tags or []
    from_tags = dict(tag.split("=", 1) for tag in tags if "=" in tag)
    meta = {**from_tags, **(node.meta or {}), **(service.meta or {})}
    host = _address(service.address or node.address)
    if not 1 <= service.port <= 65535:
        raise ValueError(f"port {service.port} is out of range")
    readiness, has_warning = _readiness(instance.checks, field_mapping)
    weights = service.weights or _Weights()
    weight = weights.warning if has_warning else weights.passing
    started_ms = _number(meta, field_mapping.started_ms_key)
    facts = {"service": service.service, **meta}
    labels = {f"{name}={value}" for name, value in facts.items()} | {f"tag={tag}" for tag in tags}
    endpoint = Endpoint(
        # Service ids are unique only within a node.
        id=f"{node.node}/{service.id}",
        zone=meta.get(field_mapping.zone_key, service.locality.zone if service.locality else ""),
        machine_kind=meta.get(field_mapping.kind_key, ""),
        cell=_number(meta, field_mapping.cell_key, -1),
        readiness=readiness,
        weight=float(weight) if weight > 0 else 1.0,
        started_us=started_ms * 1000 - UNIX_OFFSET_US or 1 if started_ms else 0,
        labels=frozenset(labels),
    )
    return ListedEndpoint(endpoint, host, service.port)


def _address(text: str) -> str:
    try:
        return str(ip_address(text))
    except ValueError:
        raise ValueError(f"{text!r} is not an IP address, and host names are not resolved") from None


def _readiness(checks: list[_Check], field_mapping: FieldMapping) -> tuple[Readiness, bool]:
    """Return the state that all checks of an instance and of its node result in, and whether there is a warning.

    As in Consul, the most severe check counts. An unknown status counts as the most severe one.
    """
    has_warning = False
    for check in checks:
        if check.check_id.startswith((NODE_MAINTENANCE, SERVICE_MAINTENANCE)):
            return Readiness.DRAINING, has_warning
        if check.status == "warning":
            has_warning = True
        elif check.status != "passing":
            return Readiness.DRAINING, has_warning
    return (field_mapping.warning_state if has_warning else Readiness.READY), has_warning


def _number(meta: dict[str, str], key: str, default: int = 0) -> int:
    text = meta.get(key)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise ValueError(f"{key}: {text[:20]!r} is not a number")
    return int(text)
