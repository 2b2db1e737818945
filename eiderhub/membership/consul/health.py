"""What Consul's answers say of endpoints: pure, bytes in, endpoints out.

The health API's, `/v1/health/service/:name`, and the catalogue's, `/v1/catalog/service/:name`, which tells no checks.

Strict about what a send depends on (address, port, checks), tolerant of the rest. An instance that can't be used is
left out with its reason, and takes no other with it; an answer that can't be read is no answer, and changes nothing.

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


class Meaning(NamedTuple):
    """Where a site tells what lists tell: keys of a service's `Meta`, of its node's, or of tags `key=value`."""

    zone: str = "zone"
    kind: str = "kind"
    cell: str = "cell"
    started_ms: str = "started_ms"  # Unix time
    warning: Readiness = Readiness.READY  # what a check with a warning makes of its service


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


class _Row(msgspec.Struct, rename="pascal"):
    """The catalogue's flat form of an instance."""

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

    def instance(self) -> _Instance:
        service = _Service(
            self.service_id, self.service_name, self.service_port, self.service_address, self.service_tags,
            self.service_meta, self.service_weights,
        )  # fmt: skip
        return _Instance(_Node(self.node, self.address, self.node_meta), service, [])


_HEALTH = msgspec.json.Decoder(list[_Instance] | None)
_CATALOGUE = msgspec.json.Decoder(list[_Row] | None)


class Answer(NamedTuple):
    entries: list[ListedEndpoint]
    refused: list[str]  # instances that were left out, each with its reason


def read_health(body: bytes, meaning: Meaning) -> Answer:
    """Raises ValueError where the body is no such answer: whoever asked keeps what it had."""
    try:
        instances = _HEALTH.decode(body) or []
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"no answer of the health API: {error}") from None
    return _answer(instances, meaning)


def read_catalogue(body: bytes, meaning: Meaning) -> Answer:
    """The same for the catalogue: whatever is registered is ready. Raises ValueError."""
    try:
        rows = _CATALOGUE.decode(body) or []
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"no answer of the catalogue: {error}") from None
    return _answer([row.instance() for row in rows], meaning)


def _answer(instances: list[_Instance], meaning: Meaning) -> Answer:
    entries, refused = [], []
    for instance in instances:
        try:
            entries.append(_listed(instance, meaning))
        except ValueError as error:
            refused.append(f"{instance.node.node}/{instance.service.id}: {error}")
    return Answer(entries, refused)


def _listed(instance: _Instance, meaning: Meaning) -> ListedEndpoint:
    service, node = instance.service, instance.node
    tags = service.tags or []
    told = dict(tag.split("=", 1) for tag in tags if "=" in tag)
    meta = {**told, **(node.meta or {}), **(service.meta or {})}
    host = _address(service.address or node.address)
    if not 1 <= service.port <= 65535:
        raise ValueError(f"port {service.port} can't be sent to")
    readiness, warned = _readiness(instance.checks, meaning)
    weights = service.weights or _Weights()
    weight = weights.warning if warned else weights.passing
    started_ms = _number(meta, meaning.started_ms)
    facts = {"service": service.service, **meta}
    labels = {f"{name}={value}" for name, value in facts.items()} | {f"tag={tag}" for tag in tags}
    endpoint = Endpoint(
        # Ids of services are unique on a node alone.
        id=f"{node.node}/{service.id}",
        zone=meta.get(meaning.zone, service.locality.zone if service.locality else ""),
        machine_kind=meta.get(meaning.kind, ""),
        cell=_number(meta, meaning.cell, -1),
        readiness=readiness,
        weight=float(weight) if weight > 0 else 1.0,
        started_us=started_ms * 1000 - UNIX_OFFSET_US or 1 if started_ms else 0,
        labels=frozenset(labels),
    )
    return ListedEndpoint(endpoint, host, service.port)


def _address(told: str) -> str:
    try:
        return str(ip_address(told))
    except ValueError:
        raise ValueError(f"{told!r} is no IP address, and names are not looked up") from None


def _readiness(checks: list[_Check], meaning: Meaning) -> tuple[Readiness, bool]:
    """What all checks together make of an instance, its node's among them, and whether one has a warning.

    Consul's worst check counts. A state that is not known is taken for the worst.
    """
    warned = False
    for check in checks:
        if check.check_id.startswith((NODE_MAINTENANCE, SERVICE_MAINTENANCE)):
            return Readiness.DRAINING, warned
        if check.status == "warning":
            warned = True
        elif check.status != "passing":
            return Readiness.DRAINING, warned
    return (meaning.warning if warned else Readiness.READY), warned


def _number(meta: dict[str, str], key: str, missing: int = 0) -> int:
    told = meta.get(key)
    if told is None:
        return missing
    if not told.isascii() or not told.isdigit() or len(told) > 15:
        raise ValueError(f"{key}: {told[:20]!r} is no number")
    return int(told)
