"""The prepared files: each bad one gives its finding and starts nothing, each good one starts and serves."""

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


def pair(path: Path) -> tuple[Path | None, Path | None]:
    """A file with its partner: the one of the same name, or else the base file for an operator's file."""
    if path.suffix == ".json":
        partner = path.with_suffix(".toml")
        return path, partner if partner.exists() else None
    own = path.with_suffix(".json")
    if own.exists():
        return own, path
    try:
        document = parse_toml(path.read_text(encoding="utf-8"), Report(""))
    except UnicodeDecodeError:
        document = {}
    return (None if document and is_description(document) else BASE), path


def test_there_are_enough_of_them() -> None:
    assert len(BAD) >= 60
    assert len(GOOD) >= 30


@pytest.mark.parametrize("path", BAD, ids=lambda path: path.name)
def test_a_bad_file_gives_its_finding(path: Path) -> None:
    """The name of the file tells the finding. All its words stand: where, what, what follows, what to do."""
    code = path.name.partition("--")[0]
    result = check([str(file) for file in pair(path) if file is not None])
    found = [finding for finding in result.findings if finding.code == code]
    assert result.status == 1
    assert found, result.findings
    assert found[0].file.startswith(str(path.with_suffix("")))
    assert found[0].what and found[0].follows and found[0].do
    if path.suffix == ".toml" and code not in ("encoding", "nesting"):
        assert found[0].line > 0


@pytest.mark.parametrize("path", [path for path in BAD if pair(path)[0]], ids=lambda path: path.name)
def test_no_sidecar_starts_or_reloads_from_a_bad_file(path: Path) -> None:
    own, theirs = pair(path)
    with pytest.raises(ConfigError):
        load_checked({"GW_CONFIG": str(own)}, str(theirs) if theirs else None)


@pytest.mark.parametrize("path", [path for path in BAD if not pair(path)[0]], ids=lambda path: path.name)
def test_nothing_is_written_from_a_bad_description(path: Path, tmp_path: Path) -> None:
    assert not write(str(path), str(tmp_path)).is_valid
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize("path", GOOD, ids=lambda path: path.name)
def test_a_good_file_has_no_errors(path: Path) -> None:
    result = check([str(file) for file in pair(path) if file is not None])
    assert result.status == 0
    assert not any(finding.severity is Severity.ERROR for finding in result.findings)


@pytest.mark.parametrize("path", GOOD, ids=lambda path: path.name)
def test_a_good_file_starts_the_program_and_serves(path: Path) -> None:
    own, theirs = pair(path)
    assert own is not None
    document = json.loads(own.read_text(encoding="utf-8"))
    operator = theirs.read_text(encoding="utf-8") if theirs else None
    assert asyncio.run(serve_through(document, operator)) > 0
