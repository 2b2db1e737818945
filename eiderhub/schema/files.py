"""Reads and decodes JSON and TOML files, and records the line of each key.

A file that can't be opened raises `UnreadableFileError`; any other error is a finding.
"""

from __future__ import annotations

import json
import os
import re
import stat
from typing import Any, NoReturn

from eiderhub.schema.findings import KeyPath, Location, Report

MAX_FILE_BYTES = 8 << 20  # a list of a thousand endpoints takes 300 KB
MAX_READ_ATTEMPTS = 3  # for a file that changes while it is read
CONSEQUENCE = "The sidecar would not start"


class UnreadableFileError(Exception):
    """The file can't be read; the message contains its path and the reason."""


def read_bytes(path: str) -> bytes:
    """Return a consistent snapshot of a regular file.

    Raises `UnreadableFileError`, also if the file keeps changing. Never blocks on a named pipe.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        content = _read_once(path)
        if content is not None:
            return content
    raise UnreadableFileError(f"{path}: the file changes while it is read; write a new file and rename it")


def _read_once(path: str) -> bytes | None:
    """Return the file's content, or None if the file was changed or replaced meanwhile."""
    try:
        # Without O_NONBLOCK, opening a named pipe would block until a writer opens it.
        fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        raise UnreadableFileError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        before = os.fstat(fd)
        if not stat.S_ISREG(before.st_mode):
            raise UnreadableFileError(
                f"{path}: {'is a folder' if stat.S_ISDIR(before.st_mode) else 'is not a regular file'}"
            )
        if before.st_size > MAX_FILE_BYTES:
            raise UnreadableFileError(f"{path}: {before.st_size} bytes; at most {MAX_FILE_BYTES} are allowed")
        content = _read_all(fd)
        after = os.fstat(fd)
    finally:
        os.close(fd)
    try:
        replaced = os.stat(path).st_ino != after.st_ino
    except OSError:
        replaced = True
    is_unchanged = (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size)
    return content if is_unchanged and not replaced and len(content) == after.st_size else None


def _read_all(fd: int) -> bytes:
    chunks = []
    bytes_left = MAX_FILE_BYTES + 1
    while bytes_left > 0 and (chunk := os.read(fd, bytes_left)):
        chunks.append(chunk)
        bytes_left -= len(chunk)
    return b"".join(chunks)


def decode_text(content: bytes, location: Location) -> str | None:
    """Decode UTF-8 without a byte order mark.

    Returns None after adding a finding; its line is that of the first invalid byte.
    """
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        location.report.lines[()] = content.count(b"\n", 0, error.start) + 1
        location.error("encoding", f"byte {error.start} is not valid UTF-8", CONSEQUENCE, "Save the file as UTF-8")
        return None
    if text.startswith("\ufeff"):
        location.report.lines[()] = 1
        location.error(
            "bom", "the text begins with a byte order mark", CONSEQUENCE, "Save it as UTF-8 without a byte order mark"
        )
        return None
    if "\0" in text:
        location.report.lines[()] = text.count("\n", 0, text.index("\0")) + 1
        location.error("encoding", "the text contains a NUL byte", CONSEQUENCE, "Save the file as plain text")
        return None
    return text


# --- JSON ---


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a number in JSON")


