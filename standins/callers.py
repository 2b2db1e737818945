"""Callers that send at a steady rate, as the platform's clients do, and count what they are answered."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from standins.http import Message, format_request, read_message


class RequestKind(NamedTuple):
    """One kind of request."""

    method: str
    target: str
    deadline_ms: int
    has_idempotency_key: bool = False


@dataclass
class RequestStats:
    """What came of the requests of one kind."""

    answers: Counter[int] = field(default_factory=Counter)  # by status; 0: none before the deadline
    latencies_s: list[float] = field(default_factory=list)

    @property
    def served(self) -> int:
        return self.answers[200]

    @property
    def refused(self) -> int:
        return self.answers[429] + self.answers[503]

    @property
    def failed(self) -> int:
        return self.answers.total() - self.served - self.refused


class Callers:
    """Requests at a steady rate over kept connections; each is waited for until its deadline, and not repeated."""

    def __init__(self, host: str, port: int, tenant: str, prefix: str = "c") -> None:
        self.host = host
        self.port = port
        self.tenant = tenant
        self.prefix = prefix
        self.stats: dict[str, RequestStats] = {}
        self._serial = 0
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, kind: RequestKind) -> Message | None:
        """One request; None where no answer came before its deadline."""
        self._serial += 1
        number = f"{self.prefix}{self._serial:08x}"
        headers = {
            "Host": "service.internal",
            "Req-Id": number,
            "Req-Owner": self.tenant,
            "Req-Deadline-Ms": str(kind.deadline_ms),
        }
        if kind.has_idempotency_key:
            headers["Idempotency-Key"] = f"key-{number}"
        tally = self.stats.setdefault(kind.target, RequestStats())
        begun = time.monotonic()
        message: Message | None = None
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000):
                pair = self._idle.pop() if self._idle else await asyncio.open_connection(self.host, self.port)
                pair[1].write(format_request(kind.method, kind.target, headers))
                message = await read_message(pair[0])
                if message.headers.get("connection") == "close":
                    pair[1].close()
                else:
                    self._idle.append(pair)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            pass
        tally.answers[message.status if message else 0] += 1
        tally.latencies_s.append(time.monotonic() - begun)
        return message

    async def run(self, kinds: Sequence[RequestKind], rate: float, seconds: float) -> None:
        """Send these kinds in turn, so many a second for so long, and wait for the last answer."""
        begun = time.monotonic()
        tasks = []
        for i in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, begun + i / rate - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(kinds[i % len(kinds)])))
        await asyncio.gather(*tasks)

    def close(self) -> None:
        for _, writer in self._idle:
            writer.close()
