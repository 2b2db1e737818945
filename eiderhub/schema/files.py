"""Files from disk to values, each value with its line. Whatever the file is, the answer is a value or a finding."""

from __future__ import annotations

import json
import os
import re
import stat
from typing import Any, NoReturn

from eiderhub.schema.findings import KeyPath, Location, Report

MAX_FILE_BYTES = 8 << 20  # of one file: a list of a thousand endpoints takes 300 KB
MAX_READ_ATTEMPTS = 3  # at a file that changes while it is read
CONSEQUENCE = "No sidecar starts from it"


class UnreadableFileError(Exception):
    """The file can't be read at all; the text names it and says why."""


def read_bytes(path: str) -> bytes:
    """The whole of a regular file, as it was at one moment. Raises `UnreadableFileError`; never waits on a pipe."""
    for _ in range(MAX_READ_ATTEMPTS):
        content = _read_once(path)
        if content is not None:
            return content
    raise UnreadableFileError(f"{path}: it changes while it is read; write a new file and rename it")


def _read_once(path: str) -> bytes | None:
    try:
        # Without O_NONBLOCK the mere opening of a pipe would wait for a writer.
        number = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        raise UnreadableFileError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        before = os.fstat(number)
        if not stat.S_ISREG(before.st_mode):
            raise UnreadableFileError(f"{path}: {'a folder' if stat.S_ISDIR(before.st_mode) else 'no regular file'}")
        if before.st_size > MAX_FILE_BYTES:
            raise UnreadableFileError(f"{path}: {before.st_size} bytes; {MAX_FILE_BYTES} are the most")
        content = _read_all(number)
        after = os.fstat(number)
    finally:
        os.close(number)
    try:
        replaced = os.stat(path).st_ino != after.st_ino
    except OSError:
        replaced = True
    same = (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size)
    return content if same and not replaced and len(content) == after.st_size else None


def _read_all(number: int) -> bytes:
    parts = []
    left = MAX_FILE_BYTES + 1
    while left > 0 and (part := os.read(number, left)):
        parts.append(part)
        left -= len(part)
    return b"".join(parts)


def decode_text(content: bytes, location: Location) -> str | None:
    """UTF-8 with no mark ahead; the finding names the line of the first byte that is not."""
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        location.report.lines[()] = content.count(b"\n", 0, error.start) + 1
        location.error("encoding", f"byte {error.start} is no UTF-8", CONSEQUENCE, "Save the file as UTF-8")
        return None
    if text.startswith("\ufeff"):
        location.report.lines[()] = 1
        location.error(
            "bom", "a byte order mark stands ahead of the text", CONSEQUENCE, "Save it as UTF-8 without a mark"
        )
        return None
    if "\0" in text:
        location.report.lines[()] = text.count("\n", 0, text.index("\0")) + 1
        location.error("encoding", "a NUL byte in the text", CONSEQUENCE, "Save the file as plain text")
        return None
    return text


# --- JSON ---


def _no_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is no number in JSON")


def parse_json(text: str, report: Report) -> Any:
    """The document, or None with a finding. Keys that are given twice are findings too."""
    location = Location(report)
    try:
        value = json.loads(text, parse_constant=_no_constant)
    except json.JSONDecodeError as error:
        report.lines[()] = error.lineno
        location.error("syntax", f"no JSON: {error.msg} (column {error.colno})", CONSEQUENCE, "Mend it there")
        return None
    except RecursionError:
        location.error("nesting", "nested too deep", CONSEQUENCE, "A configuration has some six levels")
        return None
    except ValueError as error:
        report.lines[()] = _line_of_constant(text)
        location.error("number", str(error).split(";")[0], CONSEQUENCE, "Write a plain number")
        return None
    report.lines = {}
    for path, line in _json_keys(text):
        if path in report.lines:
            report.lines[path] = line
            Location(report, path).error(
                "twice", "the key is given twice", "The later one counts, unseen", "Keep one of them"
            )
        report.lines[path] = line
    return value


def _line_of_constant(text: str) -> int:
    match = re.search(r"\b(NaN|Infinity)\b|-?[0-9]{4000,}", text)
    return text.count("\n", 0, match.start()) + 1 if match else 0


