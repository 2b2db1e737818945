"""A stand-in for an application server: takes time, fails or declines requests as configured, and counts executions."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http import Message, format_response
from standins.server import HttpServer


@dataclass
class ExecutionLog:
    """Counts the executions of each request; several endpoints share one."""

    runs: Counter[tuple[str, str]] = field(default_factory=Counter)  # by class name and request id

    def count_repeated(self, class_name: str) -> int:
        """Return how many requests of a class ran more than once."""
        return sum(count > 1 for (found, _), count in self.runs.items() if found == class_name)


@dataclass
class Behaviour:
    """How an endpoint responds; a test may change it while the endpoint serves."""

    work_s: Callable[[], float] = lambda: 0.0
    error_rate: float = 0.0  # share of requests that fail at once without running
    draining: bool = False  # declines every request


class Endpoint(HttpServer):
    """An application server. The first segment of a request's path is the name of its class."""

    def __init__(self, execution_log: ExecutionLog, behaviour: Behaviour, rng: random.Random) -> None:
        super().__init__()
        self.execution_log = execution_log
        self.behaviour = behaviour
        self.rng = rng
        self.served: Counter[str] = Counter()  # by class name

    async def start(self) -> Endpoint:
        await self.listen()
        return self

    async def reply(self, message: Message) -> bytes:
        if self.behaviour.draining:
            return format_response(503, b"", "Srv-Declined: 1")
        if self.rng.random() < self.behaviour.error_rate:
            return format_response(500, b"broken")
        class_name = message.target.split("/")[1]
        self.execution_log.runs[class_name, message.headers.get("req-id", "")] += 1
        self.served[class_name] += 1
        await asyncio.sleep(self.behaviour.work_s())
        return format_response(200, message.target.encode())