def parse_json(text: str, report: Report) -> Any:
    """Return the decoded document, or None after adding a finding; duplicate keys are findings too."""
    location = Location(report)
    try:
        value = json.loads(text, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        report.lines[()] = error.lineno
        location.error("syntax", f"invalid JSON: {error.msg} (column {error.colno})", CONSEQUENCE, "Correct it")
        return None
    except RecursionError:
        location.error("nesting", "nested too deeply", CONSEQUENCE, "Remove levels; a configuration needs about six")
        return None
    except ValueError as error:
        report.lines[()] = _line_of_constant(text)
        location.error("number", str(error).split(";")[0], CONSEQUENCE, "Write an ordinary number")
        return None
    report.lines = {}
    for path, line in _json_keys(text):
        if path in report.lines:
            report.lines[path] = line
            Location(report, path).error(
                "twice", "the key appears twice", "The earlier value would be ignored", "Remove one of them"
            )
        report.lines[path] = line
    return value


def _line_of_constant(text: str) -> int:
    """Return the line of the first NaN, Infinity or oversized integer, or 0."""
    match = re.search(r"\b(NaN|Infinity)\b|-?[0-9]{4000,}", text)
    return text.count("\n", 0, match.start()) + 1 if match else 0


_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],:]|[^\s{}\[\],:"]+|\n')


def _json_keys(text: str) -> list[tuple[KeyPath, int]]:
    """Return the path and line of each value of valid JSON text, in document order."""
    found: list[tuple[KeyPath, int]] = [((), 1)]
    stack: list[str | int | None] = []  # for each open container: the current key (None: not yet known) or index
    line = 1
    pending: str | None = None  # a string token that may be a key
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
    """Return the decoded document, or None after adding a finding."""
    import tomllib  # imported here, as a sidecar without an operator's file does not need it

    location = Location(report)
    try:
        value = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        position = re.search(r"\(at line (\d+), column (\d+)\)", str(error))
        report.lines[()] = int(position[1]) if position else len(text.splitlines())
        what = str(error).split(" (at ")[0]
        location.error("syntax", f"invalid TOML: {what}", CONSEQUENCE, "Correct it")
        return None
    except RecursionError:
        location.error("nesting", "nested too deeply", CONSEQUENCE, "Remove levels; a configuration needs about four")
        return None
    except ValueError as error:
        location.error("number", str(error).split(";")[0], CONSEQUENCE, "Write an ordinary number")
        return None
    report.lines = _toml_keys(text)
    return value


_KEY = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"(?:[^"\\]|\\.)*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"(?:[^"\\]|\\.)*"|'[^']*'))*)\s*="""
)
_HEADER = re.compile(r"\s*(\[\[?)\s*(.*?)\s*\]\]?\s*(?:#.*)?$")
# What opens or closes a value over several lines, and the strings and comments to skip while looking for it.
_DELIMITER = re.compile(r'''"""|\'\'\'|"(?:[^"\\\n]|\\.)*"|'[^'\n]*'|#.*|[\[\]{}]''')


def _split_key(text: str) -> tuple[str, ...]:
    """Split a dotted key; `tomllib` removes quotes and escapes."""
    import tomllib

    try:
        value: Any = tomllib.loads(f"{text} = 0")
    except tomllib.TOMLDecodeError:
        return (text,)
    steps = []
    while isinstance(value, dict):
        ((step, value),) = value.items()
        steps.append(step)
    return tuple(steps)


def _toml_keys(text: str) -> dict[KeyPath, int]:
    """Return the line of each key of valid TOML text. Keys inside a value are left out."""
    lines: dict[KeyPath, int] = {(): 1}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
    depth, quote = 0, ""
    for number, line in enumerate(text.split("\n"), 1):
        if not depth and not quote:
            header, key = _HEADER.match(line), _KEY.match(line)
            if header and not key:
                table = _resolve(_split_key(header[2]), header[1] == "[[", counts)
                lines.setdefault(table, number)
                for end in range(len(table)):
                    lines.setdefault(table[:end], number)
                continue
            if key:
                path = (*table, *_split_key(key[1]))
                for end in range(len(table) + 1, len(path) + 1):
                    lines.setdefault(path[:end], number)
                line = line[key.end() :]
        depth, quote = _still_open(line, depth, quote)
    return lines


def _resolve(steps: tuple[str, ...], is_row: bool, counts: dict[KeyPath, int]) -> KeyPath:
    """Return the path of a table header, with the indexes of the arrays of tables that contain it."""
    path: KeyPath = ()
    for n, step in enumerate(steps):
        path = (*path, step)
        if n == len(steps) - 1 and is_row:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path = (*path, counts[path] - 1)
    return path


def _still_open(line: str, depth: int, quote: str) -> tuple[int, str]:
    """Return the number of open brackets and the quotes of an open multi-line string at the end of a line."""
    position = 0
    while True:
        if quote:
            end = line.find(quote, position)
            if end < 0:
                return depth, quote
            position, quote = end + 3, ""
        match = _DELIMITER.search(line, position)
        if match is None:
            return depth, quote
        position = match.end()
        if match[0] in ('"""', "'''"):
            quote = match[0]
        elif match[0] in ("[", "{"):
            depth += 1
        elif match[0] in ("]", "}"):
            depth -= 1
