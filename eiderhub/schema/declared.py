"""What the business has declared of its classes, whatever a file says: the checker holds every file against it.

A site that has other classes declares them in the operator's file (`[classes.NAME]`), which may add to this and be
stricter, and never weaker.
"""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import unquote

from eiderhub.interface import Effect


class Declared(NamedTuple):
    effect: Effect
    window_us: int = 0  # how long endpoints drop a repeat; 0: not told


DECLARED = {
    "despacho": Declared(Effect.AT_MOST_ONCE),  # commits the order and issues the invoice
    "reserva": Declared(Effect.DEDUPLICATED, 4_000_000),  # holds stock; one bahía drops a repeated key for 4 s
}


STRICTNESS = {Effect.IDEMPOTENT.value: 0, Effect.DEDUPLICATED.value: 1, Effect.AT_MOST_ONCE.value: 2}


def fold(name: str) -> str:
    """A name as a hurried reader, or a lax server, would see it: for names that are another in disguise."""
    plain = unquote(unquote(name))
    if not plain.isascii():
        import unicodedata

        plain = unicodedata.normalize("NFKC", plain)
    plain = plain.casefold()
    return "".join(c for c in plain if c.isalnum())
