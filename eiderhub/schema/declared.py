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
from eiderhub.schema.files import Unreadable, read_bytes, read_text, read_toml
from eiderhub.schema.findings import Report, Spot
from eiderhub.schema.kinds import HOUR_US, Choice, Duration, Key, Named, Table

VARIABLE = "EIDERHUB_DECLARED"
CLASSES = Named(
    Table(
        (
            Key("effect", Choice(tuple(effect.value for effect in Effect)), "what a repeat does"),
            Key("window", Duration(1, HOUR_US), "how long endpoints drop a repeat, where that is told", 0),
        )
    ),
    r"[^\x00-\x1f]{1,128}",
)


class Declared(NamedTuple):
    effect: Effect
    window_us: int = 0  # how long endpoints drop a repeat; 0: not told


def declared() -> Mapping[str, Declared]:
    """By folded name; nothing where the environment names no file. Raises `Unreadable` with what is wrong in it."""
    path = os.environ.get(VARIABLE)
    return _read(path) if path else {}


@cache
def _read(path: str) -> Mapping[str, Declared]:
    report = Report(path)
    text = read_text(read_bytes(path), Spot(report))
    document = read_toml(text, report) if text is not None else None
    found = CLASSES.read(document, Spot(report)) if document is not None else {}
    if report.errors:
        raise Unreadable(f"{VARIABLE}: {report.errors[0]}")
    return {fold(name): Declared(Effect(row["effect"]), row["window"]) for name, row in found.items()}


STRICTNESS = {Effect.IDEMPOTENT.value: 0, Effect.DEDUPLICATED.value: 1, Effect.AT_MOST_ONCE.value: 2}


def fold(name: str) -> str:
    """A name as a hurried reader, or a lax server, would see it: for names that are another in disguise."""
    plain = unquote(unquote(name))
    if not plain.isascii():
        import unicodedata

        plain = unicodedata.normalize("NFKC", plain)
    plain = plain.casefold()
    return "".join(c for c in plain if c.isalnum())
