"""Detects growth of the program's memory or descriptors under ever new ids, tenants, callers, headers and endpoints.

    python -m benchmarks.soak [--seconds 120] [--rate 400]

Runs the sidecar program once. Every few requests use a new connection; each has a new header, some a new tenant. Every
quarter of a second one endpoint drains and is removed, and another is added under a new id. Resident memory and
descriptors are read twice a second. The first third of the run is left out, because pools, parsers and the
interpreter's arenas fill up during it. The slope is the median over all pairs of readings (the Theil-Sen estimator);
its interval comes from resampled blocks of readings.

The exit status is 1 if the slope's whole interval is above the bound, or if the descriptors of the last third exceed
those of the first by more than `SPARE_DESCRIPTORS`.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.proxy import Subject
from standins.discovery import Discovery, row
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.http import format_request, read_message
from standins.program import running_sidecar

MAX_GROWTH_BYTES = 8.0  # per request; 10 requests a second grow by 7 MB a day, under a twentieth of the limit
SPARE_DESCRIPTORS = 16  # allowance for random variation in open connections
ENDPOINTS = 6  # servers; each gets ever new endpoint ids
CALLERS = 24
PER_CONNECTION = 5  # requests before a caller reconnects
CHURN_INTERVAL_S = 0.25
READ_INTERVAL_S = 0.5
BLOCK_LENGTH = 8  # readings that are resampled together, because neighbours are correlated
RESAMPLES = 400

SETTINGS: dict[str, Any] = {
    "Categories": [
        {"Name": "look", "AimUs": 1_000_000, "DeadlineUs": 3_000_000, "Effect": "idempotent", "LateShare": 0.5},
        {"Name": "pay", "AimUs": 1_000_000, "DeadlineUs": 3_000_000, "Effect": "at_most_once"},
    ],
    "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 5000.0}],
    "Allowed": {"MaxAttempts": 4, "ConnIdleUs": 2_000_000, "ConnectTimeoutUs": 250_000, "RetryAfter": True},
    "Discovery": "ask",
    "MyZone": "a",
    "Tiers": ["one"],
}  # fmt: skip


@dataclass
class Readings:
    """Readings of the process, in order of time."""

    requests: list[int] = field(default_factory=list)  # answered so far
    bytes: list[float] = field(default_factory=list)  # resident memory
    descriptors: list[int] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.bytes)


@dataclass
class Load:
    """Callers, and the responses that they got."""

    address: tuple[str, int]
    rate: float
    status_counts: Counter[int] = field(default_factory=Counter)  # 0: no response
    sent_count: int = 0
    is_stopped: bool = False

    async def caller(self, rng: random.Random) -> None:
        """Send requests with random pauses, a few on each connection, until the load is stopped."""
        while not self.is_stopped:
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                for _ in range(PER_CONNECTION):
                    await asyncio.sleep(rng.expovariate(self.rate / CALLERS))
                    writer.write(self.message(rng))
                    status = (await read_message(reader)).status
                    self.status_counts[status] += 1
                    if status == 400:
                        break  # the sidecar closes the connection after it
            except (asyncio.IncompleteReadError, ConnectionError):
                self.status_counts[0] += 1
            finally:
                writer.close()

    def message(self, rng: random.Random) -> bytes:
        """Return a request with a new id, header and target."""
        self.sent_count += 1
        is_unknown_tenant = rng.random() < 0.02
        headers = {
            "Host": "a",
            "Req-Id": f"{self.sent_count:x}-{rng.getrandbits(32):x}",
            "Req-Owner": f"tenant-{self.sent_count}" if is_unknown_tenant else "acme",
            "Req-Deadline-Ms": "2500",
            f"X-New-{self.sent_count}": "1",
        }
        if rng.random() < 0.5:
            return format_request("GET", f"/look/item-{self.sent_count}?q={self.sent_count}", headers)
        return format_request("POST", f"/pay/order-{self.sent_count}", headers, b"x" * rng.randrange(2000))


async def churn(discovery: Discovery, endpoints: list[Endpoint], load: Load) -> None:
    """Repeatedly drain and remove one endpoint id, and add a new one at the same address."""
    endpoint_ids = [f"s-{i}" for i in range(ENDPOINTS)]
    for number in itertools.count(ENDPOINTS):
        index = number % ENDPOINTS
        await asyncio.sleep(CHURN_INTERVAL_S / 2)
        discovery.update(row(endpoint_ids[index], endpoints[index].address, "draining"))
        await asyncio.sleep(CHURN_INTERVAL_S / 2)
        discovery.update(row(endpoint_ids[index], endpoints[index].address, "gone"))
        endpoint_ids[index] = f"s-{number}"
        discovery.update(row(endpoint_ids[index], endpoints[index].address))
        del discovery.changes[:-64]
        if load.is_stopped:
            return


async def watch(pid: int, load: Load, seconds: float) -> Readings:
    """Take readings of the process for `seconds`."""
    readings = Readings()
    subject = Subject("soak", pid, load.address)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(READ_INTERVAL_S)
        readings.requests.append(load.status_counts.total())
        readings.bytes.append(subject.resident_mb() * (1 << 20))
        readings.descriptors.append(len(list(Path(f"/proc/{pid}/fd").iterdir())))
    return readings


async def soak(folder: Path, seconds: float, rate: float) -> tuple[Readings, Load]:
    rng = random.Random(1)
    discovery = await Discovery().start()
    execution_log = ExecutionLog()
    endpoints = [
        await Endpoint(execution_log, Behaviour(lambda: rng.uniform(0.001, 0.02)), random.Random(i)).start()
        for i in range(ENDPOINTS)
    ]
    for i, endpoint in enumerate(endpoints):
        discovery.update(row(f"s-{i}", endpoint.address))
    document = {
        "name": "soak", "seed": "5", "discovery": discovery.address, "settings": SETTINGS,
        "known": {"generation": 0, "reset": True, "instances": list(discovery.rows.values())},
    }  # fmt: skip
    async with running_sidecar(folder, document) as (process, host, port):
        load = Load((host, port), rate)
        callers = [asyncio.create_task(load.caller(random.Random(i))) for i in range(CALLERS)]
        changes = asyncio.create_task(churn(discovery, endpoints, load))
        clearing = asyncio.create_task(clear_execution_log(execution_log, load))
        readings = await watch(process.pid, load, seconds)
        load.is_stopped = True
        await asyncio.gather(*callers, changes, clearing)
        process.terminate()
        if await process.wait():
            raise SystemExit("the program exited with an error")
    for endpoint in endpoints:
        endpoint.stop()
    discovery.stop()
    return readings, load


async def clear_execution_log(execution_log: ExecutionLog, load: Load) -> None:
    """Limit the memory of the stand-ins themselves, which is not measured."""
    while not load.is_stopped:
        await asyncio.sleep(1.0)
        execution_log.runs.clear()


def slope(points: list[tuple[int, float]]) -> float:
    """Return the Theil-Sen slope in bytes per request: the median over all pairs."""
    pairs = itertools.combinations(points, 2)
    slopes = [(b[1] - a[1]) / (b[0] - a[0]) for a, b in pairs if b[0] != a[0]]
    return statistics.median(slopes)


def interval(points: list[tuple[int, float]], rng: random.Random) -> tuple[float, float]:
    """Return the interval that holds 95% of the slopes of resampled blocks."""
    blocks = [points[i : i + BLOCK_LENGTH] for i in range(0, len(points), BLOCK_LENGTH)]
    slopes = []
    for _ in range(RESAMPLES):
        sample = [point for block in rng.choices(blocks, k=len(blocks)) for point in rng.sample(block, 2)]
        slopes.append(slope(sample))
    quantiles = statistics.quantiles(slopes, n=40)
    return quantiles[0], quantiles[-1]


def report(readings: Readings, load: Load) -> int:
    """Print the results and return the exit status."""
    third = len(readings) // 3
    settled = list(zip(readings.requests, readings.bytes, strict=True))[third:]
    complete = len(settled) // BLOCK_LENGTH * BLOCK_LENGTH
    growth, (low, high) = slope(settled), interval(settled[:complete], random.Random(2))
    early_descriptors, late_descriptors = max(readings.descriptors[: third + 1]), max(readings.descriptors[-third:])
    served = load.status_counts[200]
    print(f"{load.status_counts.total()} requests: {served} served, " + ", ".join(
        f"{count} with {status or 'no response'}"
        for status, count in sorted(load.status_counts.items()) if status != 200
    ))  # fmt: skip
    print(
        f"resident: {readings.bytes[third] / 2**20:.1f} MB after a third of the run, "
        f"{readings.bytes[-1] / 2**20:.1f} at its end; "
        f"slope {growth:+.2f} bytes per request (95%: {low:+.2f} to {high:+.2f}; bound {MAX_GROWTH_BYTES:g})"
    )
    print(f"descriptors: at most {early_descriptors} in the first third, {late_descriptors} in the last")
    if low > MAX_GROWTH_BYTES:
        print("memory grows by more than the bound")
        return 1
    if late_descriptors > early_descriptors + SPARE_DESCRIPTORS:
        print("descriptors grow")
        return 1
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0, help="duration: 30 to 3600")
    parser.add_argument("--rate", type=float, default=400.0, help="requests a second: 10 to 2000")
    options = parser.parse_args()
    if not 30 <= options.seconds <= 3600 or not 10 <= options.rate <= 2000:
        parser.error("--seconds: 30 to 3600; --rate: 10 to 2000")
    with tempfile.TemporaryDirectory() as folder:
        readings, load = asyncio.run(soak(Path(folder), options.seconds, options.rate))
    return report(readings, load)


if __name__ == "__main__":
    sys.exit(main())
