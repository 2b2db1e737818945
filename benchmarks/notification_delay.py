"""How long after Consul has told of it an endpoint still gets a new call, counted outside the sidecar.

    python -m benchmarks.notification_delay [--flips 60]

The real program, three endpoints and callers that send one request after another. In each flip Consul tells, in a drawn
way, that one endpoint is critical, gone or in maintenance, and takes it back a moment later. The endpoints note when
each request came, the stand-in when the last byte of its answer was handed on. Rule 3 allows a second; 50 ms are aimed
at. It ends with status 1 where a call came later than that second.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.membership import document
from standins.consul import Consul, instance
from standins.endpoint import Behaviour, Endpoint, Ledger
from standins.http import Message, read_message, request
from standins.program import running

ENDPOINTS = 3
CALLERS = 12
AWAY_S = 0.25  # how long an endpoint is held back in a flip
ALLOWED_S = 1.0
HOW = ("critical", "gone", "maintenance")


class Noting(Endpoint):
    """An endpoint that notes when requests came."""

    came: list[float]

    async def reply(self, message: Message) -> bytes:
        self.came.append(time.monotonic())
        return await super().reply(message)


def rows(endpoints: list[Noting], held: int, how: str) -> list[dict[str, Any]]:
    found = []
    for i, endpoint in enumerate(endpoints):
        row = instance("web", endpoint.address, "critical" if (i, how) == (held, "critical") else "passing")
        if i == held and how == "maintenance":
            row["Checks"].append({"Node": "n1", "CheckID": "_node_maintenance", "Status": "critical"})
        if i != held or how != "gone":
            found.append(row)
    return found


async def call(address: tuple[str, int], name: int) -> None:
    reader, writer = await asyncio.open_connection(*address)
    number = 0
    try:
        while True:
            number += 1
            headers = {"Host": "a", "Req-Id": f"{name}-{number}", "Req-Owner": "acme", "Req-Deadline-Ms": "5000"}
            writer.write(request("GET", "/look/item", headers))
            await read_message(reader)
            await asyncio.sleep(0.002)
    finally:
        writer.close()


async def measure(flips: int) -> float:
    """The latest call after the word, in seconds; what was seen is printed."""
    chance = random.Random(1)
    endpoints = []
    for _ in range(ENDPOINTS):
        endpoint = Noting(Ledger(), Behaviour(), chance)
        endpoint.came = []
        await endpoint.start()
        endpoints.append(endpoint)
    agent = await Consul().start()
    agent.set("web", *rows(endpoints, -1, ""))
    operator = f'[consul]\nagents = "{agent.address}"\nservices = "web"\n'
    latest: dict[str, list[float]] = {how: [] for how in HOW}
    back: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        async with running(Path(folder), document(), operator) as (_, host, port):
            callers = [asyncio.create_task(call((host, port), i)) for i in range(CALLERS)]
            await asyncio.sleep(0.5)
            for _ in range(flips):
                held, how = chance.randrange(ENDPOINTS), chance.choice(HOW)
                answers = len(agent.answered_at)
                agent.set("web", *rows(endpoints, held, how))
                await asyncio.sleep(AWAY_S)
                told = agent.answered_at[answers]
                after = [came - told for came in endpoints[held].came if came >= told]
                latest[how].append(max(after, default=0.0))
                answers = len(agent.answered_at)
                agent.set("web", *rows(endpoints, -1, ""))
                await asyncio.sleep(AWAY_S)
                told = agent.answered_at[answers]
                back.append(min(came - told for came in endpoints[held].came if came >= told))
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
    for server in (agent, *endpoints):
        server.stop()
    for how, found in latest.items():
        print(
            f"{how:<12} {len(found):>4} times: last new call {statistics.median(found) * 1e3:.1f} ms after the word "
            f"in the median, {max(found) * 1e3:.1f} ms at the worst"
        )
    print(f"back in use after {statistics.median(back) * 1e3:.1f} ms in the median, {max(back) * 1e3:.1f} at the worst")
    return max(max(found) for found in latest.values() if found)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.notification_delay", description=__doc__)
    parser.add_argument("--flips", type=int, default=60)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return int(runner.run(measure(parser.parse_args().flips)) > ALLOWED_S)


if __name__ == "__main__":
    sys.exit(main())
