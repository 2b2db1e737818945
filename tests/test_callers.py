"""Callers on loopback sockets: invalid input, incomplete requests, timeouts and limits."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from pathlib import Path

import pytest

from eiderhub.sidecar import callers as callers_module
from eiderhub.sidecar.clock import now_us
from tests.sidecar_support import Sidecar, program, readiness_status, run


def test_disconnect_of_the_caller_cancels_the_attempt() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=3_000_000)  # no attempt times out within the test
            await sidecar.endpoints[0].next()
            client.writer.close()
            assert await sidecar.endpoints[0].ends.get() == 0
            assert not sidecar.host.requests
            assert not sidecar.host.balancer.calls

    run(test())


def test_refusal_after_the_decision_module_gives_up_has_a_retry_after() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            started_at = time.monotonic()
            answer = await (await sidecar.client()).request("look", deadline_ms=3000)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert time.monotonic() - started_at < 2.0

    run(test())


HEAD = "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 2000\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
BAD_INPUT = [
    ("noise", "\x00\x01\x02\r\n\r\n", 400),
    ("no request line", "nonsense\r\n\r\n", 400),
    ("other version", "POST /pay HTTP/2.0\r\n\r\n", 400),
    ("no version", "GET /look\r\n\r\n", 400),
    ("both lengths", HEAD + "Content-Length: 5\r\n" + CHUNKED + "0\r\n\r\n", 400),
    (
        "both lengths, in reverse order",
        HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        400,
    ),
    ("unknown coding and a length", HEAD + "Transfer-Encoding: xchunked\r\nContent-Length: 1\r\n\r\nx", 400),
    ("coding before chunked", HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    ("two lengths", HEAD + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
    ("list of lengths", HEAD + "Content-Length: 1, 1\r\n\r\nx", 400),
    ("negative length", HEAD + "Content-Length: -1\r\n\r\nx", 400),
    ("signed length", HEAD + "Content-Length: +1\r\n\r\nx", 400),
    ("length past 64 bits", HEAD + "Content-Length: 99999999999999999999\r\n\r\nx", 400),
    ("length too short", HEAD + "Content-Length: 1\r\n\r\nxyz", 400),
    ("bare LF", HEAD.replace("\r\n", "\n") + "Content-Length: 1\n\nx", 400),
    ("bare CR", HEAD + "A: b\rC: d\r\nContent-Length: 1\r\n\r\nx", 400),
    ("NUL", HEAD + "A: b\x00\r\nContent-Length: 1\r\n\r\nx", 400),
    ("folded line", HEAD + "A: b\r\n c\r\nContent-Length: 1\r\n\r\nx", 400),
    ("space before the colon", HEAD + "Content-Length : 1\r\n\r\nx", 400),
    ("chunk without a size", HEAD + CHUNKED + "zz\r\nx\r\n0\r\n\r\n", 400),
    ("chunk with a negative size", HEAD + CHUNKED + "-1\r\nx\r\n0\r\n\r\n", 400),
    ("many headers", HEAD + "A: b\r\n" * 1000 + "\r\n", 431),
    ("line without end", HEAD + "A: " + "x" * 1_000_000, 431),
    ("head without end", HEAD + "A: b\r\n" * 100_000, 431),
    ("long body, by its stated length", HEAD + "Content-Length: 60000000\r\n\r\n", 413),
    ("long body, in chunks", HEAD + CHUNKED + "10000\r\n" + "x" * 65536 + "\r\n1\r\nx\r\n", 413),
    ("unknown path", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404),
    ("unknown class", "GET /stare HTTP/1.1\r\nHost: a\r\n\r\n", 404),
    ("too many at once", (HEAD + "Content-Length: 1\r\n\r\nx") * 300, 400),
    ("valid request, then noise", HEAD + "Content-Length: 1\r\n\r\nx\x00\x01", 400),
]


@pytest.mark.parametrize(("raw", "status"), [b[1:] for b in BAD_INPUT], ids=[b[0] for b in BAD_INPUT])
def test_bad_input_gets_one_error_is_not_forwarded_and_closes_the_connection(raw: str, status: int) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(raw.encode("latin-1"))
            assert (await client.answer()).status == status
            assert await client.reader.read() == b""
            assert sidecar.host.statistics.accepted == 0
            assert sidecar.endpoints[0].connections == 0
            assert sidecar.host.budget.used == 0

    run(test())


def test_forwarded_requests_are_framed_anew() -> None:
    """Chunk extensions and trailers are dropped: another parser might interpret them differently."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            body = "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nReq-Id: 2\r\n\r\n"
            client.writer.write((HEAD + CHUNKED + body).encode())
            received = await sidecar.endpoints[0].next()
            assert received.message.body == b"abcde"
            assert received.message.headers["content-length"] == "5"
            assert received.message.headers["req-id"] == "1"
            assert "transfer-encoding" not in received.message.headers
            received.reply()
            assert (await client.answer()).status == 200

    run(test())


