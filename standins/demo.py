"""The main job in some seconds: fake endpoints, discovery, the real sidecar and traffic, and what was served."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import tempfile
from importlib import resources
from pathlib import Path

from eiderhub.config.write import outcome
from standins.callers import Callers, RequestKind
from standins.discovery import Discovery, row
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.program import running_sidecar

RATE = 150.0  # requests a second: a small machine carries it with ease
KINDS = (
    RequestKind("GET", "/catalogo/partes", 1_000),
    RequestKind("POST", "/reserva/parte-7", 2_000, has_idempotency_key=True),
    RequestKind("POST", "/despacho/orden-9", 3_000),
)


async def demo(seconds: float, folder: Path) -> int:
    """Run it; the status is 0 where the sidecar answered everything and repeated nothing."""
    description = folder / "demo.toml"
    description.write_text((resources.files("standins") / "demo.toml").read_text(encoding="utf-8"), encoding="utf-8")
    written = outcome(str(description))
    for finding in written.findings:
        print(finding)
    if not written.sound:
        return 1
    document = json.loads(written.files["demo/sidecar.json"])
    operator = written.files["demo/operator.toml"].decode()

    execution_log, chance = ExecutionLog(), random.Random(7)
    discovery = await Discovery().start()
    behaviours = [Behaviour(lambda: chance.uniform(0.005, 0.02)) for _ in range(5)]
    behaviours[1].work_s = lambda: chance.uniform(0.03, 0.08)
    behaviours[2].error_rate = 0.6
    endpoints = [await Endpoint(execution_log, b, random.Random(i)).start() for i, b in enumerate(behaviours)]
    rows = [row(f"s-{i}", endpoint.address, cell=i // 3) for i, endpoint in enumerate(endpoints)]
    for entry in rows:
        discovery.update(entry)
    print(f"five endpoints (one slow, one that fails 60%), {RATE:g} requests a second for {seconds:g} s; half way one")
    print("endpoint drains")
    async with running_sidecar(folder, {**document, "discovery": discovery.address}, operator) as (process, host, port):
        callers = Callers(host, port, "taller")
        load = asyncio.create_task(callers.run(KINDS, RATE, seconds))
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
    columns = ("asked", "served", "refused", "failed", "ran twice", "median", "99th")
    widths = (6, 7, 8, 7, 10, 9, 9)
    print(f"\n{'class':<10} " + " ".join(f"{c:>{w}}" for c, w in zip(columns, widths, strict=True)))
    unanswered = 0
    for kind in KINDS:
        grade = kind.target.split("/")[1]
        tally = callers.stats[kind.target]
        unanswered += tally.answers[0]
        cuts = statistics.quantiles(tally.latencies_s, n=100)
        print(
            f"{grade:<10} {tally.answers.total():>6} {tally.served:>7} {tally.refused:>8} "
            f"{tally.failed:>7} {execution_log.count_repeated(grade):>10} "
            f"{cuts[49] * 1000:>6.1f} ms {cuts[98] * 1000:>6.1f} ms"
        )
    print("\nran at the endpoints: " + ", ".join(str(endpoint.served.total()) for endpoint in endpoints))
    print(f"without an answer: {unanswered}; the sidecar ended with status {status}")
    return int(bool(unanswered or status or execution_log.count_repeated("despacho")))


def main() -> int:
    parser = argparse.ArgumentParser(prog="eiderhub demo", description="Run the sidecar against stand-ins.")
    parser.add_argument("--seconds", type=float, default=6.0, help="how long to send requests (2 to 60)")
    options = parser.parse_args()
    if not 2 <= options.seconds <= 60:
        parser.error("--seconds: 2 to 60")
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(demo(options.seconds, Path(folder)))


if __name__ == "__main__":
    raise SystemExit(main())
