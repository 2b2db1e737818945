"""Counts queued requests that are still sent to an endpoint after their caller has disconnected.

    python -m benchmarks.caller_disconnects [--seconds 20]

Runs the sidecar program with endpoints that are too slow for the load. Callers send one to three requests at once on a
connection, wait a random time and disconnect: by a close, by a half close of their sending side, or by a reset. The
endpoints record when each request arrived. A case is a request that had not arrived at an endpoint when its caller
disconnected; it counts as forwarded if it arrives more than 0.3 s later. The measurement fails if over a quarter of the
cases, and at least five, are forwarded: the operators use the same criterion for a day.
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
FAILURE_SHARE, MIN_FAILURES = 0.25, 5  # the operators' criterion
ENDPOINTS = 2
CALLERS = 150
WORK_S = 0.25
DISCONNECTS = ("close", "half close", "reset")
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
    """A request whose caller disconnected before its response."""

    request_id: str
    how: str
    is_behind: bool  # it followed another unanswered request on its connection
    disconnected_at: float


class RecordingEndpoint(Endpoint):
    """An endpoint that records when each request first arrived."""

    arrivals: dict[str, float]

    async def reply(self, message: Message) -> bytes:
        self.arrivals.setdefault(message.headers["req-id"], time.monotonic())
        return await super().reply(message)


async def call_repeatedly(
    address: tuple[str, int], name: int, rng: random.Random, until: float, cases: list[Case]
) -> None:
    """Run one caller after another: each sends requests, waits a random time and disconnects if any are unanswered."""
    round_number = 0
    while time.monotonic() < until:
        round_number += 1
        how, request_ids = (
            rng.choice(DISCONNECTS),
            [f"{name}-{round_number}-{i}" for i in range(rng.randint(1, 3))],
        )
        reader, writer = await asyncio.open_connection(*address)
        for request_id in request_ids:
            headers = {"Host": "a", "Req-Id": request_id, "Req-Deadline-Ms": "3000"}
            writer.write(format_request("POST", "/pay/a", headers, b"x"))
        answered = 0
        try:
            async with asyncio.timeout(rng.uniform(0.0, 0.6)):
                while answered < len(request_ids):
                    await read_message(reader)
                    answered += 1
        except TimeoutError:
            disconnect(writer, how)
            disconnected_at = time.monotonic()
            cases += [
                Case(request_ids[i], how, i > answered, disconnected_at) for i in range(answered, len(request_ids))
            ]
            if how == "half close":  # until the sidecar closes its side
                await reader.read()
        writer.close()


def report(cases: list[Case], arrivals: dict[str, float]) -> bool:
    """Print the counts by kind of disconnect and position; return whether the operators' criterion is met."""
    case_counts, forwarded = Counter[tuple[str, bool]](), Counter[tuple[str, bool]]()
    for case in cases:
        arrived_at = arrivals.get(case.request_id)
        if arrived_at is None or arrived_at > case.disconnected_at:
            case_counts[case.how, case.is_behind] += 1
            forwarded[case.how, case.is_behind] += (
                arrived_at is not None and arrived_at > case.disconnected_at + LIMIT_S
            )
    for key in sorted(case_counts):
        position = "behind another" if key[1] else "first on its connection"
        print(
            f"{key[0]:<11} {position:<24} {case_counts[key]:>6} cases, "
            f"{forwarded[key]} forwarded over {LIMIT_S} s later"
        )
    total, total_forwarded = case_counts.total(), forwarded.total()
    print(f"forwarded: {total_forwarded} of {total}")
    return total > 0 and total_forwarded < max(MIN_FAILURES, FAILURE_SHARE * total)


async def measure(seconds: float) -> bool:
    rng = random.Random(1)
    arrivals: dict[str, float] = {}
    endpoints: list[RecordingEndpoint] = []
    discovery = await Discovery().start()
    for i in range(ENDPOINTS):
        endpoint = RecordingEndpoint(ExecutionLog(), Behaviour(work_s=lambda: WORK_S), rng)
        endpoint.arrivals = arrivals
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
            await asyncio.gather(*(call_repeatedly((host, port), i, rng, until, cases) for i in range(CALLERS)))
            await asyncio.sleep(1.0)  # so that late arrivals are recorded
    for server in (discovery, *endpoints):
        server.stop()
    return report(cases, arrivals)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.caller_disconnects", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return int(not runner.run(measure(parser.parse_args().seconds)))


if __name__ == "__main__":
    sys.exit(main())
