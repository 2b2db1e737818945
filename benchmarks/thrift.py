"""The sidecar's cost per Thrift call compared with HTTP through the same sidecar and with a bare byte relay.

    python -m benchmarks.thrift [--rounds 40]

Runs one byte relay and one sidecar with both ports. Callers send one call after another over reused connections, in
short rounds in random order, so that other load on the machine affects all variants alike. CPU time is that of the
process's main thread. The struct has about 1 KiB: numbers, strings, a list of structs and a map. Each ratio is that of
a round's CPU time to the same round over HTTP, with a bootstrap interval that holds 95% of the resampled means.
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
from eiderhub.config.write import generate
from eiderhub.protocols.thrift import binary, messages
from eiderhub.protocols.thrift.convert import convert, with_seqid
from eiderhub.protocols.thrift.definitions import Encoding, MessageType, TType
from eiderhub.protocols.thrift.framing import FrameReader, framed
from standins.discovery import row
from standins.program import running_sidecar

CALLERS = 16
CALLS = 60  # by each caller in a round
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


def field(field_type: int, field_id: int, value: bytes) -> bytes:
    """Return a field of a struct in the binary encoding."""
    return bytes((field_type,)) + binary.I16.pack(field_id) + value


def string(value: bytes) -> bytes:
    """Return a string in the binary encoding."""
    return binary.U32.pack(len(value)) + value


def kibibyte_struct() -> bytes:
    """Return a struct of about 1 KiB, with a list of sixteen structs, in the binary encoding."""
    line = (
        field(TType.I32, 1, binary.I32.pack(70_000)) + field(TType.DOUBLE, 2, binary.DOUBLE.pack(12.5))
        + field(TType.BOOL, 3, b"\1") + field(TType.STRING, 4, string(b"chain 11s")) + b"\0"
    )  # fmt: skip
    lines = bytes((TType.STRUCT,)) + binary.U32.pack(16) + line * 16
    counts = bytes((TType.STRING, TType.I64)) + binary.U32.pack(4) + (string(b"bay-7") + binary.I64.pack(1 << 40)) * 4
    return (
        field(TType.I32, 1, binary.I32.pack(9000)) + field(TType.STRING, 2, string(b"k" * 32))
        + field(TType.LIST, 3, lines) + field(TType.MAP, 4, counts) + field(TType.STRING, 5, string(b"x" * 100)) + b"\0"
    )  # fmt: skip


def message(encoding: Encoding, message_type: MessageType) -> bytes:
    """Return a message whose only field is the struct, without its frame."""
    binary_message = binary.write_header(message_type, b"look", 1) + field(TType.STRUCT, 1, kibibyte_struct()) + b"\0"
    return convert(binary_message, messages.read_header(binary_message, Encoding.BINARY), encoding, 1)


class HttpEndpoint(asyncio.Protocol):
    """A minimal endpoint: sends a canned response for each complete request."""

    def __init__(self, response: bytes, body_size: int) -> None:
        self.response, self.body_size, self.buffer = response, body_size, bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0 and len(self.buffer) >= end + 4 + self.body_size:
            del self.buffer[: end + 4 + self.body_size]
            self.transport.write(self.response)


class ThriftEndpoint(asyncio.Protocol):
    """A minimal Thrift endpoint: sends a canned reply with the call's sequence id."""

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
    """Sends a request as soon as the previous one is answered.

    `next_request` returns the bytes to send; `message_size` returns the size of the message that a buffer begins with,
    0 if it is unknown yet.
    """

    def __init__(
        self, next_request: Callable[[], bytes], message_size: Callable[[bytes], int], done: asyncio.Event
    ) -> None:
        self.next_request, self.message_size, self.done = next_request, message_size, done
        self.remaining = CALLS
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.WriteTransport = transport  # type: ignore[assignment]

    def begin(self) -> None:
        self.transport.write(self.next_request())

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        size = self.message_size(self.buffer)
        if not size or len(self.buffer) < size:
            return
        self.buffer = self.buffer[size:]
        self.remaining -= 1
        if self.remaining:
            self.begin()
        else:
            self.done.set()


def http_size(buffer: bytes) -> int:
    """Return the size of the first response, 0 if its head is incomplete."""
    head, separator, _ = buffer.partition(b"\r\n\r\n")
    if not separator:
        return 0
    if not head.startswith(b"HTTP/1.1 200"):
        raise SystemExit(f"HTTP: {head[:200]!r}")
    length = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:"))
    return len(head) + 4 + int(length.split(b":")[1])


def thrift_size(buffer: bytes) -> int:
    """Return the size of the first frame, 0 if its length is incomplete."""
    if len(buffer) < 4:
        return 0
    size = 4 + int.from_bytes(buffer[:4], "big")
    if len(buffer) >= size:
        header = messages.read_header(buffer[4:size], messages.detect_encoding(buffer[4:size]))
        if header.message_type is not MessageType.REPLY:
            raise SystemExit(f"Thrift: {messages.read_exception(buffer[4:size], header)}")
    return size


