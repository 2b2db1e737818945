"""The watch on discovery at its narrow moments, on real sockets: what was missed is in force before it must be."""

from __future__ import annotations

import asyncio
import contextlib
import gc

import pytest

from eiderhub.membership import poll_schedule
from eiderhub.membership.watch_suspicion import WatchSuspicion
from tests.sidecar_support import FakeServer, ReceivedRequest, Sidecar, assert_all_go_to, listing, row, run

LIST = listing(2, False)


async def go_quiet(asked: ReceivedRequest, how: str) -> None:
    """Fall silent under a question, at one of the places where an answer may stop."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LIST) + LIST
    head = answer.index(b"\r\n\r\n") + 4
    sizes = {"at once": 0, "within the head": head // 2, "after the head": head, "within": len(answer) - 9}
    asked.writer.write(answer[: sizes[how]])


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("how", ["at once", "within the head", "after the head", "within"])
def test_a_silent_watch_is_opened_anew_without_the_back_off(
    how: str, pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen on calm+brink: it was given up with its news already told, and then waited for the module's back-off."""
    monkeypatch.setattr(poll_schedule, "WAIT_MS", (200, 200))

    async def test() -> None:
        async with Sidecar(endpoints=2, Discovery="push" if pushed else "ask") as sidecar:
            stays, goes = sidecar.endpoints
            sidecar.host.balancer.poll_backoff_us = 60_000_000
            await go_quiet(await sidecar.discovery.next(), how)
            again = await sidecar.discovery.next()
            assert again.connection == 1  # nothing that still comes on the old one is taken for an answer
            assert again.message.first.startswith("GET /discovery/hosts?after=1&wait_ms=0 ")
            again.reply(200, listing(2, False, row("s-1", goes.address, "draining")))
            await sidecar.discovery.next()
            client = await sidecar.client()
            await assert_all_go_to(stays, client)
            assert goes.received.empty()

    run(test())


def test_drips_do_not_keep_a_silent_watch_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(poll_schedule, "WAIT_MS", (100, 100))

    async def test() -> None:
        async with Sidecar() as sidecar:
            asked = await sidecar.discovery.next()
            asked.writer.write(b"HTTP/1.1 200 OK\r\n")
            while sidecar.discovery.ends.empty():
                asked.writer.write(b"x: y\r\n")
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(sidecar.discovery.ends.get(), 0.02)
                    break
            assert "wait_ms=0" in (await sidecar.discovery.next()).message.first

    run(test())


def test_changes_since_another_version_are_not_taken_and_the_whole_list_is_asked_for() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            (await sidecar.discovery.next()).reply(200, listing(7, False))
            old = row("s-0", sidecar.endpoints[0].address, "draining")
            (await sidecar.discovery.next()).reply(200, listing(3, False, old))
            asked = await sidecar.discovery.next()
            assert asked.message.first == "GET /discovery/hosts HTTP/1.1"
            assert list(sidecar.host.upstream.pools) == ["s-0"]  # what an older version says has not been taken
            asked.reply(200, listing(4, True, row("s-0", sidecar.endpoints[0].address)))
            assert "after=4&" in (await sidecar.discovery.next()).message.first

    run(test())


def test_a_list_that_cannot_be_taken_in_does_not_end_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            asked = await sidecar.discovery.next()

            def fail(*_: object) -> None:
                monkeypatch.undo()
                raise RuntimeError("broken")

            monkeypatch.setattr(sidecar.host.upstream, "remove_endpoint", fail)
            asked.reply(200, listing(2, True))
            assert "after=1&" in (await sidecar.discovery.next()).message.first

    run(test())


def test_a_new_address_that_is_silent_as_well_is_asked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(poll_schedule, "WHOLE_S", 0.1)

    async def test() -> None:
        async with Sidecar() as sidecar:
            other = await FakeServer().start()
            host, _, port = other.address.rpartition(":")
            sidecar.watcher.change_address(host, int(port))
            await other.next()
            again = await other.next()
            assert (again.connection, again.message.first) == (1, "GET /discovery/hosts HTTP/1.1")
            again.reply(200, listing(4, True, row("s-0", sidecar.endpoints[0].address)))
            assert "after=4&" in (await other.next()).message.first

    run(test())


# --- a watch that is doubted ---


async def both_refuse(sidecar: Sidecar) -> None:
    """Nobody listens at either endpoint any more, and a call has found that."""
    for fake in sidecar.endpoints:
        fake.server.close()
        await fake.server.wait_closed()
    await find_them_refusing(sidecar)


async def find_them_refusing(sidecar: Sidecar) -> None:
    assert (await (await sidecar.client()).request("look")).status == 503


