"""A stand-in server of the platform's kind: works for a while, may fail fast, drain or hang; counts what it ran."""

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
    """What ran, seen from the world's side: shared by the endpoints of one world."""

    runs: Counter[tuple[str, str]] = field(default_factory=Counter)  # by class and request id

    def count_repeated(self, grade: str) -> int:
        """Requests of a class that ran more than once."""
        return sum(count > 1 for (found, _), count in self.runs.items() if found == grade)


@dataclass
class Behaviour:
    """How one endpoint fares; a test or a script changes it while it serves."""

    work_s: Callable[[], float] = lambda: 0.0
    error_rate: float = 0.0  # fails fast, with no work done
    draining: bool = False  # turns everything away


class Endpoint(HttpServer):
    """One server on a port of its own."""

    def __init__(self, execution_log: ExecutionLog, behaviour: Behaviour, chance: random.Random) -> None:
        super().__init__()
        self.execution_log = execution_log
        self.behaviour = behaviour
        self.chance = chance
        self.served: Counter[str] = Counter()  # by class

    async def start(self) -> Endpoint:
        await self.listen()
        return self

    async def reply(self, message: Message) -> bytes:
        if self.behaviour.draining:
            return format_response(503, b"", "Srv-Declined: 1")
        if self.chance.random() < self.behaviour.error_rate:
            return format_response(500, b"broken")
        grade = message.target.split("/")[1]
        self.execution_log.runs[grade, message.headers.get("req-id", "")] += 1
        self.served[grade] += 1
        await asyncio.sleep(self.behaviour.work_s())
        return format_response(200, message.target.encode())
