"""Requests whose callers left while they waited: how many are sent on all the same, counted outside the sidecar.

    python -m benchmarks.leaving [--seconds 20]

The real program before endpoints that are too slow for what is asked of them. Callers send one to three requests at
once on a connection, wait a drawn moment and leave: by closing, by ending their sending alone, or by a reset. The
endpoints note when each request came. A case is a request of which nothing had come to an endpoint when its caller
left; it counts as sent on where it comes more than 0.3 s later. The operators fail a day on which over a quarter are,
five at least; so does this.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from standins.discovery import Discovery, row
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.http import Message, disconnect, format_request, read_message
from standins.program import running_sidecar

LIMIT_S = 0.3
FAILING_PART, FAILING_LEAST = 0.25, 5  # the operators' term
ENDPOINTS = 2
CALLERS = 150
WORK_S = 0.25
HOW = ("close", "half close", "reset")
SETTINGS = {
    "Categories": [
        {"Name": "pay", "AimUs": 2_000_000, "DeadlineUs": 3_000_000, "Effect": "at_most_once", "LateShare": 0.5}
    ],
    "Allowed": {"MaxAttempts": 3, "MayCancel": True, "ConnIdleUs": 5_000_000, "ConnectTimeoutUs": 250_000},
    "Discovery": "ask",
    "MyZone": "a",
    "Tiers": ["one"],
}


class Case(NamedTuple):
    """One request whose caller has left without an answer to it."""

    request_id: str
    how: str
    behind: bool  # it stood behind another of its connection
    left: float


class Noting(Endpoint):
    """An endpoint that notes when each request came first."""

    came: dict[str, float]

    async def reply(self, message: Message) -> bytes:
        self.came.setdefault(message.headers["req-id"], time.monotonic())
        return await super().reply(message)


async def call(address: tuple[str, int], name: int, chance: random.Random, until: float, cases: list[Case]) -> None:
    """One caller after another: each sends, waits a moment, and leaves what has no answer by then."""
    serial = 0
    while time.monotonic() < until:
        serial += 1
        how, ids = chance.choice(HOW), [f"{name}-{serial}-{i}" for i in range(chance.randint(1, 3))]
        reader, writer = await asyncio.open_connection(*address)
        for request_id in ids:
            headers = {"Host": "a", "Req-Id": request_id, "Req-Deadline-Ms": "3000"}
            writer.write(format_request("POST", "/pay/a", headers, b"x"))
        answered = 0
        try:
            async with asyncio.timeout(chance.uniform(0.0, 0.6)):
                while answered < len(ids):
                    await read_message(reader)
                    answered += 1
        except TimeoutError:
            disconnect(writer, how)
            left = time.monotonic()
            cases += [Case(ids[i], how, i > answered, left) for i in range(answered, len(ids))]
            if how == "half close":  # the other side ends what is left of it
                await reader.read()
        writer.close()


def tell(cases: list[Case], came: dict[str, float]) -> bool:
    """Print what was seen by the way of leaving and the place; whether the operators' term is kept."""
    waiting, late = Counter[tuple[str, bool]](), Counter[tuple[str, bool]]()
    for case in cases:
        at = came.get(case.request_id)
        if at is None or at > case.left:
            waiting[case.how, case.behind] += 1
            late[case.how, case.behind] += at is not None and at > case.left + LIMIT_S
    for key in sorted(waiting):
        place = "behind another" if key[1] else "first on its connection"
        print(f"{key[0]:<11} {place:<24} {waiting[key]:>6} waited, {late[key]} sent on over {LIMIT_S} s later")
    total, sent = waiting.total(), late.total()
    print(f"all: {sent} of {total}")
    return total > 0 and sent < max(FAILING_LEAST, FAILING_PART * total)


async def measure(seconds: float) -> bool:
    chance = random.Random(1)
    came: dict[str, float] = {}
    endpoints: list[Noting] = []
    discovery = await Discovery().start()
    for i in range(ENDPOINTS):
        endpoint = Noting(ExecutionLog(), Behaviour(work_s=lambda: WORK_S), chance)
        endpoint.came = came
        await endpoint.start()
        endpoints.append(endpoint)
        discovery.update(row(f"s-{i}", endpoint.address))
    document: dict[str, Any] = {
        "name": "n0", "discovery": discovery.address, "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 128}, "settings": SETTINGS,
    }  # fmt: skip
    cases: list[Case] = []
    with tempfile.TemporaryDirectory() as folder:
        async with running_sidecar(Path(folder), document) as (_, host, port):
            until = time.monotonic() + seconds
            await asyncio.gather(*(call((host, port), i, chance, until, cases) for i in range(CALLERS)))
            await asyncio.sleep(1.0)  # so that what is sent on late is seen
    for server in (discovery, *endpoints):
        server.stop()
    return tell(cases, came)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.leaving", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return int(not runner.run(measure(parser.parse_args().seconds)))


if __name__ == "__main__":
    sys.exit(main())
