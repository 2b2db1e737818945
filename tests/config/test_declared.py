"""What a business declared of its classes stands in a file of its own, and is held against every other file."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderhub.config.check import check
from eiderhub.config.load import load_checked
from eiderhub.schema.declared_classes import DECLARED_CLASSES_VARIABLE
from eiderhub.sidecar.config import ConfigError

CORPUS = Path(__file__).parent.parent / "corpus"
WEAKER = CORPUS / "bad" / "effect-declared--despacho-idempotent.json"


def test_another_customers_class_of_the_same_name_is_not_held_to_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: the names and effects of one customer stood in the program, for all."""
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
def test_a_bad_declaration_is_told_and_nothing_starts_unguarded(
    text: str | None, what: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "declared.toml"
    if text is not None:
        path.write_text(text, encoding="utf-8")
    monkeypatch.setenv(DECLARED_CLASSES_VARIABLE, str(path))
    result = check([str(CORPUS / "base.json")])
    assert result.status == 2
    (told,) = result.unreadable
    assert str(path) in told and what in told
    with pytest.raises(ConfigError, match=r"declared\.toml"):
        load_checked({"GW_CONFIG": str(CORPUS / "base.json")}, None)
