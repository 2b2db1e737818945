"""Writing TOML: Python reads it and has no writer. Only what can stand in a description, one way for each value."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any


def toml_key(name: str) -> str:
    return name if re.fullmatch(r"[A-Za-z0-9_-]+", name) else toml_value(name)


def toml_value(value: Any) -> str:
    """A text, number, flag, list or inline table."""
    if isinstance(value, str):
        # JSON's escapes are TOML's too, but for DEL, which JSON leaves as it is.
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{toml_key(k)} = {toml_value(v)}" for k, v in value.items()) + " }" if value else "{}"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(v) for v in value) + "]"
    return repr(value)


def toml_table(header: str, table: dict[str, Any]) -> Iterator[str]:
    """The lines of one table, with an empty one ahead."""
    yield ""
    yield header
    for key, value in table.items():
        yield f"{toml_key(key)} = {toml_value(value)}"
