"""A stand-in for Consul agents: health API and catalogue over HTTP, with blocking queries and scripted faults.

Source of the response format: Consul's HTTP API, "Health" and "Blocking queries".
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import Message, format_response
from standins.server import HttpServer


def instance(service: str, address: str, status: str = "passing", node: str = "n1", **meta: str) -> dict[str, Any]:
    """Return one row of `/v1/health/service/:name`."""
    host, _, port = address.rpartition(":")
    name = f"{service}-{port}"
    check = {
        "Node": node, "CheckID": f"service:{name}", "Name": "tcp", "Status": status, "Notes": "", "Output": "",
        "ServiceID": name, "ServiceName": service, "ServiceTags": [], "Type": "tcp", "Definition": {},
        "CreateIndex": 1, "ModifyIndex": 1,
    }  # fmt: skip
    return {
        "Node": {"ID": "", "Node": node, "Address": host, "Datacenter": "dc1", "TaggedAddresses": {}, "Meta": {}},
        "Service": {
            "ID": name, "Service": service, "Tags": [], "Address": host, "Port": int(port), "Meta": meta,
            "Weights": {"Passing": 1, "Warning": 1}, "EnableTagOverride": False, "CreateIndex": 1, "ModifyIndex": 1,
        },
        "Checks": [check],
    }  # fmt: skip


class Consul(HttpServer):
    """One agent. `set` changes a service and wakes the requests that wait for it; scripted responses come first."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.services: dict[str, list[dict[str, Any]]] = {}
        self.token: str | None = None  # required of requests, if set
        self.scripted: list[bytes] = []  # complete responses, each sent once and without a wait
        self.requests: list[str] = []  # their targets, in order of arrival
        self.answered_at: list[float] = []  # monotonic seconds, when each response was ready to be written
        self._changed = asyncio.Event()

    async def start(self) -> Consul:
        await self.listen()
        return self

    def set(self, service: str, *rows: dict[str, Any]) -> None:
        """Replace a service's instances and increment the index."""
        self.index += 1
        self.services[service] = list(rows)
        self._wake()

    def respond_with(self, *responses: bytes) -> None:
        """Send these responses next, whatever is requested."""
        self.scripted += responses
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def reply(self, message: Message) -> bytes:
        self.requests.append(message.target)
        response = await self._respond(message)
        self.answered_at.append(time.monotonic())
        return response

    async def _respond(self, message: Message) -> bytes:
        if self.token is not None and message.headers.get("x-consul-token") != self.token:
            return format_response(403, b"Permission denied: token with AccessorID '00000000' lacks permission")
        target = urlsplit(message.target)
        query = parse_qs(target.query)
        service = unquote(target.path.rpartition("/")[2])
        known_index = int(query.get("index", ["0"])[0])
        if not self.scripted and known_index >= self.index:
            changed = self._changed
            try:
                async with asyncio.timeout(_seconds(query.get("wait", ["300s"])[0])):
                    await changed.wait()
            except TimeoutError:
                pass
        if self.scripted:
            return self.scripted.pop(0)
        return self.response(service, catalogue="/catalog/" in target.path)

    def response(self, service: str, index: int | None = None, *headers: str, catalogue: bool = False) -> bytes:
        """Return the current instances, with another index if one is given."""
        rows = self.services.get(service, [])
        body = json.dumps([_catalogue_row(row) for row in rows] if catalogue else rows).encode()
        sent_index = self.index if index is None else index
        return format_response(
            200, body, "Content-Type: application/json", f"X-Consul-Index: {sent_index}", "X-Consul-LastContact: 0",
            "X-Consul-KnownLeader: true", *headers,
        )  # fmt: skip


def _catalogue_row(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row in the flat format of the catalogue."""
    node, service = row["Node"], row["Service"]
    return {
        "ID": node["ID"], "Node": node["Node"], "Address": node["Address"], "Datacenter": node["Datacenter"],
        "NodeMeta": node["Meta"], "ServiceID": service["ID"], "ServiceName": service["Service"],
        "ServiceAddress": service["Address"], "ServicePort": service["Port"], "ServiceMeta": service["Meta"],
        "ServiceTags": service["Tags"], "ServiceWeights": service["Weights"], "CreateIndex": 1, "ModifyIndex": 1,
    }  # fmt: skip


def _seconds(wait: str) -> float:
    """Parse a Go duration that has a single unit. Raises ValueError if it is malformed."""
    for unit, seconds in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if wait.endswith(unit):
            return float(wait.removesuffix(unit)) * seconds
    raise ValueError(f"not a duration: {wait!r}")
