"""Request targets: each path has one normal form or is rejected."""

from __future__ import annotations

import posixpath
from urllib.parse import unquote_to_bytes

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.routing.request_target import InvalidTargetError, segments_of


@pytest.mark.parametrize(
    ("path", "segments"),
    [
        (b"/", ()),
        (b"/look/a", (b"look", b"a")),
        (b"/look/a/", (b"look", b"a")),
        (b"/%6cook/%61", (b"look", b"a")),
        (b"/a/%c3%b1", (b"a", b"%C3%B1")),
        (b"/a/b.c/.d", (b"a", b"b.c", b".d")),
        (b"/a/50%25", (b"a", b"50%25")),
        (b"/a;v=1/b", (b"a;v=1", b"b")),
    ],
)
def test_the_normal_form_of_a_path(path: bytes, segments: tuple[bytes, ...]) -> None:
    assert segments_of(path) == segments


@pytest.mark.parametrize(
    "path",
    [
        b"", b"*", b"look", b"http://other/pay", b"/look/../pay/a", b"/look/./a", b"/look/%2e%2e/pay",
        b"/look/.%2E/pay",
        b"/look/..;/pay", b"/look/;x/pay", b"/look//pay", b"//pay", b"//", b"/look/a//", b"/look%2fa",
        b"/look/..%2fpay",
        b"/look/%5c../pay", b"/look\\..\\pay", b"/look/%252e%252e/pay", b"/look/%25%32%65/pay", b"/look/%zz",
        b"/look/%",
        b"/look/a#b", b"/look/\xc3\xb1", b"/look/%00", b"/look/a b", b"/" + b"a/" * 65,
    ],
)  # fmt: skip
def test_ambiguous_and_invalid_paths_are_rejected(path: bytes) -> None:
    with pytest.raises(InvalidTargetError):
        segments_of(path)


PIECES = [b"/", b".", b"a", b"%2e", b"%2E", b"%2f", b"%41", b";", b"%25", b"2e", b"B"]


@given(st.lists(st.sampled_from(PIECES), max_size=9))
def test_a_decoding_server_resolves_an_accepted_path_to_the_same_segments(pieces: list[bytes]) -> None:
    """A server that decodes once or twice and then resolves dot segments must not reach another path."""
    path = b"/" + b"".join(pieces)
    try:
        segments = segments_of(path)
    except InvalidTargetError:
        return
    for decoded in (unquote_to_bytes(path), unquote_to_bytes(unquote_to_bytes(path))):
        resolved = posixpath.normpath(decoded).strip(b"/")
        assert (
            resolved.split(b"/") == [unquote_to_bytes(segment) for segment in segments]
            or not segments
            or b"%" in resolved
        )
        assert resolved.count(b"/") == max(len(segments) - 1, 0)
