"""Measures the fleet's membership view.

    python -m benchmarks.fleet settle [--members 24] [--scripts 5] [--period 0.1] [--timelines DIR]
    python -m benchmarks.fleet growth [--members 24 140 1000]
    python -m benchmarks.fleet rest [--members 140 1000]
    python -m benchmarks.fleet evidence [--seeds 20]
    python -m benchmarks.fleet flood [--rounds 10]

`settle` runs generated fault scripts of each kind on sidecar processes, and reports the time from the last fault until
all live members hold one view, and how many members were declared failed although they were not touched by a fault.
The exit status is 1 if a fleet did not settle. `growth` measures the same protocol in virtual time for fleets of
different sizes. `rest` measures the updates queued after all members have started at once, and the traffic with and
without queued updates. `evidence` compares fleets with and without evidence for each seed; the intervals hold 95% of
the resampled means. `flood` sends junk to one member and times its requests.
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

from benchmarks.fleet.evidence import Simulation, run_pairs
from benchmarks.fleet.flood import flood
from eiderhub.fleet.protocol import ProtocolConfig
from standins.fleet.rig import MAX_PROCESSES, NotSettled, Rig
from standins.fleet.script import KINDS, Step, draw
from standins.fleet.virtual import World

LASTING_PERIODS = 40  # a false failure that is not refuted within these counts as lasting
RESAMPLES = 2000


def interval(values: Sequence[float]) -> tuple[float, float]:
    """Return the bootstrap interval that holds 95% of the resampled means."""
    rng = random.Random(1)
    means = [statistics.fmean(rng.choices(values, k=len(values))) for _ in range(RESAMPLES)]
    cuts = statistics.quantiles(means, n=40)
    return cuts[0], cuts[-1]


# --- processes ---


def untouched_members(steps: list[Step], count: int) -> set[str]:
    """Return the members that no step kills, ends, stops or cuts off: declaring one of them failed is false."""
    touched: set[int] = set()
    for step in steps:
        if step.action in ("kill", "leave", "stop", "cut", "deaf"):
            touched.update(*step.groups)
    return {f"n{i}" for i in range(count) if i not in touched}


def false_failures(rig: Rig, steps: list[Step], since: float) -> tuple[int, int]:
    """Return how often a member declared an untouched one failed, and how many of these failures lasted."""
    untouched = untouched_members(steps, rig.count)
    failures = lasting = 0
    for at, source, row in rig.events("gone", since):
        if row["member"] in untouched and row["word"] == source:  # declared by this member itself, not received
            failures += 1
            refuted = [t for t, s, r in rig.events("alive", at) if s == source and r["member"] == row["member"]]
            lasting += not refuted or refuted[0] - at > LASTING_PERIODS * rig.period_s
    return failures, lasting


async def run_script(
    kind: str, seed: int, members: int, period_s: float, folder: Path | None
) -> tuple[float, int, int]:
    """Return the seconds until the fleet settled, the false failures and the lasting ones. Raises NotSettled."""
    steps = draw(kind, seed, members)
    async with Rig(members, seed, period_s) as rig:
        await rig.settle()
        since = time.time()
        try:
            await rig.play(steps)
            settled_s = await rig.settle()
        finally:
            if folder is not None:
                folder.mkdir(parents=True, exist_ok=True)
                rig.write_timeline(folder / f"{kind.replace(' ', '-')}-{seed}.jsonl")
        return settled_s, *false_failures(rig, steps, since)


async def settle(options: argparse.Namespace) -> int:
    print(f"{options.members} processes, period {options.period:g} s, {options.scripts} scripts of each kind")
    columns = ("settled", "median s", "worst s", "in periods", "false fails", "lasting")
    print(f"{'kind':<10} " + " ".join(f"{column:>12}" for column in columns))
    unsettled = 0
    for kind in options.kinds or KINDS:
        times, failures, lasting = [], 0, 0
        for seed in range(1, options.scripts + 1):
            try:
                seconds, script_failures, script_lasting = await run_script(
                    kind, seed, options.members, options.period, options.timelines
                )
            except NotSettled as error:
                unsettled += 1
                print(f"{kind}, seed {seed}: {error}", file=sys.stderr)
                continue
            times.append(seconds)
            failures, lasting = failures + script_failures, lasting + script_lasting
        median = statistics.median(times) if times else float("nan")
        print(
            f"{kind:<10} {len(times):>9}/{options.scripts:<2} {median:>12.2f} {max(times, default=0):>12.2f} "
            f"{median / options.period:>12.1f} {failures:>12} {lasting:>12}",
            flush=True,
        )
    return int(unsettled > 0)


# --- growth ---


def traffic(world: World, seconds: float) -> tuple[float, float]:
    """Run for some seconds and return the datagrams and bytes that a member sent in each."""
    sent, bytes_, member_seconds = sum(world.sent.values()), sum(world.bytes.values()), seconds * len(world.members)
    world.run(seconds)
    return (sum(world.sent.values()) - sent) / member_seconds, (sum(world.bytes.values()) - bytes_) / member_seconds


def idle(options: argparse.Namespace) -> int:
    for count in options.members:
        world = World(count, 1, ProtocolConfig())
        world.start_all(count)
        joined = world.until(world.settled, 300)
        if joined is None:
            print(f"{count} members: not joined in 300 s", file=sys.stderr)
            return 1
        queued = statistics.fmean(len(member._broadcasts) for member in world.members.values())
        _, busy = traffic(world, 5)
        for member in world.members.values():
            member._broadcasts.clear()
        rate, quiet = traffic(world, 10)
        print(
            f"{count} members, joined in {joined:.1f} s; {queued:.0f} queued updates each: {busy:.0f} bytes a second;"
        )
        print(f"    without queued updates: {quiet:.0f} bytes and {rate:.2f} datagrams a second", flush=True)
    return 0


def growth(options: argparse.Namespace) -> int:
    columns = ("members", "joined s", "crash s", "healed s", "datagrams/s", "bytes/s", "and merging")
    print(" ".join(f"{column:>12}" for column in columns))
    for count in options.members:
        world = World(count, 1, ProtocolConfig())
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
        bytes_, healed_us = sum(world.bytes.values()), world.now
        healed = world.until(world.settled, 600)
        merging = (sum(world.bytes.values()) - bytes_) / max(1e-6, (world.now - healed_us) / 1e6) / count
        cells = [f"{value:.1f}" if value is not None else "never" for value in (joined, crash, healed)]
        cells = [str(count), *cells, f"{rate:.2f}", f"{volume:.0f}", f"{merging:.0f}"]
        print(" ".join(f"{cell:>12}" for cell in cells), flush=True)
    return 0


# --- evidence ---


def evidence(options: argparse.Namespace) -> int:
    pairs = run_pairs(range(options.seeds), options.members[0])
    calls = [(a.failing_calls(), b.failing_calls()) for a, b in pairs]
    times = [(a.seconds_to_low_share(), b.seconds_to_low_share()) for a, b in pairs]
    for name, rows in (
        ("calls to the failing endpoint in 30 s", calls),
        ("s until below a tenth of an even share", times),
    ):
        ratios = [a / b for a, b in rows if b]
        low, high = interval(ratios)
        shared, unshared = (statistics.fmean(column) for column in zip(*rows, strict=True))
        mean = statistics.fmean(ratios)
        print(f"{name}: {shared:.1f} with evidence, {unshared:.1f} without; ratio {mean:.2f} ({low:.2f} to {high:.2f})")
    shares, refused = [], []
    for seed in range(options.seeds):
        false, honest = Simulation(seed, options.members[0], True, liars=1), Simulation(seed, options.members[0], True)
        for simulation in (false, honest):
            simulation.run(fails=False)
        shares.append((false.min_share(), honest.min_share()))
        refused.append((false.refused, honest.refused))
    (with_liar, without), (more, fewer) = (map(statistics.fmean, zip(*rows, strict=True)) for rows in (shares, refused))
    print(
        f"one false reporter: lowest share relative to an even one {with_liar:.2f}, without {without:.2f}; "
        f"refused {more:.1f}, {fewer:.1f}"
    )
    return 0


def run_flood(options: argparse.Namespace) -> int:
    rows = asyncio.run(flood(options.rounds))
    for name, quiet, flooded in (("median", 0, 2), ("99th percentile", 1, 3)):
        ratios = [row[flooded] / row[quiet] for row in rows]
        low, high = interval(ratios)
        quiet_ms, flooded_ms = (statistics.fmean(row[i] for row in rows) for i in (quiet, flooded))
        mean = statistics.fmean(ratios)
        print(
            f"{name}: {quiet_ms:.2f} ms quiet, {flooded_ms:.2f} ms flooded; ratio {mean:.2f} ({low:.2f} to {high:.2f})"
        )
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.fleet", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(required=True)
    settle_parser = commands.add_parser("settle")
    settle_parser.add_argument("--members", type=int, default=24, choices=range(2, MAX_PROCESSES + 1), metavar="N")
    settle_parser.add_argument("--scripts", type=int, default=5)
    settle_parser.add_argument("--period", type=float, default=0.1)
    settle_parser.add_argument("--kinds", nargs="+", choices=list(KINDS))
    settle_parser.add_argument("--timelines", type=Path)
    settle_parser.set_defaults(run=lambda options: asyncio.run(settle(options)))
    growth_parser = commands.add_parser("growth")
    growth_parser.add_argument("--members", type=int, nargs="+", default=[24, 140, 1000])
    growth_parser.set_defaults(run=growth)
    rest_parser = commands.add_parser("rest")
    rest_parser.add_argument("--members", type=int, nargs="+", default=[140, 1000])
    rest_parser.set_defaults(run=idle)
    evidence_parser = commands.add_parser("evidence")
    evidence_parser.add_argument("--members", type=int, nargs=1, default=[24])
    evidence_parser.add_argument("--seeds", type=int, default=20)
    evidence_parser.set_defaults(run=evidence)
    flood_parser = commands.add_parser("flood")
    flood_parser.add_argument("--rounds", type=int, default=10)
    flood_parser.set_defaults(run=run_flood)
    options = parser.parse_args()
    result: int = options.run(options)
    return result


if __name__ == "__main__":
    sys.exit(main())
