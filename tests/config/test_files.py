"""Reading files: any file gives a value, a finding or `UnreadableFileError`, and none blocks."""

from __future__ import annotations

import json
import os
import threading
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.config.check import check
from eiderhub.config.command import main
from eiderhub.schema.files import MAX_FILE_BYTES, UnreadableFileError, parse_json, parse_toml, read_bytes
from eiderhub.schema.findings import KeyPath, Report
from eiderhub.schema.toml_writer import toml_key, toml_value


def test_a_pipe_is_rejected_without_blocking(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "x.json")
    with pytest.raises(UnreadableFileError, match="is not a regular file"):
        read_bytes(str(tmp_path / "x.json"))


def test_a_folder_and_a_missing_file_have_different_messages(tmp_path: Path) -> None:
    with pytest.raises(UnreadableFileError, match="is a folder"):
        read_bytes(str(tmp_path))
    with pytest.raises(UnreadableFileError, match="No such file"):
        read_bytes(str(tmp_path / "none.json"))
    with pytest.raises(UnreadableFileError, match="null"):
        read_bytes("a\0b.json")


def test_a_file_over_the_size_limit_is_not_read(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    with path.open("wb") as file:
        file.truncate(100 << 20)
    with pytest.raises(UnreadableFileError, match=f"{100 << 20} bytes; at most {MAX_FILE_BYTES} are allowed"):
        read_bytes(str(path))


def test_a_file_that_changes_between_reads_is_read_whole_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A file that is replaced during the read is read again; one that is replaced each time is rejected."""
    path = tmp_path / "x.json"
    path.write_text("1")
    original_fstat, calls = os.fstat, iter(range(1000))

    def replace_and_stat(fd: int) -> os.stat_result:
        status = original_fstat(fd)
        if next(calls) < replacements:
            replacement = tmp_path / "fresh"
            replacement.write_text("22")
            replacement.rename(path)
        return status

    monkeypatch.setattr(os, "fstat", replace_and_stat)
    replacements = 2
    assert read_bytes(str(path)) == b"22"
    calls, replacements = iter(range(1000)), 1000
    with pytest.raises(UnreadableFileError, match="changes while it is read"):
        read_bytes(str(path))


@pytest.mark.parametrize(
    ("name", "content", "code"),
    [
        ("x.json", b"[" * 10_000 + b"]" * 10_000, "nesting"),
        ("x.json", b'{"a": ' * 10_000 + b"1" + b"}" * 10_000, "nesting"),
        ("x.toml", b"a = " + b"[" * 10_000 + b"]" * 10_000, "nesting"),
        ("x.json", b'{"seed": ' + b"9" * 5000 + b"}", "number"),
        ("x.toml", b"a = " + b"9" * 5000, "number"),
        ("x.json", b'{"a": "\0"}', "encoding"),
        ("x.json", b"\xff\xfe{\0}\0", "encoding"),
    ],
)
def test_a_file_that_can_not_be_decoded_gives_one_finding(tmp_path: Path, name: str, content: bytes, code: str) -> None:
    (tmp_path / name).write_bytes(content)
    result = check([str(tmp_path / name)])
    assert [finding.code for finding in result.findings] == [code]
    assert result.status == 1


def test_the_exit_status_distinguishes_unreadable_invalid_and_valid_files(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    base = Path(__file__).parent.parent / "corpus" / "base.json"
    assert main(["check", str(base)]) == 0
    (tmp_path / "bad.json").write_text("{}")
    assert main(["check", str(tmp_path / "bad.json")]) == 1
    assert main(["check", str(tmp_path / "bad.json"), str(tmp_path / "none.json")]) == 2
    assert main(["check", str(tmp_path / "sub")]) == 2
    (tmp_path / "sub").mkdir()
    assert main(["check", str(tmp_path / "sub")]) == 2
    assert main(["check", str(tmp_path / "a.yaml")]) == 2
    assert "neither .json nor .toml" in capsys.readouterr().out


def test_json_output_has_all_fields_of_a_finding(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "bad.json").write_text('{\n "seed": 7\n}')
    assert main(["check", "--json", str(tmp_path / "bad.json")]) == 1
    output = json.loads(capsys.readouterr().out)
    first = next(f for f in output["findings"] if f["key"] == "seed")
    assert first == {
        "file": str(tmp_path / "bad.json"),
        "line": 2,
        "key": "seed",
        "code": "value",
        "severity": "error",
        "what": "7 is not a hexadecimal number in quotes",
        "follows": "The sidecar would not start",
        "do": "Write a hexadecimal number in quotes",
    }


# --- lines ---

keys = st.text(st.characters(codec="utf-8", exclude_categories=("Cs", "Cc")), min_size=1, max_size=4)
leaves = st.one_of(st.booleans(), st.integers(-9, 9), st.text(max_size=5))
documents = st.recursive(
    leaves,
    lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(keys, inner, max_size=3)),
    max_leaves=12,
)
tables = st.dictionaries(
    keys, st.one_of(leaves, st.lists(leaves, max_size=3), st.dictionaries(keys, leaves, max_size=3)), max_size=5
)


def paths(value: object, path: KeyPath = ()) -> list[KeyPath]:
    """Return the paths of all values in a document."""
    result = [path]
    steps = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for step, inner in steps:
        result += paths(inner, (*path, step))
    return result


@given(documents)
def test_every_key_of_a_json_document_has_its_line(value: object) -> None:
    text = json.dumps(value, indent=0, ensure_ascii=False)
    report = Report("x")
    assert parse_json(text, report) == value
    assert report.findings == []
    assert set(report.lines) == set(paths(value))
    order = [report.lines[path] for path in paths(value)]
    assert order == sorted(order)
    lines = text.split("\n")
    for path in paths(value):
        if path and isinstance(path[-1], str):
            assert json.dumps(path[-1], ensure_ascii=False) in lines[report.lines[path] - 1]


@given(tables)
def test_every_key_of_a_toml_document_has_its_line(value: dict[str, object]) -> None:
    """Each value is written on one line, or as a table with its own header; strings have arbitrary characters."""
    text: list[str] = []
    expected: dict[KeyPath, int] = {}
    top_level = {k: v for k, v in value.items() if not isinstance(v, dict)}
    for key, item in top_level.items():
        text.append(f"{toml_key(key)} = {toml_value(item)}")
        expected[(key,)] = len(text)
    for key, table in value.items():
        if isinstance(table, dict):
            text.append(f"[{toml_key(key)}]  # ]")
            expected[(key,)] = len(text)
            for name, item in table.items():
                text.append(f"{toml_key(name)} = {toml_value(item)}")
                expected[(key, name)] = len(text)
    report = Report("x")
    assert parse_toml("\n".join(text), report) == value
    assert {path: line for path, line in report.lines.items() if path in expected} == expected


def test_lines_of_arrays_of_tables_and_of_multi_line_values() -> None:
    text = 'a = [\n  1, # [\n  2,\n]\nb = """\n[x]\ny = 1\n"""\n[[r]]\nc = 1\n[r.s]\nd = 1\n[[r]]\nc.e = 2\n'
    report = Report("x")
    assert parse_toml(text, report) is not None
    expected: dict[KeyPath, int] = {
        ("a",): 1, ("b",): 5, ("r", 0): 9, ("r", 0, "c"): 10, ("r", 0, "s"): 11, ("r", 0, "s", "d"): 12,
        ("r", 1): 13, ("r", 1, "c"): 14, ("r", 1, "c", "e"): 14,
    }  # fmt: skip
    assert {path: report.line(path) for path in expected} == expected
    assert report.line(("a", 1)) == 1
    assert ("x",) not in report.lines


def test_a_duplicate_key_is_reported_at_its_second_line() -> None:
    report = Report("x")
    assert parse_json('{"a": {"b": 1,\n"b": 2}}', report) == {"a": {"b": 2}}
    assert [(f.code, f.line, f.key) for f in report.findings] == [("twice", 2, "a.b")]


def test_reading_while_a_writer_renames_new_versions_into_place(tmp_path: Path) -> None:
    """Each read returns the content of exactly one version."""
    path = tmp_path / "x.json"
    path.write_bytes(b"0" * 50_000)
    stop = threading.Event()

    def write() -> None:
        version = 0
        while not stop.is_set():
            version = (version + 1) % 10
            (tmp_path / "new").write_bytes(b"%d" % version * 50_000)
            (tmp_path / "new").rename(path)

    writer = threading.Thread(target=write)
    writer.start()
    try:
        for _ in range(200):
            try:
                assert len(set(read_bytes(str(path)))) == 1
            except UnreadableFileError as error:
                assert "changes while it is read" in str(error)
    finally:
        stop.set()
        writer.join()
