"""`eiderhub fleet members|watch|explain FOLDER`: what a running sidecar believes of its fleet, as it wrote it down."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from eiderhub.fleet.event_log import EVENTS, MEMBERS

STATES = ("alive", "suspect", "left", "gone")


def main(arguments: Sequence[str]) -> int:
    """Exit status 0: told; 1: nothing is known of what was asked for; 2: the files can't be read."""
    options = _parser().parse_args(arguments)
    try:
        result: int = options.run(options)
        return result
    except (OSError, ValueError) as error:
        print(f"eiderhub fleet: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="eiderhub fleet", description=__doc__)
    commands = parser.add_subparsers(required=True)
    members = commands.add_parser("members", help="who it believes in, since when and by whose word")
    watch = commands.add_parser("watch", help="what happens, as it is written down")
    explain = commands.add_parser("explain", help="all that was written down of one member")
    for command, run in ((members, _members), (watch, _watch), (explain, _explain)):
        command.add_argument("folder", type=Path, help="the folder that [fleet] names")
        command.set_defaults(run=run)
    members.add_argument("--json", action="store_true", help="the file as it is")
    watch.add_argument("--seconds", type=float, default=3600.0, help="how long to wait for more (0: what is there)")
    explain.add_argument("member", help="its name")
    return parser


def _table(folder: Path) -> dict[str, Any]:
    path = folder / MEMBERS
    try:
        found: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    except ValueError:
        raise ValueError(f"{path}: no JSON") from None
    return found


def _members(options: argparse.Namespace) -> int:
    table = _table(options.folder)
    if options.json:
        print(json.dumps(table, indent=2))
        return 0
    majority = "a majority" if table["majority"] else "no majority"
    print(
        f"{table['name']}: view {table['view']}, {table['here']} here, {table['same']} of {table['roster']} hold it "
        f"({majority}), {len(table['other'])} hold another, {len(table['unheard'])} not heard; "
        f"written {time.time() - table['at']:.0f} s ago"
    )
    print(f"{'member':<24} {'state':<8} {'for':>9} {'by word of':<24} {'incarnation':>12}  build")
    for row in sorted(table["members"], key=lambda row: (STATES.index(row["state"]), row["member"])):
        print(
            f"{row['member']:<24} {row['state']:<8} {row['since_s']:>7.1f} s {row['word']:<24} "
            f"{row['incarnation']:>12}  {row['build']}"
        )
    return 0


def _lines(folder: Path) -> Iterator[dict[str, Any]]:
    for path in (folder / (EVENTS + ".1"), folder / EVENTS):
        if path.exists():
            for line in path.read_text(encoding="utf-8").splitlines():
                yield json.loads(line)


def _worded(row: dict[str, Any]) -> str:
    rest = " ".join(f"{key}={value}" for key, value in row.items() if key not in ("t", "n", "event"))
    return f"{time.strftime('%H:%M:%S', time.gmtime(row['t']))}.{int(row['t'] % 1 * 1000):03d} {row['event']} {rest}"


def _watch(options: argparse.Namespace) -> int:
    path = options.folder / EVENTS
    end = time.monotonic() + options.seconds
    with path.open(encoding="utf-8") as file:
        while True:
            line = file.readline()
            if line.endswith("\n"):
                print(_worded(json.loads(line)), flush=True)
            elif time.monotonic() >= end:
                return 0
            else:
                file.seek(file.tell() - len(line.encode()))
                time.sleep(0.1)


def _explain(options: argparse.Namespace) -> int:
    table = _table(options.folder)
    rows = [row for row in table["members"] if row["member"] == options.member]
    events = [row for row in _lines(options.folder) if row.get("member") == options.member]
    if not rows and not events:
        print(f"{options.member}: {table['name']} has never heard of it", file=sys.stderr)
        return 1
    for row in rows:
        heard = "never itself" if row["heard_s"] is None else f"itself {row['heard_s']:.1f} s before this was written"
        print(
            f"{row['member']} at {row['address']} is {row['state']} for {row['since_s']:.1f} s by the word of "
            f"{row['word']}, in its life {row['incarnation']}, build {row['build']}; heard {heard}"
        )
    for event in events[-50:]:
        print(_worded(event))
    return 0
