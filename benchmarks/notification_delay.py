"""How long an endpoint still gets new requests after Consul has reported it unavailable, measured outside the sidecar.

    python -m benchmarks.notification_delay [--flips 60]

Runs the sidecar program with three endpoints and callers that send one request after another. In each flip Consul
reports one random endpoint as critical, removed or in maintenance, and as passing again a moment later. The endpoints
record when each request arrived, the stand-in when its response was written. Nothing new may be sent to a draining or
removed endpoint once the notification's grace of one second has passed; the objective is 50 ms. The exit status is 1 if
a request arrived after that second.
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
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.http import Message, format_request, read_message
from standins.program import running_sidecar

ENDPOINTS = 3
CALLERS = 12
UNAVAILABLE_S = 0.25  # how long an endpoint is unavailable in a flip
GRACE_S = 1.0
STATES = ("critical", "gone", "maintenance")


class RecordingEndpoint(Endpoint):
    """An endpoint that records when requests arrived."""

    arrivals: list[float]

    async def reply(self, message: Message) -> bytes:
        self.arrivals.append(time.monotonic())
        return await super().reply(message)


def rows(endpoints: list[RecordingEndpoint], affected: int, state: str) -> list[dict[str, Any]]:
    found = []
    for i, endpoint in enumerate(endpoints):
        row = instance("web", endpoint.address, "critical" if (i, state) == (affected, "critical") else "passing")
        if i == affected and state == "maintenance":
            row["Checks"].append({"Node": "n1", "CheckID": "_node_maintenance", "Status": "critical"})
        if i != affected or state != "gone":
            found.append(row)
    return found


async def call(address: tuple[str, int], name: int) -> None:
    reader, writer = await asyncio.open_connection(*address)
    number = 0
    try:
        while True:
            number += 1
            headers = {"Host": "a", "Req-Id": f"{name}-{number}", "Req-Owner": "acme", "Req-Deadline-Ms": "5000"}
            writer.write(format_request("GET", "/look/item", headers))
            await read_message(reader)
            await asyncio.sleep(0.002)
    finally:
        writer.close()


async def measure(flips: int) -> float:
    """Print the results; return the delay of the latest new request after a report, in seconds."""
    rng = random.Random(1)
    endpoints = []
    for _ in range(ENDPOINTS):
        endpoint = RecordingEndpoint(ExecutionLog(), Behaviour(), rng)
        endpoint.arrivals = []
        await endpoint.start()
        endpoints.append(endpoint)
    agent = await Consul().start()
    agent.set("web", *rows(endpoints, -1, ""))
    operator = f'[consul]\nagents = "{agent.address}"\nservices = "web"\n'
    latest: dict[str, list[float]] = {state: [] for state in STATES}
    return_delays: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        async with running_sidecar(Path(folder), document(), operator) as (_, host, port):
            callers = [asyncio.create_task(call((host, port), i)) for i in range(CALLERS)]
            await asyncio.sleep(0.5)
            for _ in range(flips):
                affected, state = rng.randrange(ENDPOINTS), rng.choice(STATES)
                responses = len(agent.answered_at)
                agent.set("web", *rows(endpoints, affected, state))
                await asyncio.sleep(UNAVAILABLE_S)
                reported_at = agent.answered_at[responses]
                delays_after_report = [
                    arrival - reported_at for arrival in endpoints[affected].arrivals if arrival >= reported_at
                ]
                latest[state].append(max(delays_after_report, default=0.0))
                responses = len(agent.answered_at)
                agent.set("web", *rows(endpoints, -1, ""))
                await asyncio.sleep(UNAVAILABLE_S)
                reported_at = agent.answered_at[responses]
                return_delays.append(
                    min(arrival - reported_at for arrival in endpoints[affected].arrivals if arrival >= reported_at)
                )
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
    for server in (agent, *endpoints):
        server.stop()
    for state, delays in latest.items():
        print(
            f"{state:<12} {len(delays):>4} times: last new request {statistics.median(delays) * 1e3:.1f} ms "
            f"after the report in the median, {max(delays) * 1e3:.1f} ms in the worst case"
        )
    print(
        f"back in use after {statistics.median(return_delays) * 1e3:.1f} ms in the median, "
        f"{max(return_delays) * 1e3:.1f} in the worst case"
    )
    return max(max(delays) for delays in latest.values() if delays)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.notification_delay", description=__doc__)
    parser.add_argument("--flips", type=int, default=60)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return int(runner.run(measure(parser.parse_args().flips)) > GRACE_S)


if __name__ == "__main__":
    sys.exit(main())
