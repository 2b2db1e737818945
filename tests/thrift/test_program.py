"""The sidecar as a process with a Thrift listener: routes by service, a reload, and SIGTERM with pending calls."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from eiderhub.protocols.thrift.definitions import Encoding, ExceptionType
from standins.discovery import row
from standins.program import running_sidecar
from tests.sidecar_support import SETUP, run
from tests.thrift.peers import FakeThriftServer, ReceivedCall, ThriftClient

OPERATOR = """\
[routing]
default = "refuse"
[thrift]
listen = "127.0.0.1:0"
tenant = "acme"
fields = { key = "1", deadline_ms = "2" }
[[routes]]
name = "issue"
class = "pay"
protocol = "thrift"
service = "Invoice"
call = "issue"
"""


def sidecar_document(server: FakeThriftServer) -> dict[str, Any]:
    known = {"generation": 1, "reset": True, "instances": [row("s-0", server.address)]}
    return {"name": "n0", "seed": "8c1f", "discovery": "127.0.0.1:1", "settings": SETUP, "known": known}


def logged_port(folder: Path) -> int:
    line = next(one for one in (folder / "log.txt").read_text().splitlines() if "takes Thrift on" in one)
    return int(line.rpartition(":")[2])


async def next_call(server: FakeThriftServer) -> ReceivedCall:
    found = await server.next()
    assert isinstance(found, ReceivedCall)
    return found


@pytest.mark.parametrize("encoding", list(Encoding))
def test_sigterm_answers_pending_calls_closes_idle_connections_and_exits_with_0(
    encoding: Encoding, tmp_path: Path
) -> None:
    async def test() -> None:
        server = FakeThriftServer()
        await server.start()
        async with running_sidecar(tmp_path, sidecar_document(server), OPERATOR) as (process, _, _):
            port = logged_port(tmp_path)
            busy, idle = [await ThriftClient.connect(port, encoding) for _ in range(2)]
            idle.send("Invoice:issue")
            (await next_call(server)).reply()
            assert (await idle.answer()).exception_type is None
            seqids = [busy.send("Invoice:issue", 30_000, key) for key in (b"a", b"b", b"c")]
            calls = [await next_call(server) for _ in seqids]
            process.send_signal(signal.SIGTERM)
            assert await idle.reader.read() == b""  # the shutdown has begun: idle connections are closed
            for call in reversed(calls):
                call.reply()
            answers = [await busy.answer() for _ in seqids]
            assert [(a.exception_type, a.header.seqid) for a in answers] == [(None, n) for n in seqids]
            assert await busy.reader.read() == b""
            assert await process.wait() == 0
            assert server.received.empty()

    run(test())


def test_a_reload_changes_the_routes_and_leaves_pending_calls_alone(tmp_path: Path) -> None:
    async def test() -> None:
        server = FakeThriftServer()
        await server.start()
        async with running_sidecar(tmp_path, sidecar_document(server), OPERATOR) as (process, _, _):
            client = await ThriftClient.connect(logged_port(tmp_path), Encoding.BINARY)
            client.send("Refund:issue")
            assert (await client.answer()).exception_type == ExceptionType.UNKNOWN_METHOD
            client.send("Invoice:issue", 30_000)
            call = await next_call(server)
            (tmp_path / "operator.toml").write_text(OPERATOR.replace('"Invoice"', '"Refund"'))
            process.send_signal(signal.SIGHUP)
            probe = await ThriftClient.connect(logged_port(tmp_path), Encoding.BINARY)
            while True:  # until the new configuration is in effect
                probe.send("Invoice:issue", 30_000)
                forwarded = asyncio.create_task(server.next())
                answer = asyncio.create_task(probe.answer())
                await asyncio.wait((forwarded, answer), return_when=asyncio.FIRST_COMPLETED)
                if answer.done():
                    forwarded.cancel()
                    break
                forwarded.result().reply()
                await answer
            assert answer.result().exception_type == ExceptionType.UNKNOWN_METHOD
            call.reply()
            assert (await client.answer()).exception_type is None
            client.send("Refund:issue", 30_000)
            (await next_call(server)).reply()
            assert (await client.answer()).exception_type is None

    run(test())
