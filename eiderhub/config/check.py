"""Checks files, folders and a fleet: which files belong together, and what only shows across them."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from eiderhub.config import describe
from eiderhub.config.across import across
from eiderhub.config.load import Examined, Source, examine
from eiderhub.config.write import outcome
from eiderhub.schema.files import UnreadableFileError, decode_text, parse_toml, read_bytes
from eiderhub.schema.findings import Finding, Location, Report, Severity, sort_findings

MOST_FILES = 10_000  # of one call: a fleet of a thousand applications has two each
SUFFIXES = (".json", ".toml")
PLATFORM_FILE = "balancer.toml"  # how the platform builds and runs the program: no configuration of a sidecar


class Unit(NamedTuple):
    """What is checked together: one sidecar's file, one operator's file, or both."""

    sidecar: str | None
    operator: str | None


@dataclass
class Result:
    findings: list[Finding] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    examined: list[Examined] = field(default_factory=list)
    files: int = 0

    @property
    def status(self) -> int:
        """2: a file can't be read; 1: errors; 0: sidecars would start and run soundly."""
        if self.unreadable:
            return 2
        return int(any(f.severity is Severity.ERROR for f in self.findings))


def check(paths: Sequence[str]) -> Result:
    """Check everything that these paths name. Never raises for what a file holds."""
    result = Result()
    files = list(_files(paths, result))
    result.files = len(files)
    descriptions = [path for path in files if path.endswith(".toml") and _is_description(path)]
    for path in descriptions:
        try:
            result.findings += outcome(path).findings
        except UnreadableFileError as error:  # it was there a moment ago; what else was found still counts
            result.unreadable.append(str(error))
    for unit in units([path for path in files if path not in descriptions]):
        try:
            examined = examine(Source.of(unit.sidecar), Source.of(unit.operator))
        except UnreadableFileError as error:
            result.unreadable.append(str(error))
            continue
        result.examined.append(examined)
    across(result.examined)
    for examined in result.examined:
        result.findings += examined.findings
    result.findings = sort_findings(result.findings)
    return result


def _files(paths: Sequence[str], result: Result) -> Iterator[str]:
    """All files that are meant, each once: what is named, and what lies in folders that are named."""
    seen: set[str] = set()
    for path in paths:
        found = list(_below(path)) if os.path.isdir(path) else [path]
        if not found:
            result.unreadable.append(f"{path}: no .json or .toml file in this folder")
        for file in found:
            if len(seen) >= MOST_FILES:
                result.unreadable.append(f"{path}: over {MOST_FILES} files")
                return
            if file not in seen:
                seen.add(file)
                if not file.endswith(SUFFIXES):
                    result.unreadable.append(f"{file}: neither .json nor .toml")
                elif _readable(file, result):
                    yield file


def _below(folder: str) -> Iterator[str]:
    for place, folders, names in os.walk(folder):
        folders.sort()
        for name in sorted(names):
            if name.endswith(SUFFIXES) and name != PLATFORM_FILE:
                yield os.path.join(place, name)


def _readable(path: str, result: Result) -> bool:
    try:
        read_bytes(path)
    except UnreadableFileError as error:
        result.unreadable.append(str(error))
        return False
    return True


def _is_description(path: str) -> bool:
    """Whether a TOML file is the writer's, and no operator's file: by its keys, which have none in common."""
    report = Report(path)
    try:
        text = decode_text(read_bytes(path), Location(report))
    except UnreadableFileError:
        return False
    document = parse_toml(text, report) if text is not None else None
    return document is not None and describe.is_description(document)


def units(files: Iterable[str]) -> list[Unit]:
    """Which files belong together: in one folder those of one stem, `sidecar` and `operator`, or the only two.

    Two files named alone from different folders belong together too, where there is one of each.
    """
    files = list(files)
    by_folder: dict[str, list[str]] = {}
    for path in files:
        by_folder.setdefault(os.path.dirname(path), []).append(path)
    if len(files) == 2 and {os.path.splitext(path)[1] for path in files} == set(SUFFIXES):
        by_folder = {"": files}
    found = []
    for group in by_folder.values():
        own = {_stem(path): path for path in group if path.endswith(".json")}
        theirs = {_stem(path): path for path in group if path.endswith(".toml")}
        if len(own) == len(theirs) == 1:
            found.append(Unit(*own.values(), *theirs.values()))
            continue
        for stem in sorted(own.keys() | theirs.keys()):
            found.append(Unit(own.get(stem), theirs.get(stem)))
    return found


def _stem(path: str) -> str:
    stem = os.path.basename(path).rsplit(".", 1)[0]
    return "" if stem in ("sidecar", "operator") else stem
