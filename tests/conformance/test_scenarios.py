"""Scenarios for all protocols: the outcome, the attempts and the effects at the endpoints must be the same."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from eiderhub.sidecar.clock import now_us
from tests.conformance.environments import ENVIRONMENTS, FAILED, REFUSED, SERVED, Environment
from tests.sidecar_support import SETUP, run

pytestmark = pytest.mark.parametrize("protocol", ENVIRONMENTS)


def run_scenario(protocol: str, scenario: Any, endpoints: int = 2, **settings: Any) -> None:
    async def test() -> None:
        async with ENVIRONMENTS[protocol](endpoints, **settings) as environment:
            await scenario(environment)

    run(test())


@pytest.mark.parametrize("class_name", ["look", "hold", "pay"])
def test_served(protocol: str, class_name: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        for _ in range(3):
            caller.send(class_name)
            (await environment.next_executed_call())[1].reply()
            assert await caller.outcome() == SERVED
        assert len(environment.executed_by) == 3

    run_scenario(protocol, scenario)


def test_without_endpoints_a_request_is_refused_at_once(protocol: str) -> None:
    async def scenario(environment: Environment) -> None:
        await environment.update_endpoints("gone", "gone")
        caller = await environment.caller()
        caller.send("pay", deadline_ms=2500)
        assert await caller.outcome() == REFUSED
        assert not environment.executed_by

    run_scenario(protocol, scenario)


@pytest.mark.parametrize("class_name", ["look", "hold", "pay"])
def test_after_a_failed_connect_the_request_goes_to_another_endpoint(protocol: str, class_name: str) -> None:
    async def scenario(environment: Environment) -> None:
        await environment.close_endpoint(0)
        caller = await environment.caller()
        for _ in range(4):
            caller.send(class_name)
            (await environment.next_executed_call())[1].reply()
            assert await caller.outcome() == SERVED
        assert environment.executed_by == [1] * 4

    run_scenario(protocol, scenario)


@pytest.mark.parametrize("class_name", ["look", "hold", "pay"])
def test_a_shed_request_goes_to_another_endpoint(protocol: str, class_name: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        caller.send(class_name)
        first, call = await environment.next_call()
        environment.send_shed_reply(call)
        second, call = await environment.next_executed_call()
        call.reply()
        assert await caller.outcome() == SERVED
        assert first != second

    run_scenario(protocol, scenario)


@pytest.mark.parametrize(("class_name", "expected_runs"), [("look", 2), ("hold", 2), ("pay", 1)])
def test_after_a_reset_a_request_is_retried_only_if_a_repeat_is_harmless(
    protocol: str, class_name: str, expected_runs: int
) -> None:
    """No effect runs twice. Both endpoints are in one cell, and drop calls with a repeated idempotency key."""

    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        caller.send(class_name)
        (await environment.next_executed_call())[1].reset()
        if expected_runs == 2:
            (await environment.next_executed_call())[1].reply()
        assert await caller.outcome() == (SERVED if expected_runs == 2 else FAILED)
        assert len(environment.executed_by) == expected_runs
        assert environment.no_other_calls()

    run_scenario(protocol, scenario)


def test_a_deduplicated_request_is_not_retried_after_its_window(protocol: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        caller.send("hold")
        _, call = await environment.next_executed_call()
        await asyncio.sleep(0.12)
        call.reset()
        assert await caller.outcome() == FAILED
        assert len(environment.executed_by) == 1
        assert environment.no_other_calls()

    request_classes = [{**c, "DedupWindowUs": 100_000} if c["Name"] == "hold" else c for c in SETUP["Categories"]]
    run_scenario(protocol, scenario, Categories=request_classes)


def test_a_timed_out_request_fails_before_its_deadline(protocol: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        started_at = time.monotonic()
        caller.send("pay", deadline_ms=200)
        await environment.next_executed_call()
        assert await caller.outcome() == FAILED
        assert time.monotonic() - started_at < 0.2
        assert len(environment.executed_by) == 1

    run_scenario(protocol, scenario)


def test_a_late_reply_reaches_no_other_request(protocol: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        caller.send("pay", deadline_ms=120)
        _, late = await environment.next_executed_call()
        assert await caller.outcome() == FAILED
        caller.send("pay")
        late.reply(200, b"late")
        _, call = await environment.next_executed_call()
        assert call.writer is not late.writer
        call.reply()
        assert await caller.outcome() == SERVED

    run_scenario(protocol, scenario, endpoints=1)


def test_a_draining_endpoint_gets_nothing_new_and_finishes_pending_requests(protocol: str) -> None:
    """Nothing new is sent to a draining endpoint."""

    async def scenario(environment: Environment) -> None:
        caller, other = await environment.caller(), await environment.caller()
        caller.send("pay")
        drained, pending_call = await environment.next_executed_call()
        await environment.update_endpoints(*("draining" if i == drained else "ready" for i in range(2)))
        for _ in range(6):
            other.send("pay")
            index, call = await environment.next_executed_call()
            assert index != drained
            call.reply()
            assert await other.outcome() == SERVED
        pending_call.reply()
        assert await caller.outcome() == SERVED

    run_scenario(protocol, scenario)


def test_a_cold_endpoint_gets_only_its_share(protocol: str) -> None:
    """A cold endpoint is not overloaded: it starts with 2% of its capacity, so gets one or two of forty calls."""

    async def scenario(environment: Environment) -> None:
        await environment.update_endpoints("ready", started_ms=int(time.time() * 1000))
        caller = await environment.caller()
        for _ in range(40):
            caller.send("pay")
            (await environment.next_executed_call())[1].reply()
            assert await caller.outcome() == SERVED
        assert environment.executed_by.count(0) <= 6

    run_scenario(protocol, scenario, Rules={"ColdFrom": 0.02, "ColdUs": 60_000_000, "OverloadFactor": 2.0})


def test_no_attempt_is_sent_for_a_disconnected_caller(protocol: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        caller.send("look")
        _, call = await environment.next_executed_call()
        caller.disconnect()
        while any(not r.answered for r in environment.sidecar.host.requests.values()):
            await asyncio.sleep(0.005)
        call.reset()
        while environment.sidecar.host.requests:
            await asyncio.sleep(0.005)
        assert environment.no_other_calls()
        assert len(environment.executed_by) == 1

    run_scenario(protocol, scenario)


def test_overload_is_refused_early(protocol: str) -> None:
    """A call without capacity is queued for at most a part of its latency objective, and then refused unexecuted."""

    async def scenario(environment: Environment) -> None:
        callers = [await environment.caller() for _ in range(60)]
        for caller in callers:
            caller.send("pay")
        started_at = now_us()
        tasks = [asyncio.create_task(caller.outcome()) for caller in callers]
        done, pending = await asyncio.wait(tasks, timeout=1.2)
        assert now_us() - started_at < 2_000_000
        assert done and {task.result() for task in done} == {REFUSED}
        received_count = sum(fake.received.qsize() for fake in environment.sidecar.endpoints)
        assert len(pending) == received_count > 0
        for task in pending:
            task.cancel()

    run_scenario(protocol, scenario, endpoints=1)


def test_a_sidecar_that_shuts_down_answers_pending_requests_and_closes(protocol: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller = await environment.caller()
        caller.send("pay")
        _, call = await environment.next_executed_call()
        environment.sidecar.callers.draining = environment.sidecar.callers.closing = True
        environment.sidecar.callers.close_idle()
        call.reply()
        assert await caller.outcome() == SERVED
        while environment.sidecar.callers:
            await asyncio.sleep(0.005)

    run_scenario(protocol, scenario)


def test_only_an_idempotent_call_is_hedged(protocol: str) -> None:
    async def scenario(environment: Environment) -> None:
        caller, balancer = await environment.caller(), environment.sidecar.host.balancer
        # The typical latency is set, not learned: tests/test_balancer.py covers learning, with a simulated clock.
        for candidates in balancer.candidate_sets:
            for pool in candidates.pools:
                pool.limit.median_latency = 0.02
        for class_name, attempts in (("pay", 1), ("look", 2)):
            environment.executed_by.clear()
            caller.send(class_name)
            _, first = await environment.next_executed_call()
            if attempts == 2:
                (await environment.next_executed_call())[1].reply()
                assert await caller.outcome() == SERVED
            else:
                await asyncio.sleep(0.3)
                first.reply()
                assert await caller.outcome() == SERVED
            assert len(environment.executed_by) == attempts
            assert environment.no_other_calls()

    # A long connect timeout, so that a slow connect does not cause a retry, which would not be hedged.
    run_scenario(protocol, scenario, Allowed={**SETUP["Allowed"], "SecondCopies": True, "ConnectTimeoutUs": 2_500_000})
