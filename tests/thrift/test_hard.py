"""What goes wrong with Thrift alone: on callers' connections, on those to servers, and between the two."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from eiderhub.protocols.thrift import messages
from eiderhub.protocols.thrift.admission import ListenerOptions
from eiderhub.protocols.thrift.definitions import MAX_FRAME, Encoding, ExceptionType, TType
from eiderhub.protocols.thrift.framing import framed
from eiderhub.protocols.thrift.replies import LOAD_SHEDDING
from eiderhub.sidecar import callers
from tests.sidecar_support import Sidecar, disconnect, run
from tests.thrift.peers import SHED, AskedThrift, ThriftClient, ThriftFake
from tests.thrift.values import apache

BOTH = pytest.mark.parametrize("encoding", list(Encoding))
FIELDS = {"key": (1,), "deadline_ms": (2,)}


def sidecar(endpoints: int = 1, **changes: Any) -> Sidecar:
    options = {"default_tenant": "acme", "field_paths": FIELDS, "shed_exception_types": frozenset((SHED,)), **changes}
    return Sidecar(endpoints, thrift=ListenerOptions("127.0.0.1", 0, **options), fake=ThriftFake)


async def asked(world: Sidecar, endpoint: int = 0) -> AskedThrift:
    found = await world.endpoints[endpoint].next()
    assert isinstance(found, AskedThrift)
    return found


async def first(world: Sidecar) -> tuple[int, AskedThrift]:
    """The next call that any endpoint gets, and which one."""
    while True:
        for at, fake in enumerate(world.endpoints):
            if not fake.received.empty():
                return at, await asked(world, at)
        await asyncio.sleep(0.002)


# --- callers ---


@pytest.mark.parametrize(
    "sent",
    [
        b"\0\0\0\0",
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        (MAX_FRAME + 1).to_bytes(4, "big"),
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"\x80\x01\0\1\0\0\0\3pay\0\0\0\1\0",
        framed(b"\x83\x21\1\3pay\0"),
        framed(b"\x80\x01\0\1\0\0\0\3pay\0\0\0\1\x0f\0\1\x0c\x7f\xff\xff\xff\0"),
        framed(b"\x80\x01\0\1\0\0\0\3pay\0\0\0\1\x0b\0\1\0\1\0\0abc\0"),
        framed(b"\x82\x21\1\3pay\x15" + b"\xff" * 64 + b"\0"),
        framed(b"\x82\x21\1\3pay" + b"\x5c" * 10_000 + b"\0" * 10_001),
    ],
)
def test_what_is_no_call_ends_its_connection_at_once_and_reaches_nobody(sent: bytes) -> None:
    async def test() -> None:
        async with sidecar() as world:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.thrift_port)
            writer.write(sent)
            async with asyncio.timeout(1):
                rest = await reader.read()
            if rest:  # told as an exception, where the caller speaks Thrift
                message = rest[4:]
                header = messages.read_header(message, messages.detect_encoding(message))
                assert messages.read_exception(message, header)[0] == ExceptionType.PROTOCOL_ERROR
            writer.close()
            client = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            client.send("pay")
            (await asked(world)).reply()
            assert (await client.answer()).kind is None
            assert world.endpoints[0].received.empty()

    run(test())


@BOTH
def test_bad_bytes_behind_calls_answer_each_of_them_once_and_close(encoding: Encoding) -> None:
    """Rule 1: what was taken has its answer, whatever comes behind it."""

    async def test() -> None:
        async with sidecar() as world:
            client = await ThriftClient.connect(world.thrift_port, encoding)
            numbers = [client.send("pay") for _ in range(3)]
            for _ in numbers:
                await asked(world)
            client.writer.write(b"\0\0\0\0")
            answers = [await client.answer() for _ in numbers]
            assert [a.header.seqid for a in answers] == numbers
            assert {a.kind for a in answers} == {ExceptionType.PROTOCOL_ERROR}
            assert await client.reader.read() == b""

    run(test())


def test_a_frame_that_trickles_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(callers, "FIRST_REQUEST_TIMEOUT_S", 0.1)
        monkeypatch.setattr(callers, "CHECK_INTERVAL_S", 0.02)
        async with sidecar() as world:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.thrift_port)
            trickle = asyncio.create_task(drip(writer))
            async with asyncio.timeout(2):
                assert await reader.read() == b""
            trickle.cancel()

    async def drip(writer: asyncio.StreamWriter) -> None:
        for byte in b"\0\0\1\0" + b"\x80" * 200:
            writer.write(bytes((byte,)))
            await asyncio.sleep(0.02)

    run(test())


@pytest.mark.parametrize("in_order", [True, False])
def test_answers_leave_in_the_order_of_the_calls_unless_the_operator_says_otherwise(in_order: bool) -> None:
    async def test() -> None:
        async with sidecar(in_order=in_order) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.COMPACT)
            names = ("pay", "look", "hold")
            numbers = [client.send(name) for name in names]
            calls = {call.header.name: call for call in [await asked(world) for _ in numbers]}
            for name in reversed(names):
                calls[name.encode()].reply()
                while any(not r.answered and r.class_name == name for r in world.host.requests.values()):
                    await asyncio.sleep(0.002)
            found = [(await client.answer()).header.seqid for _ in numbers]
            assert found == (numbers if in_order else numbers[::-1])

    run(test())


@pytest.mark.parametrize("in_order", [True, False])
def test_a_sequence_id_in_use_again(in_order: bool) -> None:
    """In order it does no harm, and some clients never change it. Else two answers could not be told apart."""

    async def test() -> None:
        async with sidecar(in_order=in_order) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            client.send("pay", seqid=5)
            call = await asked(world)
            client.send("pay", seqid=5)
            if in_order:
                (await asked(world)).reply()
                call.reply()
                assert [(await client.answer()).kind for _ in range(2)] == [None, None]
            else:
                assert (await client.answer()).kind == ExceptionType.PROTOCOL_ERROR  # of the one that was taken
                assert await client.reader.read() == b""
                assert world.endpoints[0].received.empty()

    run(test())


def test_a_flood_of_calls_is_read_no_further_than_there_are_places() -> None:
    async def test() -> None:
        async with sidecar(max_pending_calls=4) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            for _ in range(2000):
                client.send("look")
            flood = asyncio.create_task(client.writer.drain())
            calls = [await asked(world) for _ in range(4)]
            await asyncio.sleep(0.05)
            assert world.endpoints[0].received.empty()
            (caller,) = world.callers.connections
            assert len(caller.out) == 4  # type: ignore[attr-defined]
            assert 0 < world.host.budget.used < 1 << 19  # one read of the socket, and no more
            calls[0].reply()
            assert (await client.answer()).header.seqid == 1
            await asked(world)
            client.writer.transport.abort()
            flood.cancel()
            while world.callers or world.host.requests:
                await asyncio.sleep(0.005)
            assert world.host.budget.used == 0

    run(test())


@pytest.mark.parametrize("how", ["close", "half close", "reset"])
def test_calls_that_wait_for_a_place_are_not_sent_on_for_a_caller_that_has_left(how: str) -> None:
    """While they wait the caller is read no further, so its end is not heard by reading."""

    async def test() -> None:
        async with sidecar(max_pending_calls=1) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            for _ in range(3):
                client.send("pay")
            await asked(world)
            disconnect(client.writer, how)
            await world.endpoints[0].ends.get()  # what was out has been called off
            assert not world.host.requests and not world.host.balancer.calls
            assert world.host.budget.used == 0
            assert world.endpoints[0].received.empty()

    run(test())


@pytest.mark.parametrize(
    ("changes", "send", "kind", "text"),
    [
        ({"default_tenant": None}, {}, ExceptionType.PROTOCOL_ERROR, "tenant"),
        ({"field_paths": {"tenant": (1,)}}, {}, ExceptionType.PROTOCOL_ERROR, "tenant"),
        ({}, {"deadline_ms": -5}, ExceptionType.PROTOCOL_ERROR, "deadline_ms"),
        ({}, {"key": b""}, ExceptionType.PROTOCOL_ERROR, "key"),
        ({}, {"key": b"x" * 200}, ExceptionType.PROTOCOL_ERROR, "key"),
        ({}, {"name": "nothing"}, ExceptionType.UNKNOWN_METHOD, "no route"),
        ({}, {"kind": 2}, ExceptionType.INVALID_MESSAGE_TYPE, "no call"),
        ({"field_paths": {"key": (3,)}}, {}, ExceptionType.PROTOCOL_ERROR, "key"),
    ],
)
def test_calls_that_can_not_be_taken_are_told_why_and_the_connection_goes_on(
    changes: dict[str, Any], send: dict[str, Any], kind: int, text: str
) -> None:
    async def test() -> None:
        async with sidecar(**changes) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.COMPACT)
            client.send(**{"name": "hold", **send})
            answer = await client.answer()
            assert (answer.kind, text in (answer.text or "")) == (kind, True)
            assert world.endpoints[0].received.empty()
            assert world.callers
            client.writer.close()

    run(test())


def test_a_request_id_that_is_open_is_turned_away_on_whichever_connection() -> None:
    async def test() -> None:
        async with sidecar(field_paths={"request_id": (1,)}) as world:
            one = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            two = await ThriftClient.connect(world.thrift_port, Encoding.COMPACT)
            one.send("pay", key=b"r1")
            call = await asked(world)
            two.send("pay", key=b"r1")
            assert (await two.answer()).kind == ExceptionType.PROTOCOL_ERROR
            call.reply()
            assert (await one.answer()).kind is None
            two.send("pay", key=b"r1")
            (await asked(world)).reply()
            assert (await two.answer()).kind is None

    run(test())


# --- servers ---


def spoil(call: AskedThrift, how: str) -> None:
    seqid, name = call.header.seqid, call.header.name.decode()
    encoding = call.header.encoding
    result = TType.STRUCT, [(0, (TType.STRING, b"no"))]
    if how == "wrong seqid":
        call.send(apache(encoding, result, name, seqid + 1, kind=2))
    elif how == "wrong name":
        call.send(apache(encoding, result, "other", seqid, kind=2))
    elif how == "a call back":
        call.send(apache(encoding, result, name, seqid, kind=1))
    elif how == "the other encoding":
        call.send(apache(Encoding(1 - encoding), result, name, seqid, kind=2))
    elif how == "noise":
        call.send(b"\1\2\3\4\5\6")
    elif how == "a frame too long":
        call.writer.write((MAX_FRAME + 1).to_bytes(4, "big"))
    elif how == "two replies":
        whole = framed(apache(encoding, result, name, seqid, kind=2))
        call.writer.write(whole + whole)
    elif how == "a reply and a half":
        whole = framed(apache(encoding, result, name, seqid, kind=2))
        call.writer.write(whole + whole[:9])
    elif how == "a cut frame":
        call.writer.write(framed(apache(encoding, result, name, seqid, kind=2))[:-1])
        call.writer.close()


SPOILT = (
    "wrong seqid", "wrong name", "a call back", "the other encoding", "noise", "a frame too long", "two replies",
    "a reply and a half", "a cut frame",
)  # fmt: skip


@BOTH
@pytest.mark.parametrize("how", SPOILT)
def test_a_spoilt_reply_may_have_run_and_its_connection_goes(encoding: Encoding, how: str) -> None:
    async def test() -> None:
        async with sidecar(2) as world:
            client = await ThriftClient.connect(world.thrift_port, encoding)
            client.send("pay")
            at, call = await first(world)
            spoil(call, how)
            assert (await client.answer()).kind == ExceptionType.INTERNAL_ERROR
            await world.endpoints[at].ends.get()  # the sidecar has closed it
            client.send("look")
            _, call = await first(world)
            spoil(call, how)
            _, call = await first(world)
            call.reply()
            assert (await client.answer()).kind is None

    run(test())


def test_a_reply_that_stops_half_way_ends_in_a_second() -> None:
    async def test() -> None:
        async with sidecar() as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            client.send("pay")
            call = await asked(world)
            call.writer.write(b"\0\0\0\x40\x80\x01")
            async with asyncio.timeout(2):
                assert (await client.answer()).kind == ExceptionType.INTERNAL_ERROR
            assert world.host.upstream.open_connections == 0

    run(test())


def test_one_server_that_fails_leaves_the_other_calls_of_a_connection_alone() -> None:
    async def test() -> None:
        async with sidecar(2) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.COMPACT)
            numbers = [client.send("pay") for _ in range(4)]
            calls = [(await first(world))[1] for _ in numbers]
            calls[1].reset()
            for call in calls[:1] + calls[2:]:
                call.reply()
            answers = [await client.answer() for _ in numbers]
            assert [a.header.seqid for a in answers] == numbers
            failed = [a.kind for a in answers]
            assert sorted(failed, key=str) == [ExceptionType.INTERNAL_ERROR, None, None, None]
            assert all(fake.received.empty() for fake in world.endpoints)

    run(test())


@pytest.mark.parametrize("kind", [1, 4])
def test_a_call_whose_last_byte_never_left_is_sent_again(kind: int) -> None:
    """Dropped between two writes of one frame: the server that would read no further has not run it."""

    async def test() -> None:
        size = 6 << 20
        async with sidecar(2, max_frame_bytes=size + 1024, field_paths={}) as world:
            slow = world.endpoints[0]
            slow.server.close()
            with socket.create_server(("127.0.0.1", 0)) as deaf:
                deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                deaf.setblocking(False)
                host, port = deaf.getsockname()
                world.host.upstream.set_endpoint("s-0", host, port, 0)
                caller = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
                served = 0
                while True:  # each draws its endpoint at random
                    served += 1
                    caller.send("pay", key=b"x" * size, kind=kind)
                    accepting = asyncio.create_task(asyncio.get_running_loop().sock_accept(deaf))
                    arriving = asyncio.create_task(asked(world, 1))
                    done, _ = await asyncio.wait((accepting, arriving), return_when=asyncio.FIRST_COMPLETED)
                    if accepting in done:
                        break
                    accepting.cancel()
                    arriving.result().reply()
                    if kind == 1:
                        await caller.answer()
                taken = accepting.result()[0]
                taken.setblocking(False)
                await asyncio.get_running_loop().sock_recv(taken, 1000)
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                taken.close()
                call = await arriving
                assert len(call.frame) > size
                if kind == 1:
                    call.reply()
                    assert (await caller.answer()).kind is None
                assert served < 60

    run(test())


@BOTH
def test_a_oneway_call_has_no_answer_and_is_never_sent_twice(encoding: Encoding) -> None:
    async def test() -> None:
        async with sidecar(2) as world:
            client = await ThriftClient.connect(world.thrift_port, encoding)
            client.send("look", kind=4)
            _, call = await first(world)
            call.reset()  # after its last byte has left: nobody knows whether it ran
            number = client.send("pay")
            _, call = await first(world)
            assert call.header.message_type == 1
            call.reply()
            answer = await client.answer()
            assert (answer.header.seqid, answer.kind) == (number, None)
            assert all(fake.received.empty() for fake in world.endpoints)
            assert not world.host.requests
            client.send("hold", kind=4)  # a keyed one would promise an answer that cannot come
            client.send("pay")
            _, call = await first(world)
            assert call.header.name == b"pay"

    run(test())


def test_a_method_that_one_server_lacks_is_asked_of_another_and_told_when_none_has_it() -> None:
    async def test() -> None:
        async with sidecar(2) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            client.send("pay")
            one, call = await first(world)
            call.raises(ExceptionType.UNKNOWN_METHOD)
            two, call = await first(world)
            assert one != two
            call.reply()
            assert (await client.answer()).kind is None
            client.send("pay")
            for _ in range(2):
                (await first(world))[1].raises(ExceptionType.UNKNOWN_METHOD)
            answer = await client.answer()
            assert answer.kind == ExceptionType.UNKNOWN_METHOD
            assert all(fake.received.empty() for fake in world.endpoints)

    run(test())


@pytest.mark.parametrize("kind", [0, 5, 6, 7, 10, 12, 500])
def test_other_exceptions_may_have_run_and_are_no_refusal(kind: int) -> None:
    async def test() -> None:
        async with sidecar(2) as world:
            client = await ThriftClient.connect(world.thrift_port, Encoding.COMPACT)
            client.send("pay")
            (await first(world))[1].raises(kind)
            answer = await client.answer()
            assert answer.kind == ExceptionType.INTERNAL_ERROR
            assert answer.text is not None and "may have run" in answer.text
            assert all(fake.received.empty() for fake in world.endpoints)

    run(test())


def test_endpoints_are_spoken_to_in_the_encoding_that_they_state() -> None:
    async def test() -> None:
        async with sidecar(encoding_from_labels=True) as world:
            host, _, port = world.endpoints[0].address.rpartition(":")
            client = await ThriftClient.connect(world.thrift_port, Encoding.BINARY)
            for label, encoding in (("thrift=compact", Encoding.COMPACT), ("thrift=binary", Encoding.BINARY)):
                world.host.upstream.set_endpoint("s-0", host, int(port), 0, frozenset((label,)))
                client.send("pay")
                call = await asked(world)
                assert call.header.encoding is encoding
                call.reply()
                answer = await client.answer()
                assert (answer.kind, answer.header.encoding) == (None, Encoding.BINARY)

    run(test())


def test_a_deadline_that_passes_while_a_call_is_held_is_answered_before_it() -> None:
    async def test() -> None:
        async with sidecar() as world:
            clients = [await ThriftClient.connect(world.thrift_port, Encoding.BINARY) for _ in range(40)]
            for client in clients:
                client.send("look", deadline_ms=300)
            async with asyncio.timeout(0.32):
                answers = [await client.answer() for client in clients]
            assert {answer.kind for answer in answers} <= {LOAD_SHEDDING, 12}
            assert any(answer.kind == LOAD_SHEDDING for answer in answers)

    run(test())
