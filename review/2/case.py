"""Bad clients send much at once and go; the platform kills a sidecar that is over its memory. See `claim.txt`."""

from __future__ import annotations

import asyncio
import re
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import TENANTS, Client, Discovery, Endpoint, Record, Sidecar, main, now, row, settings, trouble  # noqa: E402

MEMORY_MB = 96  # one of the limits that the bench sets on its days of few sidecars
SOCKETS = 640
BODY_BYTES = 250_000  # "Bodies hold at most 64 KiB": a bad client sends more
BAD_CLIENTS_A_SECOND = 15.0
LASTS_S = 80.0


def memory_mb(sidecar: Sidecar) -> float:
    """Return the anonymous memory that the program holds: what no other process can share, in MB of 2^20 bytes."""
    status = Path(f"/proc/{sidecar.process.pid}/status").read_text(encoding="ascii")
    found = re.search(r"^RssAnon:\s+(\d+) kB$", status, re.MULTILINE)
    return int(found[1]) / 1024 if found else 0.0


class Platform:
    """Kills the sidecar when it is over its memory, as the DEPLOY page says."""

    def __init__(self, sidecar: Sidecar, record: Record) -> None:
        self.sidecar = sidecar
        self.record = record
        self.peak_mb = 0.0
        self.killed_at = 0.0

    async def watch(self) -> None:
        logged_mb = 0.0
        while self.sidecar.process.returncode is None:
            used_mb = memory_mb(self.sidecar)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb >= logged_mb + 5:
                logged_mb = used_mb
                self.record.write(f"the sidecar holds {used_mb:.1f} MB of {MEMORY_MB}")
            if used_mb > MEMORY_MB:
                self.killed_at = now()
                self.record.write(f"over its memory: {used_mb:.1f} MB of {MEMORY_MB}")
                self.sidecar.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.1)


async def send_much_and_go(sidecar: Sidecar, record: Record, serial: int) -> None:
    """Send a request with a body that is too long, all at once, and close the connection."""
    record.write(f"bad client {serial} sends {BODY_BYTES} bytes and goes")
    head = (
        f"POST /despacho/orden HTTP/1.1\r\nHost: service.internal\r\nReq-Id: bad{serial:08x}\r\n"
        f"Req-Owner: {TENANTS[0]}\r\nReq-Deadline-Ms: 3300\r\nTransfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
    )
    try:
        async with asyncio.timeout(2.0):
            _, writer = await asyncio.open_connection(sidecar.host, sidecar.port)
            writer.write(head.encode() + b"x" * BODY_BYTES + b"\r\n0\r\n\r\n")
            await writer.drain()
            writer.close()
    except (OSError, TimeoutError):
        pass


async def case(folder: Path, record: Record) -> bool:
    endpoints = [Endpoint(f"e{i}", record) for i in range(12)]
    discovery = Discovery("discovery", record)
    await discovery.listen()
    for i, endpoint in enumerate(endpoints):
        await endpoint.listen()
        discovery.set(row(endpoint, cell=i // 4))
    sidecar = Sidecar(
        folder,
        record,
        {
            "discovery": discovery.address,
            "known": discovery.whole(),
            "settings": settings(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        },
    )
    client = Client(sidecar, record)
    platform = Platform(sidecar, record)
    bad: set[asyncio.Task[None]] = set()
    try:
        await sidecar.start()
        await sidecar.wait_up()
        watch = asyncio.create_task(platform.watch())
        ends_at = now() + LASTS_S
        load = asyncio.create_task(client.run(16.0, ends_at))
        serial = 0
        while now() < ends_at and not platform.killed_at:
            if trouble():
                serial += 1
                bad.add(asyncio.create_task(send_much_and_go(sidecar, record, serial)))
            await asyncio.sleep(1 / BAD_CLIENTS_A_SECOND)
        if platform.killed_at:
            await asyncio.sleep(1.0)
            load.cancel()
        await asyncio.gather(load, *bad, return_exceptions=True)
        crashed = sidecar.process.returncode is not None
        watch.cancel()
    finally:
        await sidecar.end()
        for endpoint in endpoints:
            endpoint.stop()
        discovery.stop()
    lost = [request_id for request_id, status in client.statuses.items() if not status]
    ran = {request_id for endpoint in endpoints for _, request_id in endpoint.received}
    record.write(f"{len(lost)} requests of the good clients got no answer, of which {len(ran & set(lost))} had run")
    record.write(f"peak {platform.peak_mb:.1f} MB of {MEMORY_MB}, {serial} bad clients; crashed: {crashed}")
    return not crashed


main(case, HERE)
