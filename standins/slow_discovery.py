"""A discovery without sockets that takes long for each answer, is silent, or is down for a while."""

from __future__ import annotations

import asyncio
import contextlib
import math
import re
from collections.abc import Callable

from eiderhub.protocols.http1.client import Response
from standins.discovery import listing, row

CLOSES_AFTER_S = 1.5  # after which the former address closes its connections
DRAINING_ENTRY = row("s-0", "127.0.0.1:1", "draining")


class SlowDiscovery:
    """A discovery that works on each request for `answer_s`; it never answers requests for which `is_silent`.

    `outage_s` is the time from and until which it is down: open requests fail at its beginning, others at once.
    """

    def __init__(
        self,
        answer_s: float,
        is_silent: Callable[[int, float], bool] = lambda number, sent_s: False,
        outage_s: tuple[float, float] = (math.inf, math.inf),
    ) -> None:
        self.answer_s = answer_s
        self.outage_begins_s, self.outage_ends_s = outage_s
        self.is_silent = is_silent  # by the number of the request and the time at which it was sent
        self.address: tuple[str, int] | None = None  # the only one that takes requests; None: any
        self._connections: list[asyncio.Timeout] = []  # of open requests to the present address
        self.generation = 1
        self.sent_s: list[float] = []  # when requests were sent
        self.open_requests = self.max_open_requests = 0
        self._changed = asyncio.Event()

    def change(self) -> None:
        """Let an endpoint drain."""
        self.generation += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def move(self, host: str, port: int) -> None:
        """Serve at another address. The former one takes no requests, and closes its connections after a while."""
        closes_s = asyncio.get_running_loop().time() + CLOSES_AFTER_S
        for connection in self._connections:
            if not connection.expired():
                connection.reschedule(closes_s)
        self.address, self._connections = (host, port), []

    async def answer_at(self, host: str, port: int, request: bytes) -> Response:
        """Answer a request to this address. Raises OSError if it is not the present one, or in an outage."""
        if self.address not in (None, (host, port)):
            raise ConnectionRefusedError("not the address of discovery")
        connection = asyncio.timeout(None)
        try:
            async with connection:
                self._connections.append(connection)
                return await self.answer(request)
        except TimeoutError:
            raise ConnectionResetError("the former address closes its connections") from None
        finally:
            if connection in self._connections:
                self._connections.remove(connection)

    async def answer(self, request: bytes) -> Response:
        """Answer a request. Raises ConnectionResetError in an outage."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.outage_ends_s or self.outage_begins_s == math.inf:
            return await self._answer(request)
        try:
            async with asyncio.timeout(max(0.0, self.outage_begins_s - now_s)):
                return await self._answer(request)
        except TimeoutError:
            raise ConnectionResetError("discovery is down") from None

    async def _answer(self, request: bytes) -> Response:
        number, now_s = len(self.sent_s), asyncio.get_running_loop().time()
        self.sent_s.append(now_s)
        self.open_requests += 1
        self.max_open_requests = max(self.max_open_requests, self.open_requests)
        try:
            if self.is_silent(number, now_s):
                await asyncio.Event().wait()
            return Response(200, [], await self._list(request))
        finally:
            self.open_requests -= 1

    async def _list(self, request: bytes) -> bytes:
        """Return the full list, or after the requested wait the changes."""
        query = re.search(rb"after=(\d+)&wait_ms=(\d+)", request)
        if query is None:
            await asyncio.sleep(self.answer_s)
            return listing(self.generation, True, DRAINING_ENTRY)
        after, wait_s = int(query[1]), int(query[2]) / 1000
        if after == self.generation and wait_s:
            await self._wait_for_change(wait_s)
        generation = self.generation
        await asyncio.sleep(self.answer_s)
        return listing(generation, False, *([DRAINING_ENTRY] if after < generation else []))

    async def _wait_for_change(self, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._changed.wait()

    def new_client(self, max_body_bytes: int) -> SlowDiscoveryClient:
        """Return a client, in place of `ListClient`."""
        return SlowDiscoveryClient(self)


class SlowDiscoveryClient:
    """A client whose connections are established at once."""

    def __init__(self, discovery: SlowDiscovery) -> None:
        self.discovery = discovery

    async def fetch(self, host: str, port: int, request: bytes, timeout_s: float) -> Response:
        async with asyncio.timeout(timeout_s):
            return await self.discovery.answer_at(host, port, request)

    def close_connection(self) -> None:
        """Do nothing: the request itself is cancelled."""
