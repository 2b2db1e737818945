"""The subcommands explain, diff and keys, and the checks that need several files."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest

from eiderhub.config.check import FileGroup, check, group_files
from eiderhub.config.command import main
from eiderhub.config.operator_file import TABLE_MODULES, table_owner

BASE = Path(__file__).parent.parent / "corpus" / "base.json"
ROUTES = """
[pools.near]
zones = ["a"]

[[routes]]
name = "stock"
class = "look"
path = "/stock/{id}"
pool = "near"
deadline = "1500ms"
attempts = 2
"""


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    shutil.copy(BASE, tmp_path / "sidecar.json")
    (tmp_path / "operator.toml").write_text(ROUTES)
    return tmp_path


def change(path: Path, *changes: tuple[tuple[str | int, ...], Any]) -> None:
    document = json.loads(path.read_text())
    for steps, value in changes:
        inner = document
        for step in steps[:-1]:
            inner = inner[step]
        inner[steps[-1]] = value
    path.write_text(json.dumps(document, indent=1))


def explain_request(folder: Path, request: str, capsys: pytest.CaptureFixture[str], *arguments: str) -> dict[str, str]:
    assert main(["explain", str(folder), "--request", request, "--json", *arguments]) == 0
    found: dict[str, str] = json.loads(capsys.readouterr().out)
    return found


@pytest.mark.parametrize("path", ["/stock/7", "/Stock/7/", "/st%6fck/7?x=1"])
def test_explain_names_route_class_and_pool(path: str, folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    fields = explain_request(folder, f"GET {path}", capsys)
    assert (fields["route"], fields["class"], fields["pool"], fields["given up after"]) == (
        "stock",
        "look",
        "zones a",
        "1.5s",
    )
    assert fields["after a reset or a time-out (it may have run)"].startswith(
        "send it again to any endpoint, 2 attempts"
    )


def test_explain_shows_the_permitted_actions_by_effect(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    after_reset, after_refusal = (
        "after a reset or a time-out (it may have run)",
        "after being turned away or not connecting (it never ran)",
    )
    despacho = explain_request(folder, "POST /despacho/a", capsys)
    assert despacho[after_reset] == "never send it again; fail (502 or 504), as it may have run"
    assert despacho[after_refusal] == "send it again to any endpoint, 3 attempts in all; then refuse (503)"
    reserva = explain_request(folder, "POST /reserva/a", capsys)
    assert "within its cell only for 3750ms" in reserva[after_reset]
    assert reserva[after_reset].endswith("then fail (502 or 504), as it may have run")


@pytest.mark.parametrize(
    ("request_line", "answer"),
    [
        ("GET /look/../despacho/a", "400: the target has a dot segment, or parameters without a name"),
        ("GET /nothing/a", "404: no route matches, and the first path segment names no class"),
        ("POST /look/a", "405: its class accepts GET only"),
    ],
)
def test_explain_shows_refusals(
    request_line: str, answer: str, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert explain_request(folder, request_line, capsys)["answer"] == answer


def test_explain_takes_tenant_headers_and_services(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    more = """
[[routes]]
name = "deep"
class = "look"
path = "/stock/{id}"
tenant = "acme"
headers = { X-Kind = "Deep" }

