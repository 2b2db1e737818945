"""Types of configuration values: how keys, units, ranges and defaults are declared, validated and converted.

Reading a table reports all errors at once, each with its line. Decoder libraries such as msgspec stop at the first
error and know neither lines nor units. Text is decoded by `tomllib` and `json` of the standard library, so that the
sidecar needs no further dependency (docs/design/configuration.md compares the alternatives).
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

INVALID: Final = object()  # returned for an invalid value, after a finding was added
REQUIRED: Final = object()  # the default of keys that must be present
HOUR_US = 3_600_000_000  # upper bound of most durations: no caller waits longer
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"


class ValueType(Protocol):
    """Validates and converts one decoded value."""

    # A property, because some types have a fixed description and others derive it from their fields.

    @property
    def description(self) -> str:
        """Describe the allowed values, for error messages."""

    def read(self, value: object, location: Location) -> Any:
        """Return the converted value, or add findings at `location` and return `INVALID`."""


def report_invalid(location: Location, value: object, description: str, code: str = "value") -> Any:
    """Add an error saying that the value is not what `description` allows, and return `INVALID`."""
    shown = repr(value)
    shown = shown if len(shown) <= 60 else shown[:57] + "..."
    location.error(code, f"{shown} is not {description}", "The sidecar would not start", f"Write {description}")
    return INVALID


# Minimum similarity (the ratio of `difflib`) to suggest a known name, and to treat an unknown key as a misspelling.
POSSIBLE_MATCH, LIKELY_MATCH = 0.6, 0.8


def closest_name(name: str, known: Iterable[str], similarity: float = POSSIBLE_MATCH) -> str | None:
    """Return the known name that is most similar, ignoring case, or None if none is similar enough."""
    import difflib  # imported here, as only invalid files need it

    folded = {k.casefold(): k for k in known}
    matches = difflib.get_close_matches(name.casefold(), folded, 1, similarity)
    return folded[matches[0]] if matches else None


def did_you_mean(name: str, known: Iterable[str]) -> str:
    """Return the text that suggests the closest known name, or lists all of them."""
    names = sorted(known)
    closest = closest_name(name, names)
    return f"Did you mean {closest!r}?" if closest else f"Known names: {', '.join(names) or 'none'}"


@dataclass(frozen=True)
class Text:
    """A string that matches a regular expression as a whole."""

    pattern: str = r"(?s).{1,256}"
    description: str = "a string"

    def read(self, value: object, location: Location) -> Any:
        if isinstance(value, str) and re.fullmatch(self.pattern, value):
            return value
        return report_invalid(location, value, self.description)


NAME_TEXT = Text(NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'")


@dataclass(frozen=True)
class Choice:
    """One of a fixed set of strings."""

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
    """A boolean."""

    description: str = "true or false"

    def read(self, value: object, location: Location) -> Any:
        return value if isinstance(value, bool) else report_invalid(location, value, self.description)


@dataclass(frozen=True)
class Int:
    """An integer between two bounds, both included."""

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
    """A finite number between two bounds, both included; converted to a float."""

    low: float
    high: float
    unit: str = ""

    @property
    def description(self) -> str:
        return f"a number from {self.low:g} to {self.high:g}{' ' * bool(self.unit)}{self.unit}"

    def read(self, value: object, location: Location) -> Any:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return report_invalid(location, value, self.description)
        # Compared before the conversion, because huge integers can't be converted to a float.
        if (isinstance(value, float) and not math.isfinite(value)) or not self.low <= value <= self.high:
            return report_invalid(location, value, self.description, "range")
        return float(value)


@dataclass(frozen=True)
class Duration:
    """A duration with a unit, such as "250ms", between two bounds; converted to microseconds."""

    low: int
    high: int

    @property
    def description(self) -> str:
        return f'a duration such as "250ms", from {format_duration(self.low)} to {format_duration(self.high)}'

    def read(self, value: object, location: Location) -> Any:
        return _read_quantity(value, location, parse_duration, self.low, self.high, self.description)


@dataclass(frozen=True)
class Size:
    """A size with a unit, such as "64MiB", between two bounds; converted to bytes."""

    low: int
    high: int

    @property
    def description(self) -> str:
        return f'a size such as "64MiB", from {format_size(self.low)} to {format_size(self.high)}'

    def read(self, value: object, location: Location) -> Any:
        return _read_quantity(value, location, parse_size, self.low, self.high, self.description)


def _read_quantity(value: object, location: Location, parse: Any, low: int, high: int, description: str) -> Any:
    if not isinstance(value, str):
        return report_invalid(location, value, description, "unit" if isinstance(value, int | float) else "value")
    try:
        amount = parse(value)
    except ValueError as error:
        location.error("unit", str(error), "The sidecar would not start", f"Write {description}")
        return INVALID
    return amount if low <= amount <= high else report_invalid(location, value, description, "range")


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port. Host names are not allowed, as nothing resolves them."""

    min_port: int = 0
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
    """One value or a list of values of one type; converted to a tuple."""

    value_type: ValueType
    max_items: int = 64

    @property
    def description(self) -> str:
        return f"{self.value_type.description}, or a list of those"

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, list):
            single = self.value_type.read(value, location)
            return INVALID if single is INVALID else (single,)
        if not value or len(value) > self.max_items:
            return report_invalid(location, value, f"a list with a length of 1 to {self.max_items}")
        read = [self.value_type.read(item, location / i) for i, item in enumerate(value)]
        return INVALID if any(item is INVALID for item in read) else tuple(read)


