"""Stand-ins for the cases of this review: endpoints, discovery, clients, and the program as a separate process.

They follow the PROTOCOL page. All times are seconds of the monotonic clock since the start of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
LOST_AFTER_S = 0.55  # STANDING: half a second after its time a request without an answer is lost; PROTOCOL: 50 ms more
TENANTS = ("andes-ruedas", "pacifico-bike", "norte-pedal", "cordillera-rep", "sur-cadenas")
STARTED_AT = time.monotonic()


class CannotRunError(Exception):
    """The case could not run; this says nothing about the rule."""


def now() -> float:
    """Return the time of the case."""
    return time.monotonic() - STARTED_AT


def trouble() -> bool:
    """Return whether the disruption is on (TROUBLE=0 turns it off)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, what: str) -> None:
        """Write one line with its time."""
        print(f"{now():9.3f} {what}", file=self.file, flush=True)


def free_address() -> str:
    """Return a free loopback address; no other program listens on its host or connects from it."""
    host = ".".join(["127", *(str(random.SystemRandom().randint(1, 254)) for _ in range(3))])
    with socket.create_server((host, 0)) as found:
        return f"{host}:{found.getsockname()[1]}"


async def read_message(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str], bytes, float]:
    """Return the start line's words, the headers, the body, and when the first byte came."""
    first = await reader.readexactly(1)
    first_byte_at = now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start.split(" ", 2), headers, body, first_byte_at


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a whole response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A server on a free loopback port."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen, and set `address`."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Endpoint(Server):
    """An endpoint: runs each request once its last byte has come, and answers 200 after some time."""

    def __init__(self, name: str, record: Record, work_s: float = 0.25) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.work_s = work_s
        self.received: list[tuple[float, str]] = []  # when the first byte came, and the id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words, headers, body, first_byte_at = await read_message(reader)
            request_id = headers.get("req-id", "")
            self.received.append((first_byte_at, request_id))
            self.record.write(
                f"endpoint {self.name} runs {request_id} {words[0]} {words[1]}, first byte {first_byte_at:.3f}"
            )
            await self.answer(writer, words, headers, body)

    async def answer(
        self, writer: asyncio.StreamWriter, words: list[str], headers: dict[str, str], body: bytes
    ) -> None:
        """Work, and answer with what the client can check."""
        await asyncio.sleep(self.work_s)
        writer.write(response(200, f"{headers.get('req-id', '')} by {self.name}".encode()))