[[routes]]
name = "thrift"
class = "despacho"
protocol = "thrift"
service = "Orders"
call = "commit"
"""
    (folder / "operator.toml").write_text(ROUTES + more)
    arguments = ["--tenant", "acme", "--header", "X-Kind=Deep"]
    assert explain_request(folder, "GET /stock/7", capsys, *arguments)["route"] == "deep"
    assert explain_request(folder, "GET /stock/7", capsys, *arguments[:2])["route"] == "stock"
    arguments = ["--protocol", "thrift", "--service", "Orders", "--call", "commit"]
    assert explain_request(folder, "CALL /", capsys, *arguments)["route"] == "thrift"


def test_explain_rejects_unreadable_requests_and_files(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["explain", str(folder), "--request", "POST"]) == 2
    (folder / "operator.toml").write_text("[routing]\ndefault = 1\n")
    assert main(["explain", str(folder), "--request", "GET /look/a"]) == 1
    assert "[value]" in capsys.readouterr().out


def find_differences(
    old: Path, new: Path, capsys: pytest.CaptureFixture[str]
) -> dict[tuple[str, str], tuple[str, str, bool]]:
    assert main(["diff", str(old), str(new), "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)
    return {(row["subject"], row["what"]): (row["old"], row["new"], row["restart"]) for row in rows}


def test_diff_lists_changes_and_which_need_a_restart(
    folder: Path, tmp_path_factory: pytest.TempPathFactory, capsys: pytest.CaptureFixture[str]
) -> None:
    new = tmp_path_factory.mktemp("new")
    shutil.copytree(folder, new, dirs_exist_ok=True)
    assert find_differences(folder, new, capsys) == {}
    (new / "operator.toml").write_text(ROUTES.replace("attempts = 2", "attempts = 1"))
    changes = (
        (("discovery",), "127.0.0.1:8600"),
        (("settings", "Categories", 0, "AimUs"), 900_000),
        (("settings", "Categories", 1, "Effect"), "at_most_once"),
    )
    change(new / "sidecar.json", *changes)
    found = find_differences(folder, new, capsys)
    assert found["the sidecar", "polls for endpoints at"] == ("127.0.0.1:8500", "127.0.0.1:8600", False)
    assert found["class look", "has the latency objective"] == ("1s", "900ms", True)
    reset = "after a reset or a time-out (it may have run)"
    assert found["class reserva", reset][1:] == ("never send it again; fail (502 or 504), as it may have run", True)
    old, now, restart = found["route stock", reset]
    assert (old.startswith("send it again"), now.startswith("never"), restart) == (True, True, False)
    assert not any(subject == "class despacho" for subject, _ in found)


def test_keys_lists_every_table_and_key(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["keys"]) == 0
    output = capsys.readouterr().out
    for name in TABLE_MODULES:
        assert f"[{name}" in output
        assert name in table_owner(name).TABLES
    assert "deadline       its deadline, if it is shorter than the class's" in output


def test_files_of_one_sidecar_are_grouped() -> None:
    assert group_files(["f/a.json", "f/a.toml", "f/b.json"]) == [
        FileGroup("f/a.json", "f/a.toml"),
        FileGroup("f/b.json", None),
    ]
    assert group_files(["f/sidecar.json", "f/operator.toml", "f/c.toml"]) == [
        FileGroup("f/sidecar.json", "f/operator.toml"),
        FileGroup(None, "f/c.toml"),
    ]
    assert group_files(["f/x.json", "f/y.toml"]) == [FileGroup("f/x.json", "f/y.toml")]
    assert group_files(["f/x.json", "g/y.toml"]) == [FileGroup("f/x.json", "g/y.toml")]
    assert group_files(["f/x.json", "g/y.json"]) == [FileGroup("f/x.json", None), FileGroup("g/y.json", None)]


def findings_of_two(tmp_path: Path, *changes: tuple[tuple[str | int, ...], Any]) -> list[tuple[str, str]]:
    """Return the folder and code of each finding of two applications; `changes` are made to the second one."""
    for name in ("one", "two"):
        (tmp_path / name).mkdir()
        shutil.copy(BASE, tmp_path / name / "sidecar.json")
    change(tmp_path / "two" / "sidecar.json", (("listen",), "127.0.0.1:7071"), *changes)
    return [(Path(f.file).parent.name, f.code) for f in check([str(tmp_path)]).findings]


CATEGORIES = ("settings", "Categories")


def test_two_consistent_applications_give_no_findings(tmp_path: Path) -> None:
    assert findings_of_two(tmp_path) == []


def test_two_applications_with_the_same_address(tmp_path: Path) -> None:
    assert findings_of_two(tmp_path, (("listen",), "127.0.0.1:7070")) == [("two", "same-address")]


@pytest.mark.parametrize("name", ["look", "Look", "l%6fok"])
def test_effects_that_differ_between_applications_and_tiers(tmp_path: Path, name: str) -> None:
    """The less strict class is reported, whichever file is read first and however its name is spelt."""
    changes = ((*CATEGORIES, 0, "Name"), name), ((*CATEGORIES, 0, "Effect"), "at_most_once")
    assert ("one", "effects-differ") in findings_of_two(tmp_path, *changes, (("settings", "Layer"), 1))


def test_an_inner_tier_with_a_longer_deadline_than_the_outer_tier(tmp_path: Path) -> None:
    inner = (("settings", "Layer"), 1), ((*CATEGORIES, 0, "DeadlineUs"), 3_500_000)
    assert findings_of_two(tmp_path, *inner) == [("two", "outlasts-tier-above")]
    (tmp_path / "again").mkdir()
    assert findings_of_two(tmp_path / "again", inner[0], ((*CATEGORIES, 0, "DeadlineUs"), 3_000_000)) == []


def test_all_findings_are_reported_in_one_run_and_sorted(tmp_path: Path) -> None:
    changes = (
        ((*CATEGORIES, 0, "AimUs"), 9_000_000),
        (("limits", "memory_mb"), 8),
        (("settings", "Parties", 0, "Share"), 0.9),
    )
    shutil.copy(BASE, tmp_path / "x.json")
    change(tmp_path / "x.json", *changes)
    (tmp_path / "x.toml").write_text("[routing]\ndefualt = 1\n\n[pool.x]\n\n[limits]\nrate = -1\n")
    found = check([str(tmp_path)]).findings
    assert [f.code for f in found] == [
        "memory", "aim-after-deadline", "shares", "unknown-key", "unknown-key", "range",
    ]  # fmt: skip
    assert [f.line for f in found] == [*sorted(f.line for f in found[:3]), 2, 4, 7]
    assert "Did you mean 'default'?" in str(found[3])
    assert "Did you mean 'pools'?" in str(found[4])


THRIFT = """
[thrift]
listen = "127.0.0.1:0"
fields = { tenant = "1.1", key = "1.2" }
shedding = [77]
methods = { "Invoice:issue" = "never" }

