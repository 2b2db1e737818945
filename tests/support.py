"""A host that plays events into one instance, carries out its timers and records its actions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from eiderhub.balancer import Balancer
from eiderhub.interface import (
    Effect,
    Endpoint,
    Group,
    Limits,
    ListForm,
    Outcome,
    Readiness,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

MS = 1000
S = 1_000_000

SAFE = RequestClass("look", 1 * S, 3 * S, Effect.IDEMPOTENT)
KEYED = RequestClass("hold", 1 * S, 3 * S, Effect.DEDUPLICATED, Group.CELL, 2 * S)
UNSAFE = RequestClass("pay", 2 * S, 5 * S, Effect.AT_MOST_ONCE)


def settings(**changes: Any) -> Settings:
    base = Settings(
        classes=(SAFE, KEYED, UNSAFE),
        balancers=4,
        zone="east",
        tenants=(Tenant("big", 0.6, 60.0), Tenant("small", 0.4, 40.0)),
        over_share_worth=0.1,
        limits=Limits(max_attempts=4, retry_after=True, second_copies=True, may_cancel=True),
        rules=Rules(cold_us=10 * S, cold_from=0.2, overload_factor=2.5),
    )
    return replace(base, **changes)


def endpoints(count: int, zone: str = "east", start: int = 0, launched: int = 0) -> list[Endpoint]:
    return [
        Endpoint(f"10.0.{i // 250}.{i % 250}:80", zone, "std", i // 4, Readiness.READY, 1.0, launched)
        for i in range(start, start + count)
    ]


class Host:
    """Records actions as tuples; `advance` delivers due timers."""

    def __init__(
        self,
        chosen: Settings | None = None,
        entries: Iterable[Endpoint] = (),
        seed: int = 7,
        now: int = 1_000_000_000,
        known: bool = False,
    ) -> None:
        self.now = now
        self.did: list[tuple[Any, ...]] = []
        self.timers: list[tuple[int, str]] = []
        self.sent: dict[str, list[str]] = {}
        self.serial = 0
        self.balancer = Balancer(chosen or settings(), seed, self)
        self.balancer.start(now, known)
        self.balancer.discovery(now, ListForm.CACHED, list(entries))

    # actions
    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        self.did.append(("hand_off", call, endpoint, max_wait_us))
        self.sent.setdefault(call, []).append(endpoint)

    def cancel(self, call: str, attempt: int) -> None:
        self.did.append(("cancel", call, attempt))

    def shed(self, call: str, wait_us: int) -> None:
        self.did.append(("shed", call, wait_us))

    def surrender(self, call: str) -> None:
        self.did.append(("surrender", call))

    def timer(self, delay_us: int, mark: str) -> None:
        self.timers.append((self.now + delay_us, mark))

    def tail(self, on: bool) -> None:
        self.did.append(("tail", on))

    def disconnect(self, endpoint: str) -> None:
        self.did.append(("disconnect", endpoint))

    def write_log(self, text: str) -> None:
        self.did.append(("write_log", text))

    # driving
    def order(self, grade: str = "look", tenant: str | None = "small", left: int = 3 * S) -> str:
        self.serial += 1
        call = f"{self.serial:016x}"
        self.balancer.order(self.now, call, grade, tenant, left, None)
        return call

    def reply(
        self,
        call: str,
        outcome: Outcome,
        spent: int = 100 * MS,
        attempt: int = -1,
        closed: bool | None = None,
    ) -> None:
        number = attempt if attempt >= 0 else len(self.sent[call]) - 1
        done = outcome is Outcome.OK if closed is None else closed
        self.balancer.reply(self.now, call, number, self.sent[call][number], spent, done, outcome)

    def answer_all(self, spent: int = 100 * MS) -> None:
        """Serve the calls that are out."""
        for call in [c for c in self.sent if c in self.balancer.calls]:
            self.reply(call, Outcome.OK, spent=spent)

    def advance(self, by: int) -> None:
        end = self.now + by
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.balancer.wake(self.now, due[1])
        self.now = end

    def answers(self, call: str) -> list[str]:
        return [d[0] for d in self.did if d[0] in ("shed", "surrender") and d[1] == call]

    def sends(self, call: str | None = None) -> list[tuple[Any, ...]]:
        return [d for d in self.did if d[0] == "hand_off" and (call is None or d[1] == call)]
