"""Endpoints are not pushed into a jam: what the cap on calls in flight does when something goes wrong."""

from __future__ import annotations

import asyncio

import pytest

from eiderhub.protocols.http1 import client as http1_client
from eiderhub.protocols.http1 import server
from eiderhub.sidecar import callers, host, upstream
from eiderhub.sidecar.clock import now_us
from tests.sidecar_support import Client, ReceivedRequest, Sidecar, run


class Clock:
    """The sidecar's time, which only the test moves on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.us = now_us()
        for module in (callers, http1_client, host, server, upstream):
            monkeypatch.setattr(module, "now_us", lambda: self.us)


def arrivals(sidecar: Sidecar) -> asyncio.Queue[ReceivedRequest]:
    """What all endpoints get from here on, in one queue."""
    queue: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
    for fake in sidecar.endpoints:
        fake.received = queue
    return queue


async def serve(queue: asyncio.Queue[ReceivedRequest], clock: Clock, clients: list[Client], latency_us: int) -> None:
    """Each of these clients asks once; all are answered together, so much later."""
    for client in clients:
        client.send("look")
    asked = [await queue.get() for _ in clients]
    clock.us += latency_us
    for one in asked:
        one.reply()
    for client in clients:
        assert (await client.answer()).status == 200


async def fail_until_ejected(
    sidecar: Sidecar, queue: asyncio.Queue[ReceivedRequest], count: int, clock: Clock | None = None
) -> None:
    """The first `count` endpoints fail all that they get, the others serve, until those are left out."""
    client = await sidecar.client()
    while len(sidecar.host.balancer.ejected) < count:
        client.send("pay")
        asked = await queue.get()
        if clock is not None:
            clock.us += 100_000
        failing = any(asked.writer in fake.writers for fake in sidecar.endpoints[:count])
        asked.reply(500 if failing else 200)
        await client.answer()


async def reached(sidecar: Sidecar, queue: asyncio.Queue[ReceivedRequest], count: int) -> int:
    """Offer so many calls at once: how many reach endpoints, where none is answered; others are refused."""
    seen: asyncio.Queue[int] = asyncio.Queue()

    async def arrival() -> None:
        while True:
            await queue.get()
            seen.put_nowait(1)

    async def refusal(client: Client) -> None:
        assert (await client.answer()).status == 503
        seen.put_nowait(0)

    clients = [await sidecar.client() for _ in range(count)]
    tasks = [asyncio.create_task(arrival())]
    for client in clients:
        client.send("look")
        tasks.append(asyncio.create_task(refusal(client)))
    total = sum([await seen.get() for _ in range(count)])
    for task in tasks:
        task.cancel()
    return total


def test_calls_of_ejected_endpoints_do_not_all_fall_on_the_others() -> None:
    """Found on a churn day: two of four endpoints were out, and one of the others got 61 calls at once."""

    async def test() -> None:
        async with Sidecar(endpoints=4) as sidecar:
            queue = arrivals(sidecar)
            cap = sidecar.host.balancer.candidate_sets[0].local.limit.cap
            await fail_until_ejected(sidecar, queue, 2)
            assert cap / 3 < await reached(sidecar, queue, 40) < 2 * cap / 3

    run(test())


def test_crowding_is_not_learned_as_the_uncrowded_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found on a long day: the cap climbed from 12 to 76 in three minutes, and a burst then jammed all."""

    async def test() -> None:
        clock = Clock(monkeypatch)
        async with Sidecar() as sidecar:
            queue = arrivals(sidecar)
            limit = sidecar.host.balancer.candidate_sets[0].local.limit
            clients = [await sidecar.client() for _ in range(60)]
            for _ in range(20):
                await serve(queue, clock, clients[:1], 100_000)
            uncrowded = limit.base
            for _ in range(150):  # bursts up to the cap: ten at once take the least time, more take longer
                calls = int(limit.cap)
                await serve(queue, clock, clients[:calls], 100_000 * max(calls, 10) // 10)
                assert 0 < limit.base < 1.3 * uncrowded
                assert limit.cap < 20

    run(test())


def test_cap_does_not_grow_by_what_a_few_endpoints_bear_for_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found on a churn day: with two of four endpoints out the cap rose from 31 to 41, and the two jammed."""

    async def test() -> None:
        clock = Clock(monkeypatch)
        async with Sidecar(endpoints=4) as sidecar:
            queue = arrivals(sidecar)
            limit = sidecar.host.balancer.candidate_sets[0].local.limit
            await fail_until_ejected(sidecar, queue, 2, clock)
            clients = [await sidecar.client() for _ in range(40)]
            cap = limit.cap
            for _ in range(8):  # for less time than they are out
                await serve(queue, clock, clients[: int(cap / 2)], 100_000)
                assert limit.open == 0.5
                assert limit.cap <= cap

    run(test())
