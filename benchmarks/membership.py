"""The cost of a long Consul list to a sidecar: time until it is in force, CPU, memory, and latency of requests.

    python -m benchmarks.membership [--rounds 20]

Runs the sidecar program once for each size, with a stand-in for Consul that lists one live endpoint and otherwise
critical ones. Rounds with and without an update follow each other in random order, each with callers that send one
request after another. Differences of the 99th percentiles and of the CPU are paired, and printed with the interval that
holds 95% of the resampled means. The next request to Consul marks the moment when a list is in force.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.proxy import Subject
from eiderhub.config.write import generate
from standins.consul import Consul, instance
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.http import format_request, format_response, read_message
from standins.program import running_sidecar

SIZES = (100, 1_000, 5_000)
SERVICES, NODES = 20, 107
CALLERS = 4
ROUND_S = 0.5
RESAMPLES = 2000
DESCRIPTION = """\
name = "bench"
listen = "127.0.0.1:7070"
discovery = "127.0.0.1:1"
rate = 50
[machine]
memory = "192MiB"
descriptors = 1024
[classes.look]
wanted = "5s"
give_up = "10s"
repeat = "harmless"
[tenants]
acme = 1.0
"""


def document() -> dict[str, Any]:
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(DESCRIPTION)
        file.flush()
        found: dict[str, Any] = json.loads(generate(file.name).files["bench/sidecar.json"])
    return found


def response_body(live: str, size: int, changed: int) -> bytes:
    """Return `size` instances, one of them live; `changed` percent of the others have another weight."""
    rows = [instance("web", live)]
    for i in range(size - 1):
        row = instance("web", f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}:80", "critical", f"n{i}")
        row["Service"]["Weights"]["Passing"] = 2 if i % 100 < changed else 1
        rows.append(row)
    return json.dumps(rows).encode()


class Run:
    """Measures one size; holds the program, the Consul stand-in and the results."""

    def __init__(self, agent: Consul, subject: Subject, bodies: list[bytes]) -> None:
        self.agent, self.subject, self.bodies = agent, subject, bodies
        self.index = 10
        self.applied_ms: list[float] = []

    async def update(self) -> None:
        """Send a changed list and wait until it is in force."""
        self.index += 1
        requests = len(self.agent.requests)
        self.agent.respond_with(
            format_response(200, self.bodies[self.index % len(self.bodies)], f"X-Consul-Index: {self.index}")
        )
        while len(self.agent.requests) == requests:
            await asyncio.sleep(0.001)
        self.applied_ms.append((time.monotonic() - self.agent.answered_at[-1]) * 1e3)

    async def round(self, updates: bool) -> tuple[float, float]:
        """Return the 99th percentile of the latency of requests, and the CPU time of the round, in milliseconds."""
        latencies: list[float] = []
        end = time.monotonic() + ROUND_S
        before = self.subject.cpu_s()
        callers = [asyncio.create_task(self._call(latencies, end)) for _ in range(CALLERS)]
        if updates:
            await asyncio.sleep(0.15)
            await self.update()
        for caller in callers:
            await caller
        return statistics.quantiles(latencies, n=100)[98], (self.subject.cpu_s() - before) * 1e3

    async def _call(self, latencies: list[float], end: float) -> None:
        reader, writer = await asyncio.open_connection(*self.subject.address)
        number = 0
        while time.monotonic() < end:
            number += 1
            headers = {"Host": "a", "Req-Id": f"{id(writer):x}-{number}-{self.index}", "Req-Owner": "acme"}
            started_at = time.monotonic()
            writer.write(format_request("GET", "/look/item", headers | {"Req-Deadline-Ms": "5000"}))
            message = await read_message(reader)
            if message.status != 200:
                raise SystemExit(f"unexpected status {message.status}")
            latencies.append((time.monotonic() - started_at) * 1e3)
            await asyncio.sleep(0.004)
        writer.close()


def memory_mb(pid: int) -> float:
    line = next(one for one in Path(f"/proc/{pid}/status").read_text().splitlines() if one.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def measure(size: int, rounds: int, rng: random.Random) -> None:
    endpoint = await Endpoint(ExecutionLog(), Behaviour(), rng).start()
    agent = await Consul().start()
    agent.set("web", instance("web", endpoint.address))
    bodies = [response_body(endpoint.address, size, changed) for changed in (0, 5)]
    operator = f'[consul]\nagents = "{agent.address}"\nservices = "web"\nanswer = "16MiB"\n'
    with tempfile.TemporaryDirectory() as folder:
        found = {**document(), "discovery": "127.0.0.1:1"}
        async with running_sidecar(Path(folder), found, operator) as (process, host, port):
            run = Run(agent, Subject(f"{size} instances", process.pid, (host, port)), bodies)
            while not agent.answered_at:
                await asyncio.sleep(0.01)
            small_mb = memory_mb(process.pid)
            await asyncio.sleep(0.2)  # longer than the interval between requests to Consul
            await run.update()  # all instances are new
            first_ms = run.applied_ms.pop()
            latencies, cpu = [], []
            for _ in range(rounds):
                order = rng.sample((False, True), 2)
                seen = {updates: await run.round(updates) for updates in order}
                latencies.append(seen[True][0] - seen[False][0])
                cpu.append(seen[True][1] - seen[False][1])
            print(
                f"{size:>6} instances, {len(bodies[0]) / 1e6:5.2f} MB: first in force after {first_ms:6.1f} ms, one "
                f"with 5% changed after {statistics.median(run.applied_ms):6.1f} ms (worst {max(run.applied_ms):.1f}); "
                f"memory +{memory_mb(process.pid) - small_mb:.1f} MB; CPU of a list {interval(cpu, rng)} ms; "
                f"99th percentile of requests {interval(latencies, rng)} ms"
            )
    agent.stop()
    endpoint.stop()


def interval(differences: list[float], rng: random.Random) -> str:
    means = sorted(statistics.fmean(rng.choices(differences, k=len(differences))) for _ in range(RESAMPLES))
    low, high = means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES)]
    return f"{statistics.fmean(differences):+.1f} ({low:+.1f} to {high:+.1f})"


async def measure_services() -> None:
    """Grow many services from one instance to all, and print the time, memory and CPU of a quiet second."""
    agent = await Consul().start()
    names = [f"service-{i}" for i in range(SERVICES)]
    for i, name in enumerate(names):
        agent.set(name, instance(name, f"10.{i}.0.0:80", "passing", "n0"))
    operator = f'[consul]\nagents = "{agent.address}"\nservices = {json.dumps(names)}\n'
    with tempfile.TemporaryDirectory() as folder:
        async with running_sidecar(Path(folder), document(), operator) as (process, host, port):
            subject = Subject("services", process.pid, (host, port))
            while len(agent.requests) < 2 * SERVICES:  # each service is polled again once its list is in force
                await asyncio.sleep(0.01)
            small_mb = memory_mb(process.pid)
            requests, started_at = len(agent.requests), time.monotonic()
            for i, name in enumerate(names):
                agent.set(name, *[instance(name, f"10.{i}.0.{k}:80", "passing", f"n{k}") for k in range(NODES)])
            while len(agent.requests) < requests + SERVICES:
                await asyncio.sleep(0.001)
            took_ms = (time.monotonic() - started_at) * 1e3
            await asyncio.sleep(1.0)
            cpu = subject.cpu_s()
            await asyncio.sleep(1.0)
            print(
                f"{SERVICES} services of {NODES} instances: in force after {took_ms:.0f} ms, memory "
                f"+{memory_mb(process.pid) - small_mb:.1f} MB to {memory_mb(process.pid):.1f}; CPU of a quiet second "
                f"{(subject.cpu_s() - cpu) * 1e3:.1f} ms"
            )
    agent.stop()


async def measure_all(rounds: int) -> None:
    rng = random.Random(1)
    await measure_services()
    for size in SIZES:
        await measure(size, rounds, rng)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.membership", description=__doc__)
    parser.add_argument("--rounds", type=int, default=20)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure_all(parser.parse_args().rounds))


if __name__ == "__main__":
    main()
