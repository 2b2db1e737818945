"""Messages whose lines or trailers never end: they are given up early, and valid messages in small pieces are not."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.protocols.http1.client import MAX_BODY_BYTES
from eiderhub.protocols.http1.framing_limit import MAX_FRAMING_BYTES, FramingLimit
from tests.sidecar_support import Sidecar, one_attempt, run

CHUNKED_ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n"
CHUNKED_REQUEST = (
    b"POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 2000\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n"
)
# How a message goes on after its first chunk, and what is repeated from there on.
ENDLESS = {
    "value of a trailer": (b"0\r\nChecksum: ", b"a"),
    "name of a trailer": (b"0\r\n", b"a"),
    "trailers": (b"0\r\n", b"A: b\r\n"),
    "chunk extension": (b"1;a=", b"a"),
    "zeros of a chunk size": (b"0", b"0"),
    "chunks of a byte with long extensions": (b"", b"1;a=" + b"a" * 500 + b"\r\nx\r\n"),
}
PIECE_BYTES = 8 * 1024
MAX_READ_BYTES = 8 << 20  # by far more than the limit: buffers of the sockets are included
LONG_DEADLINE_MS = 3_000_000  # of a request: no timeout of an attempt ends the answer


async def write_until_closed(writer: asyncio.StreamWriter, repeated: bytes, pieces: int) -> None:
    """Write, in pieces, as fast as the other side reads, until it closes the connection."""
    piece = repeated * (PIECE_BYTES // len(repeated) + 1)
    try:
        for _ in range(pieces):
            writer.write(piece)
            await writer.drain()
    except ConnectionError:
        return
    raise AssertionError(f"{pieces * len(piece)} bytes were read")


@pytest.mark.parametrize(("start", "repeated"), ENDLESS.values(), ids=ENDLESS.keys())
def test_an_answer_that_never_ends_is_given_up_early(start: bytes, repeated: bytes) -> None:
    """Guards against a single answer that keeps the event loop from answering all other requests (review/1)."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=LONG_DEADLINE_MS)
            received = await sidecar.next()
            received.writer.write(CHUNKED_ANSWER + start)
            await write_until_closed(received.writer, repeated, MAX_READ_BYTES // PIECE_BYTES)
            assert (await client.answer()).status == 502
            assert (sidecar.host.upstream.open_connections, sidecar.host.budget.used) == (0, 0)

    run(test())


@pytest.mark.parametrize(("start", "repeated"), ENDLESS.values(), ids=ENDLESS.keys())
@pytest.mark.parametrize("established", [False, True])
def test_a_request_that_never_ends_is_rejected_early(start: bytes, repeated: bytes, established: bool) -> None:
    """Guards against a single caller that keeps the event loop from answering all other requests (review/1)."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            if established:
                client.send()
                (await sidecar.next()).reply()
                await client.answer()
            client.writer.write(CHUNKED_REQUEST + start)
            answer = asyncio.create_task(client.answer())
            while not answer.done():
                client.writer.write(repeated * (PIECE_BYTES // len(repeated) + 1))
                await asyncio.sleep(0)
                await client.writer.drain()
            assert (await answer).status == 431
            assert sidecar.endpoints[0].received.empty()
            assert sidecar.host.budget.used == 0

    run(test())


def test_requests_that_came_whole_do_not_count_for_a_later_one_in_pieces() -> None:
    """Guards against a valid request that is rejected for what came on its connection before."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            for _ in range(3):
                client.send(body=b"x" * (MAX_FRAMING_BYTES // 2))
                (await sidecar.next()).reply()
                assert (await client.answer()).status == 200
            head, end = CHUNKED_REQUEST[:40], CHUNKED_REQUEST[40:] + b"0\r\n\r\n"
            client.writer.write(head)
            (caller,) = sidecar.callers.connections
            while not caller.receiving:
                await asyncio.sleep(0.001)
            client.writer.write(end)
            (await sidecar.next()).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_a_long_request_does_not_count_for_the_next_one_in_pieces() -> None:
    """Guards against a valid request that is rejected for the body of the one before it."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(body=b"x" * MAX_BODY_BYTES)
            (await sidecar.next()).reply()
            assert (await client.answer()).status == 200
            (caller,) = sidecar.callers.connections
            client.writer.write(CHUNKED_REQUEST[:40])
            while not caller.receiving:
                await asyncio.sleep(0.001)
            client.writer.write(CHUNKED_REQUEST[40:] + b"0\r\n\r\n")
            received = await sidecar.next()
            assert received.message.body == b"good"
            received.reply()
            assert (await client.answer()).status == 200

    run(test())


def test_an_answer_in_chunks_of_a_byte_is_forwarded() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            received, client = await one_attempt(sidecar)
            received.writer.write(CHUNKED_ANSWER + b"1\r\nx\r\n" * (MAX_BODY_BYTES - 4) + b"0\r\nA: b\r\n\r\n")
            answer = await client.answer()
            assert (answer.status, len(answer.body)) == (200, MAX_BODY_BYTES)

    run(test())


@given(chunks=st.lists(st.integers(1, 4096), min_size=1, max_size=200), piece=st.integers(1, 300_000))
def test_chunks_of_any_size_are_within_the_limit_however_they_are_read(chunks: list[int], piece: int) -> None:
    """Guards against a limit that depends on how the bytes of a valid message are divided among reads."""
    marks = [b"%x\r\n" % size + b"b" * size + b"\r\n" for size in chunks]
    message, limit = b"".join(marks) + b"0\r\n", FramingLimit()
    is_body = b"".join(
        b"\0" * (len(mark) - size - 2) + b"\1" * size + b"\0\0" for mark, size in zip(marks, chunks, strict=True)
    )
    for start in range(0, len(message), piece):
        assert limit.add_read(len(message[start : start + piece]), is_body[start : start + piece].count(1))
