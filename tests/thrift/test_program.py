"""The real program with its Thrift port open: routes by service, a reload, and SIGTERM with calls out."""

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
from tests.thrift.peers import AskedThrift, ThriftClient, ThriftFake

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


def document(fake: ThriftFake) -> dict[str, Any]:
    known = {"generation": 1, "reset": True, "instances": [row("s-0", fake.address)]}
    return {"name": "n0", "seed": "8c1f", "discovery": "127.0.0.1:1", "settings": SETUP, "known": known}


def logged_port(folder: Path) -> int:
    line = next(one for one in (folder / "log.txt").read_text().splitlines() if "takes Thrift on" in one)
    return int(line.rpartition(":")[2])


async def asked(fake: ThriftFake) -> AskedThrift:
    found = await fake.next()
    assert isinstance(found, AskedThrift)
    return found


@pytest.mark.parametrize("encoding", list(Encoding))
def test_sigterm_answers_the_calls_that_are_out_closes_idle_callers_and_exits_with_0(
    encoding: Encoding, tmp_path: Path
) -> None:
    async def test() -> None:
        fake = ThriftFake()
        await fake.start()
        async with running_sidecar(tmp_path, document(fake), OPERATOR) as (process, _, _):
            port = logged_port(tmp_path)
            busy, idle = [await ThriftClient.connect(port, encoding) for _ in range(2)]
            idle.send("Invoice:issue")
            (await asked(fake)).reply()
            assert (await idle.answer()).kind is None
            numbers = [busy.send("Invoice:issue", 30_000, key) for key in (b"a", b"b", b"c")]
            calls = [await asked(fake) for _ in numbers]
            process.send_signal(signal.SIGTERM)
            assert await idle.reader.read() == b""  # the drain has begun: those between calls are let go
            for call in reversed(calls):
                call.reply()
            answers = [await busy.answer() for _ in numbers]
            assert [(a.kind, a.header.seqid) for a in answers] == [(None, n) for n in numbers]
            assert await busy.reader.read() == b""
            assert await process.wait() == 0
            assert fake.received.empty()

    run(test())


def test_a_reload_changes_what_routes_take_and_leaves_calls_alone(tmp_path: Path) -> None:
    async def test() -> None:
        fake = ThriftFake()
        await fake.start()
        async with running_sidecar(tmp_path, document(fake), OPERATOR) as (process, _, _):
            client = await ThriftClient.connect(logged_port(tmp_path), Encoding.BINARY)
            client.send("Refund:issue")
            assert (await client.answer()).kind == ExceptionType.UNKNOWN_METHOD
            client.send("Invoice:issue", 30_000)
            call = await asked(fake)
            (tmp_path / "operator.toml").write_text(OPERATOR.replace('"Invoice"', '"Refund"'))
            process.send_signal(signal.SIGHUP)
            probe = await ThriftClient.connect(logged_port(tmp_path), Encoding.BINARY)
            while True:  # until the new file is in force
                probe.send("Invoice:issue", 30_000)
                next_call = asyncio.create_task(fake.next())
                answer = asyncio.create_task(probe.answer())
                await asyncio.wait((next_call, answer), return_when=asyncio.FIRST_COMPLETED)
                if answer.done():
                    next_call.cancel()
                    break
                next_call.result().reply()
                await answer
            assert answer.result().kind == ExceptionType.UNKNOWN_METHOD
            call.reply()
            assert (await client.answer()).kind is None
            client.send("Refund:issue", 30_000)
            (await asked(fake)).reply()
            assert (await client.answer()).kind is None

    run(test())
