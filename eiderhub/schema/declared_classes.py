"""Declared request classes: what repeating a request of a class does, regardless of the configuration files.

The declarations are in a file of the organization that runs the sidecars, which an environment variable names; the
program itself contains none. Every configuration file is checked against them. The operator's file (`[classes.NAME]`)
may declare further classes and stricter effects, but no weaker ones.
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
            Key("effect", Choice(tuple(effect.value for effect in Effect)), "what a repeated request does"),
            Key("window", Duration(1, HOUR_US), "how long endpoints drop repeated requests, if known", 0),
        )
    ),
    r"[^\x00-\x1f]{1,128}",
)


class DeclaredClass(NamedTuple):
    """What is declared of one class."""

    effect: Effect
    window_us: int = 0  # how long endpoints drop repeated requests; 0: unknown


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
    rows = CLASSES.read(document, Location(report)) if document is not None else {}
    if report.errors:
        raise UnreadableFileError(f"{DECLARED_CLASSES_VARIABLE}: {report.errors[0]}")
    return {fold_name(name): DeclaredClass(Effect(row["effect"]), row["window"]) for name, row in rows.items()}


# By the value of the effect; a class may be treated as a stricter one, never as a weaker one.
STRICTNESS = {Effect.IDEMPOTENT.value: 0, Effect.DEDUPLICATED.value: 1, Effect.AT_MOST_ONCE.value: 2}


def fold_name(name: str) -> str:
    """Return the name without escapes, case, compatibility characters and punctuation.

    Names that a person or a lenient server could confuse have the same folded form.
    """
    folded = unquote(unquote(name))
    if not folded.isascii():
        import unicodedata

        folded = unicodedata.normalize("NFKC", folded)
    folded = folded.casefold()
    return "".join(c for c in folded if c.isalnum())
