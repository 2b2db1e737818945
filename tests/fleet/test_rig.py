"""Fleets of sidecar processes with faults between them. Longer scripts run in benchmarks/fleet."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from benchmarks.fleet.__main__ import false_failures
from eiderhub.fleet.messages import Codec, MemberUpdate, State, ViewPart, pack_address
from standins.callers import Callers, RequestKind
from standins.discovery import row
from standins.endpoint import Behaviour, Endpoint, ExecutionLog
from standins.fleet.rig import Rig
from standins.fleet.script import draw, parse

PERIOD_S = 0.05
KIND = RequestKind("GET", "/look/part", 2_000)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(bounded())


@pytest.mark.parametrize("kind", ["third", "one way", "ring", "half", "rolling", "flap"])
def test_processes_settle_after_faults(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(6, 3, PERIOD_S) as rig:
            await rig.settle()
            await rig.play(draw(kind, 3, 6))
            await rig.settle()
            rig.write_timeline(tmp_path / "timeline.jsonl")

    run(test)
    assert '"event": "step"' in (tmp_path / "timeline.jsonl").read_text()


def test_false_failures_under_heavy_loss_between_processes_are_refuted_soon() -> None:
    """30% of all datagrams are lost for 120 periods; false failures are refuted within 40 periods."""

    async def test() -> None:
        async with Rig(8, 5, 2 * PERIOD_S) as rig:
            await rig.settle()
            since, steps = time.time(), draw("loss", 5, 8)
            await rig.play(steps)
            await rig.settle()
            assert rig.events("suspect", since)  # the loss had an effect
            assert false_failures(rig, steps, since)[1] == 0

    run(test)


def test_a_process_that_was_stopped_records_a_stall_and_declares_nobody_failed() -> None:
    async def test() -> None:
        async with Rig(5, 1, PERIOD_S) as rig:
            await rig.settle()
            await rig.play(parse("0 stop 2\n60 go 2"))
            since = rig.last_fault
            await rig.until(lambda: bool(rig.events("stalled", since)), "stalled")
            await rig.settle()
            assert not [row for _, source, row in rig.events("gone", since) if source == "n2"]

    run(test)


def test_a_clock_an_hour_ahead_and_a_lossy_link_do_no_harm() -> None:
    async def test() -> None:
        async with Rig(5, 1, PERIOD_S) as rig:
            await rig.settle()
            rig.members[3].options["clock-offset"] = "3600.0"
            await rig.play(parse("0 kill 3\n1 link 0-4 loss=0.2 jitter=20 twice=0.1 spoilt=0.1\n4 start 3\n40 heal"))
            await rig.settle()
            rig.members[3].options.clear()
            await rig.play(parse("0 kill 3\n1 start 3"))
            await rig.settle()

    run(test)


def test_two_groups_with_a_key_merge_through_one_contact(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text("0123456789abcdef" * 2)
    contacts = {0: [1, 2], 1: [0, 2], 2: [0, 1], 3: [4, 5], 4: [3, 5], 5: [3, 4]}

    async def test() -> None:
        options = {"introduced": "true", "key-file": f'"{key}"'}
        async with Rig(6, 1, PERIOD_S, options=options, contacts=contacts) as rig:
            await rig.until(lambda: all(m.present_count == 3 for m in rig.members), "two groups of three")
            rig.contacts = {**contacts, 2: [0, 1, 4]}
            await rig.play(parse("0 kill 2\n1 start 2"))
            await rig.settle()

    run(test)


def test_a_joiner_whose_only_contact_dies_after_the_first_exchange_joins(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text("0123456789abcdef" * 2)

    async def test() -> None:
        options = {"introduced": "true", "key-file": f'"{key}"'}
        async with Rig(5, 1, PERIOD_S, options=options, contacts={4: [0]}) as rig:
            await rig.settle()
            await rig.play(parse("0 kill 4\n30 start 4"))
            since = rig.last_fault
            await rig.until(lambda: any(s == "n4" and r["here"] > 1 for _, s, r in rig.events("view", since)), "joined")
            await rig.play(parse("0 kill 0"))
            await rig.settle()

    run(test)


def test_a_single_process_settles() -> None:
    async def test() -> None:
        async with Rig(1, 1, PERIOD_S) as rig:
            await rig.settle()
            assert rig.members[0].present_count == 1

    run(test)


def test_forged_failures_of_all_members_are_refuted() -> None:
    """Forged datagrams declare all members failed, twenty times a second; each member refutes them."""

    async def test() -> None:
        async with Rig(5, 1, PERIOD_S) as rig:
            await rig.settle()
            codec = Codec(None)
            incarnations = {source: row["incarnation"] for _, source, row in rig.events("start")}
            addresses = [pack_address(*address) for address in rig.relay.addresses]
            sender = MemberUpdate("n1", addresses[1], incarnations["n1"], State.ALIVE, 0, b"")
            for round_number in range(20):
                for target in (0, 2, 3, 4):
                    failures = [
                        MemberUpdate(f"n{i}", addresses[i], incarnations[f"n{i}"] + round_number, State.GONE, 0, b"")
                        for i in (0, 2, 3, 4)
                    ]
                    for failure in failures:
                        forged = codec.encode(ViewPart(sender, 0, False, [failure]))
                        rig.relay.sockets[1].sendto(forged, rig.relay.member_addresses[target])
                await asyncio.sleep(PERIOD_S)
            rig.last_fault = time.time()
            await rig.settle()

    run(test)


def test_a_new_configuration_changes_the_view() -> None:
    async def test() -> None:
        async with Rig(3, 1, PERIOD_S) as rig:
            await rig.settle()
            before = rig.members[0].view
            operator = rig.members[1].folder / "operator.toml"
            routes = '[[routes]]\nname = "a"\nclass = "look"\npath = "/look/x"\n'
            operator.write_text(routes + operator.read_text())
            process = rig.members[1].process
            assert process is not None
            process.send_signal(signal.SIGHUP)
            await rig.until(lambda: rig.settled() and rig.members[0].view != before, "another view")

    run(test)


def test_evidence_reaches_a_process_without_calls() -> None:
    """Two processes call an endpoint that fails fast; the third lowers its share without a call of its own."""

    async def test() -> None:
        execution_log = ExecutionLog()
        behaviours = [Behaviour() for _ in range(8)]
        behaviours[0].error_rate = 1.0

        endpoints = [await Endpoint(execution_log, behaviour, random.Random(1)).start() for behaviour in behaviours]
        rows = [row(f"s-{i}", endpoint.address) for i, endpoint in enumerate(endpoints)]
        async with Rig(3, 1, PERIOD_S, rows) as rig:
            await rig.settle()
            callers = [Callers("127.0.0.1", rig.members[i].port, "acme") for i in (0, 1)]
            await asyncio.gather(*(caller.run([KIND], 100, 1.0) for caller in callers))
            await rig.until(lambda: any(source == "n2" for _, source, _ in rig.events("hearsay")), "evidence received")
            assert {row["endpoint"] for _, _, row in rig.events("hearsay")} == {"s-0"}
            for caller in callers:
                caller.close()
        for endpoint in endpoints:
            endpoint.stop()

    run(test)


def test_a_flood_of_junk_delays_no_request_and_leaves_no_false_failure() -> None:
    """Junk arrives for a second as fast as one sender can send it, from an unknown and from a known address.

    Valid datagrams are lost meanwhile, so that the others may declare the flooded member failed; it must not declare
    the others failed.
    """

    async def test() -> None:
        endpoint = await Endpoint(ExecutionLog(), Behaviour(), random.Random(1)).start()
        async with Rig(3, 1, PERIOD_S, [row("s-0", endpoint.address)]) as rig:
            await rig.settle()
            target = rig.relay.member_addresses[0]
            flood = asyncio.create_task(asyncio.to_thread(_flood, target, rig.relay.sockets[1]))
            caller = Callers("127.0.0.1", rig.members[0].port, "acme")
            await caller.run([KIND], 100, 1.0)
            assert await flood > 1000
            assert caller.stats[KIND.target].served == 100
            caller.close()
            await rig.settle()
            assert not [row for _, source, row in rig.events("gone") if source == "n0"]
        endpoint.stop()

    run(test)


def _flood(target: tuple[str, int], known: socket.socket) -> int:
    end, sent = time.monotonic() + 1.0, 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown:
        while time.monotonic() < end and sent < 100_000:
            for sock in (unknown, known):
                try:
                    sock.sendto(b"\x71junk" * 20, target)
                    sent += 1
                except OSError:  # the buffer is full
                    continue
    return sent
