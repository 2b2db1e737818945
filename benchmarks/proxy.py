"""What the sidecar costs against a bare byte relay on the same loop, with the same load, in one run.

    python -m benchmarks.proxy                     # the relay, the sidecar plain, and with 1,000 routes
    python -m benchmarks.proxy --against DIR       # also the program of another checkout, plain

A pool of callers sends one request after another over kept connections to each program in turn, in short rounds in
a drawn order, so that what else the machine does falls on all of them alike. CPU is that of the program's main thread.

Two processes of one text differ by some percent for their memory's layout alone ("the same again" shows by how much).
What routes cost is therefore measured within one process, which a reload gives them and takes them away again.
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

from eiderhub.config.write import outcome
from standins.discovery import row
from standins.program import free_address, running_sidecar, wait_ready

CALLERS = 16
ROUTES = 1000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
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


class Answering(asyncio.Protocol):
    """The fastest endpoint there is: one canned answer for each head that ends."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.transport.write(ANSWER * data.count(b"\r\n\r\n"))


@dataclass
class Subject:
    """One program under load, and what it took."""

    name: str
    pid: int
    address: tuple[str, int]
    cpu_us: list[float] = field(default_factory=list)  # for a request, by round
    rates: list[float] = field(default_factory=list)
    latencies_us: list[float] = field(default_factory=list)

    def cpu_s(self) -> float:
        """CPU that the program's main thread has had, to the nanosecond: `stat` counts whole ticks."""
        return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[0]) / 1e9

    def resident_mb(self) -> float:
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        raise ValueError("no VmRSS")


class Caller(asyncio.Protocol):
    """One caller: a request as soon as the last is answered."""

    def __init__(self, subject: Subject, number: int, done: asyncio.Event) -> None:
        self.subject = subject
        self.number = number
        self.done = done
        self.left = 0
        self.serial = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def begin(self, count: int) -> None:
        self.left = count
        self._send()

    def _send(self) -> None:
        self.serial += 1
        self.sent = time.perf_counter_ns()
        self.transport.write(
            b"GET /look/part-%d/item?x=1 HTTP/1.1\r\nHost: a\r\nReq-Id: %x-%x\r\nReq-Owner: acme\r\n"
            b"Req-Deadline-Ms: 9000\r\n\r\n" % (self.serial % 1000, self.number, self.serial)
        )

    def data_received(self, data: bytes) -> None:
        if not data.startswith(b"HTTP/1.1 200"):
            raise SystemExit(f"{self.subject.name}: {data[:200]!r}")
        self.subject.latencies_us.append((time.perf_counter_ns() - self.sent) / 1000)
        self.left -= 1
        if self.left:
            self._send()
        else:
            self.done.set()