def test_invalid_input_after_an_open_request_ends_that_request_too() -> None:
    """A length that is too short looks like this if the rest arrives late: such a request must not be served."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=3_000_000)
            await sidecar.endpoints[0].next()
            client.writer.write(b"\x00\x01 the rest")
            assert (await client.answer()).status == 400
            assert await client.reader.read() == b""
            assert await sidecar.endpoints[0].ends.get() == 0  # its attempt is cancelled
            assert not sidecar.host.requests
            assert not sidecar.host.balancer.calls

    run(test())


@pytest.mark.parametrize("sent", ["", "POST /pay HT", HEAD, HEAD + "Content-Length: 9\r\n\r\nhalf"])
def test_caller_without_a_complete_first_request_is_closed(sent: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevents callers from holding a connection with no request, or with a partial one, for more than 3 s.

    Formerly a silent caller was never closed, and one with a partial request only after ten seconds.
    """

    async def test() -> None:
        monkeypatch.setattr(callers_module, "FIRST_REQUEST_TIMEOUT_S", 0.1)
        monkeypatch.setattr(callers_module, "CHECK_INTERVAL_S", 0.02)
        async with Sidecar() as sidecar:
            waiting = await sidecar.client()
            waiting.send(deadline_ms=3_000_000)
            received = await sidecar.endpoints[0].next()
            client = await sidecar.client()
            client.writer.write(sent.encode())
            if sent.startswith("POST /pay HTTP"):
                assert (await client.answer()).status == 408
            await client.reader.read()  # a close, with or without an error of the parser before it
            client.writer.close()
            while len(sidecar.callers) > 1:
                await asyncio.sleep(0.01)
            assert sidecar.host.budget.used == len(b"x")
            received.reply()
            assert (await waiting.answer()).status == 200  # a caller that waits for its answer is not idle

    run(test())


def test_idle_caller_is_closed_after_the_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevents connections of callers that send one request and never close from accumulating."""

    async def test() -> None:
        monkeypatch.setattr(callers_module, "IDLE_TIMEOUT_S", 0.1)
        monkeypatch.setattr(callers_module, "CHECK_INTERVAL_S", 0.02)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            assert await readiness_status(client) == 200
            assert await client.reader.read() == b""
            assert not sidecar.callers

    run(test())


def test_callers_over_the_limit_evict_connections_without_requests_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevents evicting the connection that is open longest, which is probably a well-behaved caller's."""

    async def test() -> None:
        async with Sidecar(callers=3) as sidecar:
            good = await sidecar.client()
            assert await readiness_status(good) == 200
            silent, younger = await sidecar.client(), await sidecar.client()
            busy = await sidecar.client()
            assert await silent.reader.read() == b""
            busy.send()
            received = await sidecar.endpoints[0].next()
            assert await readiness_status(younger) == 200
            # All others are busy or were recently: the new one has sent nothing and is closed at once.
            extra = await sidecar.client()
            assert await extra.reader.read() == b""
            monkeypatch.setattr(callers_module, "EVICTABLE_IDLE_S", 0.0)
            newest = await sidecar.client()
            assert await good.reader.read() == b""  # the longest idle one
            assert [await readiness_status(newest), await readiness_status(younger)] == [200, 200]
            received.reply()
            assert (await busy.answer()).status == 200

    run(test())


def test_bodies_beyond_the_byte_budget_are_refused() -> None:
    async def test() -> None:
        async with Sidecar(buffered_bytes=1000) as sidecar:
            first, second = await sidecar.client(), await sidecar.client()
            first.send(body=b"x" * 700)
            received = await sidecar.endpoints[0].next()
            second.send(body=b"x" * 700)
            answer = await second.answer()
            assert (answer.status, answer.headers["retry-after"]) == (503, "1")
            assert sidecar.host.statistics.accepted == 1
            received.reply()
            assert (await first.answer()).status == 200
            first.send(body=b"x" * 700)
            (await sidecar.endpoints[0].next()).reply()
            assert (await first.answer()).status == 200
            assert sidecar.host.budget.used == 0

    run(test())


