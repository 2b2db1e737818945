"""A demonstration of a few seconds: the sidecar program with stand-in endpoints, discovery and callers."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import tempfile
from importlib import resources
from pathlib import Path

from eiderhub.config.write import generate
from standins.callers import Callers, RequestKind
from standins.discovery import Discovery, row
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.program import running_sidecar

RATE = 150.0  # requests a second; low enough for a small machine
REQUEST_KINDS = (
    RequestKind("GET", "/catalogo/partes", 1_000),
    RequestKind("POST", "/reserva/parte-7", 2_000, has_idempotency_key=True),
    RequestKind("POST", "/despacho/orden-9", 3_000),
)


async def demo(seconds: float, folder: Path) -> int:
    """Run the demonstration and return its exit status.

    The status is 0 if every request got a response, the sidecar exited with 0 and no unsafe request ran twice.
    """
    description = folder / "demo.toml"
    description.write_text((resources.files("standins") / "demo.toml").read_text(encoding="utf-8"), encoding="utf-8")
    generated = generate(str(description))
    for finding in generated.findings:
        print(finding)
    if not generated.is_valid:
        return 1
    document = json.loads(generated.files["demo/sidecar.json"])
    operator = generated.files["demo/operator.toml"].decode()

    execution_log, rng = ExecutionLog(), random.Random(7)
    discovery = await Discovery().start()
    behaviours = [Behaviour(lambda: rng.uniform(0.005, 0.02)) for _ in range(5)]
    behaviours[1].work_s = lambda: rng.uniform(0.03, 0.08)
    behaviours[2].error_rate = 0.6
    endpoints = [
        await Endpoint(execution_log, behaviour, random.Random(i)).start() for i, behaviour in enumerate(behaviours)
    ]
    rows = [row(f"s-{i}", endpoint.address, cell=i // 3) for i, endpoint in enumerate(endpoints)]
    for entry in rows:
        discovery.update(entry)
    print(f"five endpoints (one slow, one with 60% errors), {RATE:g} requests a second for {seconds:g} s; one endpoint")
    print("drains halfway through")
    async with running_sidecar(folder, {**document, "discovery": discovery.address}, operator) as (process, host, port):
        callers = Callers(host, port, "taller")
        load = asyncio.create_task(callers.run(REQUEST_KINDS, RATE, seconds))
        await asyncio.sleep(seconds / 2)
        discovery.update({**rows[4], "lifecycle": "draining"})
        await asyncio.sleep(1.0)
        behaviours[4].draining = True
        await load
        callers.close()
        process.terminate()
        status = await process.wait()
    for endpoint in endpoints:
        endpoint.stop()
    discovery.stop()
    return _report(callers, endpoints, execution_log, status)


def _report(callers: Callers, endpoints: list[Endpoint], execution_log: ExecutionLog, status: int) -> int:
    columns = ("sent", "served", "refused", "failed", "ran twice", "median", "99th")
    widths = (6, 7, 8, 7, 10, 9, 9)
    print(f"\n{'class':<10} " + " ".join(f"{column:>{width}}" for column, width in zip(columns, widths, strict=True)))
    unanswered = 0
    for kind in REQUEST_KINDS:
        class_name = kind.target.split("/")[1]
        stats = callers.stats[kind.target]
        unanswered += stats.status_counts[0]
        percentiles = statistics.quantiles(stats.latencies_s, n=100)
        print(
            f"{class_name:<10} {stats.status_counts.total():>6} {stats.served:>7} {stats.refused:>8} "
            f"{stats.failed:>7} {execution_log.count_repeated(class_name):>10} "
            f"{percentiles[49] * 1000:>6.1f} ms {percentiles[98] * 1000:>6.1f} ms"
        )
    print("\nran at the endpoints: " + ", ".join(str(endpoint.served.total()) for endpoint in endpoints))
    print(f"without an answer: {unanswered}; the sidecar ended with status {status}")
    return int(bool(unanswered or status or execution_log.count_repeated("despacho")))


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="eiderhub demo", description="Run the sidecar with stand-in endpoints and callers."
    )
    parser.add_argument("--seconds", type=float, default=6.0, help="how long to send requests: 2 to 60")
    options = parser.parse_args()
    if not 2 <= options.seconds <= 60:
        parser.error("--seconds: 2 to 60")
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(demo(options.seconds, Path(folder)))


if __name__ == "__main__":
    raise SystemExit(main())
