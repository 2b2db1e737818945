"""Fleets in virtual time: the real protocol for thousands of members without sockets, deterministic for a seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from eiderhub.fleet.messages import Codec
from eiderhub.fleet.protocol import ProtocolConfig, SwimProtocol
from standins.fleet.faults import Faults, Link
from standins.fleet.script import Step

US_PER_S = 1_000_000
LATENCY_S = 0.0005  # of every link without faults


def address_of(number: int) -> tuple[str, int]:
    """Return the address of a member by its number."""
    return f"127.1.{number // 250}.{number % 250 + 1}", 7946


class World:
    """An event loop in virtual time that ticks the members, by number, and delivers their datagrams."""

    def __init__(self, count: int, seed: int, config: ProtocolConfig | None = None, key: bytes | None = None) -> None:
        self.rng = random.Random(seed)
        self.faults = Faults(self.rng)
        self.now = 1000 * US_PER_S
        self.config = replace(config or ProtocolConfig(), contacts=tuple(address_of(i) for i in range(count)))
        self.key = key
        self.members: dict[int, SwimProtocol] = {}
        self.stopped: set[int] = set()
        self.sent: dict[int, int] = {}  # datagrams by sender
        self.bytes: dict[int, int] = {}  # bytes by sender
        self.declared_failures: list[tuple[int, int, str]] = []  # time, observing member, name of the failed member
        self._numbers = {address_of(i): i for i in range(2 * count)}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    # --- members ---

    def start(
        self, number: int, wall_s: int | None = None, name: str = "", config: ProtocolConfig | None = None
    ) -> SwimProtocol:
        """Start a new process; of an earlier one with this number it has only the name and the address."""
        member = SwimProtocol(
            name or f"n{number}", address_of(number), b"build-1", Codec(self.key), config or self.config,
            self.rng.getrandbits(32), self.now // US_PER_S if wall_s is None else wall_s, self.now,
        )  # fmt: skip
        self.members[number] = member
        self.stopped.discard(number)
        self._tick_later(number, member)
        return member

    def start_all(self, count: int) -> None:
        for number in range(count):
            self.start(number)

    def kill(self, number: int) -> None:
        del self.members[number]
        self.stopped.discard(number)

    def leave(self, number: int) -> None:
        self.members[number].leave(self.now)
        self._process_output(number, self.members[number])
        self.kill(number)

    def stop(self, number: int) -> None:
        """Suspend the member; datagrams to it are lost meanwhile, as if its socket's buffer were full."""
        self.stopped.add(number)

    def resume(self, number: int) -> None:
        self.stopped.discard(number)
        self._tick_later(number, self.members[number])

    # --- the other actions of scripts ---

    def cut(self, senders: set[int], receivers: set[int], both_ways: bool) -> None:
        self.faults.cut(senders, receivers, both_ways)

    def heal(self) -> None:
        self.faults.heal()

    def link(self, members: set[int], link: Link) -> None:
        """Apply the faults of `link` to all links of the fleet, whatever the members."""
        self.faults.default_link = link

    def play(self, steps: list[Step]) -> None:
        """Run the steps at their times; return right after the last one."""
        started = self.now
        for step in steps:
            self.run(max(0.0, (started - self.now) / US_PER_S + step.at_periods * self.config.period_us / US_PER_S))
            step.apply(self)

    # --- time ---

    def run(self, seconds: float) -> None:
        self.until(lambda: False, seconds)

    def until(self, done: Callable[[], bool], seconds: float, every_s: float = 0.05) -> float | None:
        """Run until `done()`, checked every `every_s`; return the seconds it took, None if it did not happen."""
        started, end = self.now, self.now + int(seconds * US_PER_S)
        next_check = self.now
        while True:
            if self.now >= next_check:
                if done():
                    return (self.now - started) / US_PER_S
                next_check = self.now + int(every_s * US_PER_S)
            if not self._events or self._events[0][0] > end:
                self.now = end
                return (self.now - started) / US_PER_S if done() else None
            at, _, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            action()

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Call `action` in `seconds`."""
        heapq.heappush(self._events, (self.now + int(seconds * US_PER_S), next(self._sequence), action))

    def _tick_later(self, number: int, member: SwimProtocol) -> None:
        def tick() -> None:
            if self.members.get(number) is member and number not in self.stopped:
                member.tick(self.now)
                self._process_output(number, member)
                self._tick_later(number, member)

        self.at(max(0, member.due_us() - self.now) / US_PER_S, tick)

    def _process_output(self, number: int, member: SwimProtocol) -> None:
        for event in member.take_events():
            if event.kind == "gone":
                self.declared_failures.append((event.at_us, number, event.member))
        for destination, data in member.take_datagrams():
            self.sent[number] = self.sent.get(number, 0) + 1
            self.bytes[number] = self.bytes.get(number, 0) + len(data)
            receiver = self._numbers.get(destination)
            if receiver is None:
                continue
            for delay_s, arrived in self.faults.deliveries(number, receiver, data):
                self.at(LATENCY_S + delay_s, lambda r=receiver, d=arrived: self._deliver(number, r, d))  # type: ignore[misc]

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        member = self.members.get(receiver)
        if member is not None and receiver not in self.stopped:
            member.receive(self.now, address_of(sender), data)
            self._process_output(receiver, member)

    # --- state ---

    def live_members(self) -> Iterable[int]:
        return self.members.keys() - self.stopped

    def settled(self) -> bool:
        """Whether all live members hold one view, which consists of exactly the live members."""
        live = sorted(self.live_members())
        names = {self.members[i].table.own_name for i in live}
        views = {self.members[i].table.view for i in live}
        return len(views) == 1 and all(
            {m.update.name for m in self.members[i].table.others_present()} | {self.members[i].table.own_name} == names
            for i in live[:3]
        )
