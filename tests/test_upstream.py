"""Endpoints on loopback sockets: the outcomes of attempts, and invalid answers."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from eiderhub.interface import Outcome
from eiderhub.protocols.http1.client import HTTP1, Response
from eiderhub.sidecar import host as host_module
from eiderhub.sidecar import upstream
from eiderhub.sidecar.resource_limits import ByteBudget
from eiderhub.sidecar.upstream import Attempt, Upstream
from tests.sidecar_support import (
    SETUP,
    Sidecar,
    next_request,
    one_attempt,
    run,
)


@pytest.mark.parametrize("status", [500, 503, 504, 429, 404])
def test_error_after_a_possible_effect_is_no_refusal_and_an_unsafe_request_is_not_retried(status: int) -> None:
    """A refusal is sent only where a retry is harmless; an endpoint's own 503 does not promise that."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await one_attempt(sidecar)
            received.reply(status, b"")
            assert (await client.answer()).status == 502
            assert all(fake.received.empty() for fake in sidecar.endpoints)

    run(test())


@pytest.mark.parametrize("status", [503, 504])
def test_request_declined_by_an_endpoint_goes_to_another(status: int) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await one_attempt(sidecar)
            received.reply(status, b"", "Srv-Declined: 1")
            (await next_request(sidecar)).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_request_goes_to_another_endpoint_after_a_refused_connection() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            sidecar.endpoints[0].server.close()
            await sidecar.endpoints[0].server.wait_closed()
            for _ in range(8):  # each request chooses its endpoint at random
                client = await sidecar.client()
                client.send()
                (await sidecar.endpoints[1].next()).reply()
                assert (await client.answer()).status == 200

    run(test())


@pytest.mark.parametrize("cut", ["nothing", "head", "body"])
def test_truncated_answer_is_a_failure_and_an_unsafe_request_is_not_retried(cut: str) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await one_attempt(sidecar)
            if cut != "nothing":
                received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
            if cut == "body":
                received.writer.write(b"\r\nhalf")
            received.writer.close()
            assert (await client.answer()).status == 502
            assert all(fake.received.empty() for fake in sidecar.endpoints)

    run(test())


def test_silent_endpoint_times_out_and_its_late_answer_is_discarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(host_module, "ANSWER_MARGIN_US", 1_800_000)  # allows for a slow machine
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            started_at = time.monotonic()
            client.send(deadline_ms=2000)
            received = await sidecar.endpoints[0].next()
            answer = await client.answer()
            assert answer.status == 504
            assert time.monotonic() - started_at < 1.5
            received.reply(200, b"late")
            client.send(deadline_ms=8000)
            next_received = await sidecar.endpoints[0].next()
            assert next_received.connection != received.connection
            next_received.reply(200, b"fresh")
            assert (await client.answer()).body == b"fresh"

    run(test())


def test_reset_before_the_last_byte_never_ran_and_after_it_may_have_run() -> None:
    async def test() -> None:
        for size, expected in ((16 << 20, Outcome.CONNECT_FAILED), (16, Outcome.RESET)):
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
            upstream = Upstream(0, 1_000_000, 4, ByteBudget(1 << 20))
            upstream.set_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)

            def on_end(
                _: Attempt, outcome: Outcome, __: Response | None, outcomes: asyncio.Queue[Outcome] = outcomes
            ) -> None:
                outcomes.put_nowait(outcome)

            upstream.send(Attempt(0, "e", HTTP1, lambda _, size=size: b"x" * size, on_end))  # type: ignore[misc]
            peer, _ = await asyncio.get_running_loop().sock_accept(listener)
            assert await asyncio.get_running_loop().sock_recv(peer, 16)  # the first bytes have arrived
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            peer.close()
            assert await outcomes.get() is expected
            assert upstream.open_connections == 0
            listener.close()

    run(test())


def test_connection_attempt_times_out() -> None:
    async def test() -> None:
        full_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:  # fill the backlog: the next handshake gets no answer
            filler.setblocking(False)
            filler.connect_ex(full_listener.getsockname())
        upstream = Upstream(0, 100_000, 4, ByteBudget(1 << 20))
        upstream.set_endpoint("e", "127.0.0.1", full_listener.getsockname()[1], 0)
        outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
        upstream.send(Attempt(0, "e", HTTP1, lambda _: b"x", lambda _, outcome, __: outcomes.put_nowait(outcome)))
        assert await outcomes.get() is Outcome.CONNECT_FAILED
        for sock in (full_listener, *fillers):
            sock.close()

    run(test())


