"""`eiderhub fleet members|watch|explain FOLDER`: show a running sidecar's view of its fleet from its files."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from eiderhub.fleet.event_log import EVENTS_FILE, MEMBERS_FILE

STATES = ("alive", "suspect", "left", "gone")


def main(arguments: Sequence[str]) -> int:
    """Run the command. Exit status 0: done; 1: the member is unknown; 2: the files can't be read."""
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
    members = commands.add_parser("members", help="list the members with their states")
    watch = commands.add_parser("watch", help="print events as they are written")
    explain = commands.add_parser("explain", help="print the state and the events of one member")
    for command, run in ((members, _members), (watch, _watch), (explain, _explain)):
        command.add_argument("folder", type=Path, help="the folder of the operator's table [fleet]")
        command.set_defaults(run=run)
    members.add_argument("--json", action="store_true", help="print members.json")
    watch.add_argument("--seconds", type=float, default=3600.0, help="how long to wait for events (0: only past ones)")
    explain.add_argument("member", help="the member's name")
    return parser


def _read_members(folder: Path) -> dict[str, Any]:
    path = folder / MEMBERS_FILE
    try:
        document: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    except ValueError:
        raise ValueError(f"{path}: not valid JSON") from None
    return document


def _members(options: argparse.Namespace) -> int:
    document = _read_members(options.folder)
    if options.json:
        print(json.dumps(document, indent=2))
        return 0
    majority = "a majority" if document["majority"] else "no majority"
    print(
        f"{document['name']}: view {document['view']}, {document['here']} present, "
        f"{document['same']} of {document['roster']} hold it "
        f"({majority}), {len(document['other'])} hold another, {len(document['unheard'])} reported none lately; "
        f"written {time.time() - document['at']:.0f} s ago"
    )
    print(f"{'member':<24} {'state':<8} {'for':>9} {'reported by':<24} {'incarnation':>12}  build")
    for row in sorted(document["members"], key=lambda row: (STATES.index(row["state"]), row["member"])):
        print(
            f"{row['member']:<24} {row['state']:<8} {row['since_s']:>7.1f} s {row['word']:<24} "
            f"{row['incarnation']:>12}  {row['build']}"
        )
    return 0


def _read_events(folder: Path) -> Iterator[dict[str, Any]]:
    for path in (folder / (EVENTS_FILE + ".1"), folder / EVENTS_FILE):
        if path.exists():
            for line in path.read_text(encoding="utf-8").splitlines():
                yield json.loads(line)


def _format_event(row: dict[str, Any]) -> str:
    fields = " ".join(f"{key}={value}" for key, value in row.items() if key not in ("t", "n", "event"))
    return f"{time.strftime('%H:%M:%S', time.gmtime(row['t']))}.{int(row['t'] % 1 * 1000):03d} {row['event']} {fields}"


def _watch(options: argparse.Namespace) -> int:
    path = options.folder / EVENTS_FILE
    end = time.monotonic() + options.seconds
    with path.open(encoding="utf-8") as file:
        while True:
            line = file.readline()
            if line.endswith("\n"):
                print(_format_event(json.loads(line)), flush=True)
            elif time.monotonic() >= end:
                return 0
            else:
                file.seek(file.tell() - len(line.encode()))
                time.sleep(0.1)


def _explain(options: argparse.Namespace) -> int:
    document = _read_members(options.folder)
    rows = [row for row in document["members"] if row["member"] == options.member]
    events = [row for row in _read_events(options.folder) if row.get("member") == options.member]
    if not rows and not events:
        print(f"{options.member}: {document['name']} does not know this member", file=sys.stderr)
        return 1
    for row in rows:
        last_seen = "none" if row["heard_s"] is None else f"received {row['heard_s']:.1f} s before this was written"
        print(
            f"{row['member']} at {row['address']} has been {row['state']} for {row['since_s']:.1f} s, reported by "
            f"{row['word']}; incarnation {row['incarnation']}, build {row['build']}; last message from it: {last_seen}"
        )
    for event in events[-50:]:
        print(_format_event(event))
    return 0
