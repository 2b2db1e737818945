"""A stand-in for the platform's discovery: the full list, a watch that waits for changes, and outages."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
from typing import Any, NoReturn
from urllib.parse import parse_qs, urlsplit

from standins.http import Message, format_response
from standins.server import HttpServer

DELAYED_REFUSAL_S = 2.0  # how long the platform's discovery keeps a call that it then answers with 503


class Outage(Enum):
    """How calls end while discovery is down."""

    REFUSED = "answered 503 at once"
    DELAYED = "answered 503 after a while"
    RESET = "connection closed without an answer"
    SILENT = "never answered"


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
    """Serves the current list; a change wakes the watches, and an outage ends them."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.request_count = 0
        self._changed = asyncio.Event()
        self._outage: Outage | None = None
        self._outage_began = asyncio.Event()

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

    def begin_outage(self, kind: Outage) -> None:
        """End the open watches; from now on, calls end as the kind says, also after the outage is over."""
        self._outage = kind
        self._outage_began.set()

    def end_outage(self) -> None:
        """Serve calls again that arrive from now on."""
        self._outage = None
        self._outage_began = asyncio.Event()

    async def reply(self, message: Message) -> bytes:
        self.request_count += 1
        if self._outage is not None:
            return await self._fail(self._outage)
        answer = asyncio.create_task(self._list(message.target))
        outage = asyncio.create_task(self._outage_began.wait())
        try:
            await asyncio.wait((answer, outage), return_when=asyncio.FIRST_COMPLETED)
            if answer.done():
                return format_response(200, answer.result())
            raise ConnectionResetError("the outage ends the watch")
        finally:
            answer.cancel()
            outage.cancel()

    async def _fail(self, kind: Outage) -> bytes:
        if kind is Outage.RESET:
            raise ConnectionResetError("discovery is down")
        if kind is Outage.SILENT:
            await _wait_forever()
        if kind is Outage.DELAYED:
            await asyncio.sleep(DELAYED_REFUSAL_S)
        return format_response(503)

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


async def _wait_forever() -> NoReturn:
    await asyncio.Event().wait()
    raise AssertionError