def test_caller_that_reads_no_answers_is_not_read_further(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevents answers that a caller does not read from accumulating in the sidecar's memory."""

    async def test() -> None:
        monkeypatch.setattr(callers_module, "IDLE_TIMEOUT_S", 0.2)
        monkeypatch.setattr(callers_module, "CHECK_INTERVAL_S", 0.02)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            endpoint = sidecar.endpoints[0]
            served = 0
            with contextlib.suppress(TimeoutError):
                while served < 400:
                    client.send()
                    (await asyncio.wait_for(endpoint.next(), 0.3)).reply(200, b"x" * 65_000)
                    served += 1
            assert served < 400
            while sidecar.callers:
                await asyncio.sleep(0.01)

    run(test())


@pytest.mark.parametrize(
    ("class_name", "changes", "status"),
    [
        ("pay", {"Req_Id": ""}, 400),
        ("pay", {"Req_Id": "a b"}, 400),
        ("pay", {"Req_Deadline_Ms": ""}, 400),
        ("pay", {"Req_Deadline_Ms": "-5"}, 400),
        ("pay", {"Req_Deadline_Ms": "soon"}, 400),
        ("pay", {"Req_Deadline_Ms": "9" * 30}, 400),
        ("pay", {"Req_Owner": ""}, 400),
        ("pay", {"Req_Owner": "stranger"}, 400),
        ("pay", {"Req_Cost": "much"}, 400),
        ("pay", {"Req_Retry": "yes"}, 400),
        ("hold", {"Idempotency_Key": ""}, 400),
    ],
)
def test_bad_headers_get_an_error_and_are_not_forwarded(class_name: str, changes: dict[str, str], status: int) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            assert (await client.request(class_name, **changes)).status == status
            assert sidecar.host.statistics.accepted == 0
            assert sidecar.endpoints[0].connections == 0

    run(test())


def test_method_must_match_the_request_class() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(b"GET /pay HTTP/1.1\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9\r\n\r\n")
            assert (await client.answer()).status == 405
            assert sidecar.host.statistics.accepted == 0

    run(test())


def test_request_id_of_an_open_request_is_rejected() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            first, second = await sidecar.client(), await sidecar.client()
            first.send(request_id="0a")
            received = await sidecar.endpoints[0].next()
            assert (await second.request(request_id="0a")).status == 409
            assert await second.reader.read() == b""
            received.reply()
            assert (await first.answer()).status == 200
            first.send(request_id="0a")
            (await sidecar.endpoints[0].next()).reply()
            assert (await first.answer()).status == 200

    run(test())


def test_flood_of_connections_leaves_descriptors_for_endpoints(tmp_path: Path) -> None:
    """Without free descriptors the process could neither accept a connection nor open one to an endpoint."""
    sockets = 64

    async def test() -> None:
        async with program(tmp_path, {"limits": {"sockets": sockets, "memory_mb": 64}}) as running:
            max_descriptors = 0
            silent = []
            for _ in range(2 * sockets):
                silent.append(await running.client())
                max_descriptors = max(max_descriptors, len(os.listdir(f"/proc/{running.process.pid}/fd")))
            client = await running.client()
            client.send()
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200
            assert sockets / 2 < max_descriptors <= sockets

    run(test())


def test_final_answer_of_a_connection_has_time_to_be_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The linger time must start with the answer: measured from the request, it could cut off the answer."""

    async def test() -> None:
        monkeypatch.setattr(callers_module, "CHECK_INTERVAL_S", 0.01)
        monkeypatch.setattr(callers_module, "LINGER_S", 0.5)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(Connection="close")
            received = await sidecar.endpoints[0].next()
            (caller,) = sidecar.callers.connections
            caller.state_since_us -= 60_000_000
            received.reply(200, b"x" * 60_000)
            answer = await client.answer()
            assert len(answer.body) == 60_000
            assert now_us() - caller.state_since_us < 10_000_000
            assert await client.reader.read() == b""

    run(test())
