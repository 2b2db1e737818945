"""Declared request classes: every configuration file is checked against the file that declares them."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderhub.config.check import check
from eiderhub.config.load import load_checked
from eiderhub.schema.declared_classes import DECLARED_CLASSES_VARIABLE
from eiderhub.sidecar.config import ConfigError

CORPUS = Path(__file__).parent.parent / "corpus"
WEAKER = CORPUS / "bad" / "effect-declared--despacho-idempotent.json"


def test_a_class_without_a_declaration_may_have_any_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against declarations of one customer that are built into the program and apply to all."""
    assert [finding.code for finding in check([str(WEAKER)]).findings] == ["effect-declared"]
    monkeypatch.delenv(DECLARED_CLASSES_VARIABLE)
    assert check([str(WEAKER)]).status == 0


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("[pay]\n", "effect"),
        ('[pay]\neffect = "twice"\n', "effect"),
        ('[pay]\neffect = "deduplicated"\nwindow = "soon"\n', "window"),
        ("[pay\n", ""),
        (None, ""),
    ],
    ids=["no effect", "unknown effect", "bad window", "bad syntax", "no file"],
)
def test_an_invalid_declaration_is_reported_and_prevents_the_start(
    text: str | None, what: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "declared.toml"
    if text is not None:
        path.write_text(text, encoding="utf-8")
    monkeypatch.setenv(DECLARED_CLASSES_VARIABLE, str(path))
    result = check([str(CORPUS / "base.json")])
    assert result.status == 2
    (message,) = result.unreadable
    assert str(path) in message and what in message
    with pytest.raises(ConfigError, match=r"declared\.toml"):
        load_checked({"GW_CONFIG": str(CORPUS / "base.json")}, None)
