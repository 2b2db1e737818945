"""A host for tests: it delivers events to one instance of the decision module and records the actions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from eiderhub.balancer import Balancer
from eiderhub.interface import (
    DedupScope,
    Effect,
    Endpoint,
    Limits,
    ListForm,
    Outcome,
    Readiness,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

# One millisecond and one second, in microseconds.
MS = 1000
S = 1_000_000

IDEMPOTENT = RequestClass("look", 1 * S, 3 * S, Effect.IDEMPOTENT)
DEDUPLICATED = RequestClass("hold", 1 * S, 3 * S, Effect.DEDUPLICATED, DedupScope.CELL, 2 * S)
AT_MOST_ONCE = RequestClass("pay", 2 * S, 5 * S, Effect.AT_MOST_ONCE)


def make_settings(**changes: Any) -> Settings:
    """Settings of one of four instances in zone "east"; `changes` replace fields."""
    base = Settings(
        classes=(IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE),
        balancers=4,
        zone="east",
        tenants=(Tenant("big", 0.6, 60.0), Tenant("small", 0.4, 40.0)),
        over_share_worth=0.1,
        limits=Limits(max_attempts=4, may_send_retry_after=True, hedging=True, may_cancel=True),
        rules=Rules(warm_up_us=10 * S, cold_capacity_share=0.2, overload_factor=2.5),
    )
    return replace(base, **changes)


def make_endpoints(count: int, zone: str = "east", start: int = 0, started_us: int = 0) -> list[Endpoint]:
    """Ready endpoints numbered from `start`, four to a cell."""
    return [
        Endpoint(f"10.0.{i // 250}.{i % 250}:80", zone, "std", i // 4, Readiness.READY, 1.0, started_us)
        for i in range(start, start + count)
    ]


class RecordingHost:
    """Records the instance's actions as tuples of the action's name and its values, in order.

    `sent_to` maps each call to the endpoints of its attempts. Times are in microseconds. `advance` moves the clock and
    delivers the timers that fall due.
    """

    def __init__(
        self,
        settings: Settings | None = None,
        entries: Iterable[Endpoint] = (),
        seed: int = 7,
        now: int = 1_000_000_000,
        has_cached_list: bool = False,
    ) -> None:
        self.now = now
        self.actions: list[tuple[Any, ...]] = []
        self.timers: list[tuple[int, str]] = []
        self.sent_to: dict[str, list[str]] = {}
        self.call_count = 0
        self.balancer = Balancer(settings or make_settings(), seed, self)
        self.balancer.start(now, has_cached_list)
        self.balancer.discovery(now, ListForm.CACHED, list(entries))

    # Actions
    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        self.actions.append(("hand_off", call, endpoint, max_wait_us))
        self.sent_to.setdefault(call, []).append(endpoint)

    def cancel(self, call: str, attempt: int) -> None:
        self.actions.append(("cancel", call, attempt))

    def shed(self, call: str, wait_us: int) -> None:
        self.actions.append(("shed", call, wait_us))

    def surrender(self, call: str) -> None:
        self.actions.append(("surrender", call))

    def timer(self, delay_us: int, mark: str) -> None:
        self.timers.append((self.now + delay_us, mark))

    def tail(self, on: bool) -> None:
        self.actions.append(("tail", on))

    def disconnect(self, endpoint: str) -> None:
        self.actions.append(("disconnect", endpoint))

    def write_log(self, text: str) -> None:
        self.actions.append(("write_log", text))

    # Events
    def order(self, class_name: str = "look", tenant: str | None = "small", expires_in_us: int = 3 * S) -> str:
        """Deliver a request and return its call id."""
        self.call_count += 1
        call = f"{self.call_count:016x}"
        self.balancer.order(self.now, call, class_name, tenant, expires_in_us, None)
        return call

    def reply(
        self,
        call: str,
        outcome: Outcome,
        spent: int = 100 * MS,
        attempt: int = -1,
        closed: bool | None = None,
    ) -> None:
        """End an attempt, by default the last one; `closed` is by default whether the outcome is OK."""
        number = attempt if attempt >= 0 else len(self.sent_to[call]) - 1
        is_closed = outcome is Outcome.OK if closed is None else closed
        self.balancer.reply(self.now, call, number, self.sent_to[call][number], spent, is_closed, outcome)

    def complete_all(self, spent: int = 100 * MS) -> None:
        """Reply successfully to the last attempt of each call that is in flight."""
        for call in [c for c in self.sent_to if c in self.balancer.calls]:
            self.reply(call, Outcome.OK, spent=spent)

    def advance(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.balancer.wake(self.now, timer[1])
        self.now = end

    def final_answers(self, call: str) -> list[str]:
        """The refusals ("shed") and failures ("surrender") of a call."""
        return [a[0] for a in self.actions if a[0] in ("shed", "surrender") and a[1] == call]

    def hand_offs(self, call: str | None = None) -> list[tuple[Any, ...]]:
        """The attempts of one call or of all calls, as ("hand_off", call, endpoint, max_wait_us)."""
        return [a for a in self.actions if a[0] == "hand_off" and (call is None or a[1] == call)]
