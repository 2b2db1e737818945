"""Fault scripts for a fleet: text that is generated from a seed, and runs in virtual time or on processes.

One step a line: the time in protocol periods since the fleet settled, the action, the members, the parameters.

    0 cut 0-7 8-23          in both directions; `deaf 0-7 8-23` cuts only the direction from the first to the second
    20 kill 3               `start 3`, `leave 3`, `stop 4` (suspend the process), `go 4` (resume it)
    30 link 0-23 loss=0.3 jitter=40
    60 heal                 removes all link faults; stopped members stay stopped
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from standins.fleet.faults import Link

# Fields of `Link` by their names in scripts.
LINK_PARAMETERS = {
    "loss": "loss", "delay": "delay_ms", "jitter": "jitter_ms", "twice": "duplicated", "spoilt": "corrupted",
}  # fmt: skip
GROUP_COUNTS = {"cut": 2, "deaf": 2, "heal": 0}  # groups of members that an action takes, if not one
ACTIONS = ("cut", "deaf", "heal", "kill", "start", "leave", "stop", "go", "link")


class ScriptTarget(Protocol):
    """A fleet that a script runs on."""

    def cut(self, senders: set[int], receivers: set[int], both_ways: bool) -> None: ...
    def heal(self) -> None: ...
    def link(self, members: set[int], link: Link) -> None: ...
    def kill(self, number: int) -> None: ...
    def start(self, number: int) -> object: ...
    def leave(self, number: int) -> None: ...
    def stop(self, number: int) -> None: ...
    def resume(self, number: int) -> None: ...


@dataclass(frozen=True)
class Step:
    """One line of a script."""

    at_periods: float
    action: str
    groups: tuple[frozenset[int], ...] = ()
    parameters: tuple[tuple[str, float], ...] = field(default=())

    def __str__(self) -> str:
        words = [f"{self.at_periods:g}", self.action, *map(_format_ranges, self.groups)]
        return " ".join(words + [f"{name}={value:g}" for name, value in self.parameters])

    def apply(self, target: ScriptTarget) -> None:
        if self.action in ("cut", "deaf"):
            target.cut(set(self.groups[0]), set(self.groups[1]), self.action == "cut")
        elif self.action == "heal":
            target.heal()
        elif self.action == "link":
            target.link(set(self.groups[0]), Link(**{LINK_PARAMETERS[name]: value for name, value in self.parameters}))
        else:
            action = {
                "kill": target.kill, "start": target.start, "leave": target.leave, "stop": target.stop,
                "go": target.resume,
            }[self.action]  # fmt: skip
            for number in sorted(self.groups[0]):
                action(number)


def _format_ranges(numbers: frozenset[int]) -> str:
    """Format numbers as ranges, such as 0-3,7."""
    ranges: list[list[int]] = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ",".join(f"{a}-{b}" if a != b else f"{a}" for a, b in ranges)


def _parse_ranges(text: str) -> frozenset[int]:
    numbers: set[int] = set()
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers.update(range(int(first), int(last or first) + 1))
    return frozenset(numbers)


def parse(text: str) -> list[Step]:
    """Return the steps of a script in order of time. Raises ValueError with the line that can't be read."""
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            steps.append(_parse_step(words))
        except (ValueError, IndexError, KeyError) as error:
            raise ValueError(f"line {number}: {line.strip()!r}: {error}") from None
    return sorted(steps, key=lambda step: step.at_periods)


def _parse_step(words: list[str]) -> Step:
    at_periods, action, *rest = words
    if action not in ACTIONS:
        raise ValueError(f"{action} is not one of {', '.join(ACTIONS)}")
    groups = [word for word in rest if "=" not in word]
    if len(groups) != GROUP_COUNTS.get(action, 1):
        raise ValueError(f"{action} takes {GROUP_COUNTS.get(action, 1)} groups of members")
    parameters = []
    for word in rest:
        name, sign, value = word.partition("=")
        if sign:
            if action != "link" or name not in LINK_PARAMETERS:
                raise ValueError(f"{name} is not a parameter of {action}")
            parameters.append((name, float(value)))
    return Step(float(at_periods), action, tuple(_parse_ranges(group) for group in groups), tuple(parameters))


