"""A caller that leaves while its request waits: nothing of it is sent on. Each crossing is forced."""

from __future__ import annotations

import asyncio
import socket

import pytest

from eiderhub.interface import Outcome
from eiderhub.protocols.http1.server import MAX_UNPARSED_BYTES
from eiderhub.sidecar.callers import CHECK_INTERVAL_S
from tests.sidecar_support import SETUP, Client, FakeServer, Sidecar, leave, next_request, run
from tests.test_sidecar import RecordingCaller, direct_request

LIMIT_S = 0.3  # the users' term, from the end that the caller made to the last byte sent on for it


async def called_off(fake: FakeServer) -> None:
    """Until the attempt that is out has been given up, which is how an endpoint hears of it."""
    await fake.ends.get()


def test_callers_that_are_not_read_are_looked_at_well_within_the_term() -> None:
    assert 2 * CHECK_INTERVAL_S < LIMIT_S


@pytest.mark.parametrize("behind", [1, MAX_UNPARSED_BYTES], ids=["one behind it", "more behind it than is read"])
@pytest.mark.parametrize("how", ["close", "half close", "reset"])
def test_requests_behind_another_are_not_sent_on_for_a_caller_that_has_left(how: str, behind: int) -> None:
    """Seen: with requests in waiting nothing was read, so the end was not heard before all of them had been served."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(body=b"0")
            await sidecar.endpoints[0].next()
            client.send(body=b"1")
            client.send(body=b"2")
            await client.writer.drain()
            for _ in range(3 if behind > 1 else 0):  # the last of them fill what is read ahead
                await asyncio.sleep(0)
                client.send(body=b"x" * (MAX_UNPARSED_BYTES // 2))
                await client.writer.drain()
            leave(client.writer, how)
            await called_off(sidecar.endpoints[0])
            assert not sidecar.host.requests and not sidecar.host.balancer.calls
            assert not sidecar.callers.open_request_ids
            assert sidecar.host.budget.used == 0
            assert sidecar.endpoints[0].received.empty()

    run(test())


def test_a_burst_that_is_sent_at_once_and_gone_leaves_nothing_behind() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            clients = [await sidecar.client() for _ in range(12)]
            for client in clients:  # all that these do is in the kernel before the sidecar's next turn
                for _ in range(3):
                    client.send()
                client.writer.close()
            other = await sidecar.client()
            other.send(body=b"other")
            while (asked := await sidecar.endpoints[0].next()).message.body != b"other":
                pass
            asked.reply()
            assert (await other.answer()).status == 200
            while sidecar.host.requests:
                await asyncio.sleep(0)
            sent = sidecar.endpoints[0].received.qsize()
            assert not sidecar.host.balancer.calls and not sidecar.host.balancer.queue.count
            client = await sidecar.client()  # the room that those took is there again
            client.send()
            for _ in range(sent):
                await sidecar.endpoints[0].next()
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_a_caller_that_leaves_the_modules_queue_is_not_sent_on_when_there_is_room() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            fake = sidecar.endpoints[0]
            clients = [await sidecar.client() for _ in range(30)]
            for client in clients:
                client.send("pay", deadline_ms=30_000)
            out = [await fake.next()]
            while sidecar.host.balancer.queue.count == 0 or fake.received.qsize() + len(out) < sum(
                request.out for request in sidecar.host.requests.values()
            ):
                await asyncio.sleep(0)
            while not fake.received.empty():
                out.append(await fake.next())
            held = [r for r in sidecar.host.requests.values() if not r.out]
            assert held
            waiting = {r.caller.transport.get_extra_info("peername") for r in held}  # type: ignore[attr-defined]
            for client in clients:
                if client.writer.get_extra_info("sockname") in waiting:
                    client.writer.close()
            while any(r in sidecar.host.requests.values() for r in held):
                await asyncio.sleep(0)
            assert sidecar.host.balancer.queue.count == 0
            for asked in out:
                asked.reply()
            other = await sidecar.client()
            other.send(body=b"other")
            asked = await fake.next()
            assert asked.message.body == b"other"  # and none of those that have left before it
            asked.reply()
            assert (await other.answer()).status == 200

    run(test())


def test_a_caller_that_leaves_while_a_connection_comes_up_is_not_sent_on() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            request = direct_request(RecordingCaller())
            sidecar.host.accept(request)
            assert sidecar.host.upstream.open_connections == 1 and not sidecar.endpoints[0].connections
            sidecar.host.cancel_request(request)
            client = await sidecar.client()
            client.send(body=b"next")
            asked = await sidecar.endpoints[0].next()
            assert asked.message.body == b"next"
            asked.reply()
            assert (await client.answer()).status == 200
            assert not sidecar.host.requests and not sidecar.host.balancer.calls

    run(test())


@pytest.mark.parametrize("first", ["answer", "end"])
def test_a_caller_that_leaves_in_the_turn_of_a_retry_is_sent_on_no_more(first: str) -> None:
    """An endpoint's failure, which is tried again, and the caller's end stand ready in one turn, in both orders."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            request = direct_request(RecordingCaller(), "look")
            sidecar.host.accept(request)
            asked = await next_request(sidecar)
            (attempt,) = request.attempts
            if first == "end":
                sidecar.host.cancel_request(request)
                attempt.drop(Outcome.RESET)
            else:
                attempt.drop(Outcome.RESET)  # the module sends another at once; its connection is still to come up
                assert len(request.attempts) == 2
                sidecar.host.cancel_request(request)
            client = await sidecar.client()
            client.send("pay", body=b"next")
            asked = await next_request(sidecar)
            assert asked.message.body == b"next"  # nothing of the other went out meanwhile
            asked.reply()
            assert (await client.answer()).status == 200
            assert not sidecar.host.requests and not sidecar.host.balancer.calls

    run(test())


