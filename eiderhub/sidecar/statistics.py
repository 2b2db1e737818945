"""Counts what became of requests, attempts and connections, by cause, and logs the counts at intervals."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum

from eiderhub.interface import Outcome, RefusalReason
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.protocol_interface import FailureReason

LOG_INTERVAL_S = 10.0
log = logging.getLogger(__name__)


class CloseReason(Enum):
    """Why a caller's connection ended. The values appear in the log."""

    CALLER_LEFT = "closed by the caller"
    FINISHED = "after the last answer"  # as the caller or the protocol asks, or after invalid input
    IDLE = "idle"
    NO_FIRST_REQUEST = "no first request in time"
    INCOMPLETE_REQUEST = "incomplete request"
    UNREAD_ANSWER = "answer not read"
    EVICTED = "evicted at the limit"
    OVER_LIMIT = "over the limit"
    DRAINED = "sidecar ending"


class RequestStatistics:
    """Counters of one sidecar since its start."""

    def __init__(self) -> None:
        self.accepted = 0
        self.served = 0
        self.refused = 0  # with the promise that a retry is harmless
        self.failed: Counter[FailureReason] = Counter()
        self.cancelled = 0  # dropped because the caller disconnected
        self.attempts: Counter[Outcome] = Counter()
        self.retries = 0  # attempts after the first one, including hedges
        self.decisions: Counter[RefusalReason] = Counter()  # of the decision module; counted by the module itself
        self.closed_connections: Counter[CloseReason] = Counter()

    def snapshot(self) -> dict[str, Counter[str]]:
        """Return all counters as plain names, grouped as in the log line."""
        requests = {
            "accepted": self.accepted,
            "served": self.served,
            "refused": self.refused,
            **{f"failed: {reason.value}": count for reason, count in self.failed.items()},
            "cancelled": self.cancelled,
        }
        attempts = {outcome.name.lower(): count for outcome, count in self.attempts.items()}
        return {
            "requests": Counter(requests),
            "refusals": Counter({reason.value: count for reason, count in self.decisions.items()}),
            "attempts": Counter({**attempts, "retries": self.retries}),
            "connections closed": Counter({reason.value: count for reason, count in self.closed_connections.items()}),
        }


def format_changes(before: Mapping[str, Counter[str]], after: Mapping[str, Counter[str]]) -> str:
    """Return one line with the counters that have grown between two snapshots; empty if none has."""
    groups = []
    for name, counts in after.items():
        grown = counts - before.get(name, Counter())
        if grown:
            groups.append(f"{name}: " + ", ".join(f"{count} {cause}" for cause, count in grown.items()))
    return "; ".join(groups)


class StatisticsLogger:
    """Logs the counters that have grown since its last line."""

    def __init__(self, statistics: RequestStatistics, describe_list: Callable[[], str]) -> None:
        self.statistics = statistics
        self.describe_list = describe_list  # returns the version and the age of the endpoint list
        self._logged = statistics.snapshot()
        self._logged_us = now_us()

    def log_now(self) -> None:
        """Log what has happened since the last call; nothing if no counter has grown."""
        current, now = self.statistics.snapshot(), now_us()
        changes = format_changes(self._logged, current)
        if changes:
            log.info("in %.1f s: %s; %s", (now - self._logged_us) / 1e6, changes, self.describe_list())
        self._logged, self._logged_us = current, now

    async def run(self) -> None:
        """Log at intervals, until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            self.log_now()