def test_closed_idle_connection_is_not_used() -> None:
    """Its end may be pending in the kernel: a request sent on it would be reset, and count as possibly run."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        upstream = Upstream(0, 1_000_000, 4, ByteBudget(1 << 20))
        upstream.set_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)
        outcomes: asyncio.Queue[Outcome] = asyncio.Queue()

        def send() -> None:
            upstream.send(Attempt(0, "e", HTTP1, lambda _: b"x", lambda _, outcome, __: outcomes.put_nowait(outcome)))

        async def serve() -> socket.socket:
            peer, _ = await loop.sock_accept(listener)
            await loop.sock_recv(peer, 16)
            await loop.sock_sendall(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return peer

        send()
        peer = await serve()
        assert await outcomes.get() is Outcome.OK
        peer.close()
        send()  # in the same loop iteration
        (await serve()).close()
        assert await outcomes.get() is Outcome.OK
        listener.close()

    run(test())


def test_idle_connections_are_closed_before_their_endpoint_closes_them() -> None:
    async def test() -> None:
        async with Sidecar(Allowed={**SETUP["Allowed"], "ConnIdleUs": 300_000}) as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).reply()
            await client.answer()
            assert await sidecar.endpoints[0].ends.get() == 0
            assert sidecar.host.upstream.open_connections == 0

    run(test())


def test_connections_to_endpoints_stay_within_their_limit() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2, upstream=1) as sidecar:
            client = await sidecar.client()
            used_endpoints: set[int] = set()
            while len(used_endpoints) < 2:
                client.send()
                received = await next_request(sidecar)
                received.reply()
                await client.answer()
                used_endpoints.add(next(i for i, f in enumerate(sidecar.endpoints) if received.writer in f.writers))
                assert sidecar.host.upstream.open_connections == 1

    run(test())


VALID_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
INVALID_ANSWERS = [
    ("noise", b"\x00\x01\xfe noise\r\n\r\n"),
    ("other protocol", b"ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("status is not a number", b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("no colon", OK_STATUS_LINE + b"none here\r\nContent-Length: 4\r\n\r\ngood"),
    ("two lengths", OK_STATUS_LINE + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\ngood"),
    (
        "length and chunks",
        OK_STATUS_LINE + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    ),
    ("negative length", OK_STATUS_LINE + b"Content-Length: -1\r\n\r\ngood"),
    ("length of 3 GB", OK_STATUS_LINE + b"Content-Length: 3000000000\r\n\r\ngood"),
    ("no length", OK_STATUS_LINE + b"\r\ngood"),
    ("chunk without a size", OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\ngo\r\nzz\r\nod\r\n0\r\n\r\n"),
    (
        "chunks without end",
        OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n" + b"1000\r\n" + b"x" * 4096 + b"\r\n" * 1,
    ),
    ("head without end", OK_STATUS_LINE + b"X-Pad: pppp\r\n" * 20_000),
    ("line without end", OK_STATUS_LINE + b"X-Pad: " + b"p" * 200_000),
    ("interim answers without end", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 10_000),
    ("switch to another protocol", b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
]


@pytest.mark.parametrize("raw", [s[1] for s in INVALID_ANSWERS], ids=[s[0] for s in INVALID_ANSWERS])
def test_invalid_answer_is_an_immediate_failure_and_closes_its_connection(
    raw: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request has run: an unsafe one is not retried, and nothing of the answer is forwarded."""

    async def test() -> None:
        monkeypatch.setattr(upstream, "STALL_TIMEOUT_US", 100_000)
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await one_attempt(sidecar)
            received.writer.write(raw)
            answer = await client.answer()
            assert (answer.status, answer.body) == (502, b"")
            assert await asyncio.wait_for(next_closed_connection(sidecar), 2) == 0
            assert all(fake.received.empty() for fake in sidecar.endpoints)
            assert (sidecar.host.upstream.open_connections, sidecar.host.budget.used) == (0, 0)

    run(test())


async def next_closed_connection(sidecar: Sidecar) -> int:
    """Wait until the sidecar closes a connection to an endpoint; return the connection's number."""
    tasks = [asyncio.create_task(fake.ends.get()) for fake in sidecar.endpoints]
    finished, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return finished.pop().result()


@pytest.mark.parametrize(
    "extra_bytes",
    [VALID_ANSWER, VALID_ANSWER[:20], b"\xfe\x00 noise\r\n\r\n"],
    ids=["duplicate", "partial duplicate", "noise"],
)
def test_complete_answer_with_extra_bytes_is_delivered_and_its_connection_closes(extra_bytes: bytes) -> None:
    """Prevents a failure for bytes after an answer: by its stated length, the answer is complete."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).writer.write(VALID_ANSWER + extra_bytes)
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, b"good")
            client.send()
            received = await sidecar.endpoints[0].next()
            assert received.connection == 1
            received.reply()
            assert (await client.answer()).body == b"done"

    run(test())


def test_interim_answers_and_invalid_load_reports_do_not_affect_an_answer() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            received = await sidecar.endpoints[0].next()
            received.writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
            received.reply(200, b"good", "Srv-Load: =,;inflight=nan")
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, b"good")
            assert "link" not in answer.headers

    run(test())
