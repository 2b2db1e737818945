"""The effect of a flood of junk datagrams on a member's requests: rounds with and without it in random order."""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
import time

from standins.callers import Callers, RequestKind, RequestStats
from standins.discovery import row
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.fleet.rig import Rig

KIND = RequestKind("GET", "/look/part", 2_000)
ROUND_S = 1.5
REQUESTS_PER_S = 150.0
JUNK_PER_S = 100_000  # the rate that the sender tries to reach
JUNK = b"\x71" + b"junk" * 30

# A separate process, since the sender would otherwise slow down the callers in this one.
SENDER = """
import socket, sys, time
host, port, seconds, rate = sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
junk = bytes.fromhex(sys.argv[5])
sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
start, sent = time.monotonic(), 0
while (passed := time.monotonic() - start) < seconds:
    for _ in range(max(0, min(500, int(passed * rate) - sent))):
        try:
            sock.sendto(junk, (host, port)); sent += 1
        except OSError:
            pass
print(sent)
"""


async def run_round(rig: Rig, flooded: bool) -> tuple[RequestStats, int]:
    """Run requests for ROUND_S, with or without a flood; return their statistics and the junk datagrams sent."""
    sender = None
    if flooded:
        host, port = rig.relay.member_addresses[0]
        sender = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SENDER, host, str(port), str(ROUND_S), str(JUNK_PER_S), JUNK.hex(),
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
    callers = Callers("127.0.0.1", rig.members[0].port, "acme", "f" if flooded else "q")
    await callers.run([KIND], REQUESTS_PER_S, ROUND_S)
    callers.close()
    sent = 0
    if sender is not None:
        out, _ = await sender.communicate()
        sent = int(out)
    return callers.stats[KIND.target], sent


async def flood(rounds: int) -> list[tuple[float, float, float, float]]:
    """Return for each pair of rounds the median and 99th percentile latency, quiet and flooded, in milliseconds."""
    endpoint = await Endpoint(ExecutionLog(), Behaviour(lambda: 0.002), random.Random(1)).start()
    rows, junk, unserved = [], 0, 0
    async with Rig(3, 1, 0.1, [row("s-0", endpoint.address)]) as rig:
        await rig.settle()
        await run_round(rig, False)
        for number in range(rounds):
            latencies_ms = {}
            for flooded in random.Random(number).sample((False, True), 2):
                stats, sent = await run_round(rig, flooded)
                junk += sent
                unserved += stats.status_counts.total() - stats.served
                percentiles = statistics.quantiles(stats.latencies_s, n=100)
                latencies_ms[flooded] = (percentiles[49] * 1000, percentiles[98] * 1000)
            rows.append((*latencies_ms[False], *latencies_ms[True]))
        flood_end = time.time()
        await rig.settle()
        failures = [r for _, source, r in rig.events("gone") if source == "n0"]
        print(
            f"{junk / (rounds * ROUND_S):.0f} datagrams a second; {unserved} requests not served; "
            f"the flooded member declared {len(failures)} failed; one view {time.time() - flood_end:.1f} s after"
        )
    endpoint.stop()
    return rows
