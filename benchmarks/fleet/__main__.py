"""The view of the fleet, measured.

    python -m benchmarks.fleet settle [--members 24] [--scripts 5] [--period 0.1] [--timelines DIR]
    python -m benchmarks.fleet growth [--members 24 140 1000]
    python -m benchmarks.fleet rest [--members 140 1000]
    python -m benchmarks.fleet evidence [--seeds 20]
    python -m benchmarks.fleet flood [--rounds 10]

`settle` plays scripts drawn from seeds on processes of the real program, kind by kind: the time from the last fault
until all live members hold one view, and members that were believed gone though they were there all the while.
`growth` asks the same protocol in virtual time what it takes as the fleet grows; `rest`, what a joint start leaves to
be told, and what members send once nothing is. `evidence` pairs fleets with and without it, seed by seed; the intervals
hold 95% of resampled means. What a script leaves unsettled makes the exit status 1. `flood` sends junk to one member
and times its requests.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from benchmarks.fleet.evidence import Play, paired
from benchmarks.fleet.flood import flood
from eiderhub.fleet.protocol import Terms
from standins.fleet.rig import MOST, Rig, Unsettled
from standins.fleet.script import KINDS, Step, draw
from standins.fleet.virtual import World

LASTING_PERIODS = 40  # a false death that is not taken back by then counts as one that lasts
DRAWS = 2000


def interval(values: Sequence[float]) -> tuple[float, float]:
    chance = random.Random(1)
    means = [statistics.fmean(chance.choices(values, k=len(values))) for _ in range(DRAWS)]
    cuts = statistics.quantiles(means, n=40)
    return cuts[0], cuts[-1]


# --- processes ---


def innocent(steps: list[Step], count: int) -> set[str]:
    """Members that no step kills, ends, stops or cuts off: nobody has a reason to give them up."""
    touched: set[int] = set()
    for step in steps:
        if step.action in ("kill", "leave", "stop", "cut", "deaf"):
            touched.update(*step.sides)
    return {f"n{i}" for i in range(count) if i not in touched}


def false_deaths(rig: Rig, steps: list[Step], since: float) -> tuple[int, int]:
    """How often a member came to believe an innocent one gone, and of those how many lasted."""
    good = innocent(steps, rig.count)
    found = lasted = 0
    for at, source, row in rig.events("gone", since):
        if row["member"] in good and row["word"] == source:  # its own conclusion, not hearsay
            found += 1
            back = [t for t, s, r in rig.events("alive", at) if s == source and r["member"] == row["member"]]
            lasted += not back or back[0] - at > LASTING_PERIODS * rig.period_s
    return found, lasted


async def one_script(
    kind: str, seed: int, members: int, period_s: float, folder: Path | None
) -> tuple[float, int, int]:
    """Seconds until settled, false deaths, and those that lasted. Raises Unsettled."""
    steps = draw(kind, seed, members)
    async with Rig(members, seed, period_s) as rig:
        await rig.settle()
        since = time.time()
        try:
            await rig.play(steps)
            took = await rig.settle()
        finally:
            if folder is not None:
                folder.mkdir(parents=True, exist_ok=True)
                rig.write_timeline(folder / f"{kind.replace(' ', '-')}-{seed}.jsonl")
        return took, *false_deaths(rig, steps, since)


async def settle(options: argparse.Namespace) -> int:
    print(f"{options.members} processes, period {options.period:g} s, {options.scripts} scripts of each kind")
    columns = ("settled", "median s", "worst s", "in periods", "false deaths", "lasting")
    print(f"{'kind':<10} " + " ".join(f"{column:>12}" for column in columns))
    unsettled = 0
    for kind in options.kinds or KINDS:
        took, deaths, lasting = [], 0, 0
        for seed in range(1, options.scripts + 1):
            try:
                seconds, found, lasted = await one_script(
                    kind, seed, options.members, options.period, options.timelines
                )
            except Unsettled as error:
                unsettled += 1
                print(f"{kind}, seed {seed}: {error}", file=sys.stderr)
                continue
            took.append(seconds)
            deaths, lasting = deaths + found, lasting + lasted
        median = statistics.median(took) if took else float("nan")
        print(
            f"{kind:<10} {len(took):>9}/{options.scripts:<2} {median:>12.2f} {max(took, default=0):>12.2f} "
            f"{median / options.period:>12.1f} {deaths:>12} {lasting:>12}",
            flush=True,
        )
    return int(unsettled > 0)


# --- growth ---


def traffic(world: World, seconds: float) -> tuple[float, float]:
    """Datagrams and bytes that a member sends in a second, over so many."""
    sent, bytes_, each = sum(world.sent.values()), sum(world.bytes.values()), seconds * len(world.members)
    world.run(seconds)
    return (sum(world.sent.values()) - sent) / each, (sum(world.bytes.values()) - bytes_) / each


def rest(options: argparse.Namespace) -> int:
    for count in options.members:
        world = World(count, 1, Terms())
        world.start_all(count)
        joined = world.until(world.settled, 300)
        if joined is None:
            print(f"{count} members: not joined in 300 s", file=sys.stderr)
            return 1
        news = statistics.fmean(len(member._news) for member in world.members.values())
        _, busy = traffic(world, 5)
        for member in world.members.values():
            member._news.clear()
        rate, quiet = traffic(world, 10)
        print(f"{count} members, joined in {joined:.1f} s; {news:.0f} pieces of news each: {busy:.0f} bytes a second;")
        print(f"    with none {quiet:.0f} bytes and {rate:.2f} datagrams a second", flush=True)
    return 0


def growth(options: argparse.Namespace) -> int:
    columns = ("members", "joined s", "crash s", "healed s", "datagrams/s", "bytes/s", "and merging")
    print(" ".join(f"{column:>12}" for column in columns))
    for count in options.members:
        world = World(count, 1, Terms())
        world.start_all(count)
        joined = world.until(world.settled, 300)
        world.run(180)
        rate, volume = traffic(world, 10)
        world.kill(1)
        crash = world.until(world.settled, 300)
        third = set(range(count // 3))
        world.cut(third, set(range(count)) - third, True)
        world.run(40)
        world.heal()
        bytes_, begun = sum(world.bytes.values()), world.now
        healed = world.until(world.settled, 600)
        merging = (sum(world.bytes.values()) - bytes_) / max(1e-6, (world.now - begun) / 1e6) / count
        cells = [f"{value:.1f}" if value is not None else "never" for value in (joined, crash, healed)]
        cells = [str(count), *cells, f"{rate:.2f}", f"{volume:.0f}", f"{merging:.0f}"]
        print(" ".join(f"{cell:>12}" for cell in cells), flush=True)
    return 0


# --- evidence ---


def evidence(options: argparse.Namespace) -> int:
    pairs = paired(range(options.seeds), options.members[0])
    met = [(a.met(), b.met()) for a, b in pairs]
    times = [(a.under_after_s(), b.under_after_s()) for a, b in pairs]
    for name, rows in (("calls that met it in 30 s", met), ("s until under a tenth of its part", times)):
        ratios = [a / b for a, b in rows if b]
        low, high = interval(ratios)
        told, untold = (statistics.fmean(column) for column in zip(*rows, strict=True))
        mean = statistics.fmean(ratios)
        print(f"{name}: {told:.1f} told, {untold:.1f} untold; ratio {mean:.2f} ({low:.2f} to {high:.2f})")
    shares, refused = [], []
    for seed in range(options.seeds):
        lied, sound = Play(seed, options.members[0], True, liars=1), Play(seed, options.members[0], True)
        for play in (lied, sound):
            play.run(fails=False)
        shares.append((lied.least_part(), sound.least_part()))
        refused.append((lied.refused, sound.refused))
    (with_one, plain), (more, fewer) = (map(statistics.fmean, zip(*rows, strict=True)) for rows in (shares, refused))
    print(f"one liar: least part of an even one {with_one:.2f}, without {plain:.2f}; refused {more:.1f}, {fewer:.1f}")
    return 0


def flooded(options: argparse.Namespace) -> int:
    rows = asyncio.run(flood(options.rounds))
    for name, quiet, loud in (("median", 0, 2), ("99th percentile", 1, 3)):
        ratios = [row[loud] / row[quiet] for row in rows]
        low, high = interval(ratios)
        before, after = (statistics.fmean(row[i] for row in rows) for i in (quiet, loud))
        mean = statistics.fmean(ratios)
        print(f"{name}: {before:.2f} ms quiet, {after:.2f} ms flooded; ratio {mean:.2f} ({low:.2f} to {high:.2f})")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.fleet", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(required=True)
    one = commands.add_parser("settle")
    one.add_argument("--members", type=int, default=24, choices=range(2, MOST + 1), metavar="N")
    one.add_argument("--scripts", type=int, default=5)
    one.add_argument("--period", type=float, default=0.1)
    one.add_argument("--kinds", nargs="+", choices=list(KINDS))
    one.add_argument("--timelines", type=Path)
    one.set_defaults(run=lambda options: asyncio.run(settle(options)))
    two = commands.add_parser("growth")
    two.add_argument("--members", type=int, nargs="+", default=[24, 140, 1000])
    two.set_defaults(run=growth)
    still = commands.add_parser("rest")
    still.add_argument("--members", type=int, nargs="+", default=[140, 1000])
    still.set_defaults(run=rest)
    three = commands.add_parser("evidence")
    three.add_argument("--members", type=int, nargs=1, default=[24])
    three.add_argument("--seeds", type=int, default=20)
    three.set_defaults(run=evidence)
    four = commands.add_parser("flood")
    four.add_argument("--rounds", type=int, default=10)
    four.set_defaults(run=flooded)
    options = parser.parse_args()
    result: int = options.run(options)
    return result


if __name__ == "__main__":
    sys.exit(main())
