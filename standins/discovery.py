"""A stand-in for the platform's discovery: the full list, and a watch that waits for changes."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.http import Message, format_response
from standins.server import HttpServer


def row(endpoint: str, address: str, lifecycle: str = "ready", started_ms: int = 0, **more: Any) -> dict[str, Any]:
    """Return one entry of a list in the platform's format."""
    return {
        "instanceId": endpoint,
        "hostPort": address,
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
        **more,
    }


def listing(generation: int, reset: bool, *rows: dict[str, Any]) -> bytes:
    """Return a list in the platform's format; `reset` marks a full one."""
    return json.dumps({"generation": generation, "reset": reset, "instances": rows}).encode()


class Discovery(HttpServer):
    """Serves the current list; a change wakes the watches."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.request_count = 0
        self._changed = asyncio.Event()

    async def start(self) -> Discovery:
        await self.listen()
        return self

    def update(self, entry: dict[str, Any]) -> None:
        """Add an endpoint, change its state, or remove it if its state is "gone"."""
        self.generation += 1
        self.changes.append((self.generation, entry))
        if entry["lifecycle"] == "gone":
            self.rows.pop(entry["instanceId"], None)
        else:
            self.rows[entry["instanceId"]] = entry
        self._changed.set()
        self._changed = asyncio.Event()

    async def reply(self, message: Message) -> bytes:
        self.request_count += 1
        return format_response(200, await self._list(message.target))

    async def _list(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            return listing(self.generation, True, *self.rows.values())
        after = int(query["after"][0])
        if after >= self.generation:
            changed = self._changed
            try:
                async with asyncio.timeout(int(query.get("wait_ms", ["0"])[0]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        changes = [entry for generation, entry in self.changes if generation > after]
        return listing(self.generation, False, *changes)
