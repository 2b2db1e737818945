"""What a check finds: file, line, key, what is wrong, what follows from it and what to do."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum

MAX_FINDINGS = 500  # findings told of one file: past that it is another kind of file, and the rest says nothing new

KeyPath = tuple[str | int, ...]


class Severity(Enum):
    ERROR = "error"  # it would break a rule, not start, or do something else than written
    WARNING = "warning"  # it runs soundly, but hardly as meant


@dataclass(frozen=True, slots=True)
class Finding:
    file: str
    line: int  # 0: the file as a whole
    key: str
    code: str
    severity: Severity
    what: str
    follows: str
    do: str

    def sort_key(self) -> tuple[str, int, str, str, str]:
        return (self.file, self.line, self.key, self.code, self.what)

    def as_dict(self) -> dict[str, str | int]:
        return {**asdict(self), "severity": self.severity.value}

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        key = f" {self.key}:" if self.key else ""
        do = self.do if self.do.endswith("?") else f"{self.do}."
        return f"{place}:{key} {self.severity.value} [{self.code}] {self.what}. {self.follows}. {do}"


def show_key(path: KeyPath) -> str:
    """`settings.Categories[0].Name`."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else step
    return text


class Report:
    """The findings of one file; `lines` tells where its keys stand."""

    def __init__(self, file: str, lines: dict[KeyPath, int] | None = None) -> None:
        self.file = file
        self.lines = lines or {}
        self.findings: list[Finding] = []

    def line(self, path: KeyPath) -> int:
        """The line of a key, or of the nearest that holds it."""
        for end in range(len(path), -1, -1):
            if path[:end] in self.lines:
                return self.lines[path[:end]]
        return 0

    def add(self, severity: Severity, path: KeyPath, code: str, what: str, follows: str, do: str) -> None:
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(self.file, self.line(path), show_key(path), code, severity, what, follows, do))

    @property
    def errors(self) -> list[Finding]:
        return [f for f in self.findings if f.severity is Severity.ERROR]


@dataclass(frozen=True, slots=True)
class Location:
    """A place in a file, to report on."""

    report: Report
    path: KeyPath = ()

    def __truediv__(self, step: str | int) -> Location:
        return Location(self.report, (*self.path, step))

    def error(self, code: str, what: str, follows: str, do: str) -> None:
        self.report.add(Severity.ERROR, self.path, code, what, follows, do)

    def warn(self, code: str, what: str, follows: str, do: str) -> None:
        self.report.add(Severity.WARNING, self.path, code, what, follows, do)

    def __str__(self) -> str:
        return show_key(self.path)


def sort_findings(findings: list[Finding]) -> list[Finding]:
    return sorted(findings, key=Finding.sort_key)
