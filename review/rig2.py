"""The stand-ins of the cases from 6 on: one sidecar process, endpoints, discovery, clients, and the record.

The sidecar is started with the `run` line of the deploy file. Everything else runs in the case's own process, on
loopback addresses and the real clock, and does only what the users' pages allow.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110.0
BEGAN = time.monotonic()
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now() -> float:
    """Return the seconds since the case began."""
    return time.monotonic() - BEGAN


class Record:
    """What was sent, answered and run, in the order of its times; written to `record.txt` beside the case."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        self.lines.append((now() if at is None else at, text))

    def write(self) -> None:
        lines = [f"{at:9.3f} s  {text}\n" for at, text in sorted(self.lines, key=lambda line: line[0])]
        self.path.write_text("".join(lines), encoding="utf-8")


def small_deployment(**changes: Any) -> dict[str, Any]:
    """Return the settings of one sidecar of the first tier, with the figures of the users' first page."""
    return {
        "Allowed": {
            "ConnIdleUs": 5_000_000,
            "ConnectTimeoutUs": 250_000,
            "MaxAttempts": 5,
            "MaxOpen": 177_200,
            "MaxRetryAfterUs": 2_000_000,
            "MayCancel": True,
            "Multiplex": 1,
            "Peers": False,
            "Probing": False,
            "RetryAfter": True,
            "SecondCopies": True,
        },
        "Balancers": 14,
        "Categories": [
            {
                "AimUs": 1_000_000,
                "Credit": 1.0,
                "DeadlineUs": 2_500_000,
                "DedupWindowUs": 4_000_000,
                "Effect": "deduplicated",
                "Group": "cell",
                "LateShare": 0.5,
                "Name": "reserva",
                "Streaming": False,
            },
            {
                "AimUs": 2_500_000,
                "Credit": 1.0,
                "DeadlineUs": 6_000_000,
                "DedupWindowUs": 5_000_000,
                "Effect": "at_most_once",
                "Group": "all",
                "LateShare": 0.25,
                "Name": "despacho",
                "Streaming": False,
            },
        ],
        "Charges": {"Connection": 0.08, "Handshake": 0.08, "LateFail": 0.05, "Waste": 0.05},
        "Clients": {"MarksRetry": False},
        "Discovery": "ask",
        "Family": "chain",
        "FamilyInfo": {"PassesDeadline": True},
        "Goal": {"Whole": 0.4, "WorstClass": 0.1, "WorstTenant": 0.4, "WorstWindow": 0.1},
        "Kinds": ["ped-std", "ped-lento"],
        "Layer": 0,
        "Localities": ["sala-quilicura"],
        "MyZone": "sala-quilicura",
        "OverShareWorth": 0.05,
        "Parties": [
            {"Name": "andes-ruedas", "QuotaPerS": 180.0, "Share": 0.43},
            {"Name": "pacifico-bike", "QuotaPerS": 60.0, "Share": 0.14},
            {"Name": "norte-pedal", "QuotaPerS": 60.0, "Share": 0.14},
            {"Name": "cordillera-rep", "QuotaPerS": 60.0, "Share": 0.14},
            {"Name": "sur-cadenas", "QuotaPerS": 60.0, "Share": 0.15},
        ],
        "Rank": 0,
        "Report": {"Fields": [], "How": "none"},
        "Rules": {
            "AnswerSlackUs": 20_000,
            "AskEveryUs": 10_000_000,
            "ColdFrom": 0.32,
            "ColdUs": 9_000_000,
            "DrainGraceUs": 1_000_000,
            "FallUs": 1_000_000,
            "OverloadFactor": 4.0,
        },
        "StepUs": 5_000,
        "Tiers": ["pedidos", "bodega"],
        "Weights": "none",
        "WorthBy": "request",
        **changes,
    }


# --- HTTP/1.1 ---


class Message:
    """A complete request or answer."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body

    @property
    def status(self) -> int:
        return int(self.start_line.split(" ")[1])

    @property
    def target(self) -> str:
        return self.start_line.split(" ")[1]

    @property
    def request_id(self) -> str:
        return self.headers.get("req-id", "-")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message with a stated length. Raises IncompleteReadError or OSError at the connection's end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def answer(status: int, body: bytes, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(class_name: str, request_id: str, deadline_ms: int, tenant: str = "andes-ruedas") -> bytes:
    """Return a request of a keyed or unsafe class, in the form of the protocol page."""
    body = f"cuerpo de {request_id}".encode()
    lines = [
        f"POST /{class_name}/orden HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {request_id}",
        f"Req-Owner: {tenant}",
        f"Req-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    if class_name == "reserva":
        lines.append(f"Idempotency-Key: {request_id}{request_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Listens on a free loopback port and serves each connection in a task."""

    async def listen(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Endpoint(Server):
    """A nodo: runs each request for `work_s` seconds and answers 200 with a body that names the request."""

    def __init__(self, name: str, record: Record, work_s: float, respond: Any = None) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.respond: Callable[[Message, asyncio.StreamWriter], Awaitable[None]] | None = respond
        self.attempts: list[tuple[float, Message]] = []  # when each began, and its request

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            self.attempts.append((now(), message))
            self.record.add(f"{self.name} runs {message.request_id} ({message.headers.get('req-deadline-ms')} ms left)")
            await asyncio.sleep(self.work_s)
            if self.respond is not None:
                await self.respond(message, writer)
            else:
                writer.write(answer(200, f"hecho {message.request_id}".encode()))


class Discovery(Server):
    """The catalogue: the whole list or a watch, each answered `answer_s` seconds after there is something to tell."""

    def __init__(self, record: Record, answer_s: float = 0.0) -> None:
        self.record, self.answer_s = record, answer_s
        self.generation = 40
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()

    def set(self, name: str, address: str, lifecycle: str = "ready", cell: int = 0) -> None:
        self.generation += 1
        entry = {
            "instanceId": name,
            "hostPort": address,
            "zone": "sala-quilicura",
            "machineType": "ped-std",
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        self.rows[name] = entry
        self.changes.append((self.generation, entry))
        self.record.add(f"discovery has version {self.generation}: {name} is {lifecycle}")
        self.changed.set()
        self.changed = asyncio.Event()

    def full_list(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def reset_connections(self) -> None:
        """Reset all connections, and with them the open watches."""
        for writer in list(self.writers):
            sock = writer.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):  # it has ended already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.record.add("discovery resets its connections")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            self.record.add(f"discovery is asked {message.target}")
            body = await self._list(message.target)
            if writer.is_closing() or reader.at_eof():
                raise ConnectionResetError
            writer.write(answer(200, json.dumps(body).encode()))
            self.record.add(f"discovery answers version {body['generation']}, {len(body['instances'])} entries")

    async def _list(self, target: str) -> dict[str, Any]:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            await asyncio.sleep(self.answer_s)
            return self.full_list()
        after = int(query["after"][0])
        if after >= self.generation:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query.get("wait_ms", ["0"])[0]) / 1000)
        await asyncio.sleep(self.answer_s if after < self.generation else 0.0)
        changes = [entry for generation, entry in self.changes if generation > after]
        return {"generation": self.generation, "reset": False, "instances": changes}


