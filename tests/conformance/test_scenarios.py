"""One list of scenarios for all protocols: the same outcome, the same attempts, the same effects at the endpoints."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from eiderhub.sidecar.clock import now_us
from tests.conformance.worlds import FAILED, REFUSED, SERVED, WORLDS, World
from tests.sidecar_support import SETUP, run

pytestmark = pytest.mark.parametrize("protocol", WORLDS)


def play(protocol: str, scenario: Any, endpoints: int = 2, **settings: Any) -> None:
    async def test() -> None:
        async with WORLDS[protocol](endpoints, **settings) as world:
            await scenario(world)

    run(test())


@pytest.mark.parametrize("grade", ["look", "hold", "pay"])
def test_served(protocol: str, grade: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.caller()
        for _ in range(3):
            caller.send(grade)
            (await world.runs_next())[1].reply()
            assert await caller.outcome() == SERVED
        assert len(world.runs) == 3

    play(protocol, scenario)


def test_with_no_endpoint_at_all_it_is_refused_at_once(protocol: str) -> None:
    async def scenario(world: World) -> None:
        await world.list("gone", "gone")
        caller = await world.caller()
        caller.send("pay", deadline_ms=2500)
        assert await caller.outcome() == REFUSED
        assert not world.runs

    play(protocol, scenario)


@pytest.mark.parametrize("grade", ["look", "hold", "pay"])
def test_what_never_connected_goes_to_another(protocol: str, grade: str) -> None:
    async def scenario(world: World) -> None:
        await world.close(0)
        caller = await world.caller()
        for _ in range(4):
            caller.send(grade)
            (await world.runs_next())[1].reply()
            assert await caller.outcome() == SERVED
        assert world.runs == [1] * 4

    play(protocol, scenario)


@pytest.mark.parametrize("grade", ["look", "hold", "pay"])
def test_what_was_turned_away_goes_to_another(protocol: str, grade: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.caller()
        caller.send(grade)
        first, call = await world.asked()
        world.shed(call)
        second, call = await world.runs_next()
        call.reply()
        assert await caller.outcome() == SERVED
        assert first != second

    play(protocol, scenario)


@pytest.mark.parametrize(("grade", "runs"), [("look", 2), ("hold", 2), ("pay", 1)])
def test_reset_after_the_write_is_sent_again_only_where_a_repeat_is_harmless(
    protocol: str, grade: str, runs: int
) -> None:
    """Rule 2; both endpoints are of one cell, and drop a repeated key."""

    async def scenario(world: World) -> None:
        caller = await world.caller()
        caller.send(grade)
        (await world.runs_next())[1].reset()
        if runs == 2:
            (await world.runs_next())[1].reply()
        assert await caller.outcome() == (SERVED if runs == 2 else FAILED)
        assert len(world.runs) == runs
        assert world.nothing_else()

    play(protocol, scenario)


def test_keyed_past_its_window_is_never_sent_again(protocol: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.caller()
        caller.send("hold")
        _, call = await world.runs_next()
        await asyncio.sleep(0.12)
        call.reset()
        assert await caller.outcome() == FAILED
        assert len(world.runs) == 1
        assert world.nothing_else()

    categories = [{**c, "DedupWindowUs": 100_000} if c["Name"] == "hold" else c for c in SETUP["Categories"]]
    play(protocol, scenario, Categories=categories)


def test_out_of_time_it_fails_before_the_client_gives_up(protocol: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.caller()
        begun = time.monotonic()
        caller.send("pay", deadline_ms=200)
        await world.runs_next()
        assert await caller.outcome() == FAILED
        assert time.monotonic() - begun < 0.2
        assert len(world.runs) == 1

    play(protocol, scenario)


def test_late_answer_of_one_call_reaches_no_other(protocol: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.caller()
        caller.send("pay", deadline_ms=120)
        _, late = await world.runs_next()
        assert await caller.outcome() == FAILED
        caller.send("pay")
        late.reply(200, b"late")
        _, call = await world.runs_next()
        assert call.writer is not late.writer
        call.reply()
        assert await caller.outcome() == SERVED

    play(protocol, scenario, endpoints=1)


def test_nothing_new_to_what_drains_and_what_is_out_there_ends_well(protocol: str) -> None:
    """Rule 3."""

    async def scenario(world: World) -> None:
        caller, other = await world.caller(), await world.caller()
        caller.send("pay")
        drained, out = await world.runs_next()
        await world.list(*("draining" if i == drained else "ready" for i in range(2)))
        for _ in range(6):
            other.send("pay")
            number, call = await world.runs_next()
            assert number != drained
            call.reply()
            assert await other.outcome() == SERVED
        out.reply()
        assert await caller.outcome() == SERVED

    play(protocol, scenario)


def test_a_cold_endpoint_gets_its_part_alone(protocol: str) -> None:
    """Rule 4: 2% of its capacity here, so of forty calls one or two."""

    async def scenario(world: World) -> None:
        await world.list("ready", started_ms=int(time.time() * 1000))
        caller = await world.caller()
        for _ in range(40):
            caller.send("pay")
            (await world.runs_next())[1].reply()
            assert await caller.outcome() == SERVED
        assert world.runs.count(0) <= 6

    play(protocol, scenario, Rules={"ColdFrom": 0.02, "ColdUs": 60_000_000, "OverloadFactor": 2.0})


def test_a_client_that_leaves_is_sent_nothing_more_for(protocol: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.caller()
        caller.send("look")
        _, call = await world.runs_next()
        caller.leave()
        while any(not r.answered for r in world.sidecar.host.requests.values()):
            await asyncio.sleep(0.005)
        call.reset()
        while world.sidecar.host.requests:
            await asyncio.sleep(0.005)
        assert world.nothing_else()
        assert len(world.runs) == 1

    play(protocol, scenario)


def test_overload_is_refused_at_once(protocol: str) -> None:
    """What has no room is held for a part of its aim at most, and then refused with nothing run."""

    async def scenario(world: World) -> None:
        callers = [await world.caller() for _ in range(60)]
        for caller in callers:
            caller.send("pay")
        begun = now_us()
        tasks = [asyncio.create_task(caller.outcome()) for caller in callers]
        done, pending = await asyncio.wait(tasks, timeout=1.2)
        assert now_us() - begun < 2_000_000
        assert done and {task.result() for task in done} == {REFUSED}
        taken = sum(fake.received.qsize() for fake in world.sidecar.endpoints)
        assert len(pending) == taken > 0
        for task in pending:
            task.cancel()

    play(protocol, scenario, endpoints=1)


def test_a_sidecar_that_leaves_answers_what_is_out_and_closes(protocol: str) -> None:
    async def scenario(world: World) -> None:
        caller = await world.caller()
        caller.send("pay")
        _, call = await world.runs_next()
        world.sidecar.callers.draining = world.sidecar.callers.closing = True
        world.sidecar.callers.close_idle()
        call.reply()
        assert await caller.outcome() == SERVED
        while world.sidecar.callers:
            await asyncio.sleep(0.005)

    play(protocol, scenario)


def test_a_second_copy_of_a_harmless_call_alone(protocol: str) -> None:
    async def scenario(world: World) -> None:
        caller, module = await world.caller(), world.sidecar.host.balancer
        # The usual latency is told, not learned: tests/test_balancer.py learns it, by a clock that no machine delays.
        for placement in module.candidate_sets:
            for pool in placement.pools:
                pool.limit.median_latency = 0.02
        for grade, copies in (("pay", 1), ("look", 2)):
            world.runs.clear()
            caller.send(grade)
            _, first = await world.runs_next()
            if copies == 2:
                (await world.runs_next())[1].reply()
                assert await caller.outcome() == SERVED
            else:
                await asyncio.sleep(0.3)
                first.reply()
                assert await caller.outcome() == SERVED
            assert len(world.runs) == copies
            assert world.nothing_else()

    # Nor does a connection that is slow to come up make a second attempt, of which there would be no copy.
    play(protocol, scenario, Allowed={**SETUP["Allowed"], "SecondCopies": True, "ConnectTimeoutUs": 2_500_000})
