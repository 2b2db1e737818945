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

from eiderhub.schema.findings import Spot
from eiderhub.schema.units import parse_duration, parse_size, show_duration, show_size

BAD: Final = object()  # in place of a value that could not be read: the finding stands already
REQUIRED: Final = object()
HOUR_US = 3_600_000_000  # no caller waits longer
NAME = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"


class Kind(Protocol):
    """How one value is written."""

    # A property: the words may be fixed, or follow from the kind's own fields.

    @property
    def words(self) -> str:
        """What may stand there, for people."""

    def read(self, value: object, spot: Spot) -> Any:
        """The value in the program's terms, or `BAD` with findings at `spot`."""


def wrong(spot: Spot, value: object, words: str, code: str = "value") -> Any:
    shown = repr(value)
    shown = shown if len(shown) <= 60 else shown[:57] + "..."
    spot.error(code, f"{shown} is not {words}", "No sidecar starts from it", f"Write {words}")
    return BAD


LIKELY, SURE = 0.6, 0.8  # how alike two names are that may, or must, be meant for one


def nearest(name: str, known: Iterable[str], alike: float = LIKELY) -> str | None:
    """The known name that was probably meant."""
    import difflib  # only for what is wrong: a reload of a sound file has no use for it

    folded = {k.casefold(): k for k in known}
    found = difflib.get_close_matches(name.casefold(), folded, 1, alike)
    return folded[found[0]] if found else None


def did_you_mean(name: str, known: Iterable[str]) -> str:
    found = sorted(known)
    near = nearest(name, found)
    return f"Did you mean {near!r}?" if near else f"Known are: {', '.join(found) or 'none'}"


@dataclass(frozen=True)
class Text:
    """Text, whole by a pattern."""

    pattern: str = r"(?s).{1,256}"
    words: str = "a text"

    def read(self, value: object, spot: Spot) -> Any:
        if isinstance(value, str) and re.fullmatch(self.pattern, value):
            return value
        return wrong(spot, value, self.words)


NAME_TEXT = Text(NAME, "a name of letters, digits, '.', '_' and '-'")


@dataclass(frozen=True)
class Choice:
    names: tuple[str, ...]

    @property
    def words(self) -> str:
        return "one of " + ", ".join(f'"{name}"' for name in self.names)

    def read(self, value: object, spot: Spot) -> Any:
        return value if isinstance(value, str) and value in self.names else wrong(spot, value, self.words)


@dataclass(frozen=True)
class Flag:
    words: str = "true or false"

    def read(self, value: object, spot: Spot) -> Any:
        return value if isinstance(value, bool) else wrong(spot, value, self.words)


@dataclass(frozen=True)
class Int:
    low: int
    high: int
    unit: str = ""

    @property
    def words(self) -> str:
        return f"a whole number from {self.low} to {self.high}{' ' * bool(self.unit)}{self.unit}"

    def read(self, value: object, spot: Spot) -> Any:
        if isinstance(value, int) and not isinstance(value, bool) and self.low <= value <= self.high:
            return value
        return wrong(spot, value, self.words, "range" if isinstance(value, int | float) else "value")


@dataclass(frozen=True)
class Number:
    low: float
    high: float
    unit: str = ""

    @property
    def words(self) -> str:
        return f"a number from {self.low:g} to {self.high:g}{' ' * bool(self.unit)}{self.unit}"

    def read(self, value: object, spot: Spot) -> Any:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return wrong(spot, value, self.words)
        # Compared before it is made a float: a huge whole number has none.
        if (isinstance(value, float) and not math.isfinite(value)) or not self.low <= value <= self.high:
            return wrong(spot, value, self.words, "range")
        return float(value)


@dataclass(frozen=True)
class Duration:
    """Microseconds inside; written with a unit."""

    low: int
    high: int

    @property
    def words(self) -> str:
        return f'a time such as "250ms", from {show_duration(self.low)} to {show_duration(self.high)}'

    def read(self, value: object, spot: Spot) -> Any:
        return _measure(value, spot, parse_duration, self.low, self.high, self.words)


@dataclass(frozen=True)
class Size:
    """Bytes inside; written with a unit."""

    low: int
    high: int

    @property
    def words(self) -> str:
        return f'a size such as "64MiB", from {show_size(self.low)} to {show_size(self.high)}'

    def read(self, value: object, spot: Spot) -> Any:
        return _measure(value, spot, parse_size, self.low, self.high, self.words)