# --- the sidecar ---


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


class Sidecar:
    """One sidecar process with its configuration file."""

    def __init__(self, folder: Path, discovery: Discovery, settings: dict[str, Any]) -> None:
        self.folder, self.host, self.port = folder, "127.0.0.1", free_port()
        self.document = {
            "name": "n0",
            "listen": f"{self.host}:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.full_list(),
            "settings": settings,
        }
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, **changes: Any) -> None:
        """Replace the configuration file by a rename."""
        self.document.update(changes)
        (self.folder / "new.json").write_text(json.dumps(self.document), encoding="utf-8")
        os.replace(self.folder / "new.json", self.folder / "config.json")

    async def spawn(self) -> asyncio.subprocess.Process:
        self.write_config()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(scratch),
            "GW_NAME": "n0",
            "GW_LISTEN": str(self.document["listen"]),
            "GW_DISCOVERY": str(self.document["discovery"]),
            "GW_CONFIG": str(self.folder / "config.json"),
        }
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        return self.process

    async def wait_ready(self, limit_s: float = 30.0) -> bool:
        """Return whether `GET /up` is answered 200 within the limit, by a process that is still there."""
        until = now() + limit_s
        while now() < until and self.process is not None and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(self.host, self.port)
                    writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    status = (await read_message(reader)).status
                    writer.close()
                    if status == 200:
                        return True
            await asyncio.sleep(0.02)
        return False

    def reload(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def end(self) -> None:
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


@contextlib.asynccontextmanager
async def running(sidecar: Sidecar) -> AsyncIterator[Sidecar]:
    """Start the sidecar, wait until it is ready, and end it."""
    try:
        await sidecar.spawn()
        if not await sidecar.wait_ready():
            raise RuntimeError("the sidecar does not become ready")
        yield sidecar
    finally:
        await sidecar.end()


class Client:
    """Sends one request at a time on a connection, and keeps connections."""

    def __init__(self, sidecar: Sidecar, record: Record) -> None:
        self.sidecar, self.record = sidecar, record
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: dict[str, Message | None] = {}  # None: no answer by the deadline

    async def send(self, class_name: str, request_id: str, deadline_ms: int) -> Message | None:
        message: Message | None = None
        self.record.add(f"client sends {request_id}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.55):
                for _ in range(2):  # a connection that is closed before an answer: once more, on a new one
                    kept = self.idle.pop() if self.idle else None
                    reader, writer = kept or await asyncio.open_connection(self.sidecar.host, self.sidecar.port)
                    try:
                        writer.write(request(class_name, request_id, deadline_ms))
                        message = await read_message(reader)
                        break
                    except (OSError, asyncio.IncompleteReadError):
                        writer.close()
                        if kept is None:
                            raise
                if message is not None and message.headers.get("connection") != "close":
                    self.idle.append((reader, writer))
                else:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            message = None
        self.answers[request_id] = message
        self.record.add(f"client gets {request_id}: {message.status if message else 'no answer'}")
        return message

    async def load(self, rate: float, until_s: float, prefix: str = "a") -> None:
        """Send requests of both classes at an even rate until this time."""
        tasks, number, first = [], 0, now()
        while now() < until_s:
            class_name, deadline_ms = (("reserva", 2500), ("despacho", 6000))[number % 2]
            tasks.append(asyncio.create_task(self.send(class_name, f"{prefix}{number:015x}", deadline_ms)))
            number += 1
            await asyncio.sleep(max(0.0, first + number / rate - now()))
        await asyncio.gather(*tasks)


def play(file: str, case: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Run a case; it returns whether the rule held, and raises if it couldn't run."""
    record = Record(Path(file).resolve().parent)
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    status = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # the sidecar is ended then too
    try:
        held = asyncio.run(asyncio.wait_for(case(record, folder), TIME_LIMIT_S))
        status = HELD if held else BROKEN
    except Exception as error:
        record.add(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        log = folder / "log.txt"
        record.add(f"result: {status}; TROUBLE={int(TROUBLE)}")
        record.write()
        if log.exists():
            with record.path.open("a", encoding="utf-8") as out:
                out.write("--- log of the sidecar\n" + log.read_text(encoding="utf-8", errors="replace"))
        shutil.rmtree(folder, ignore_errors=True)
    print(f"result {status}")
    sys.exit(status)
