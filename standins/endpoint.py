"""A stand-in server of the platform's kind: works for a while, may fail fast, drain or hang; counts what it ran."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http import Message, answer, read_message


@dataclass
class Ledger:
    """What ran, seen from the world's side: shared by the endpoints of one world."""

    runs: Counter[tuple[str, str]] = field(default_factory=Counter)  # by class and request id

    def repeated(self, grade: str) -> int:
        """Requests of a class that ran more than once."""
        return sum(count > 1 for (found, _), count in self.runs.items() if found == grade)


@dataclass
class Behaviour:
    """How one endpoint fares; a test or a script changes it while it serves."""

    work_s: Callable[[], float] = lambda: 0.0
    error_rate: float = 0.0  # fails fast, with no work done
    draining: bool = False  # turns everything away


class Endpoint:
    """One server on a port of its own."""

    def __init__(self, ledger: Ledger, behaviour: Behaviour, chance: random.Random) -> None:
        self.ledger = ledger
        self.behaviour = behaviour
        self.chance = chance
        self.served: Counter[str] = Counter()  # by class
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Endpoint:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def stop(self) -> None:
        self.server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self._answer(message))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, message: Message) -> bytes:
        if self.behaviour.draining:
            return answer(503, b"", "Srv-Declined: 1")
        if self.chance.random() < self.behaviour.error_rate:
            return answer(500, b"broken")
        grade = message.target.split("/")[1]
        self.ledger.runs[grade, message.headers.get("req-id", "")] += 1
        self.served[grade] += 1
        await asyncio.sleep(self.behaviour.work_s())
        return answer(200, message.target.encode())
