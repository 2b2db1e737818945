"""Runs the sidecar program as a child process on a free loopback port."""

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

START_TIMEOUT_S = 15.0


def free_address() -> tuple[str, int]:
    """Return a loopback address that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        found: tuple[str, int] = free.getsockname()
        return found


async def wait_ready(host: str, port: int) -> None:
    """Wait until `GET /up` returns 200. Raises TimeoutError."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            status_line = await reader.readline()
            writer.close()
            if b" 200 " in status_line:
                return
            await asyncio.sleep(0.01)


async def _logged_port(log: Path) -> int:
    """Wait until the log names the port that the program serves on, and return it. Raises TimeoutError."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while (found := re.search(r" serves on [^ ]*:(\d+)\n", log.read_text(encoding="utf-8"))) is None:
            await asyncio.sleep(0.01)
    return int(found[1])


@contextlib.asynccontextmanager
async def running_sidecar(
    folder: Path, document: dict[str, Any], operator: str | None = None, command: Sequence[str] = ()
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str, int]]:
    """Run the program and yield its process, host and port; kill it on exit.

    `document` is the content of the platform's file, `operator` that of the operator's file; both files and the log are
    written to `folder`. `command` replaces the command line. Raises ChildProcessError, with the log, if the program
    exits instead of starting, and TimeoutError if it is not ready in time.
    """
    # The program listens on port 0 and the port is read from its log: a port that was chosen beforehand could be taken
    # by another program in between.
    (folder / "sidecar.json").write_text(json.dumps({**document, "listen": "127.0.0.1:0"}), encoding="utf-8")
    arguments = list(command) or [sys.executable, "-m", "eiderhub", "sidecar"]
    if operator is not None:
        (folder / "operator.toml").write_text(operator, encoding="utf-8")
        arguments += ["--operator", str(folder / "operator.toml")]
    environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
    log = (folder / "log.txt").open("wb")
    process = await asyncio.create_subprocess_exec(
        *arguments, env={**environ, "GW_CONFIG": str(folder / "sidecar.json")}, stderr=log
    )
    log.close()
    try:
        logged_port = asyncio.create_task(_logged_port(folder / "log.txt"))
        exited = asyncio.create_task(process.wait())
        await asyncio.wait((logged_port, exited), return_when=asyncio.FIRST_COMPLETED)
        if exited.done():
            logged_port.cancel()
            raise ChildProcessError((folder / "log.txt").read_text(encoding="utf-8"))
        exited.cancel()
        port = await logged_port
        await wait_ready("127.0.0.1", port)
        yield process, "127.0.0.1", port
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