class Variant:
    """A way to send calls, and its measurements in each round."""

    def __init__(
        self, subject: Subject, make_requests: Callable[[], Callable[[], bytes]], message_size: Callable[[bytes], int]
    ) -> None:
        self.subject, self.make_requests, self.message_size = subject, make_requests, message_size

    async def round(self) -> None:
        loop = asyncio.get_running_loop()
        callers = []
        for _ in range(CALLERS):
            event = asyncio.Event()
            _, caller = await loop.create_connection(
                lambda event=event: Caller(self.make_requests(), self.message_size, event),  # type: ignore[misc]
                *self.subject.address,
            )
            callers.append(caller)
        cpu_before, started_at = self.subject.cpu_s(), loop.time()
        for caller in callers:
            caller.begin()
        for caller in callers:
            await caller.done.wait()
        sent = CALLERS * CALLS
        self.subject.rates.append(sent / (loop.time() - started_at))
        self.subject.cpu_us.append((self.subject.cpu_s() - cpu_before) / sent * 1e6)
        for caller in callers:
            caller.transport.close()


def http_requests(body: bytes, prefix: str) -> Callable[[], Callable[[], bytes]]:
    """Return a factory of `next_request` functions, whose requests have distinct ids."""
    request_numbers = iter(range(1 << 60))

    def next_request() -> bytes:
        return (
            b"POST /look/item HTTP/1.1\r\nHost: a\r\nReq-Id: %s%x\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (prefix.encode(), next(request_numbers), len(body), body)
        )

    return lambda: next_request


def thrift_requests(encoding: Encoding) -> Callable[[], Callable[[], bytes]]:
    call = framed(message(encoding, MessageType.CALL))
    return lambda: lambda: call


def document(http: str, thrift: str) -> dict[str, Any]:
    """Return the platform's document with endpoints at these addresses."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(DESCRIPTION)
        file.flush()
        generated = generate(file.name)
    written: dict[str, Any] = json.loads(generated.files["bench/sidecar.json"])
    known = []
    for i in range(4):
        known.append({**row(f"h-{i}", http), "metadata": {"speaks": "http"}})
        known.append({**row(f"t-{i}", thrift), "metadata": {"speaks": "thrift", "thrift": "compact"}})
    return {**written, "known": {"generation": 1, "reset": True, "instances": known}}


def address_of(server: asyncio.Server) -> str:
    """Return the server's address as "host:port"."""
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def logged_port(folder: Path) -> int:
    """Return the Thrift port that the program has logged."""
    line = next(entry for entry in (folder / "log.txt").read_text().splitlines() if "takes Thrift on" in entry)
    return int(line.rpartition(":")[2])


async def measure(rounds: int) -> None:
    loop = asyncio.get_running_loop()
    body = kibibyte_struct()
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    http_server = await loop.create_server(lambda: HttpEndpoint(response, len(body)), "127.0.0.1", 0)
    thrift_server = await loop.create_server(lambda: ThriftEndpoint(Encoding.COMPACT), "127.0.0.1", 0)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        process, host, port = await stack.enter_async_context(
            running_sidecar(folder, document(address_of(http_server), address_of(thrift_server)), OPERATOR)
        )
        pid, relay_address = await stack.enter_async_context(relay(address_of(thrift_server)))
        thrift_address = (host, logged_port(folder))
        variants = [
            Variant(Subject("HTTP, 1 KiB each way", process.pid, (host, port)), http_requests(body, "b"), http_size),
            Variant(
                Subject("Thrift, not converted", process.pid, thrift_address),
                thrift_requests(Encoding.COMPACT),
                thrift_size,
            ),
            Variant(
                Subject("Thrift, converted", process.pid, thrift_address), thrift_requests(Encoding.BINARY), thrift_size
            ),
            Variant(Subject("bare byte relay", pid, relay_address), thrift_requests(Encoding.COMPACT), thrift_size),
        ]
        for variant in variants:  # warm-up, discarded
            await variant.round()
            variant.subject.cpu_us.clear()
            variant.subject.rates.clear()
        rng = random.Random(1)
        for _ in range(rounds):
            for variant in rng.sample(variants, len(variants)):
                await variant.round()
        report([variant.subject for variant in variants], rng)
    for server in (http_server, thrift_server):
        server.close()


def interval(ratios: list[float], rng: random.Random) -> tuple[float, float]:
    """Return the interval that holds 95% of the means of resampled ratios."""
    means = sorted(statistics.fmean(rng.choices(ratios, k=len(ratios))) for _ in range(RESAMPLES))
    return means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES)]


def report(subjects: list[Subject], rng: random.Random) -> None:
    http = subjects[0]
    print(f"{'':<24} {'calls/s':>8} {'CPU/call':>11} {'x HTTP':>8}  95%")
    for subject in subjects:
        ratios = [a / b for a, b in zip(subject.cpu_us, http.cpu_us, strict=True)]
        low, high = interval(ratios, rng)
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
