"""Whether the program's memory or descriptors grow under ever new ids, tenants, callers, headers and endpoints.

    python -m benchmarks.soak [--seconds 120] [--rate 400]

One run of the real program. Every few requests come on a new connection, with a header and sometimes a tenant that
nobody has named before; every quarter of a second one endpoint drains and leaves, and another comes under an id that
is new. Resident memory and descriptors are read twice a second. The first third of the run is left out: pools, parsers
and the interpreter's arenas fill in it. The slope is the median of all pairs of readings (Theil and Sen), its interval
that of resampled blocks of readings.

The exit status is 1 where the slope's whole interval lies above the bound, or where descriptors at the end pass those
at the first third by more than callers and endpoints explain.
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

BOUND_BYTES = 8.0  # growth a request: 10 requests a second for a day are 7 MB then, under a twentieth of the limit
SPARE_DESCRIPTORS = 16  # what chance in open connections may add between two readings
PORTS = 6  # endpoints that really listen; the ids at them are ever new
CALLERS = 24
PER_CONNECTION = 5  # requests before a caller comes anew
CHURN_S = 0.25
READ_S = 0.5
BLOCK = 8  # readings that are resampled together: neighbours are alike
DRAWS = 400

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
    """What was seen of the process."""

    requests: list[int] = field(default_factory=list)
    bytes: list[float] = field(default_factory=list)
    descriptors: list[int] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.bytes)


@dataclass
class Load:
    """Callers, and what they were answered."""

    address: tuple[str, int]
    rate: float
    answers: Counter[int] = field(default_factory=Counter)
    sent: int = 0
    stopped: bool = False

    async def caller(self, chance: random.Random) -> None:
        while not self.stopped:
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                for _ in range(PER_CONNECTION):
                    await asyncio.sleep(chance.expovariate(self.rate / CALLERS))
                    writer.write(self.message(chance))
                    status = (await read_message(reader)).status
                    self.answers[status] += 1
                    if status == 400:
                        break  # the connection closes after it
            except (asyncio.IncompleteReadError, ConnectionError):
                self.answers[0] += 1
            finally:
                writer.close()

    def message(self, chance: random.Random) -> bytes:
        self.sent += 1
        stranger = chance.random() < 0.02
        headers = {
            "Host": "a",
            "Req-Id": f"{self.sent:x}-{chance.getrandbits(32):x}",
            "Req-Owner": f"tenant-{self.sent}" if stranger else "acme",
            "Req-Deadline-Ms": "2500",
            f"X-New-{self.sent}": "1",
        }
        if chance.random() < 0.5:
            return format_request("GET", f"/look/item-{self.sent}?q={self.sent}", headers)
        return format_request("POST", f"/pay/order-{self.sent}", headers, b"x" * chance.randrange(2000))


async def churn(discovery: Discovery, endpoints: list[Endpoint], load: Load) -> None:
    """One id leaves, by way of a drain, and a new one comes at the same address."""
    names = [f"s-{i}" for i in range(PORTS)]
    for number in itertools.count(PORTS):
        at = number % PORTS
        await asyncio.sleep(CHURN_S / 2)
        discovery.update(row(names[at], endpoints[at].address, "draining"))
        await asyncio.sleep(CHURN_S / 2)
        discovery.update(row(names[at], endpoints[at].address, "gone"))
        names[at] = f"s-{number}"
        discovery.update(row(names[at], endpoints[at].address))
        del discovery.changes[:-64]
        if load.stopped:
            return


async def watch(pid: int, load: Load, seconds: float) -> Readings:
    readings = Readings()
    subject = Subject("soak", pid, load.address)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(READ_S)
        readings.requests.append(load.answers.total())
        readings.bytes.append(subject.resident_mb() * (1 << 20))
        readings.descriptors.append(len(list(Path(f"/proc/{pid}/fd").iterdir())))
    return readings


async def soak(folder: Path, seconds: float, rate: float) -> tuple[Readings, Load]:
    chance = random.Random(1)
    discovery = await Discovery().start()
    execution_log = ExecutionLog()
    endpoints = [
        await Endpoint(execution_log, Behaviour(lambda: chance.uniform(0.001, 0.02)), random.Random(i)).start()
        for i in range(PORTS)
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
        forget = asyncio.create_task(forget_runs(execution_log, load))
        readings = await watch(process.pid, load, seconds)
        load.stopped = True
        await asyncio.gather(*callers, changes, forget)
        process.terminate()
        if await process.wait():
            raise SystemExit("the program ended with an error")
    for endpoint in endpoints:
        endpoint.stop()
    discovery.stop()
    return readings, load


async def forget_runs(execution_log: ExecutionLog, load: Load) -> None:
    """The stand-in's own book is not what is measured."""
    while not load.stopped:
        await asyncio.sleep(1.0)
        execution_log.runs.clear()


def slope(points: list[tuple[int, float]]) -> float:
    """Bytes a request: the median over all pairs."""
    pairs = itertools.combinations(points, 2)
    rises = [(b[1] - a[1]) / (b[0] - a[0]) for a, b in pairs if b[0] != a[0]]
    return statistics.median(rises)


def interval(points: list[tuple[int, float]], chance: random.Random) -> tuple[float, float]:
    """What holds 95% of the slopes of resampled blocks."""
    blocks = [points[i : i + BLOCK] for i in range(0, len(points), BLOCK)]
    drawn = []
    for _ in range(DRAWS):
        sample = [point for block in chance.choices(blocks, k=len(blocks)) for point in chance.sample(block, 2)]
        drawn.append(slope(sample))
    cuts = statistics.quantiles(drawn, n=40)
    return cuts[0], cuts[-1]


def report(readings: Readings, load: Load) -> int:
    first = len(readings) // 3
    settled = list(zip(readings.requests, readings.bytes, strict=True))[first:]
    whole = len(settled) // BLOCK * BLOCK
    found, (low, high) = slope(settled), interval(settled[:whole], random.Random(2))
    early, late = max(readings.descriptors[: first + 1]), max(readings.descriptors[-first:])
    served = load.answers[200]
    print(f"{load.answers.total()} requests: {served} served, " + ", ".join(
        f"{count} answered {status or 'nothing'}" for status, count in sorted(load.answers.items()) if status != 200
    ))  # fmt: skip
    print(
        f"resident: {readings.bytes[first] / 2**20:.1f} MB after a third of the run, "
        f"{readings.bytes[-1] / 2**20:.1f} at its end; "
        f"slope {found:+.2f} bytes a request (95%: {low:+.2f} to {high:+.2f}; bound {BOUND_BYTES:g})"
    )
    print(f"descriptors: {early} at the most in the first third, {late} in the last")
    if low > BOUND_BYTES:
        print("memory grows past the bound")
        return 1
    if late > early + SPARE_DESCRIPTORS:
        print("descriptors grow")
        return 1
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0, help="how long (30 to 3600)")
    parser.add_argument("--rate", type=float, default=400.0, help="requests a second (10 to 2000)")
    options = parser.parse_args()
    if not 30 <= options.seconds <= 3600 or not 10 <= options.rate <= 2000:
        parser.error("--seconds: 30 to 3600; --rate: 10 to 2000")
    with tempfile.TemporaryDirectory() as folder:
        readings, load = asyncio.run(soak(Path(folder), options.seconds, options.rate))
    return report(readings, load)


if __name__ == "__main__":
    sys.exit(main())