@dataclass(frozen=True)
class ListOf:
    """A list of values of one type; invalid items are left out, after a finding for each."""

    value_type: ValueType
    max_items: int = 10_000

    @property
    def description(self) -> str:
        return f"a list of {self.value_type.description}"

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, list) or len(value) > self.max_items:
            return report_invalid(location, value, f"{self.description}, with at most {self.max_items} items")
        return [
            read for i, item in enumerate(value) if (read := self.value_type.read(item, location / i)) is not INVALID
        ]


@dataclass(frozen=True)
class Located:
    """A value that is returned as a pair with its location, for later checks."""

    value_type: ValueType

    @property
    def description(self) -> str:
        return self.value_type.description

    def read(self, value: object, location: Location) -> Any:
        read = self.value_type.read(value, location)
        return INVALID if read is INVALID else (location, read)


@dataclass(frozen=True)
class MapOf:
    """A table with keys chosen by the user and values of one type; invalid entries are left out, with findings."""

    value_type: ValueType
    key_pattern: str = NAME_PATTERN
    max_items: int = 1000

    @property
    def description(self) -> str:
        return f"a table of names, each with {self.value_type.description}"

    def read(self, value: object, location: Location) -> Any:
        if not isinstance(value, dict) or len(value) > self.max_items:
            return report_invalid(location, value, f"a table with at most {self.max_items} entries")
        entries = {}
        for name, item in value.items():
            if not re.fullmatch(self.key_pattern, name):
                report_invalid(location / name, name, f"a name that matches {self.key_pattern}", "name")
                continue
            read = self.value_type.read(item, location / name)
            if read is not INVALID:
                entries[name] = read
        return entries


@dataclass(frozen=True)
class Key:
    """One key of a table."""

    name: str
    value_type: ValueType
    help: str  # for the list of keys, and for the remedy if the key is missing
    default: Any = REQUIRED  # the converted value if the key is missing


@dataclass(frozen=True)
class Table:
    """A table with known keys.

    If `allows_unknown` is set, unknown keys are only warnings, unless they look like a misspelling: the platform's
    files may contain further keys. Keys with invalid values are then left out of the result, so that the remaining
    ones can still be checked.
    """

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
                self._report_unknown(name, location / name)
        values = {}
        for key in self.keys:
            if value.get(key.name) is not None:
                values[key.name] = key.value_type.read(value[key.name], location / key.name)
            elif key.default is REQUIRED:
                (location / key.name).error(
                    "missing", "the key is missing", "The sidecar would not start", f"Add it: {key.help}"
                )
                values[key.name] = INVALID
            else:
                values[key.name] = key.default
        if self.allows_unknown:
            return {name: read for name, read in values.items() if read is not INVALID}
        return INVALID if any(read is INVALID for read in values.values()) else values

    def _report_unknown(self, name: str, location: Location) -> None:
        if self.allows_unknown and closest_name(name, self.by_name, LIKELY_MATCH) is None:
            location.warn("unknown-key", "the key is unknown", "It is ignored", "Remove it if you added it")
        else:
            location.error(
                "unknown-key",
                "the key is unknown",
                "It would have no effect",
                did_you_mean(name, self.by_name),
            )
