"""The operator's table `[fleet]`, the files that a member writes, and the command that reads them."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from eiderhub.cli import main
from eiderhub.config.load import ExaminedFiles, SourceFile, examine
from eiderhub.fleet.event_log import EVENTS_FILE, MAX_FILE_BYTES, MEMBERS_FILE, EventLog
from eiderhub.sidecar.config import needs_restart
from tests.sidecar_support import SETUP, listing, row

DOCUMENT: dict[str, Any] = {
    "name": "n1", "listen": "127.0.0.1:0", "seed": "5",
    "settings": {**SETUP, "Discovery": "push", "Rank": 1, "Balancers": 2,
                 "Allowed": {**SETUP["Allowed"], "Peers": True}},
    "known": json.loads(listing(1, True, row("s-0", "127.0.0.1:9"))),
    "peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.2:7946", "127.0.0.3:7946"],
}  # fmt: skip


def read(operator: str, **changes: Any) -> ExaminedFiles:
    document = {**DOCUMENT, **changes}
    return examine(
        SourceFile("sidecar.json", json.dumps(document).encode()), SourceFile("operator.toml", operator.encode())
    )


def codes(examined: ExaminedFiles) -> list[str]:
    return [error.code for error in examined.errors]


def test_the_platforms_peers_are_the_default() -> None:
    examined = read("[fleet]\n")
    assert examined.config is not None, examined.errors
    options = examined.config.fleet
    assert (options.listen, options.address) == (("127.0.0.1", 7946), ("127.0.0.3", 7946))
    assert options.config.contacts == (("127.0.0.2", 7946), ("127.0.0.3", 7946))


def test_without_the_table_the_fleet_is_not_imported() -> None:
    examined = read("")
    assert examined.config is not None and examined.config.fleet is None
    code = "import sys, eiderhub.sidecar.__main__; print([m for m in sys.modules if 'fleet' in m or m == 'msgspec'])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"


@pytest.mark.parametrize(
    ("operator", "changes", "code"),
    [
        ("[fleet]\n", {"settings": SETUP}, "peers-not-allowed"),
        ("[fleet]\nintroduced = true\n", {}, "key"),
        ('[fleet]\nkey-file = "/nowhere/key"\n', {}, "key"),
        ("[fleet]\n", {"peers": ["a name:1"]}, "address"),
        ("[fleet]\n", {"peer_listen": None}, "address"),
        ("[fleet]\n", {"name": "n" * 25}, "name"),
        ('[fleet]\nperiod = "1ms"\n', {}, "range"),
        ("[fleet]\nperiods = 3\n", {}, "unknown-key"),
    ],
)
def test_a_configuration_that_would_not_start_is_an_error(operator: str, changes: dict[str, Any], code: str) -> None:
    assert code in codes(read(operator, **changes))


def test_a_key_that_is_too_short_is_an_error(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_bytes(b"short")
    operator = f'[fleet]\nkey-file = "{key}"\n'
    assert "key" in codes(read(operator))
    key.write_bytes(os.urandom(16).hex().encode())
    assert read(operator).config is not None


def test_the_build_is_equal_for_all_members_with_one_configuration() -> None:
    first = read("[fleet]\n").config
    other = read("[fleet]\n", settings={**DOCUMENT["settings"], "Rank": 0}).config
    changed = read('[fleet]\n[[routes]]\nname = "a"\nclass = "look"\npath = "/look/x"\n').config
    assert first is not None and other is not None and changed is not None
    assert first.fleet.build == other.fleet.build != changed.fleet.build
    assert needs_restart(first, changed) == []
    slower = read('[fleet]\nperiod = "1s"\n').config
    assert slower is not None and needs_restart(first, slower) == ["fleet"]


def members_document() -> dict[str, Any]:
    def member(name: str, state: str) -> dict[str, Any]:
        return {
            "member": name, "address": "127.0.0.2:1", "incarnation": 7, "state": state, "build": "ab", "since_s": 1.5,
            "word": "n9", "heard_s": None,
        }  # fmt: skip

    return {
        "name": "n1", "at": 0.0, "view": "cafe", "here": 1, "roster": 3, "same": 1, "other": [], "unheard": [],
        "agreed": True, "majority": False, "slow": 0, "yielded": False, "counts": {},
        "members": [member("n2", "gone"), member("n1", "alive")],
    }  # fmt: skip


def test_the_command_shows_members_and_the_events_of_one(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    event_log = EventLog(str(tmp_path))
    event_log.append(t=1.25, n="n1", event="suspect", member="n2", word="n9")
    event_log.append(t=2.0, n="n1", event="alive", member="n3", word="n3")
    event_log.set_members(members_document())
    event_log.flush()
    assert main(["fleet", "members", str(tmp_path)]) == 0
    output = capsys.readouterr().out
    assert "1 of 3 hold it (no majority)" in output and output.index("n1 ") < output.index("n2 ")
    assert main(["fleet", "explain", str(tmp_path), "n2"]) == 0
    output = capsys.readouterr().out
    assert "has been gone for 1.5 s, reported by n9" in output
    assert "00:00:01.250 suspect member=n2 word=n9" in output and "n3" not in output
    assert main(["fleet", "watch", str(tmp_path), "--seconds", "0"]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 2
    assert main(["fleet", "explain", str(tmp_path), "n7"]) == 1
    assert main(["fleet", "members", str(tmp_path / "nowhere")]) == 2
    (tmp_path / MEMBERS_FILE).write_text("{")
    assert main(["fleet", "members", str(tmp_path)]) == 2
    assert "not valid JSON" in capsys.readouterr().err


def test_the_file_of_events_is_bounded_and_a_failing_folder_only_loses_lines(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    event_log = EventLog(str(tmp_path / "f"))
    for _ in range(12):
        for _ in range(500):
            event_log.append(event="x" * 200)
        event_log.flush()
    sizes = [path.stat().st_size for path in (tmp_path / "f").iterdir()]
    assert len(sizes) == 2 and max(sizes) < 2 * MAX_FILE_BYTES
    assert (tmp_path / "f" / EVENTS_FILE).exists()
    (tmp_path / "file").write_text("")
    broken = EventLog(str(tmp_path / "file"))
    for _ in range(3):
        broken.append(event="lost")
        broken.flush()
    assert broken.dropped == 3 and len(caplog.records) == 1
    for _ in range(2000):
        broken.append(event="waits")
    assert broken.dropped > 1000