def _measure(value: object, spot: Spot, parse: Any, low: int, high: int, words: str) -> Any:
    if not isinstance(value, str):
        return wrong(spot, value, words, "unit" if isinstance(value, int | float) else "value")
    try:
        amount = parse(value)
    except ValueError as error:
        spot.error("unit", str(error), "No sidecar starts from it", f"Write {words}")
        return BAD
    return amount if low <= amount <= high else wrong(spot, value, words, "range")


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port; no name, for nothing looks names up."""

    least: int = 0  # port
    words: str = 'an address such as "127.0.0.1:9090"'

    def read(self, value: object, spot: Spot) -> Any:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        try:
            ip_address(host.strip("[]"))
        except ValueError:
            return wrong(spot, value, self.words, "address")
        if not (port.isascii() and port.isdigit()) or not self.least <= int(port) <= 65535:
            return wrong(spot, value, self.words, "address")
        return host.strip("[]"), int(port)


@dataclass(frozen=True)
class Several:
    """One value or a list of them."""

    kind: Kind
    most: int = 64

    @property
    def words(self) -> str:
        return f"{self.kind.words}, or a list of such"

    def read(self, value: object, spot: Spot) -> Any:
        if not isinstance(value, list):
            one = self.kind.read(value, spot)
            return BAD if one is BAD else (one,)
        if not value or len(value) > self.most:
            return wrong(spot, value, f"a list of 1 to {self.most}")
        read = [self.kind.read(item, spot / i) for i, item in enumerate(value)]
        return BAD if any(item is BAD for item in read) else tuple(read)


@dataclass(frozen=True)
class Rows:
    """A list of tables, or of whatever `kind` is."""

    kind: Kind
    most: int = 10_000

    @property
    def words(self) -> str:
        return f"a list of {self.kind.words}"

    def read(self, value: object, spot: Spot) -> Any:
        if not isinstance(value, list) or len(value) > self.most:
            return wrong(spot, value, f"{self.words}, {self.most} at the most")
        return [row for i, item in enumerate(value) if (row := self.kind.read(item, spot / i)) is not BAD]


@dataclass(frozen=True)
class Placed:
    """A value with its place, for checks that come after the reading."""

    kind: Kind

    @property
    def words(self) -> str:
        return self.kind.words

    def read(self, value: object, spot: Spot) -> Any:
        read = self.kind.read(value, spot)
        return BAD if read is BAD else (spot, read)


@dataclass(frozen=True)
class Named:
    """A table of names that the user gives, each with a value of one kind."""

    kind: Kind
    name: str = NAME
    most: int = 1000

    @property
    def words(self) -> str:
        return f"a table of names, each with {self.kind.words}"

    def read(self, value: object, spot: Spot) -> Any:
        if not isinstance(value, dict) or len(value) > self.most:
            return wrong(spot, value, f"a table, {self.most} entries at the most")
        found = {}
        for name, item in value.items():
            if not re.fullmatch(self.name, name):
                wrong(spot / name, name, f"a name like {self.name}", "name")
                continue
            read = self.kind.read(item, spot / name)
            if read is not BAD:
                found[name] = read
        return found


@dataclass(frozen=True)
class Key:
    """One key of a table."""

    name: str
    kind: Kind
    help: str
    default: Any = REQUIRED


@dataclass(frozen=True)
class Table:
    """A table with known keys. `foreign` tolerates others, as the platform's own files may bring some."""

    keys: Sequence[Key]
    foreign: bool = False
    words: str = "a table"
    by_name: Mapping[str, Key] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {key.name: key for key in self.keys})

    def read(self, value: object, spot: Spot) -> Any:
        if not isinstance(value, dict):
            return wrong(spot, value, self.words)
        for name in value:
            if name not in self.by_name:
                self._unknown(name, spot / name)
        found = {}
        for key in self.keys:
            if value.get(key.name) is not None:
                found[key.name] = key.kind.read(value[key.name], spot / key.name)
            elif key.default is REQUIRED:
                (spot / key.name).error(
                    "missing", "the key is missing", "No sidecar starts from it", f"Give it: {key.help}"
                )
                found[key.name] = BAD
            else:
                found[key.name] = key.default
        if self.foreign:  # what could be read is held against the rest all the same
            return {name: read for name, read in found.items() if read is not BAD}
        return BAD if any(read is BAD for read in found.values()) else found

    def _unknown(self, name: str, spot: Spot) -> None:
        if self.foreign and nearest(name, self.by_name, SURE) is None:
            spot.warn("unknown-key", "the key is not known", "It is skipped", "Leave it out if it is yours")
        else:
            spot.error(
                "unknown-key",
                "the key is not known",
                "What it says would not be done",
                did_you_mean(name, self.by_name),
            )
