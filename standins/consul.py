"""A stand-in for Consul's agents: the health API over HTTP, with blocking queries, and a script of what goes wrong.

Source of its answers' form: Consul's HTTP API, "Health" and "Blocking queries".
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import Message, answer
from standins.server import Answering


def instance(service: str, address: str, status: str = "passing", node: str = "n1", **meta: str) -> dict[str, Any]:
    """One row of `/v1/health/service/:name`."""
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


class Consul(Answering):
    """One agent. `set` changes a service and wakes the questions that wait for it; `script` answers before that."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.services: dict[str, list[dict[str, Any]]] = {}
        self.token: str | None = None  # that questions must bear
        self.scripted: list[bytes] = []  # whole answers, each given once and at once
        self.requests: list[str] = []  # targets, in order
        self.answered_at: list[float] = []  # monotonic seconds: when the last byte of each answer was handed on
        self._changed = asyncio.Event()

    async def start(self) -> Consul:
        await self.listen()
        return self

    def set(self, service: str, *rows: dict[str, Any]) -> None:
        self.index += 1
        self.services[service] = list(rows)
        self._wake()

    def respond_with(self, *answers: bytes) -> None:
        """Answer with these next, whatever is asked."""
        self.scripted += answers
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def reply(self, message: Message) -> bytes:
        self.requests.append(message.target)
        told = await self._reply(message)
        self.answered_at.append(time.monotonic())
        return told

    async def _reply(self, message: Message) -> bytes:
        if self.token is not None and message.headers.get("x-consul-token") != self.token:
            return answer(403, b"Permission denied: token with AccessorID '00000000' lacks permission")
        target = urlsplit(message.target)
        query = parse_qs(target.query)
        service = unquote(target.path.rpartition("/")[2])
        wanted = int(query.get("index", ["0"])[0])
        if not self.scripted and wanted >= self.index:
            changed = self._changed
            try:
                async with asyncio.timeout(_seconds(query.get("wait", ["300s"])[0])):
                    await changed.wait()
            except TimeoutError:
                pass
        if self.scripted:
            return self.scripted.pop(0)
        return self.listed(service, catalogue="/catalog/" in target.path)

    def listed(self, service: str, index: int | None = None, *headers: str, catalogue: bool = False) -> bytes:
        """The answer as things stand, with another index where one is given."""
        rows = self.services.get(service, [])
        body = json.dumps([_flat(row) for row in rows] if catalogue else rows).encode()
        told = self.index if index is None else index
        return answer(
            200, body, "Content-Type: application/json", f"X-Consul-Index: {told}", "X-Consul-LastContact: 0",
            "X-Consul-KnownLeader: true", *headers,
        )  # fmt: skip


def _flat(row: dict[str, Any]) -> dict[str, Any]:
    """The catalogue's form of a row."""
    node, service = row["Node"], row["Service"]
    return {
        "ID": node["ID"], "Node": node["Node"], "Address": node["Address"], "Datacenter": node["Datacenter"],
        "NodeMeta": node["Meta"], "ServiceID": service["ID"], "ServiceName": service["Service"],
        "ServiceAddress": service["Address"], "ServicePort": service["Port"], "ServiceMeta": service["Meta"],
        "ServiceTags": service["Tags"], "ServiceWeights": service["Weights"], "CreateIndex": 1, "ModifyIndex": 1,
    }  # fmt: skip


def _seconds(wait: str) -> float:
    """A wait as Go writes one, of one unit."""
    for unit, seconds in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if wait.endswith(unit):
            return float(wait.removesuffix(unit)) * seconds
    raise ValueError(f"no duration: {wait!r}")
