"""Checks files, folders and fleets: finds the files, groups those that belong together and checks across groups."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from eiderhub.config import description
from eiderhub.config.consistency import check_consistency
from eiderhub.config.load import ExaminedFiles, SourceFile, examine
from eiderhub.config.write import generate
from eiderhub.schema.files import UnreadableFileError, decode_text, parse_toml, read_bytes
from eiderhub.schema.findings import Finding, Location, Report, Severity, sort_findings

MAX_FILES = 10_000  # per run; a fleet of 1,000 applications has 2,000 files
SUFFIXES = (".json", ".toml")
PLATFORM_FILE = "balancer.toml"  # how the platform builds and runs the program; not a sidecar's configuration


class FileGroup(NamedTuple):
    """Files that are checked together: one sidecar's file, one operator's file, or both."""

    sidecar: str | None
    operator: str | None


@dataclass
class CheckResult:
    """Findings and unreadable files of one run."""

    findings: list[Finding] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    examined: list[ExaminedFiles] = field(default_factory=list)
    files: int = 0

    @property
    def status(self) -> int:
        """The exit status. 2: a file can't be read; 1: errors; 0: no errors."""
        if self.unreadable:
            return 2
        return int(any(f.severity is Severity.ERROR for f in self.findings))


def check(paths: Sequence[str]) -> CheckResult:
    """Check the files and folders at these paths. Never raises for the content of a file."""
    result = CheckResult()
    files = list(_find_files(paths, result))
    result.files = len(files)
    descriptions = [path for path in files if path.endswith(".toml") and _is_description(path)]
    for path in descriptions:
        try:
            result.findings += generate(path).findings
        except UnreadableFileError as error:  # removed since it was listed; keep the other findings
            result.unreadable.append(str(error))
    for group in group_files([path for path in files if path not in descriptions]):
        try:
            examined = examine(SourceFile.read(group.sidecar), SourceFile.read(group.operator))
        except UnreadableFileError as error:
            result.unreadable.append(str(error))
            continue
        result.examined.append(examined)
    check_consistency(result.examined)
    for examined in result.examined:
        result.findings += examined.findings
    result.findings = sort_findings(result.findings)
    return result


def _find_files(paths: Sequence[str], result: CheckResult) -> Iterator[str]:
    """Yield the named files and the files in named folders, each once."""
    seen: set[str] = set()
    for path in paths:
        found = list(_files_below(path)) if os.path.isdir(path) else [path]
        if not found:
            result.unreadable.append(f"{path}: no .json or .toml file in this folder")
        for file in found:
            if len(seen) >= MAX_FILES:
                result.unreadable.append(f"{path}: over {MAX_FILES} files")
                return
            if file not in seen:
                seen.add(file)
                if not file.endswith(SUFFIXES):
                    result.unreadable.append(f"{file}: neither .json nor .toml")
                elif _is_readable(file, result):
                    yield file


def _files_below(folder: str) -> Iterator[str]:
    for parent, folders, names in os.walk(folder):
        folders.sort()
        for name in sorted(names):
            if name.endswith(SUFFIXES) and name != PLATFORM_FILE:
                yield os.path.join(parent, name)


def _is_readable(path: str, result: CheckResult) -> bool:
    try:
        read_bytes(path)
    except UnreadableFileError as error:
        result.unreadable.append(str(error))
        return False
    return True


def _is_description(path: str) -> bool:
    """Return whether a TOML file is a description; its keys differ from those of an operator's file."""
    report = Report(path)
    try:
        text = decode_text(read_bytes(path), Location(report))
    except UnreadableFileError:
        return False
    document = parse_toml(text, report) if text is not None else None
    return document is not None and description.is_description(document)


def group_files(files: Iterable[str]) -> list[FileGroup]:
    """Group the files that belong to one sidecar.

    In one folder these are files of the same stem, `sidecar` and `operator`, or the only .json and the only .toml file.
    One .json and one .toml file from different folders form a group if there are no other files.
    """
    files = list(files)
    by_folder: dict[str, list[str]] = {}
    for path in files:
        by_folder.setdefault(os.path.dirname(path), []).append(path)
    if len(files) == 2 and {os.path.splitext(path)[1] for path in files} == set(SUFFIXES):
        by_folder = {"": files}
    found = []
    for group in by_folder.values():
        json_by_stem = {_stem(path): path for path in group if path.endswith(".json")}
        toml_by_stem = {_stem(path): path for path in group if path.endswith(".toml")}
        if len(json_by_stem) == len(toml_by_stem) == 1:
            found.append(FileGroup(*json_by_stem.values(), *toml_by_stem.values()))
            continue
        for stem in sorted(json_by_stem.keys() | toml_by_stem.keys()):
            found.append(FileGroup(json_by_stem.get(stem), toml_by_stem.get(stem)))
    return found


def _stem(path: str) -> str:
    stem = os.path.basename(path).rsplit(".", 1)[0]
    return "" if stem in ("sidecar", "operator") else stem
