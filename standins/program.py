"""The real program as a process of its own, on a free loopback port."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import socket
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

START_S = 15.0  # a program that is not ready by then has failed


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as free:
        found: tuple[str, int] = free.getsockname()
        return found


async def wait_ready(host: str, port: int) -> None:
    """Until `GET /up` answers 200. Raises TimeoutError."""
    async with asyncio.timeout(START_S):
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            first = await reader.readline()
            writer.close()
            if b" 200 " in first:
                return
            await asyncio.sleep(0.01)


async def _port(log: Path) -> int:
    """The port that the program says it serves on. Raises TimeoutError."""
    async with asyncio.timeout(START_S):
        while (found := re.search(r" serves on [^ ]*:(\d+)\n", log.read_text(encoding="utf-8"))) is None:
            await asyncio.sleep(0.01)
    return int(found[1])


@contextlib.asynccontextmanager
async def running_sidecar(
    folder: Path, document: dict[str, Any], operator: str | None = None, command: Sequence[str] = ()
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str, int]]:
    """Start the program on a document and an operator's text, both kept in `folder`; end it at the end.

    Raises ChildProcessError, with what it wrote, where it does not start.
    """
    # Port 0, and the port from its log: a port that was found free could be another program's a moment later.
    (folder / "sidecar.json").write_text(json.dumps({**document, "listen": "127.0.0.1:0"}), encoding="utf-8")
    words = list(command) or [sys.executable, "-m", "eiderhub", "sidecar"]
    if operator is not None:
        (folder / "operator.toml").write_text(operator, encoding="utf-8")
        words += ["--operator", str(folder / "operator.toml")]
    environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
    log = (folder / "log.txt").open("wb")
    process = await asyncio.create_subprocess_exec(
        *words, env={**environ, "GW_CONFIG": str(folder / "sidecar.json")}, stderr=log
    )
    log.close()
    try:
        ready = asyncio.create_task(_port(folder / "log.txt"))
        ended = asyncio.create_task(process.wait())
        await asyncio.wait((ready, ended), return_when=asyncio.FIRST_COMPLETED)
        if ended.done():
            ready.cancel()
            raise ChildProcessError((folder / "log.txt").read_text(encoding="utf-8"))
        ended.cancel()
        port = await ready
        await wait_ready("127.0.0.1", port)
        yield process, "127.0.0.1", port
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
