"""Callers that send requests at a constant rate, as the platform's clients do, and count the responses."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from standins.http import Message, format_request, read_message


class RequestKind(NamedTuple):
    """Method, target and deadline of the requests of one kind."""

    method: str
    target: str
    deadline_ms: int
    has_idempotency_key: bool = False


@dataclass
class RequestStats:
    """Results of the requests of one kind."""

    status_counts: Counter[int] = field(default_factory=Counter)  # 0: no response before the deadline
    latencies_s: list[float] = field(default_factory=list)

    @property
    def served(self) -> int:
        return self.status_counts[200]

    @property
    def refused(self) -> int:
        return self.status_counts[429] + self.status_counts[503]

    @property
    def failed(self) -> int:
        return self.status_counts.total() - self.served - self.refused


class Callers:
    """Sends requests at a constant rate over reused connections.

    Each request is waited for until its deadline and is not retried.
    """

    def __init__(self, host: str, port: int, tenant: str, prefix: str = "c") -> None:
        self.host = host
        self.port = port
        self.tenant = tenant
        self.prefix = prefix  # of the request ids
        self.stats: dict[str, RequestStats] = {}  # by target
        self._serial = 0
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, kind: RequestKind) -> Message | None:
        """Send one request; return None if there is no response before its deadline."""
        self._serial += 1
        request_id = f"{self.prefix}{self._serial:08x}"
        headers = {
            "Host": "service.internal",
            "Req-Id": request_id,
            "Req-Owner": self.tenant,
            "Req-Deadline-Ms": str(kind.deadline_ms),
        }
        if kind.has_idempotency_key:
            headers["Idempotency-Key"] = f"key-{request_id}"
        stats = self.stats.setdefault(kind.target, RequestStats())
        started_at = time.monotonic()
        message: Message | None = None
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000):
                connection = self._idle.pop() if self._idle else await asyncio.open_connection(self.host, self.port)
                connection[1].write(format_request(kind.method, kind.target, headers))
                message = await read_message(connection[0])
                if message.headers.get("connection") == "close":
                    connection[1].close()
                else:
                    self._idle.append(connection)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            pass
        stats.status_counts[message.status if message else 0] += 1
        stats.latencies_s.append(time.monotonic() - started_at)
        return message

    async def run(self, kinds: Sequence[RequestKind], rate: float, seconds: float) -> None:
        """Send requests of these kinds in rotation, `rate` a second for `seconds`, and wait for the last response."""
        started_at = time.monotonic()
        tasks = []
        for i in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + i / rate - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(kinds[i % len(kinds)])))
        await asyncio.gather(*tasks)

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()
