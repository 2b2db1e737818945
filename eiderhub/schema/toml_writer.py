"""Writes TOML, for which the standard library has no writer: values, keys and tables of configuration files."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any


def toml_key(name: str) -> str:
    """Return a key, quoted if necessary."""
    return name if re.fullmatch(r"[A-Za-z0-9_-]+", name) else toml_value(name)


def toml_value(value: Any) -> str:
    """Return a string, number, boolean, list or inline table."""
    if isinstance(value, str):
        # TOML has the same escapes as JSON, but also requires one for DEL.
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{toml_key(k)} = {toml_value(v)}" for k, v in value.items()) + " }" if value else "{}"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(v) for v in value) + "]"
    return repr(value)


def toml_table(header: str, table: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of one table, preceded by an empty line."""
    yield ""
    yield header
    for key, value in table.items():
        yield f"{toml_key(key)} = {toml_value(value)}"
