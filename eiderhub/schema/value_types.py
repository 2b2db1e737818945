"""Declared keys: their types, units, ranges and defaults, and one reading of them that finds all faults at once.

Why not a decoder library here: msgspec and its like stop at the first fault and know neither lines nor units, and a
checker has to tell all faults with their lines. Decoding text is left to `tomllib` and `json` of Python itself, so that
the sidecar carries no library more (docs/design/configuration.md has the comparison).
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any, Final, Protocol

from eiderhub.schema.findings import Location
from eiderhub.schema.units import format_duration, format_size, parse_duration, parse_size

INVALID: Final = object()  # in place of a value that could not be read: the finding stands already
REQUIRED: Final = object()
HOUR_US = 3_600_000_000  # no caller waits longer
NAME = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"


class ValueType(Protocol):
    """How one value is written."""

    # A property: the words may be fixed, or follow from the kind's own fields.

    @property
    def description(self) -> str:
        """What may stand there, for people."""

    def read(self, value: object, location: Location) -> Any:
        """The value in the program's terms, or `BAD` with findings at `spot`."""


def report_invalid(location: Location, value: object, description: str, code: str = "value") -> Any:
    shown = repr(value)
    shown = shown if len(shown) <= 60 else shown[:57] + "..."
    location.error(code, f"{shown} is not {description}", "No sidecar starts from it", f"Write {description}")
    return INVALID


POSSIBLE_MATCH, LIKELY_MATCH = 0.6, 0.8  # how alike two names are that may, or must, be meant for one


def closest_name(name: str, known: Iterable[str], similarity: float = POSSIBLE_MATCH) -> str | None:
    """The known name that was probably meant."""
    import difflib  # only for what is wrong: a reload of a sound file has no use for it

    folded = {k.casefold(): k for k in known}
    found = difflib.get_close_matches(name.casefold(), folded, 1, similarity)
    return folded[found[0]] if found else None


def did_you_mean(name: str, known: Iterable[str]) -> str:
    found = sorted(known)
    near = closest_name(name, found)
    return f"Did you mean {near!r}?" if near else f"Known are: {', '.join(found) or 'none'}"


@dataclass(frozen=True)
class Text:
    """Text, whole by a pattern."""

    pattern: str = r"(?s).{1,256}"
    description: str = "a text"

    def read(self, value: object, location: Location) -> Any:
        if isinstance(value, str) and re.fullmatch(self.pattern, value):
            return value
        return report_invalid(location, value, self.description)


NAME_TEXT = Text(NAME, "a name of letters, digits, '.', '_' and '-'")


@dataclass(frozen=True)
class Choice:
    names: tuple[str, ...]

    @property
    def description(self) -> str:
        return "one of " + ", ".join(f'"{name}"' for name in self.names)

    def read(self, value: object, location: Location) -> Any:
        return (
            value
            if isinstance(value, str) and value in self.names
            else report_invalid(location, value, self.description)
        )


@dataclass(frozen=True)
class Flag:
    description: str = "true or false"

    def read(self, value: object, location: Location) -> Any:
        return value if isinstance(value, bool) else report_invalid(location, value, self.description)


@dataclass(frozen=True)
class Int:
    low: int
    high: int
    unit: str = ""

    @property
    def description(self) -> str:
        return f"a whole number from {self.low} to {self.high}{' ' * bool(self.unit)}{self.unit}"

    def read(self, value: object, location: Location) -> Any:
        if isinstance(value, int) and not isinstance(value, bool) and self.low <= value <= self.high:
            return value
        return report_invalid(location, value, self.description, "range" if isinstance(value, int | float) else "value")


@dataclass(frozen=True)
class Number:
    low: float
    high: float
    unit: str = ""

    @property
    def description(self) -> str:
        return f"a number from {self.low:g} to {self.high:g}{' ' * bool(self.unit)}{self.unit}"

    def read(self, value: object, location: Location) -> Any:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return report_invalid(location, value, self.description)
        # Compared before it is made a float: a huge whole number has none.
        if (isinstance(value, float) and not math.isfinite(value)) or not self.low <= value <= self.high:
            return report_invalid(location, value, self.description, "range")
        return float(value)


@dataclass(frozen=True)
class Duration:
    """Microseconds inside; written with a unit."""

    low: int
    high: int

    @property
    def description(self) -> str:
        return f'a time such as "250ms", from {format_duration(self.low)} to {format_duration(self.high)}'

    def read(self, value: object, location: Location) -> Any:
        return _measure(value, location, parse_duration, self.low, self.high, self.description)


@dataclass(frozen=True)
class Size:
    """Bytes inside; written with a unit."""

    low: int
    high: int

    @property
    def description(self) -> str:
        return f'a size such as "64MiB", from {format_size(self.low)} to {format_size(self.high)}'

    def read(self, value: object, location: Location) -> Any:
        return _measure(value, location, parse_size, self.low, self.high, self.description)


