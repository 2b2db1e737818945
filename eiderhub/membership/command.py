"""`eiderhub members FILE`: what a sidecar would believe, from recorded answers of its sources.

The file holds a JSON object in each line, in the order in which things came:

    {"at_ms": 1796169600000, "source": "platform", "body": {"generation": 1, "reset": true, "instances": []}}
    {"at_ms": 1796169600250, "source": "consul", "body": []}
    {"at_ms": 1796169631000, "source": "consul"}

`at_ms` is Unix time, as endpoints' starts are; times are printed from the first line on. `source` is `platform` (its
own form of a list) or `consul`, with a name behind a colon where there are several (`consul:bodega`). A line without
`body` says that the source answered and nothing was new.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from eiderhub.interface import Readiness
from eiderhub.membership.consul.health import Meaning, read_health
from eiderhub.membership.endpoint_list import ListedEndpoint, read_endpoint_list
from eiderhub.membership.merger import Merger, Step, Terms
from eiderhub.sidecar.clock import UNIX_OFFSET_US

FORMS = ("platform", "consul")


class Recorded(NamedTuple):
    """One line of the file."""

    number: int
    at_us: int
    source: str
    body: Any  # None: nothing was new


def main(arguments: Sequence[str]) -> int:
    """Exit status 0: all was read; 1: some answers could not be, and were left out; 2: the file can't be read."""
    options = _parser().parse_args(arguments)
    try:
        recorded = list(_read(options.file))
        terms = [Terms(name, round(options.caution * 1e6)) for name in _by_precedence(recorded)]
    except (OSError, ValueError) as error:
        print(f"eiderhub members: {error}", file=sys.stderr)
        return 2
    player = _Player(recorded, Merger(terms), Meaning(warning=Readiness(options.warning)))
    player.play()
    return 1 if player.unreadable else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="eiderhub members", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("file", type=Path, help="recorded answers, one JSON object a line")
    parser.add_argument("--warning", choices=("ready", "draining"), default="ready", help="what Consul's warning means")
    parser.add_argument("--caution", type=float, default=60.0, help="seconds that a silent source's caution stands")
    return parser


def _read(path: Path) -> Iterator[Recorded]:
    last_us: int | None = None
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        try:
            row = json.loads(line)
            at_us = round(float(row["at_ms"]) * 1000) - UNIX_OFFSET_US
            recorded = Recorded(number, at_us, str(row["source"]), row.get("body"))
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{path}:{number}: no recorded answer ({type(error).__name__}: {error})") from None
        if recorded.source.partition(":")[0] not in FORMS:
            raise ValueError(f"{path}:{number}: {recorded.source}: a source is one of {', '.join(FORMS)}")
        if last_us is not None and recorded.at_us < last_us:
            raise ValueError(f"{path}:{number}: earlier than the line before it")
        last_us = recorded.at_us
        yield recorded


def _by_precedence(recorded: Sequence[Recorded]) -> list[str]:
    """The platform's list tells zone and weight before any other."""
    return sorted({one.source for one in recorded}, key=lambda name: (FORMS.index(name.partition(":")[0]), name))


class _Player:
    """Plays recorded answers to a merger and prints what changes, and when."""

    def __init__(self, recorded: Sequence[Recorded], merger: Merger, meaning: Meaning) -> None:
        self.recorded, self.merger, self.meaning = recorded, merger, meaning
        self.begun_us = self.now_us = recorded[0].at_us if recorded else 0
        self.unreadable = 0  # answers that were left out

    def play(self) -> None:
        for one in self.recorded:
            self._expire(one.at_us)
            self.now_us = one.at_us
            try:
                self._print(self._told(one))
            except ValueError as error:
                self.unreadable += 1
                self._line(f"line {one.number}: {one.source}: {error}; what it said before stands")
        self._expire(None)
        print(f"in the end: {len(self.merger.picture)} endpoints")
        for entry in sorted(self.merger.picture.values()):
            print(f"  {_named(entry)}  {entry.endpoint.readiness.value}")

    def _expire(self, until_us: int | None) -> None:
        """Each end of a word before the next line, at its own time."""
        while (due_us := self.merger.due_us(self.now_us)) is not None and (until_us is None or due_us < until_us):
            self.now_us = due_us
            self._print(self.merger.tick(due_us))

    def _told(self, one: Recorded) -> Step:
        if one.body is None:
            return self.merger.heard(one.source, one.at_us)
        if one.source.partition(":")[0] == "platform":
            listing = read_endpoint_list(one.body)
            return self.merger.tell(one.source, one.at_us, listing.is_full, listing.entries)
        answer = read_health(json.dumps(one.body).encode(), self.meaning)
        for reason in answer.refused:
            self._line(f"line {one.number}: {one.source}: left out: {reason}")
        return self.merger.tell(one.source, one.at_us, True, answer.entries)

    def _print(self, step: Step) -> None:
        for entry in step.changes:
            words = self.merger.words((entry.host, entry.port))
            told = ", ".join(f"{name}: {word.value}" for name, word in words.items())
            self._line(f"{_named(entry)}  {entry.endpoint.readiness.value} ({told})")
        for note in step.notes:
            self._line(f"they disagree: {note}")

    def _line(self, text: str) -> None:
        print(f"{(self.now_us - self.begun_us) / 1e6:9.3f} s  {text}")


def _named(entry: ListedEndpoint) -> str:
    return f"{entry.endpoint.id} at {entry.host}:{entry.port}"