def test_a_watch_whose_endpoints_refuse_is_asked_beside_and_replaced() -> None:
    """Found on join+mass at a site of our own: watches of up to 30 s had fallen silent, and 60% were replaced."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            fresh = await FakeServer().start()
            watch = await sidecar.discovery.next()  # it never says anything again
            await both_refuse(sidecar)
            doubt = await sidecar.discovery.next()
            assert doubt.connection != watch.connection
            assert doubt.message.first.startswith("GET /discovery/hosts?after=1&wait_ms=0 ")
            gone = [row(f"s-{i}", fake.address, "gone") for i, fake in enumerate(sidecar.endpoints)]
            doubt.reply(200, listing(5, False, *gone, row("s-9", fresh.address)))
            again = await sidecar.discovery.next()
            assert "after=5&" in again.message.first
            assert "wait_ms=0 " not in again.message.first
            ended = {await sidecar.discovery.ends.get() for _ in range(2)}
            assert ended == {watch.connection, doubt.connection}  # what still comes on them is nobody's answer
            await assert_all_go_to(fresh, await sidecar.client())

    run(test())


@pytest.mark.parametrize("answer", [(200, listing(1, False)), (503, b"")])
def test_a_watch_that_has_missed_nothing_stays_as_it_is(answer: tuple[int, bytes]) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            fresh = await FakeServer().start()
            watch = await sidecar.discovery.next()
            await both_refuse(sidecar)
            doubt = await sidecar.discovery.next()
            doubt.reply(*answer)
            assert await sidecar.discovery.ends.get() == doubt.connection
            await find_them_refusing(sidecar)
            assert sidecar.watcher._recheck_task is None  # it was asked a moment ago
            watch.reply(200, listing(2, False, row("s-9", fresh.address)))
            assert (await sidecar.discovery.next()).connection == watch.connection
            assert "s-9" in sidecar.host.upstream.pools

    run(test())


def test_a_watch_that_speaks_before_our_turn_is_not_asked() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            watch = await sidecar.discovery.next()
            watcher = sidecar.watcher
            assert watcher.suspicion is not None
            watcher.suspicion.delay_us = 60_000_000
            await both_refuse(sidecar)
            waits = watcher._recheck_task
            assert waits is not None
            watch.reply(200, listing(2, False))
            await sidecar.discovery.next()
            assert waits.cancelled()
            assert watcher._recheck_task is None

    run(test())


def test_changes_told_in_doubt_are_not_the_whole_list_that_is_owed_meanwhile() -> None:
    """What was asked for as changes crosses a version that is older: taken as the list, it would retire the rest."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            fresh = await FakeServer().start()
            (await sidecar.discovery.next()).reply(200, listing(7, False))
            watch = await sidecar.discovery.next()
            await both_refuse(sidecar)
            doubt = await sidecar.discovery.next()
            watch.reply(200, listing(3, False))
            whole = await sidecar.discovery.next()
            assert whole.message.first == "GET /discovery/hosts HTTP/1.1"
            doubt.reply(200, listing(8, False, row("s-9", fresh.address)))
            assert await sidecar.discovery.ends.get() == doubt.connection
            assert sidecar.host.upstream.pools.keys() == {"s-0", "s-1"}
            whole.reply(200, listing(8, True, row("s-9", fresh.address)))
            assert "after=8&" in (await sidecar.discovery.next()).message.first
            assert sidecar.host.upstream.pools.keys() == {"s-9"}

    run(test())


def test_a_list_told_in_doubt_that_cannot_be_taken_in_is_asked_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            await sidecar.discovery.next()
            await both_refuse(sidecar)
            doubt = await sidecar.discovery.next()
            errors: list[object] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))

            def fail(*_: object) -> None:
                monkeypatch.undo()
                raise RuntimeError("broken")

            monkeypatch.setattr(sidecar.host.upstream, "remove_endpoint", fail)
            doubt.reply(200, listing(2, True))
            assert "after=1&" in (await sidecar.discovery.next()).message.first
            gc.collect()
            assert errors == []

    run(test())


def test_an_end_of_the_watch_ends_its_doubt() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            watch = await sidecar.discovery.next()
            await both_refuse(sidecar)
            doubt = await sidecar.discovery.next()
            sidecar.host.tail(False)
            ended = {await sidecar.discovery.ends.get() for _ in range(2)}
            assert ended == {watch.connection, doubt.connection}
            await find_them_refusing(sidecar)
            assert sidecar.watcher._recheck_task is None

    run(test())


def test_an_agent_is_not_doubted() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2, Discovery="push") as sidecar:
            await both_refuse(sidecar)
            assert sidecar.watcher._recheck_task is None

    run(test())


def test_one_endpoint_that_refuses_raises_no_doubt() -> None:
    doubt = WatchSuspicion(0.0, 4, 10_000_000)
    assert [doubt.connection_refused("a", at) for at in range(3)] == [False] * 3
    assert doubt.connection_refused("b", 3)
    doubt.clear()
    assert not doubt.connection_refused("a", 4)


def test_doubts_that_find_nothing_are_ever_rarer_and_copies_take_turns() -> None:
    doubt, now, pauses = WatchSuspicion(0.5, 200, 10_000_000), 0, []
    assert doubt.delay_us == 2_000_000
    for _ in range(4):
        doubt.polled(now, news=False)
        begun = now
        while not (doubt.connection_refused("a", now) | doubt.connection_refused("b", now)):
            now += 100_000
        pauses.append(now - begun)
    assert pauses == [5_000_000, 10_000_000, 10_000_000, 10_000_000]
    doubt.polled(now, news=True)
    assert not doubt.connection_refused("a", now + 2_400_000) | doubt.connection_refused("b", now + 2_400_000)
    assert doubt.connection_refused("a", now + 2_500_000) | doubt.connection_refused("b", now + 2_500_000)