class Discovery(Server):
    """Discovery as the PROTOCOL page says; each answer is written `delay_s` after it is due.

    A call whose connection is closed meanwhile is dropped. `record` gets what was written, and when: that counts as
    told.
    """

    def __init__(self, name: str, record: Record, generation: int = 1) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.generation = generation
        self.delay_s = 0.0
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.calls: list[tuple[float, bool, float]] = []  # when, whether it asks for the whole list, its wait
        self.told: list[tuple[float, int]] = []  # when an answer was written, and its version
        self._changed = asyncio.Event()

    def set(self, entry: dict[str, Any]) -> None:
        """Add or change an entry."""
        self.generation += 1
        self.changes.append((self.generation, entry))
        self.rows[entry["instanceId"]] = entry
        self._changed.set()
        self._changed = asyncio.Event()
        self.record.write(f"{self.name} has version {self.generation}: {entry['instanceId']} {entry['lifecycle']}")

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words, _, _, _ = await read_message(reader)
            target = urlsplit(words[1])
            if target.path != "/discovery/hosts":
                writer.write(response(404))
                continue
            query = parse_qs(target.query)
            after = int(query["after"][0]) if "after" in query else None
            wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
            self.calls.append((now(), after is None, wait_s))
            self.record.write(f"{self.name} is called: {words[1]}")
            gone = asyncio.create_task(reader.read(1))  # the caller sends nothing before the answer: its end
            try:
                if after is not None and after == self.generation and wait_s:
                    changed = asyncio.create_task(self._changed.wait())
                    await asyncio.wait((changed, gone), timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
                    changed.cancel()
                if self.delay_s:
                    await asyncio.wait((gone,), timeout=self.delay_s)
                if gone.done():
                    self.record.write(f"{self.name}: the caller has given up its call")
                    return
            finally:
                gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
            if after is None or after > self.generation:
                answer = self.whole()
            else:
                changes = [entry for version, entry in self.changes if version > after]
                answer = {"generation": self.generation, "reset": False, "instances": changes}
            writer.write(response(200, json.dumps(answer).encode()))
            self.told.append((now(), answer["generation"]))
            self.record.write(
                f"{self.name} answers: version {answer['generation']}, {len(answer['instances'])} entries"
            )


def row(endpoint: Endpoint, lifecycle: str = "ready", cell: int = 0, started_ms: int = 0) -> dict[str, Any]:
    """Return an entry of a list."""
    return {
        "instanceId": f"s-{endpoint.name}",
        "hostPort": endpoint.address,
        "zone": "sala-quilicura",
        "machineType": "ped-std",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


def settings(rank: int = 0, balancers: int = 10) -> dict[str, Any]:
    """Return the settings of the WIRE page's example, as one of some sidecars has them."""
    return {
        "Allowed": {
            "ConnIdleUs": 5_000_000, "ConnectTimeoutUs": 250_000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 7_088_004,
            "MaxAttempts": 5, "MaxOpen": 177_200, "MaxRetryAfterUs": 2_000_000, "MayCancel": True, "Multiplex": 1,
            "Peers": False, "Probing": False, "RetryAfter": True, "SecondCopies": True,
        },
        "Balancers": balancers,
        "Categories": [
            {
                "AimUs": 1_000_000, "Credit": 1.0, "DeadlineUs": 2_500_000, "DedupWindowUs": 4_000_000,
                "Effect": "deduplicated", "Group": "cell", "LateShare": 0.5, "Name": "reserva", "Streaming": False,
            },
            {
                "AimUs": 2_500_000, "Credit": 1.0, "DeadlineUs": 6_000_000, "DedupWindowUs": 5_000_000,
                "Effect": "at_most_once", "Group": "all", "LateShare": 0.25, "Name": "despacho", "Streaming": False,
            },
        ],
        "Charges": {
            "Connection": 0.08, "CrossZone": 0.0, "Discovery": 0.0, "Handshake": 0.08, "LateFail": 0.05, "Moves": 0.0,
            "Origin": 0.0, "Peer": 0.0, "Probe": 0.0, "Waste": 0.05,
        },
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
            {"Name": name, "QuotaPerS": 37.0 if i == 0 else 12.0, "Share": 0.43 if i == 0 else 0.1425}
            for i, name in enumerate(TENANTS)
        ],
        "Rank": rank,
        "Report": {"Fields": [], "How": "none"},
        "Rules": {
            "AnswerSlackUs": 20_000, "AskEveryUs": 10_000_000, "ColdFrom": 0.32, "ColdUs": 9_000_000,
            "DrainGraceUs": 1_000_000, "FallUs": 1_000_000, "OverloadFactor": 4.0,
        },
        "StepUs": 5000,
        "Tiers": ["pedidos", "bodega"],
        "Weights": "none",
        "WorthBy": "request",
    }  # fmt: skip


class Sidecar:
    """The program, started by the `run` line of the deploy file."""

    def __init__(self, folder: Path, record: Record, document: dict[str, Any], name: str = "n0") -> None:
        self.folder = folder
        self.record = record
        self.name = name
        self.address = free_address()
        self.host, _, port = self.address.partition(":")
        self.port = int(port)
        self.document = {"name": name, "listen": self.address, "seed": "8c1f30d27a5be964", **document}
        self.config = folder / f"{name}.json"
        self.write_config(self.document)

    def write_config(self, document: dict[str, Any]) -> None:
        """Replace the file by a rename, as the guide says."""
        self.document = document
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(document), encoding="utf-8")
        new.rename(self.config)

    async def start(self) -> None:
        """Start the program."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        scratch = self.folder / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        environ |= {
            "GW_CONFIG": str(self.config), "GW_NAME": self.name, "GW_LISTEN": self.address,
            "GW_DISCOVERY": self.document["discovery"], "TMPDIR": str(scratch),
        }  # fmt: skip
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environ, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        log.close()
        self.record.write(f"sidecar {self.name} started")

    async def is_up(self) -> bool:
        """Return whether `GET /up` answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                try:
                    writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                    words, _, _, _ = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return words[1] == "200"

    async def wait_up(self, within_s: float = 30.0) -> None:
        """Wait until `GET /up` answers 200. Raises CannotRunError."""
        limit = now() + within_s
        while not await self.is_up():
            if self.process.returncode is not None or now() > limit:
                raise CannotRunError(f"the sidecar is not ready: {self.log()}")
            await asyncio.sleep(0.05)
        self.record.write(f"sidecar {self.name} is up")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        self.record.write(f"{number.name} to sidecar {self.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """Return what the program has written."""
        return (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        """Kill the program if it runs, and copy its log into the record."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        for line in self.log().splitlines():
            self.record.write(f"log of {self.name}: {line}")


class Client:
    """A client: one request at a time on a connection, connections are kept, and more are opened when all are busy."""

    def __init__(self, sidecar: Sidecar, record: Record, prefix: str = "c") -> None:
        self.sidecar = sidecar
        self.record = record
        self.prefix = prefix
        self.serial = 0
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.statuses: dict[str, int] = {}  # by request id; 0: no whole answer

    async def send(self, class_name: str, deadline_ms: int, body: bytes = b"order") -> tuple[int, bytes, str]:
        """Send one request and return its status (0: no whole answer in time), the body, and its id."""
        self.serial += 1
        request_id = f"{self.prefix}{self.serial:08x}"
        lines = [
            f"POST /{class_name}/orden-{self.serial} HTTP/1.1", "Host: service.internal", f"Req-Id: {request_id}",
            f"Req-Owner: {TENANTS[self.serial % len(TENANTS)]}", f"Req-Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
        ]  # fmt: skip
        if class_name == "reserva":
            lines.append(f"Idempotency-Key: key-{request_id}")
        message = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.record.write(f"client sends {request_id} {class_name}, deadline {deadline_ms} ms")
        status, answer = 0, b""
        wait_s = deadline_ms / 1000 + LOST_AFTER_S
        try:
            connection = self._kept()
            if connection is not None:
                try:
                    status, answer = await self._exchange(connection, message, wait_s)
                except (ConnectionError, asyncio.IncompleteReadError) as error:
                    # PROTOCOL: if a close crosses a request, it is sent once more on a new connection.
                    self.record.write(f"client sends {request_id} once more after {type(error).__name__}")
                    connection = None
            if connection is None:
                async with asyncio.timeout(wait_s):
                    connection = await asyncio.open_connection(self.sidecar.host, self.sidecar.port)
                status, answer = await self._exchange(connection, message, wait_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write(f"client got no whole answer to {request_id}: {type(error).__name__}")
        self.statuses[request_id] = status
        self.record.write(f"client got {status} for {request_id}")
        return status, answer, request_id

    def _kept(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Return a kept connection that the sidecar has not closed."""
        while self.idle:
            connection = self.idle.pop()
            if not connection[0].at_eof():
                return connection
            connection[1].close()
        return None

    async def _exchange(
        self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], message: bytes, wait_s: float
    ) -> tuple[int, bytes]:
        """Send a request on a connection, which is kept afterwards, and return the answer's status and body.

        The time counts from the request's last byte. Raises TimeoutError.
        """
        reader, writer = connection
        is_kept = False
        try:
            writer.write(message)
            await writer.drain()
            async with asyncio.timeout(wait_s):
                words, headers, answer, _ = await read_message(reader)
            is_kept = headers.get("connection", "").lower() != "close"
            return int(words[1]), answer
        finally:
            if is_kept:
                self.idle.append(connection)
            else:
                writer.close()

    async def run(self, rate: float, until: float) -> None:
        """Send requests of both classes at a constant rate, and wait for the last answer."""
        tasks = []
        while now() < until:
            kind, deadline_ms = (("reserva", 1400), ("despacho", 3300))[len(tasks) % 2]
            tasks.append(asyncio.create_task(self.send(kind, deadline_ms)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)


TOLD_AFTER_S = 6.0  # PROTOCOL, "Figures": what discovery has to tell counts as told 6 s later at the latest
GRACE_S = 1.0 + 0.05  # the settings' DrainGraceUs, and "each time limit is 50 ms longer"
LEFT_AFTER_S = 1.5  # an endpoint that drains ends so long after the last moment at which something new may come


class Drain:
    """Some endpoints drain and end; `late` is what reached them after the rule's last moment."""

    def __init__(self, discovery: Discovery, endpoints: list[Endpoint], record: Record) -> None:
        self.discovery = discovery
        self.endpoints = endpoints
        self.record = record
        self.limit = 0.0

    def list(self) -> None:
        """List all of them as draining."""
        for endpoint in self.endpoints:
            self.discovery.set({**self.discovery.rows[f"s-{endpoint.name}"], "lifecycle": "draining"})
        self.limit = now() + TOLD_AFTER_S + GRACE_S
        self.record.write(
            f"the drain counts as told at {self.limit - GRACE_S:.3f} at the latest; limit {self.limit:.3f}"
        )

    async def end(self) -> None:
        """End the endpoints one after another, once nothing new may come to them and the old has been done."""
        await asyncio.sleep(self.limit + LEFT_AFTER_S - now())
        for endpoint in self.endpoints:
            self.record.write(f"the drained endpoint {endpoint.name} ends")
            endpoint.stop()
            await asyncio.sleep(0.4)

    def held(self, client: Client) -> bool:
        """Record what came too late, and what became of it; return whether the rule held."""
        version = self.discovery.generation
        told = [at for at, found in self.discovery.told if found >= version]
        self.record.write(f"first answer of discovery with the drain: {told[0] if told else None}")
        late = [(at, name, found) for name, at, found in self._received() if at > self.limit]
        for at, name, request_id in sorted(late):
            status = client.statuses.get(request_id, 0)
            self.record.write(
                f"{request_id} came to {name} at {at:.3f}: {at - self.limit:.3f} s too late; status {status}"
            )
        lost = sum(client.statuses.get(found, 0) != 200 for _, _, found in late)
        self.record.write(f"{len(late)} requests came too late, {lost} of them were not served")
        return not late

    def _received(self) -> list[tuple[str, float, str]]:
        return [(endpoint.name, at, found) for endpoint in self.endpoints for at, found in endpoint.received]


def main(case: Callable[[Path, Record], Awaitable[bool]], folder: Path) -> None:
    """Run a case, which returns whether the rule held, and exit as the review's issue says."""

    async def limited(temporary: Path, record: Record) -> bool:
        # Also a case that is ended from outside ends what it started.
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            return await case(temporary, record)

    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        held = asyncio.run(limited(temporary, record))
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, it says nothing about the rule
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        sys.exit(2)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