def _measure(value: object, location: Location, parse: Any, low: int, high: int, description: str) -> Any:
    if not isinstance(value, str):
        return report_invalid(location, value, description, "unit" if isinstance(value, int | float) else "value")
    try:
        amount = parse(value)
    except ValueError as error:
        location.error("unit", str(error), "No sidecar starts from it", f"Write {description}")
        return INVALID
    return amount if low <= amount <= high else report_invalid(location, value, description, "range")


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port; no name, for nothing looks names up."""

    min_port: int = 0  # port
    description: str = 'an address such as "127.0.0.1:9090"'

    def read(self, value: object, location: Location) -> Any:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        try:
            ip_address(host.strip("[]"))
        except ValueError:
            return report_invalid(location, value, self.description, "address")
        if not (port.isascii() and port.isdigit()) or not self.min_port <= int(port) <= 65535:
            return report_invalid(location, value, self.description, "address")
        return host.strip("[]"), int(port)


@dataclass(frozen=True)
class OneOrMore:
    """One value or a list of them."""

    value_type: ValueType
    max_items: int = 64

    @property
    def description(self) -> str:
        return f"{self.value_type.description}, or a list of such"

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, list):
            one = self.value_type.read(value, location)
            return INVALID if one is INVALID else (one,)
        if not value or len(value) > self.max_items:
            return report_invalid(location, value, f"a list of 1 to {self.max_items}")
        read = [self.value_type.read(item, location / i) for i, item in enumerate(value)]
        return INVALID if any(item is INVALID for item in read) else tuple(read)


@dataclass(frozen=True)
class ListOf:
    """A list of tables, or of whatever `kind` is."""

    value_type: ValueType
    max_items: int = 10_000

    @property
    def description(self) -> str:
        return f"a list of {self.value_type.description}"

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, list) or len(value) > self.max_items:
            return report_invalid(location, value, f"{self.description}, {self.max_items} at the most")
        return [row for i, item in enumerate(value) if (row := self.value_type.read(item, location / i)) is not INVALID]


@dataclass(frozen=True)
class Located:
    """A value with its place, for checks that come after the reading."""

    value_type: ValueType

    @property
    def description(self) -> str:
        return self.value_type.description

    def read(self, value: object, location: Location) -> Any:
        read = self.value_type.read(value, location)
        return INVALID if read is INVALID else (location, read)


@dataclass(frozen=True)
class MapOf:
    """A table of names that the user gives, each with a value of one kind."""

    value_type: ValueType
    name: str = NAME
    max_items: int = 1000

    @property
    def description(self) -> str:
        return f"a table of names, each with {self.value_type.description}"

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, dict) or len(value) > self.max_items:
            return report_invalid(location, value, f"a table, {self.max_items} entries at the most")
        found = {}
        for name, item in value.items():
            if not re.fullmatch(self.name, name):
                report_invalid(location / name, name, f"a name like {self.name}", "name")
                continue
            read = self.value_type.read(item, location / name)
            if read is not INVALID:
                found[name] = read
        return found


@dataclass(frozen=True)
class Key:
    """One key of a table."""

    name: str
    value_type: ValueType
    help: str
    default: Any = REQUIRED


@dataclass(frozen=True)
class Table:
    """A table with known keys. `foreign` tolerates others, as the platform's own files may bring some."""

    keys: Sequence[Key]
    allows_unknown: bool = False
    description: str = "a table"
    by_name: Mapping[str, Key] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {key.name: key for key in self.keys})

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, dict):
            return report_invalid(location, value, self.description)
        for name in value:
            if name not in self.by_name:
                self._unknown(name, location / name)
        found = {}
        for key in self.keys:
            if value.get(key.name) is not None:
                found[key.name] = key.value_type.read(value[key.name], location / key.name)
            elif key.default is REQUIRED:
                (location / key.name).error(
                    "missing", "the key is missing", "No sidecar starts from it", f"Give it: {key.help}"
                )
                found[key.name] = INVALID
            else:
                found[key.name] = key.default
        if self.allows_unknown:  # what could be read is held against the rest all the same
            return {name: read for name, read in found.items() if read is not INVALID}
        return INVALID if any(read is INVALID for read in found.values()) else found

    def _unknown(self, name: str, location: Location) -> None:
        if self.allows_unknown and closest_name(name, self.by_name, LIKELY_MATCH) is None:
            location.warn("unknown-key", "the key is not known", "It is skipped", "Leave it out if it is yours")
        else:
            location.error(
                "unknown-key",
                "the key is not known",
                "What it says would not be done",
                did_you_mean(name, self.by_name),
            )