def last_step_at(steps: list[Step]) -> float:
    """Return the time of the last step, in periods."""
    return max((step.at_periods for step in steps), default=0.0)


# --- scripts generated from a seed ---


def _third(rng: random.Random, n: int) -> list[Step]:
    """Cuts off one third of the members for 60 periods, with crashes and a restart on both sides meanwhile."""
    members = list(range(n))
    rng.shuffle(members)
    minority, majority = members[: n // 3], members[n // 3 :]
    killed = [minority[0], *majority[:2]]
    return [
        Step(0, "cut", (frozenset(minority), frozenset(majority))),
        *(Step(rng.uniform(5, 25), "kill", (frozenset((m,)),)) for m in killed),
        *(Step(rng.uniform(30, 50), "start", (frozenset((m,)),)) for m in killed[1:]),
        Step(60, "heal"),
    ]


def _one_way(rng: random.Random, n: int) -> list[Step]:
    """Drops the datagrams from a quarter of the members to the others, but not those in the other direction."""
    members = list(range(n))
    rng.shuffle(members)
    count = max(1, n // 4)
    return [Step(0, "deaf", (frozenset(members[:count]), frozenset(members[count:]))), Step(50, "heal")]


def _ring(rng: random.Random, n: int) -> list[Step]:
    """Cuts each member off from the next two, so that no two members reach the same set of others."""
    steps = [Step(0, "cut", (frozenset((i,)), frozenset(((i + 1) % n, (i + 2) % n)))) for i in range(n)]
    return [*steps, Step(50, "heal")]


def _loss(rng: random.Random, n: int) -> list[Step]:
    everyone = frozenset(range(n))
    return [Step(0, "link", (everyone,), (("loss", 0.3),)), Step(120, "heal")]


def _noise(rng: random.Random, n: int) -> list[Step]:
    """Delays, reorders, duplicates, corrupts and loses datagrams."""
    parameters = (("loss", 0.05), ("delay", 10.0), ("jitter", 60.0), ("twice", 0.1), ("spoilt", 0.05))
    return [Step(0, "link", (frozenset(range(n)),), parameters), Step(60, "heal")]


def _stall(rng: random.Random, n: int) -> list[Step]:
    member = frozenset((rng.randrange(n),))
    return [Step(0, "stop", (member,)), Step(40, "go", (member,))]


def _half(rng: random.Random, n: int) -> list[Step]:
    """Kills half of the members at once and restarts them one period later under the same names."""
    half = frozenset(rng.sample(range(n), n // 2))
    return [Step(0, "kill", (half,)), Step(1, "start", (half,))]


def _rolling(rng: random.Random, n: int) -> list[Step]:
    steps = []
    for i in range(n):
        steps += [Step(4 * i, "leave", (frozenset((i,)),)), Step(4 * i + 6, "start", (frozenset((i,)),))]
    return steps


def _flap(rng: random.Random, n: int) -> list[Step]:
    """Cuts off one member and heals the links again, every two periods."""
    member = rng.randrange(n)
    others = frozenset(range(n)) - {member}
    steps = []
    for at in range(0, 40, 4):
        steps += [Step(at, "cut", (frozenset((member,)), others)), Step(at + 2, "heal")]
    return steps


def _crash(rng: random.Random, n: int) -> list[Step]:
    killed = frozenset(rng.sample(range(n), max(1, n // 6)))
    return [Step(0, "kill", (killed,))]


KINDS: dict[str, Callable[[random.Random, int], list[Step]]] = {
    "crash": _crash, "third": _third, "one way": _one_way, "ring": _ring, "loss": _loss, "noise": _noise,
    "stall": _stall, "half": _half, "rolling": _rolling, "flap": _flap,
}  # fmt: skip


def draw(kind: str, seed: int, members: int) -> list[Step]:
    """Return a script of one kind; equal for equal seeds."""
    return sorted(KINDS[kind](random.Random(seed), members), key=lambda step: step.at_periods)