[[routes]]
name = "issue"
class = "despacho"
protocol = "thrift"
service = "Invoice"
call = "issue"
"""


def test_explain_shows_how_a_thrift_call_is_handled(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (folder / "operator.toml").write_text(ROUTES + THRIFT)
    fields = explain_request(folder, "Invoice:issue", capsys, "--protocol", "thrift")
    assert (fields["route"], fields["class"]) == ("issue", "despacho")
    by_name = explain_request(folder, "despacho", capsys, "--protocol", "thrift")
    assert by_name["route"] == "the default: the method's name is its class"
    unknown_method = explain_request(folder, "Invoice:undo", capsys, "--protocol", "thrift")
    assert unknown_method["answer"] == "exception 1: no route matches, and the method names no class"
    assert main(["explain", str(folder), "--request", "no call", "--protocol", "thrift"]) == 2


def test_diff_shows_that_a_change_of_the_thrift_port_needs_a_restart(
    folder: Path, tmp_path_factory: pytest.TempPathFactory, capsys: pytest.CaptureFixture[str]
) -> None:
    (folder / "operator.toml").write_text(ROUTES + THRIFT)
    other = tmp_path_factory.mktemp("other")
    (other / "sidecar.json").write_text((folder / "sidecar.json").read_text())
    (other / "operator.toml").write_text(ROUTES + THRIFT.replace("[77]", "[78]"))
    assert main(["diff", str(folder), str(other), "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert [(d["subject"], d["old"], d["new"], d["restart"]) for d in found] == [("the Thrift port", "77", "78", True)]


def test_the_thrift_port_of_a_description_is_written_and_checked(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    description = (Path(__file__).parent.parent / "corpus" / "bad" / "effect-declared--description.toml").read_text()
    valid_description = description.rpartition("harmless")[0] + 'never"\n[tenants]\nacme = 1.0\n' + THRIFT
    path = tmp_path / "shop.toml"
    path.write_text(valid_description)
    assert main(["write", str(path), "--out", str(tmp_path / "out")]) == 0
    written = (tmp_path / "out" / "shop" / "operator.toml").read_text()
    assert '[thrift]\nlisten = "127.0.0.1:0"' in written
    assert main(["check", str(tmp_path / "out")]) == 0
    path.write_text(valid_description.replace('methods = { "Invoice:issue"', "methods = { look"))
    assert main(["write", str(path), "--out", str(tmp_path / "out")]) == 1
    assert "unsafe-method" in capsys.readouterr().out