def test_the_end_is_heard_while_an_earlier_answer_has_not_left() -> None:
    """Seen: a transport tells of the end when it has written all, which a caller that reads nothing puts off."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", sidecar.port))
            reader = asyncio.StreamReader()
            transport, _ = await asyncio.get_running_loop().create_connection(
                lambda: asyncio.StreamReaderProtocol(reader), sock=sock
            )
            transport.pause_reading()
            loop = asyncio.get_running_loop()
            client = Client(reader, asyncio.StreamWriter(transport, asyncio.Protocol(), reader, loop))
            held = 0
            while not held:  # answers until one stays in the sidecar
                client.send()
                (await sidecar.endpoints[0].next()).reply(200, b"x" * 60_000)
                while sidecar.host.requests:
                    await asyncio.sleep(0)
                (caller,) = sidecar.callers.connections
                for _ in range(3):  # what the loop has yet to hand to the kernel does not count
                    await asyncio.sleep(0)
                held = caller.transport.get_write_buffer_size()
                assert not caller.write_blocked  # an answer is smaller than what may be written ahead
            client.send()
            await sidecar.endpoints[0].next()
            transport.write_eof()
            await called_off(sidecar.endpoints[0])
            assert not sidecar.host.requests
            transport.abort()

    run(test())


def test_what_is_left_after_a_caller_has_gone_is_told_to_the_module_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Sidecar(Allowed={**SETUP["Allowed"], "MayCancel": False}) as sidecar:
            told: list[str] = []
            expired = sidecar.host.balancer.expired

            def tell(now: int, call: str) -> None:
                told.append(call)
                expired(now, call)

            monkeypatch.setattr(sidecar.host.balancer, "expired", tell)
            client = await sidecar.client()
            client.send(deadline_ms=3000)
            asked = await sidecar.endpoints[0].next()
            asked.reply()  # and the end, before the sidecar has read either
            client.writer.close()
            while sidecar.host.requests:
                await asyncio.sleep(0)
            assert len(told) <= 1
            assert not sidecar.host.balancer.calls and sidecar.host.upstream.open_connections <= 1

    run(test())
