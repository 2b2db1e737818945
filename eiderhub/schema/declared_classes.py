"""What a business has declared of its classes, whatever a file says: the checker holds every file against it.

It stands in a file of the business's own, which the environment names: the program knows no business. A site that has
other classes declares them in the operator's file (`[classes.NAME]`), which may add to this and be stricter, and never
weaker.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from functools import cache
from typing import NamedTuple
from urllib.parse import unquote

from eiderhub.interface import Effect
from eiderhub.schema.files import UnreadableFileError, decode_text, parse_toml, read_bytes
from eiderhub.schema.findings import Location, Report
from eiderhub.schema.value_types import HOUR_US, Choice, Duration, Key, MapOf, Table

DECLARED_CLASSES_VARIABLE = "EIDERHUB_DECLARED"
CLASSES = MapOf(
    Table(
        (
            Key("effect", Choice(tuple(effect.value for effect in Effect)), "what a repeat does"),
            Key("window", Duration(1, HOUR_US), "how long endpoints drop a repeat, where that is told", 0),
        )
    ),
    r"[^\x00-\x1f]{1,128}",
)


class DeclaredClass(NamedTuple):
    effect: Effect
    window_us: int = 0  # how long endpoints drop a repeat; 0: not told


def declared_classes() -> Mapping[str, DeclaredClass]:
    """Return the declared classes by folded name; none if the environment names no file.

    Raises `UnreadableFileError` if the file can't be read or has an error.
    """
    path = os.environ.get(DECLARED_CLASSES_VARIABLE)
    return _read(path) if path else {}


@cache
def _read(path: str) -> Mapping[str, DeclaredClass]:
    report = Report(path)
    text = decode_text(read_bytes(path), Location(report))
    document = parse_toml(text, report) if text is not None else None
    found = CLASSES.read(document, Location(report)) if document is not None else {}
    if report.errors:
        raise UnreadableFileError(f"{DECLARED_CLASSES_VARIABLE}: {report.errors[0]}")
    return {fold_name(name): DeclaredClass(Effect(row["effect"]), row["window"]) for name, row in found.items()}


STRICTNESS = {Effect.IDEMPOTENT.value: 0, Effect.DEDUPLICATED.value: 1, Effect.AT_MOST_ONCE.value: 2}


def fold_name(name: str) -> str:
    """A name as a hurried reader, or a lax server, would see it: for names that are another in disguise."""
    plain = unquote(unquote(name))
    if not plain.isascii():
        import unicodedata

        plain = unicodedata.normalize("NFKC", plain)
    plain = plain.casefold()
    return "".join(c for c in plain if c.isalnum())
