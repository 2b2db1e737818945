"""The corpus of files: each bad file gives its finding and prevents a start; with each good one the program serves."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from eiderhub.config.check import check
from eiderhub.config.description import is_description
from eiderhub.config.load import load_checked
from eiderhub.config.write import write
from eiderhub.schema.files import parse_toml
from eiderhub.schema.findings import Report, Severity
from eiderhub.sidecar.config import ConfigError
from tests.config.serving import serve_through

CORPUS = Path(__file__).parent.parent / "corpus"
BASE = CORPUS / "base.json"
BAD = sorted((CORPUS / "bad").iterdir())
GOOD = sorted((CORPUS / "good").iterdir())


def file_pair(path: Path) -> tuple[Path | None, Path | None]:
    """Return a sidecar's file and an operator's file: the given one and its partner.

    The partner has the same name; without one, an operator's file is paired with the base file.
    """
    if path.suffix == ".json":
        partner = path.with_suffix(".toml")
        return path, partner if partner.exists() else None
    sidecar = path.with_suffix(".json")
    if sidecar.exists():
        return sidecar, path
    try:
        document = parse_toml(path.read_text(encoding="utf-8"), Report(""))
    except UnicodeDecodeError:
        document = {}
    return (None if document and is_description(document) else BASE), path


def test_the_corpus_is_not_truncated() -> None:
    assert len(BAD) >= 60
    assert len(GOOD) >= 30


@pytest.mark.parametrize("path", BAD, ids=lambda path: path.name)
def test_a_bad_file_gives_its_finding(path: Path) -> None:
    """The file's name begins with the code of its finding, which has a location and all texts."""
    code = path.name.partition("--")[0]
    result = check([str(file) for file in file_pair(path) if file is not None])
    matching = [finding for finding in result.findings if finding.code == code]
    assert result.status == 1
    assert matching, result.findings
    assert matching[0].file.startswith(str(path.with_suffix("")))
    assert matching[0].what and matching[0].follows and matching[0].do
    if path.suffix == ".toml" and code not in ("encoding", "nesting"):
        assert matching[0].line > 0


@pytest.mark.parametrize("path", [path for path in BAD if file_pair(path)[0]], ids=lambda path: path.name)
def test_no_sidecar_starts_or_reloads_from_a_bad_file(path: Path) -> None:
    sidecar, operator = file_pair(path)
    with pytest.raises(ConfigError):
        load_checked({"GW_CONFIG": str(sidecar)}, str(operator) if operator else None)


@pytest.mark.parametrize("path", [path for path in BAD if not file_pair(path)[0]], ids=lambda path: path.name)
def test_nothing_is_written_from_a_bad_description(path: Path, tmp_path: Path) -> None:
    assert not write(str(path), str(tmp_path)).is_valid
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize("path", GOOD, ids=lambda path: path.name)
def test_a_good_file_has_no_errors(path: Path) -> None:
    result = check([str(file) for file in file_pair(path) if file is not None])
    assert result.status == 0
    assert not any(finding.severity is Severity.ERROR for finding in result.findings)


@pytest.mark.parametrize("path", GOOD, ids=lambda path: path.name)
def test_the_program_serves_with_a_good_file(path: Path) -> None:
    sidecar, operator = file_pair(path)
    assert sidecar is not None
    document = json.loads(sidecar.read_text(encoding="utf-8"))
    operator_text = operator.read_text(encoding="utf-8") if operator else None
    assert asyncio.run(serve_through(document, operator_text)) > 0
