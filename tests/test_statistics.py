"""The log names what became of requests, connections and lists, so that an incident can be traced from it."""

from __future__ import annotations

import asyncio
import logging

import pytest

from eiderhub.sidecar.__main__ import MAX_LINES_PER_S, RateLimitFilter
from eiderhub.sidecar.statistics import CloseReason, StatisticsLogger
from tests.sidecar_support import Sidecar, listing, row, run


def test_requests_attempts_and_closed_connections_are_counted_by_cause(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        async with Sidecar() as sidecar:
            statistics = sidecar.host.statistics
            statistics.closed_connections = sidecar.callers.closed_connections
            logger = StatisticsLogger(statistics, sidecar.host.describe_list)
            client = await sidecar.client()
            for status in (200, 500):
                client.send()
                (await sidecar.next()).reply(status)
                await client.answer()
            client.writer.close()
            while not statistics.closed_connections[CloseReason.CALLER_LEFT]:
                await asyncio.sleep(0.005)
            logger.log_now()
            logger.log_now()

    run(test())
    lines = [record.getMessage() for record in caplog.records if "requests:" in record.getMessage()]
    assert len(lines) == 1  # nothing has changed before the second one
    for part in ("2 accepted, 1 served, 1 failed: endpoint_error", "1 attempt failed", "1 ok, 1 error", "1 closed by"):
        assert part in lines[0]
    assert "1 endpoints ready, list of version 1, last answer of discovery" in lines[0]


def test_lists_and_failed_requests_to_discovery_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            (await sidecar.discovery.next()).reply(503)
            draining = row("s-1", sidecar.endpoints[1].address, "draining")
            (await sidecar.discovery.next()).reply(200, listing(2, False, draining))
            await sidecar.discovery.next()

    run(test())
    logged = "\n".join(record.getMessage() for record in caplog.records)
    assert "discovery: ValueError: answered 503; failure 1 in a row, after 0." in logged
    assert "discovery: answers again; list of version 1, last answer" in logged
    assert "discovery: version 2 after 1, changes: 0 ready, 1 draining (s-1), 0 gone" in logged


def test_the_log_says_how_many_lines_were_left_out() -> None:
    lines = RateLimitFilter()
    records = [logging.LogRecord("a", logging.INFO, "", 0, "line %d", (i,), None) for i in range(MAX_LINES_PER_S + 3)]
    for record in records:
        record.created = 5.0
    assert sum(lines.filter(record) for record in records) == MAX_LINES_PER_S
    later = logging.LogRecord("a", logging.INFO, "", 0, "line %d", (99,), None)
    assert lines.filter(later)
    assert later.getMessage() == "line 99 (3 lines before it left out)"
