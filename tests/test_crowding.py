"""The cap on calls in flight does not overload endpoints when some of them fail or slow down."""

from __future__ import annotations

import asyncio

import pytest

from eiderhub.protocols.http1 import client as http1_client
from eiderhub.protocols.http1 import server
from eiderhub.sidecar import callers, host, upstream
from eiderhub.sidecar.clock import now_us
from tests.sidecar_support import Client, ReceivedRequest, Sidecar, run


class Clock:
    """The sidecar's clock, which only the test advances."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.us = now_us()
        for module in (callers, http1_client, host, server, upstream):
            monkeypatch.setattr(module, "now_us", lambda: self.us)


def share_request_queue(sidecar: Sidecar) -> asyncio.Queue[ReceivedRequest]:
    """Return one queue that gets the further requests to all endpoints."""
    queue: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
    for fake in sidecar.endpoints:
        fake.received = queue
    return queue


async def serve(queue: asyncio.Queue[ReceivedRequest], clock: Clock, clients: list[Client], latency_us: int) -> None:
    """Send one request from each of these clients and answer all of them after this latency."""
    for client in clients:
        client.send("look")
    requests = [await queue.get() for _ in clients]
    clock.us += latency_us
    for request in requests:
        request.reply()
    for client in clients:
        assert (await client.answer()).status == 200


async def fail_until_ejected(
    sidecar: Sidecar, queue: asyncio.Queue[ReceivedRequest], count: int, clock: Clock | None = None
) -> None:
    """Let the first `count` endpoints fail all requests and the others serve, until those are ejected."""
    client = await sidecar.client()
    while len(sidecar.host.balancer.ejected) < count:
        client.send("pay")
        request = await queue.get()
        if clock is not None:
            clock.us += 100_000
        fails = any(request.writer in fake.writers for fake in sidecar.endpoints[:count])
        request.reply(500 if fails else 200)
        await client.answer()


async def count_reaching_endpoints(sidecar: Sidecar, queue: asyncio.Queue[ReceivedRequest], count: int) -> int:
    """Send so many calls at once, answer none, and return how many reach endpoints; the others are refused."""
    results: asyncio.Queue[int] = asyncio.Queue()

    async def count_arrivals() -> None:
        while True:
            await queue.get()
            results.put_nowait(1)

    async def count_refusal(client: Client) -> None:
        assert (await client.answer()).status == 503
        results.put_nowait(0)

    clients = [await sidecar.client() for _ in range(count)]
    tasks = [asyncio.create_task(count_arrivals())]
    for client in clients:
        client.send("look")
        tasks.append(asyncio.create_task(count_refusal(client)))
    total = sum([await results.get() for _ in range(count)])
    for task in tasks:
        task.cancel()
    return total


def test_calls_of_ejected_endpoints_are_not_all_sent_to_the_others() -> None:
    """Guards against overload of the other endpoints: with two of four ejected, one got 61 calls at once."""

    async def test() -> None:
        async with Sidecar(endpoints=4) as sidecar:
            queue = share_request_queue(sidecar)
            cap = sidecar.host.balancer.candidate_sets[0].local.limit.cap
            await fail_until_ejected(sidecar, queue, 2)
            assert cap / 3 < await count_reaching_endpoints(sidecar, queue, 40) < 2 * cap / 3

    run(test())


def test_crowding_is_not_learned_as_the_uncrowded_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a cap that climbs, from 12 to 76 in three minutes, until a burst overloads all endpoints."""

    async def test() -> None:
        clock = Clock(monkeypatch)
        async with Sidecar() as sidecar:
            queue = share_request_queue(sidecar)
            limit = sidecar.host.balancer.candidate_sets[0].local.limit
            clients = [await sidecar.client() for _ in range(60)]
            for _ in range(20):
                await serve(queue, clock, clients[:1], 100_000)
            uncrowded = limit.baseline
            for _ in range(150):  # bursts up to the cap; the latency grows with calls beyond ten
                calls = int(limit.cap)
                await serve(queue, clock, clients[:calls], 100_000 * max(calls, 10) // 10)
                assert 0 < limit.baseline < 1.3 * uncrowded
                assert limit.cap < 20

    run(test())


def test_cap_does_not_grow_by_what_a_few_endpoints_bear_for_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a cap that rises, from 31 to 41, with two of four endpoints ejected, and overloads the rest."""

    async def test() -> None:
        clock = Clock(monkeypatch)
        async with Sidecar(endpoints=4) as sidecar:
            queue = share_request_queue(sidecar)
            limit = sidecar.host.balancer.candidate_sets[0].local.limit
            await fail_until_ejected(sidecar, queue, 2, clock)
            clients = [await sidecar.client() for _ in range(40)]
            cap = limit.cap
            for _ in range(8):  # for less time than the ejection lasts
                await serve(queue, clock, clients[: int(cap / 2)], 100_000)
                assert limit.usable_fraction == 0.5
                assert limit.cap <= cap

    run(test())
