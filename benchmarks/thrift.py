"""What a Thrift call costs the sidecar, against a bare framed relay and against HTTP through the same sidecar.

    python -m benchmarks.thrift [--rounds 40]

One run: a relay of bytes, and one sidecar with both ports. Callers send one call after another over kept connections in
short rounds, in a drawn order, so that what else the machine does falls on all alike. CPU is that of the process's main
thread. The struct holds some 1 KiB: numbers, texts, a list of structs and a map. Ratios are of each round's figure to
that of the same round over HTTP, with the interval that holds 95% of resampled means.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import tempfile
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.proxy import Subject, relay
from eiderhub.config.write import outcome
from eiderhub.protocols.thrift import binary, messages
from eiderhub.protocols.thrift.convert import convert, with_seqid
from eiderhub.protocols.thrift.definitions import Encoding, MessageType, TType
from eiderhub.protocols.thrift.framing import FrameReader, framed
from standins.discovery import row
from standins.program import running_sidecar

CALLERS = 16
CALLS = 60  # of each caller in a round
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
repeat = "never"
[tenants]
acme = 1.0
"""
OPERATOR = """\
[thrift]
listen = "127.0.0.1:0"
endpoints = "stated"
tenant = "acme"
fields = { deadline_ms = "1.1" }
[pools.web]
labels = { speaks = "http" }
[pools.calls]
labels = { speaks = "thrift" }
[[routes]]
name = "web"
class = "look"
path = "/look/*"
protocol = "http"
pool = "web"
[[routes]]
name = "calls"
class = "look"
protocol = "thrift"
call = "look"
pool = "calls"
"""


def put(kind: int, number: int, value: bytes) -> bytes:
    return bytes((kind,)) + binary.I16.pack(number) + value


def text(value: bytes) -> bytes:
    return binary.U32.pack(len(value)) + value


def struct_of_a_kibibyte() -> bytes:
    """An order of sixteen lines, in binary."""
    line = (
        put(TType.I32, 1, binary.I32.pack(70_000)) + put(TType.DOUBLE, 2, binary.DOUBLE.pack(12.5))
        + put(TType.BOOL, 3, b"\1") + put(TType.STRING, 4, text(b"chain 11s")) + b"\0"
    )  # fmt: skip
    lines = bytes((TType.STRUCT,)) + binary.U32.pack(16) + line * 16
    counts = bytes((TType.STRING, TType.I64)) + binary.U32.pack(4) + (text(b"bay-7") + binary.I64.pack(1 << 40)) * 4
    return (
        put(TType.I32, 1, binary.I32.pack(9000)) + put(TType.STRING, 2, text(b"k" * 32)) + put(TType.LIST, 3, lines)
        + put(TType.MAP, 4, counts) + put(TType.STRING, 5, text(b"x" * 100)) + b"\0"
    )  # fmt: skip


def message(encoding: Encoding, message_type: MessageType) -> bytes:
    whole = binary.write_header(message_type, b"look", 1) + put(TType.STRUCT, 1, struct_of_a_kibibyte()) + b"\0"
    return convert(whole, messages.read_header(whole, Encoding.BINARY), encoding, 1)


class HttpEndpoint(asyncio.Protocol):
    """The fastest endpoint there is: one canned answer for each request, of a kibibyte as the request."""

    def __init__(self, answer: bytes, size: int) -> None:
        self.answer, self.size, self.got = answer, size, bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.got += data
        while (end := self.got.find(b"\r\n\r\n")) >= 0 and len(self.got) >= end + 4 + self.size:
            del self.got[: end + 4 + self.size]
            self.transport.write(self.answer)


class ThriftEndpoint(asyncio.Protocol):
    """The same for Thrift: the canned reply with the call's sequence id."""

    def __init__(self, encoding: Encoding) -> None:
        self.encoding = encoding
        self.reply = message(encoding, MessageType.REPLY)
        self.header = messages.read_header(self.reply, encoding)
        self.frames = FrameReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        for frame in self.frames.feed(data):
            seqid = messages.read_header(frame, self.encoding).seqid
            self.transport.write(framed(with_seqid(self.reply, self.header, seqid)))


class Caller(asyncio.Protocol):
    """One caller: a request as soon as the last is answered."""

    def __init__(self, requests: Callable[[], bytes], whole: Callable[[bytes], int], done: asyncio.Event) -> None:
        self.requests, self.whole, self.done = requests, whole, done
        self.left = CALLS
        self.got = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def begin(self) -> None:
        self.transport.write(self.requests())

    def data_received(self, data: bytes) -> None:
        self.got += data
        size = self.whole(self.got)
        if not size or len(self.got) < size:
            return
        self.got = self.got[size:]
        self.left -= 1
        if self.left:
            self.begin()
        else:
            self.done.set()


def http_size(got: bytes) -> int:
    head, between, _ = got.partition(b"\r\n\r\n")
    if not between:
        return 0
    if not head.startswith(b"HTTP/1.1 200"):
        raise SystemExit(f"HTTP: {head[:200]!r}")
    length = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:"))
    return len(head) + 4 + int(length.split(b":")[1])