_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],:]|[^\s{}\[\],:"]+|\n')


def _json_keys(text: str) -> list[tuple[KeyPath, int]]:
    """Each value's path and line, in order, of a text that is known to be JSON."""
    found: list[tuple[KeyPath, int]] = [((), 1)]
    stack: list[str | int | None] = []  # of each open container: the key or the place that comes next
    line = 1
    pending: str | None = None
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token == "\n":
            line += 1
        elif token in "]}":
            stack.pop()
        elif token == ":":
            assert pending is not None
            stack[-1] = json.loads(pending)
            found.append((tuple(s for s in stack if s is not None), line))
            pending = None
        elif token == ",":
            if isinstance(stack[-1], int):
                stack[-1] += 1
            else:
                stack[-1] = None
        else:
            if stack and isinstance(stack[-1], int):
                found.append((tuple(s for s in stack if s is not None), line))
            if token in "{[":
                stack.append(0 if token == "[" else None)
            elif stack and stack[-1] is None:
                pending = token
    return found


# --- TOML ---


def parse_toml(text: str, report: Report) -> dict[str, Any] | None:
    """The document, or None with a finding."""
    import tomllib  # here, since a reload without an operator's file reads none

    location = Location(report)
    try:
        value = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        place = re.search(r"\(at line (\d+), column (\d+)\)", str(error))
        report.lines[()] = int(place[1]) if place else len(text.splitlines())
        what = str(error).split(" (at ")[0]
        location.error("syntax", f"no TOML: {what}", CONSEQUENCE, "Mend it there")
        return None
    except RecursionError:
        location.error("nesting", "nested too deep", CONSEQUENCE, "A configuration has some four levels")
        return None
    except ValueError as error:
        location.error("number", str(error).split(";")[0], CONSEQUENCE, "Write a plain number")
        return None
    report.lines = _toml_keys(text)
    return value


_KEY = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"(?:[^"\\]|\\.)*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"(?:[^"\\]|\\.)*"|'[^']*'))*)\s*="""
)
_HEADER = re.compile(r"\s*(\[\[?)\s*(.*?)\s*\]\]?\s*(?:#.*)?$")
_QUIET = re.compile(r'''"""|\'\'\'|"(?:[^"\\\n]|\\.)*"|'[^'\n]*'|#.*|[\[\]{}]''')


def _steps(text: str) -> tuple[str, ...]:
    """The parts of a dotted key, quotes and escapes undone by the reader of the document itself."""
    import tomllib

    try:
        value: Any = tomllib.loads(f"{text} = 0")
    except tomllib.TOMLDecodeError:
        return (text,)
    found = []
    while isinstance(value, dict):
        ((step, value),) = value.items()
        found.append(step)
    return tuple(found)


def _toml_keys(text: str) -> dict[KeyPath, int]:
    """The line of each key, of a text that is known to be TOML; what stands inside a value has that value's line."""
    lines: dict[KeyPath, int] = {(): 1}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
    depth, quote = 0, ""
    for number, line in enumerate(text.split("\n"), 1):
        if not depth and not quote:
            header, key = _HEADER.match(line), _KEY.match(line)
            if header and not key:
                table = _resolve(_steps(header[2]), header[1] == "[[", counts)
                lines.setdefault(table, number)
                for end in range(len(table)):
                    lines.setdefault(table[:end], number)
                continue
            if key:
                path = (*table, *_steps(key[1]))
                for end in range(len(table) + 1, len(path) + 1):
                    lines.setdefault(path[:end], number)
                line = line[key.end() :]
        depth, quote = _still_open(line, depth, quote)
    return lines


def _resolve(steps: tuple[str, ...], is_row: bool, counts: dict[KeyPath, int]) -> KeyPath:
    """A header's path, with the places of the rows that it lies in."""
    path: KeyPath = ()
    for n, step in enumerate(steps):
        path = (*path, step)
        if n == len(steps) - 1 and is_row:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path = (*path, counts[path] - 1)
    return path


def _still_open(line: str, depth: int, quote: str) -> tuple[int, str]:
    """Brackets and long strings that are open at the end of a line."""
    at = 0
    while True:
        if quote:
            end = line.find(quote, at)
            if end < 0:
                return depth, quote
            at, quote = end + 3, ""
        match = _QUIET.search(line, at)
        if match is None:
            return depth, quote
        at = match.end()
        if match[0] in ('"""', "'''"):
            quote = match[0]
        elif match[0] in ("[", "{"):
            depth += 1
        elif match[0] in ("]", "}"):
            depth -= 1
