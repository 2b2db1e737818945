"""Findings of configuration checks: the location, what is wrong, the consequence and the remedy."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum

MAX_FINDINGS = 500  # per file; a file with more is probably of another kind, and further findings do not help

KeyPath = tuple[str | int, ...]  # keys of tables and indexes of lists, from the root of a document


class Severity(Enum):
    """How serious a finding is."""

    ERROR = "error"  # the sidecar would not start, would violate a guarantee, or would not do what the file says
    WARNING = "warning"  # the sidecar works correctly, but probably not as intended


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding. The field names are the keys of the JSON output."""

    file: str
    line: int  # counted from 1; 0: the whole file
    key: str  # as `format_key` formats it; "": the whole file
    code: str  # stable identifier of the kind of finding
    severity: Severity
    what: str  # what is wrong
    follows: str  # the consequence
    do: str  # the remedy

    def sort_key(self) -> tuple[str, int, str, str, str]:
        return (self.file, self.line, self.key, self.code, self.what)

    def as_dict(self) -> dict[str, str | int]:
        """Return the finding as it is written in the JSON output."""
        return {**asdict(self), "severity": self.severity.value}

    def __str__(self) -> str:
        position = f"{self.file}:{self.line}" if self.line else self.file
        key = f" {self.key}:" if self.key else ""
        remedy = self.do if self.do.endswith("?") else f"{self.do}."
        return f"{position}:{key} {self.severity.value} [{self.code}] {self.what}. {self.follows}. {remedy}"


def format_key(path: KeyPath) -> str:
    """Return a key path as text, such as `settings.Categories[0].Name`."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else step
    return text


class Report:
    """Collects the findings of one file; `lines` maps key paths to line numbers."""

    def __init__(self, file: str, lines: dict[KeyPath, int] | None = None) -> None:
        self.file = file
        self.lines = lines or {}
        self.findings: list[Finding] = []

    def line(self, path: KeyPath) -> int:
        """Return the line of a key, or of the innermost known container of it, or 0."""
        for end in range(len(path), -1, -1):
            if path[:end] in self.lines:
                return self.lines[path[:end]]
        return 0

    def add(self, severity: Severity, path: KeyPath, code: str, what: str, follows: str, do: str) -> None:
        """Add a finding at a key, unless the file has `MAX_FINDINGS` already."""
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(
                Finding(self.file, self.line(path), format_key(path), code, severity, what, follows, do)
            )

    @property
    def errors(self) -> list[Finding]:
        return [f for f in self.findings if f.severity is Severity.ERROR]


@dataclass(frozen=True, slots=True)
class Location:
    """A key of one file, to which findings can be added; `/` gives the location of a key or item inside it."""

    report: Report
    path: KeyPath = ()

    def __truediv__(self, step: str | int) -> Location:
        return Location(self.report, (*self.path, step))

    def error(self, code: str, what: str, follows: str, do: str) -> None:
        """Add an error: what is wrong, its consequence and the remedy, each without a final period."""
        self.report.add(Severity.ERROR, self.path, code, what, follows, do)

    def warn(self, code: str, what: str, follows: str, do: str) -> None:
        """Add a warning; see `error`."""
        self.report.add(Severity.WARNING, self.path, code, what, follows, do)

    def __str__(self) -> str:
        return format_key(self.path)


def sort_findings(findings: list[Finding]) -> list[Finding]:
    """Return the findings in the order of files and lines."""
    return sorted(findings, key=Finding.sort_key)
