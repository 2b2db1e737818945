"""The sidecar's cost per request compared with a bare byte relay on the same event loop, in one run.

    python -m benchmarks.proxy                     # the relay, the sidecar without routes, and with 1,000 routes
    python -m benchmarks.proxy --against DIR       # also the program of another checkout, without routes

A pool of callers sends one request after another over reused connections to each program, in short rounds in random
order, so that other load on the machine affects all programs alike. CPU time is that of the program's main thread.

Two processes of the same code differ by some percent because of their memory layout ("same again" shows by how much).
The cost of routes is therefore measured within one process, where reloads add and remove them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from eiderhub.config.write import generate
from standins.discovery import row
from standins.program import free_address, running_sidecar, wait_ready

CALLERS = 16
ROUTES = 1000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
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


class CannedServer(asyncio.Protocol):
    """A minimal endpoint: sends a canned response for each end of a request head."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.transport.write(RESPONSE * data.count(b"\r\n\r\n"))


@dataclass
class Subject:
    """A program under load, and its measurements."""

    name: str
    pid: int
    address: tuple[str, int]
    cpu_us: list[float] = field(default_factory=list)  # per request, by round
    rates: list[float] = field(default_factory=list)
    latencies_us: list[float] = field(default_factory=list)

    def cpu_s(self) -> float:
        """Return the main thread's CPU time, from `schedstat` in nanoseconds: `stat` counts whole ticks."""
        return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[0]) / 1e9

    def resident_mb(self) -> float:
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        raise ValueError("no VmRSS")


class Caller(asyncio.Protocol):
    """Sends a request as soon as the previous one is answered."""

    def __init__(self, subject: Subject, number: int, done: asyncio.Event) -> None:
        self.subject = subject
        self.number = number
        self.done = done
        self.remaining = 0
        self.request_number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def begin(self, count: int) -> None:
        self.remaining = count
        self._send()

    def _send(self) -> None:
        self.request_number += 1
        self.sent_ns = time.perf_counter_ns()
        self.transport.write(
            b"GET /look/part-%d/item?x=1 HTTP/1.1\r\nHost: a\r\nReq-Id: %x-%x\r\nReq-Owner: acme\r\n"
            b"Req-Deadline-Ms: 9000\r\n\r\n" % (self.request_number % 1000, self.number, self.request_number)
        )

    def data_received(self, data: bytes) -> None:
        if not data.startswith(b"HTTP/1.1 200"):
            raise SystemExit(f"{self.subject.name}: {data[:200]!r}")
        self.subject.latencies_us.append((time.perf_counter_ns() - self.sent_ns) / 1000)
        self.remaining -= 1
        if self.remaining:
            self._send()
        else:
            self.done.set()


async def run_round(subject: Subject, requests: int) -> None:
    """Send `requests` requests over `CALLERS` connections and record the measurements."""
    loop = asyncio.get_running_loop()
    events = [asyncio.Event() for _ in range(CALLERS)]
    callers = []
    for i, event in enumerate(events):
        number = len(subject.cpu_us) * CALLERS + i
        _, caller = await loop.create_connection(
            lambda number=number, event=event: Caller(subject, number, event),  # type: ignore[misc]
            *subject.address,
        )
        callers.append(caller)
    cpu_before, started_at = subject.cpu_s(), time.perf_counter()
    for caller in callers:
        caller.begin(requests // CALLERS)
    for event in events:
        await event.wait()
    sent = requests // CALLERS * CALLERS
    subject.rates.append(sent / (time.perf_counter() - started_at))
    subject.cpu_us.append((subject.cpu_s() - cpu_before) / sent * 1e6)
    for caller in callers:
        caller.transport.close()


@asynccontextmanager
async def relay(target: str) -> AsyncIterator[tuple[int, tuple[str, int]]]:
    """Run a relay process and yield its process id and address."""
    host, port = free_address()
    process = subprocess.Popen([sys.executable, "-m", "benchmarks.relay", f"{host}:{port}", target])
    try:
        async with asyncio.timeout(10):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, port)
                    break
                except OSError:
                    await asyncio.sleep(0.02)
        writer.close()
        yield process.pid, (host, port)
    finally:
        process.kill()
        process.wait()


def route_tables(count: int) -> str:
    """Return the operator's file with `count` routes of one class; every request of the benchmark matches one."""
    text = ""
    for i in range(count):
        text += f'[[routes]]\nname = "r{i}"\nclass = "look"\npath = "/look/part-{i}/{{item}}"\n\n'
    return text