def thrift_size(got: bytes) -> int:
    if len(got) < 4:
        return 0
    size = 4 + int.from_bytes(got[:4], "big")
    if len(got) >= size:
        header = messages.read_header(got[4:size], messages.detect_encoding(got[4:size]))
        if header.message_type is not MessageType.REPLY:
            raise SystemExit(f"Thrift: {messages.read_exception(got[4:size], header)}")
    return size


class Side:
    """One way of asking, and what it took in each round."""

    def __init__(
        self, subject: Subject, make: Callable[[], Callable[[], bytes]], whole: Callable[[bytes], int]
    ) -> None:
        self.subject, self.make, self.whole = subject, make, whole

    async def round(self) -> None:
        loop = asyncio.get_running_loop()
        callers = []
        for _ in range(CALLERS):
            event = asyncio.Event()
            _, caller = await loop.create_connection(
                lambda event=event: Caller(self.make(), self.whole, event),  # type: ignore[misc]
                *self.subject.address,
            )
            callers.append(caller)
        cpu, begun = self.subject.cpu_s(), loop.time()
        for caller in callers:
            caller.begin()
        for caller in callers:
            await caller.done.wait()
        sent = CALLERS * CALLS
        self.subject.rates.append(sent / (loop.time() - begun))
        self.subject.cpu_us.append((self.subject.cpu_s() - cpu) / sent * 1e6)
        for caller in callers:
            caller.transport.close()


def http_requests(body: bytes, prefix: str) -> Callable[[], Callable[[], bytes]]:
    serial = iter(range(1 << 60))

    def one() -> bytes:
        return (
            b"POST /look/item HTTP/1.1\r\nHost: a\r\nReq-Id: %s%x\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (prefix.encode(), next(serial), len(body), body)
        )

    return lambda: one


def thrift_requests(encoding: Encoding) -> Callable[[], Callable[[], bytes]]:
    call = framed(message(encoding, MessageType.CALL))
    return lambda: lambda: call


def document(http: str, thrift: str) -> dict[str, Any]:
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(DESCRIPTION)
        file.flush()
        made = outcome(file.name)
    found: dict[str, Any] = json.loads(made.files["bench/sidecar.json"])
    known = []
    for i in range(4):
        known.append({**row(f"h-{i}", http), "metadata": {"speaks": "http"}})
        known.append({**row(f"t-{i}", thrift), "metadata": {"speaks": "thrift", "thrift": "compact"}})
    return {**found, "known": {"generation": 1, "reset": True, "instances": known}}


def port_of(server: asyncio.Server) -> str:
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def logged_port(folder: Path) -> int:
    line = next(one for one in (folder / "log.txt").read_text().splitlines() if "takes Thrift on" in one)
    return int(line.rpartition(":")[2])


async def measure(rounds: int) -> None:
    loop = asyncio.get_running_loop()
    body = struct_of_a_kibibyte()
    canned = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    web = await loop.create_server(lambda: HttpEndpoint(canned, len(body)), "127.0.0.1", 0)
    calls = await loop.create_server(lambda: ThriftEndpoint(Encoding.COMPACT), "127.0.0.1", 0)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        process, host, port = await stack.enter_async_context(
            running_sidecar(folder, document(port_of(web), port_of(calls)), OPERATOR)
        )
        pid, where = await stack.enter_async_context(relay(port_of(calls)))
        thrift = (host, logged_port(folder))
        sides = [
            Side(Subject("HTTP, 1 KiB each way", process.pid, (host, port)), http_requests(body, "b"), http_size),
            Side(Subject("Thrift, as it is", process.pid, thrift), thrift_requests(Encoding.COMPACT), thrift_size),
            Side(Subject("Thrift, converted", process.pid, thrift), thrift_requests(Encoding.BINARY), thrift_size),
            Side(Subject("bare framed relay", pid, where), thrift_requests(Encoding.COMPACT), thrift_size),
        ]
        for side in sides:  # warm up, and forget it
            await side.round()
            side.subject.cpu_us.clear()
            side.subject.rates.clear()
        chance = random.Random(1)
        for _ in range(rounds):
            for side in chance.sample(sides, len(sides)):
                await side.round()
        report([side.subject for side in sides], chance)
    for server in (web, calls):
        server.close()


def interval(ratios: list[float], chance: random.Random) -> tuple[float, float]:
    """Where 95% of the means of resampled rounds lie."""
    means = sorted(statistics.fmean(chance.choices(ratios, k=len(ratios))) for _ in range(RESAMPLES))
    return means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES)]


def report(subjects: list[Subject], chance: random.Random) -> None:
    base = subjects[0]
    print(f"{'':<24} {'calls/s':>8} {'CPU a call':>11} {'x HTTP':>8}  95%")
    for subject in subjects:
        ratios = [a / b for a, b in zip(subject.cpu_us, base.cpu_us, strict=True)]
        low, high = interval(ratios, chance)
        print(
            f"{subject.name:<24} {statistics.median(subject.rates):>8.0f} {statistics.median(subject.cpu_us):>8.1f} us "
            f"{statistics.fmean(ratios):>8.3f}  {low:.3f} to {high:.3f}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.thrift", description=__doc__)
    parser.add_argument("--rounds", type=int, default=40)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(parser.parse_args().rounds))


if __name__ == "__main__":
    main()
