"""`eiderhub members FILE`: replay recorded responses of several sources and print the resulting endpoint list.

The file holds one JSON object per line, in the order of arrival:

    {"at_ms": 1796169600000, "source": "platform", "body": {"generation": 1, "reset": true, "instances": []}}
    {"at_ms": 1796169600250, "source": "consul", "body": []}
    {"at_ms": 1796169631000, "source": "consul"}

`at_ms` is Unix time, like the endpoints' start times; printed times count from the first line. `source` is `platform`
(its own list format) or `consul`, followed by a colon and a name if there are several (`consul:bodega`). A line without
`body` means that the source answered without changes.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from eiderhub.interface import Readiness
from eiderhub.membership.consul.health import FieldMapping, read_health
from eiderhub.membership.endpoint_list import ListedEndpoint, read_endpoint_list
from eiderhub.membership.merger import Merger, MergeResult, SourcePolicy
from eiderhub.sidecar.clock import UNIX_OFFSET_US

SOURCE_KINDS = ("platform", "consul")  # in order of precedence


class RecordedResponse(NamedTuple):
    """One line of the file."""

    line: int
    received_us: int
    source: str
    body: Any  # None: no changes


def main(arguments: Sequence[str]) -> int:
    """Run the command; exit status 0: success, 1: some responses were malformed and skipped, 2: unreadable file."""
    options = _parser().parse_args(arguments)
    try:
        recorded = list(_read(options.file))
        policies = [SourcePolicy(name, round(options.caution * 1e6)) for name in _by_precedence(recorded)]
    except (OSError, ValueError) as error:
        print(f"eiderhub members: {error}", file=sys.stderr)
        return 2
    replay = _Replay(recorded, Merger(policies), FieldMapping(warning_state=Readiness(options.warning)))
    replay.run()
    return 1 if replay.malformed else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="eiderhub members", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("file", type=Path, help="recorded responses, one JSON object per line")
    parser.add_argument(
        "--warning", choices=("ready", "draining"), default="ready", help="state of an instance with a warning check"
    )
    parser.add_argument(
        "--caution",
        type=float,
        default=60.0,
        help="seconds for which a silent source's draining or removed state overrides another's ready state",
    )
    return parser


def _read(path: Path) -> Iterator[RecordedResponse]:
    last_us: int | None = None
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        try:
            row = json.loads(line)
            received_us = round(float(row["at_ms"]) * 1000) - UNIX_OFFSET_US
            recorded = RecordedResponse(number, received_us, str(row["source"]), row.get("body"))
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{path}:{number}: not a recorded response ({type(error).__name__}: {error})") from None
        if recorded.source.partition(":")[0] not in SOURCE_KINDS:
            raise ValueError(f"{path}:{number}: unknown source {recorded.source}: expected {' or '.join(SOURCE_KINDS)}")
        if last_us is not None and recorded.received_us < last_us:
            raise ValueError(f"{path}:{number}: earlier than the line before it")
        last_us = recorded.received_us
        yield recorded


def _by_precedence(recorded: Sequence[RecordedResponse]) -> list[str]:
    """Return the sources' names; zone and weight come from the platform's list first."""
    return sorted({one.source for one in recorded}, key=lambda name: (SOURCE_KINDS.index(name.partition(":")[0]), name))


class _Replay:
    """Feeds recorded responses to a merger and prints each change with its time."""

    def __init__(self, recorded: Sequence[RecordedResponse], merger: Merger, field_mapping: FieldMapping) -> None:
        self.recorded, self.merger, self.field_mapping = recorded, merger, field_mapping
        self.begun_us = self.now_us = recorded[0].received_us if recorded else 0
        self.malformed = 0  # responses that were skipped

    def run(self) -> None:
        for response in self.recorded:
            self._expire(response.received_us)
            self.now_us = response.received_us
            try:
                self._print_result(self._apply(response))
            except ValueError as error:
                self.malformed += 1
                self._print_line(f"line {response.line}: {response.source}: {error}; its previous list stays in force")
        self._expire(None)
        print(f"in the end: {len(self.merger.endpoints)} endpoints")
        for entry in sorted(self.merger.endpoints.values()):
            print(f"  {_describe(entry)}  {entry.endpoint.readiness.value}")

    def _expire(self, until_us: int | None) -> None:
        """Apply each expiry of an override before the next line, at its own time."""
        while (due_us := self.merger.next_expiry_us(self.now_us)) is not None and (
            until_us is None or due_us < until_us
        ):
            self.now_us = due_us
            self._print_result(self.merger.expire(due_us))

    def _apply(self, response: RecordedResponse) -> MergeResult:
        if response.body is None:
            return self.merger.confirm(response.source, response.received_us)
        if response.source.partition(":")[0] == "platform":
            listing = read_endpoint_list(response.body)
            return self.merger.update(response.source, response.received_us, listing.is_full, listing.entries)
        instances = read_health(json.dumps(response.body).encode(), self.field_mapping)
        for reason in instances.rejected:
            self._print_line(f"line {response.line}: {response.source}: left out: {reason}")
        return self.merger.update(response.source, response.received_us, True, instances.entries)

    def _print_result(self, result: MergeResult) -> None:
        for entry in result.changes:
            states = self.merger.reported_states((entry.host, entry.port))
            listed = ", ".join(f"{name}: {state.value}" for name, state in states.items())
            self._print_line(f"{_describe(entry)}  {entry.endpoint.readiness.value} ({listed})")
        for conflict in result.conflicts:
            self._print_line(f"sources disagree: {conflict}")

    def _print_line(self, text: str) -> None:
        print(f"{(self.now_us - self.begun_us) / 1e6:9.3f} s  {text}")


def _describe(entry: ListedEndpoint) -> str:
    return f"{entry.endpoint.id} at {entry.host}:{entry.port}"