def sidecar_document(address: str) -> dict[str, object]:
    """Return the platform's document with endpoints at `address`."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(DESCRIPTION)
        file.flush()
        generated = generate(file.name)
    written: dict[str, object] = json.loads(generated.files["bench/sidecar.json"])
    # Four ids of one server: the sidecar keeps a connection pool for each, as in a deployment.
    known = [row(f"s-{i}", address) for i in range(4)]
    return {**written, "known": {"generation": 1, "reset": True, "instances": known}}


async def measure(against: str | None, rounds: int, requests: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(CannedServer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    document = sidecar_document(address)
    async with AsyncExitStack() as stack:
        subjects = []
        pid, relay_address = await stack.enter_async_context(relay(address))
        subjects.append(Subject("byte relay", pid, relay_address))
        variants: list[tuple[str, str | None, Sequence[str]]] = [
            ("sidecar without routes", None, ()),
            ("same again", None, ()),
        ]
        if against:
            code = f"import sys; sys.path[0] = {against!r}; from eiderhub.sidecar.__main__ import main; main()"
            variants.insert(1, ("other checkout", None, (sys.executable, "-c", code)))
        for name, operator, command in variants:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            process, host, port = await stack.enter_async_context(running_sidecar(folder, document, operator, command))
            await wait_ready(host, port)
            subjects.append(Subject(name, process.pid, (host, port)))
        for subject in subjects:  # warm-up, discarded
            await run_round(subject, requests // 4)
            subject.cpu_us.clear()
            subject.rates.clear()
            subject.latencies_us.clear()
        rng = random.Random(1)
        for _ in range(rounds):
            for subject in rng.sample(subjects, len(subjects)):
                await run_round(subject, requests)
        report(subjects)
        await measure_routes(stack, document, rounds, requests)
    server.close()


async def measure_routes(stack: AsyncExitStack, document: dict[str, object], rounds: int, requests: int) -> None:
    """Measure one process alternately without routes and with 1,000."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    texts = ("", route_tables(ROUTES))
    process, host, port = await stack.enter_async_context(running_sidecar(folder, document, texts[0]))
    subjects = [Subject(name, process.pid, (host, port)) for name in ("no routes", f"{ROUTES} routes")]
    reloads = 0
    for round_number in range(rounds + 1):
        for subject, text in list(zip(subjects, texts, strict=True))[:: -1 if round_number % 2 else 1]:
            (folder / "operator.toml").write_text(text)
            process.send_signal(signal.SIGHUP)
            reloads += 1
            await wait_for_reloads(folder, reloads)
            await run_round(subject, requests)
        if not round_number:  # warm-up, discarded
            for subject in subjects:
                subject.cpu_us.clear()
                subject.latencies_us.clear()
    ratios = [routed / plain for plain, routed in zip(subjects[0].cpu_us, subjects[1].cpu_us, strict=True)]
    quartiles = statistics.quantiles(ratios, n=4)
    print(
        f"\n{ROUTES} routes compared with none, one process: CPU per request x {quartiles[1]:.3f} "
        f"(quartiles {quartiles[0]:.3f} to {quartiles[2]:.3f}, {rounds} pairs of rounds)"
    )


async def wait_for_reloads(folder: Path, count: int) -> None:
    """Wait until the program has logged `count` reloads."""
    async with asyncio.timeout(30):
        while (folder / "log.txt").read_bytes().count(b"the configuration is taken") < count:
            await asyncio.sleep(0.02)


def report(subjects: list[Subject]) -> None:
    relay_subject, sidecar = subjects[:2]
    print(
        f"{'':<26} {'req/s':>7} {'CPU/req':>9} {'x relay':>8} {'x sidecar':>9} {'median':>9} {'99th':>9} {'memory':>8}"
    )
    for subject in subjects:
        median_cpu_us = statistics.median(subject.cpu_us)
        percentiles = statistics.quantiles(subject.latencies_us, n=100)
        # Ratios are taken within a round, where both programs met the same load of the machine.
        relay_ratio = statistics.median(a / b for a, b in zip(subject.cpu_us, relay_subject.cpu_us, strict=True))
        sidecar_ratio = statistics.median(a / b for a, b in zip(subject.cpu_us, sidecar.cpu_us, strict=True))
        print(
            f"{subject.name:<26} {statistics.median(subject.rates):>7.0f} {median_cpu_us:>6.1f} us "
            f"{relay_ratio:>8.2f} {sidecar_ratio:>9.3f} "
            f"{percentiles[49]:>6.0f} us {percentiles[98]:>6.0f} us {subject.resident_mb():>5.1f} MB"
        )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.proxy", description=__doc__)
    parser.add_argument("--against", metavar="DIR", help="another checkout to measure in the same run")
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--requests", type=int, default=1600, help="per round")
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(options.against, options.rounds, options.requests))


if __name__ == "__main__":
    main()
