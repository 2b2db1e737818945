"""New configurations under load: the watch moves, the list stays in use, and nothing ends the process."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from tests.sidecar_support import FakeServer, Sidecar, assert_all_go_to, listing, program, row, run


def test_watch_moves_and_takes_the_whole_list_of_the_new_address() -> None:
    """The versions of the new address are its own: a change after ours would never come."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            stays, goes = sidecar.endpoints
            (await sidecar.discovery.next()).reply(200, listing(90, False))
            await sidecar.discovery.next()
            other = await FakeServer().start()
            host, _, port = other.address.rpartition(":")
            sidecar.watcher.change_address(host, int(port))
            await sidecar.discovery.ends.get()  # the old watch is closed
            asked = await other.next()
            assert asked.message.first == "GET /discovery/hosts HTTP/1.1"
            assert all(pool.ready for pool in sidecar.host.upstream.pools.values())
            asked.reply(200, listing(4, True, row("s-0", stays.address)))
            assert (await other.next()).message.first.startswith("GET /discovery/hosts?after=4&")
            client = await sidecar.client()
            await assert_all_go_to(stays, client)
            assert goes.received.empty()

    run(test())


def test_new_address_that_fails_at_first_is_asked_again_at_once() -> None:
    """After a reload no longer back-off may stand in the way: what is told there counts 4 s later."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            other = await FakeServer().start()
            host, _, port = other.address.rpartition(":")
            sidecar.host.balancer.poll_backoff_us = 60_000_000  # as after a long outage of the old address
            sidecar.watcher.change_address(host, int(port))
            (await other.next()).reply(503, b"")
            (await other.next()).reply(200, listing(4, True))
            await other.next()

    run(test())


def test_move_to_the_same_address_takes_the_whole_list_again() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            await sidecar.discovery.next()
            watcher = sidecar.watcher
            for _ in range(3):  # in a row, before any has been answered
                watcher.change_address(watcher.host, watcher.port)
            asked = await sidecar.discovery.next()
            assert asked.message.first == "GET /discovery/hosts HTTP/1.1"
            asked.reply(200, listing(2, True, row("s-0", sidecar.endpoints[0].address)))
            assert (await sidecar.discovery.next()).message.first.startswith("GET /discovery/hosts?after=2&")
            assert sidecar.discovery.received.empty()

    run(test())


@pytest.mark.parametrize("bad", ["", "[]", '{"discovery": 7}'])
def test_sighup_reads_the_file_again_and_a_bad_one_changes_nothing(tmp_path: Path, bad: str) -> None:
    """Seen: SIGHUP had no handler and ended the process. The file's address wins over the variable's."""

    async def test() -> None:
        first, second = [await FakeServer().start() for _ in range(2)]
        told = {"discovery": first.address}
        async with program(tmp_path, told, GW_DISCOVERY=first.address) as running:
            file = tmp_path / "config.json"
            await first.next()
            client = await running.client()
            client.send()
            asked = await running.endpoint.next()
            good = file.read_text(encoding="utf-8")
            file.write_text(bad, encoding="utf-8")
            running.process.send_signal(signal.SIGHUP)
            await running.line_with("the configuration is not taken")
            assert first.ends.empty()
            file.write_text(good.replace(first.address, second.address), encoding="utf-8")
            running.process.send_signal(signal.SIGHUP)
            await second.next()
            asked.reply()
            assert (await client.answer()).status == 200

    run(test())


def test_a_fixed_list_serves_without_discovery_and_a_reload_may_bring_one(tmp_path: Path) -> None:
    """No discovery is asked for; the first list of one that is named later counts as whole."""

    async def test() -> None:
        discovery, other = [await FakeServer().start() for _ in range(2)]
        async with program(tmp_path, {"discovery": None}) as running:
            client = await running.client()
            client.send()
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200
            file = tmp_path / "config.json"
            file.write_text(json.dumps({**json.loads(file.read_text()), "discovery": discovery.address}))
            running.process.send_signal(signal.SIGHUP)
            asked = await discovery.next()
            assert asked.message.first == "GET /discovery/hosts HTTP/1.1"
            asked.reply(200, listing(1, False, row("s-9", other.address)))
            await discovery.next()
            client.send()
            (await other.next()).reply()
            assert (await client.answer()).status == 200
            file.write_text(json.dumps({**json.loads(file.read_text()), "discovery": None}))
            running.process.send_signal(signal.SIGHUP)
            await running.line_with("the configuration is taken")
            await discovery.ends.get()
            client.send()
            (await other.next()).reply()
            assert (await client.answer()).status == 200

    run(test())
