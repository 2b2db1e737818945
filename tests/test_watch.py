"""The watch on discovery at its narrow moments, on real sockets: what was missed is in force before it must be."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from eiderhub.membership import pace
from tests.sidecar_support import Asked, Fake, Sidecar, all_go_to, listing, row, run

LIST = listing(2, False)


async def go_quiet(asked: Asked, how: str) -> None:
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
    monkeypatch.setattr(pace, "WAIT_MS", (200, 200))

    async def test() -> None:
        async with Sidecar(endpoints=2, Discovery="push" if pushed else "ask") as sidecar:
            stays, goes = sidecar.endpoints
            sidecar.host.balancer.ask_wait = 60_000_000
            await go_quiet(await sidecar.discovery.next(), how)
            again = await sidecar.discovery.next()
            assert again.connection == 1  # nothing that still comes on the old one is taken for an answer
            assert again.message.first.startswith("GET /discovery/hosts?after=1&wait_ms=0 ")
            again.reply(200, listing(2, False, row("s-1", goes.address, "draining")))
            await sidecar.discovery.next()
            client = await sidecar.client()
            await all_go_to(stays, client)
            assert goes.asked.empty()

    run(test())


def test_drips_do_not_keep_a_silent_watch_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pace, "WAIT_MS", (100, 100))

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

            monkeypatch.setattr(sidecar.host.upstream, "retire", fail)
            asked.reply(200, listing(2, True))
            assert "after=1&" in (await sidecar.discovery.next()).message.first

    run(test())


def test_a_new_address_that_is_silent_as_well_is_asked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pace, "WHOLE_S", 0.1)

    async def test() -> None:
        async with Sidecar() as sidecar:
            other = await Fake().start()
            host, _, port = other.address.rpartition(":")
            assert sidecar.host.watcher is not None
            sidecar.host.watcher.move(host, int(port))
            await other.next()
            again = await other.next()
            assert (again.connection, again.message.first) == (1, "GET /discovery/hosts HTTP/1.1")
            again.reply(200, listing(4, True, row("s-0", sidecar.endpoints[0].address)))
            assert "after=4&" in (await other.next()).message.first

    run(test())