async def load(subject: Subject, requests: int) -> None:
    """One round: so many requests over `CALLERS` connections."""
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
    cpu, begun = subject.cpu_s(), time.perf_counter()
    for caller in callers:
        caller.begin(requests // CALLERS)
    for event in events:
        await event.wait()
    sent = requests // CALLERS * CALLERS
    subject.rates.append(sent / (time.perf_counter() - begun))
    subject.cpu_us.append((subject.cpu_s() - cpu) / sent * 1e6)
    for caller in callers:
        caller.transport.close()


@asynccontextmanager
async def relay(target: str) -> AsyncIterator[tuple[int, tuple[str, int]]]:
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


def routes(count: int) -> str:
    """So many routes, all of a class, beside the first-part rule; every request of the load meets one of them."""
    text = ""
    for i in range(count):
        text += f'[[routes]]\nname = "r{i}"\nclass = "look"\npath = "/look/part-{i}/{{item}}"\n\n'
    return text


def documents(address: str) -> dict[str, object]:
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(DESCRIPTION)
        file.flush()
        made = outcome(file.name)
    document: dict[str, object] = json.loads(made.files["bench/sidecar.json"])
    known = [row(f"s-{i}", address) for i in range(4)]  # one server under four ids: pools as in service
    return {**document, "known": {"generation": 1, "reset": True, "instances": known}}


async def measure(against: str | None, rounds: int, requests: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Answering, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    document = documents(address)
    async with AsyncExitStack() as stack:
        subjects = []
        pid, where = await stack.enter_async_context(relay(address))
        subjects.append(Subject("byte relay", pid, where))
        plans: list[tuple[str, str | None, Sequence[str]]] = [
            ("sidecar, plain", None, ()),
            ("the same again", None, ()),
        ]
        if against:
            code = f"import sys; sys.path[0] = {against!r}; from eiderhub.sidecar.__main__ import main; main()"
            plans.insert(1, ("the other checkout, plain", None, (sys.executable, "-c", code)))
        for name, operator, command in plans:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            process, host, port = await stack.enter_async_context(running_sidecar(folder, document, operator, command))
            await wait_ready(host, port)
            subjects.append(Subject(name, process.pid, (host, port)))
        for subject in subjects:  # warm up, and forget it
            await load(subject, requests // 4)
            subject.cpu_us.clear()
            subject.rates.clear()
            subject.latencies_us.clear()
        chance = random.Random(1)
        for _ in range(rounds):
            for subject in chance.sample(subjects, len(subjects)):
                await load(subject, requests)
        report(subjects)
        await measure_routes(stack, document, rounds, requests)
    server.close()


async def measure_routes(stack: AsyncExitStack, document: dict[str, object], rounds: int, requests: int) -> None:
    """One process, with no routes and with 1,000 by turns."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    texts = ("", routes(ROUTES))
    process, host, port = await stack.enter_async_context(running_sidecar(folder, document, texts[0]))
    sides = [Subject(name, process.pid, (host, port)) for name in ("no routes", f"{ROUTES} routes")]
    taken = 0
    for number in range(rounds + 1):
        for side, text in list(zip(sides, texts, strict=True))[:: -1 if number % 2 else 1]:
            (folder / "operator.toml").write_text(text)
            process.send_signal(signal.SIGHUP)
            taken += 1
            await reloaded(folder, taken)
            await load(side, requests)
        if not number:  # warm up, and forget it
            for side in sides:
                side.cpu_us.clear()
                side.latencies_us.clear()
    ratios = [b / a for a, b in zip(sides[0].cpu_us, sides[1].cpu_us, strict=True)]
    cuts = statistics.quantiles(ratios, n=4)
    print(
        f"\n{ROUTES} routes against none, one process: CPU a request x {cuts[1]:.3f} (quartiles {cuts[0]:.3f} to "
        f"{cuts[2]:.3f}, {rounds} pairs of rounds)"
    )


async def reloaded(folder: Path, times: int) -> None:
    """Until the program has said so often that it has taken a configuration."""
    async with asyncio.timeout(30):
        while (folder / "log.txt").read_bytes().count(b"the configuration is taken") < times:
            await asyncio.sleep(0.02)


def report(subjects: list[Subject]) -> None:
    base, plain = subjects[:2]
    print(f"{'':<26} {'req/s':>7} {'CPU/req':>9} {'x relay':>8} {'x plain':>8} {'median':>9} {'99th':>9} {'memory':>8}")
    for subject in subjects:
        cpu = statistics.median(subject.cpu_us)
        cuts = statistics.quantiles(subject.latencies_us, n=100)
        # Round by round: both sides of a ratio then met the same moment of the machine.
        ratio = statistics.median(a / b for a, b in zip(subject.cpu_us, base.cpu_us, strict=True))
        other = statistics.median(a / b for a, b in zip(subject.cpu_us, plain.cpu_us, strict=True))
        print(
            f"{subject.name:<26} {statistics.median(subject.rates):>7.0f} {cpu:>6.1f} us {ratio:>8.2f} {other:>8.3f} "
            f"{cuts[49]:>6.0f} us {cuts[98]:>6.0f} us {subject.resident_mb():>5.1f} MB"
        )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.proxy", description=__doc__)
    parser.add_argument("--against", metavar="DIR", help="another checkout, measured beside this one")
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--requests", type=int, default=1600, help="of one round")
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(options.against, options.rounds, options.requests))


if __name__ == "__main__":
    main()
