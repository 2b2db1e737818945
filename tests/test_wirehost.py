"""The wire adapter: framing, settings, malformed input and determinism."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from typing import Any

import pytest

from eiderhub.interface import DedupScope, Discovery, Effect
from eiderhub.settings import parse_settings
from eiderhub.wirehost import WireError, WireHost


def make_setup(**changes: Any) -> dict[str, Any]:
    """The Setup object of an instance; `changes` replace its keys."""
    setup: dict[str, Any] = {
        "Allowed": {"MaxAttempts": 3, "ConnIdleUs": 9000000, "MayCancel": True, "Novelty": 7},
        "Balancers": 2,
        "Categories": [
            {"Name": "look", "AimUs": 200000, "DeadlineUs": 900000, "Effect": "idempotent"},
            {
                "Name": "book", "AimUs": 300000, "DeadlineUs": 900000, "Effect": "deduplicated",
                "Group": "zone", "DedupWindowUs": 500000, "Credit": 4,
                "StaysIn": ["east"], "ServedOn": ["std"],
            },
        ],
        "Charges": {"CrossZone": 0.1},
        "Discovery": "push",
        "Goal": {"Whole": 0.5, "WorstClass": 0.3, "Tail": 0.2, "TailSlack": 0.02},
        "Layer": 0,
        "MyZone": "east",
        "Parties": [{"Name": "first", "Share": 0.5, "QuotaPerS": 20}],
        "Rank": 1,
        "Rules": {"ColdFrom": 0.2, "ColdUs": 5000000},
        "Tiers": ["one", "two"],
        "SomethingNew": {"a": 1},
    }  # fmt: skip
    setup.update(changes)
    return setup


START = [
    "sync 1000",
    f"power_on sidecar_0 5 {json.dumps(make_setup())}",
    f"power_on sidecar_1 6 {json.dumps(make_setup(Discovery='ask'))}",
    "manifest 0 3",
    "row 10.0.0.1:80 east std 0 ready 1 -",
    "row 10.0.0.2:80 east std 0 ready 1.5 500",
    "row 10.0.0.3:80 west std 1 draining - -",
    "discovery sidecar_0 C 4 0",
    "discovery sidecar_1 C 4 0",
    "manifest 0 1",
    "row 10.0.0.9:80 east std 0 ready 1 -",
    "discovery sidecar_1 F 5 0",
    "over_to_you",
]


def run_wire_host(lines: list[str]) -> list[str]:
    sink = io.StringIO()
    WireHost(io.StringIO("".join(line + "\n" for line in lines)), sink).run()
    return sink.getvalue().splitlines()


def test_several_instances_and_a_manifest_page_reused_within_a_batch() -> None:
    batch = [
        "sync 2000",
        "order sidecar_0 00000000000000aa look first - 500000 - 0",
        "order sidecar_1 00000000000000bb book - k-1 500000 900 1",
        "over_to_you",
    ]
    output = run_wire_host(START + batch)
    assert "tail sidecar_1 1" in output
    assert not any(line.startswith("tail sidecar_0") for line in output)
    sends = [line.split(" ") for line in output if line.startswith("hand_off")]
    assert [s[1:3] for s in sends] == [["sidecar_0", "00000000000000aa"], ["sidecar_1", "00000000000000bb"]]
    assert sends[0][3] in ("10.0.0.1:80", "10.0.0.2:80")
    assert sends[1][3] == "10.0.0.9:80"
    assert output.count("finished") == 2


def test_every_event_is_accepted_and_a_restarted_instance_has_no_state() -> None:
    output = run_wire_host(
        [
            *START,
            "sync 3000",
            "order sidecar_0 00000000000000aa look - - 500000 - 0",
            "streaming sidecar_0 00000000000000cc 10.0.0.1:80 0 7",
            "sampled sidecar_0 10.0.0.1:80 10 5 pending:3,odd:1",
            "mail sidecar_0 1 aGk=",
            "mail sidecar_0 1 -",
            "wake sidecar_0 anything",
            "expired sidecar_0 00000000000000dd",
            "discovery sidecar_1 X 5 0",
            "stop sidecar_0",
            f"power_on sidecar_0 9 {json.dumps(make_setup())}",
            "discovery sidecar_0 C 4 0",
            "order sidecar_0 00000000000000aa look - - 500000 - 0",
            "over_to_you",
        ]
    )
    assert sum(line.startswith("hand_off sidecar_0 00000000000000aa") for line in output) == 2
    assert any(line.startswith("timer sidecar_1") for line in output)
    assert not any(line.startswith("broken") for line in output)


def test_exception_in_the_decision_module_is_reported() -> None:
    twice = ["order sidecar_0 00000000000000aa look - - 500000 - 0"] * 2
    output = run_wire_host([*START, "sync 2000", *twice, "over_to_you"])
    assert any(line.startswith("broken sidecar_0 RuntimeError: request 00000000000000aa") for line in output)


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("dance sidecar_0", "unknown message"),
        ("wake sidecar_0", "takes 2 values"),
        ("wake sidecar_0 a b", "takes 2 values"),
        ("order sidecar_0 aa look - - soon - 0", "ExpiresInUs"),
        ("order sidecar_0 aa stare - - 500000 - 0", "Grade"),
        ("reply sidecar_0 aa 0 10.0.0.1:80 5 2 10 -", "Closed"),
        ("reply sidecar_0 aa 0 10.0.0.1:80 5 1 11 -", "Result"),
        ("mail sidecar_0 1 a===", "base64"),
        ("discovery sidecar_0 Q 4 0", "Form"),
        ("discovery sidecar_0 F 4 3", "manifest"),
        ("manifest 16 0", "Page"),
        ("wake sidecar_7 sweep", "not been started"),
        ("power_on sidecar_7 5 {", "JSON"),
        ("power_on sidecar_7 5 {}", "Categories: missing"),
    ],
)
def test_malformed_input_is_reported_with_line_and_reason(line: str, reason: str) -> None:
    text = "".join(part + "\n" for part in [*START, "sync 2000", line, "over_to_you"])
    process = subprocess.run(
        [sys.executable, "-m", "eiderhub.wirehost"], input=text, capture_output=True, text=True, check=False
    )
    assert process.returncode == 1
    assert len(process.stderr.splitlines()) == 1
    assert f"line {len(START) + 2}" in process.stderr
    assert reason in process.stderr
    assert process.stdout.splitlines()[-1] == "finished"


@pytest.mark.parametrize("truncated", [["sync 2000"], ["sync 2000", "manifest 0 2", "row 10.0.0.1:80 e s 0 ready 1 -"]])
def test_truncated_batch_is_an_error(truncated: list[str]) -> None:
    with pytest.raises(WireError, match="ends inside"):
        run_wire_host(START + truncated)


def test_end_of_input_between_batches_ends_the_program_successfully() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "eiderhub.wirehost"], input="", capture_output=True, text=True, check=False
    )
    assert (process.returncode, process.stdout, process.stderr) == (0, "", "")


def test_actions_do_not_depend_on_hash_order() -> None:
    lines = list(START)
    for i in range(200):
        lines += [
            f"sync {3000 + i * 900}",
            f"order sidecar_0 {i:016x} look first - 500000 - 0",
            "over_to_you",
        ]
    text = "".join(line + "\n" for line in lines)
    outputs = {
        subprocess.run(
            [sys.executable, "-m", "eiderhub.wirehost"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(outputs) == 1


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    parsed = parse_settings(make_setup())
    assert parsed.classes[1].effect is Effect.DEDUPLICATED
    assert parsed.classes[1].dedup_scope is DedupScope.ZONE
    assert (parsed.rank, parsed.balancers, parsed.tiers, parsed.zone) == (1, 2, 2, "east")
    assert parsed.prices.cross_zone == 0.1
    assert parsed.discovery is Discovery.PUSH
    assert (parsed.goal.worth_weight, parsed.goal.class_weight) == (0.5, 0.5)
    assert parsed.classes[0].allowed_zones is None
    assert parsed.classes[1].allowed_zones == frozenset(("east",))
    assert parsed.classes[1].allowed_machine_kinds == frozenset(("std",))
    assert parsed.limits.conn_idle_us == 9_000_000
    minimal = parse_settings({"Categories": make_setup()["Categories"][:1]})
    assert minimal.tenants == ()
    assert minimal.limits.hedging is False


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"Categories": []}, "Categories"),
        ({"Categories": [{"Name": "look", "AimUs": 1, "DeadlineUs": 1, "Effect": "magic"}]}, "Effect"),
        ({"Categories": [{"Name": "look", "AimUs": 0, "DeadlineUs": 1, "Effect": "idempotent"}]}, "AimUs"),
        ({"Categories": [{"Name": "look", "AimUs": 1, "Effect": "idempotent"}]}, "DeadlineUs"),
        ({"Categories": [{"Name": "b", "AimUs": 1, "DeadlineUs": 1, "Effect": "deduplicated"}]}, "Group"),
        ({"Goal": {"Tail": -1}}, "Goal.Tail"),
        ({"Allowed": {"ConnIdleUs": -1}}, "ConnIdleUs"),
        ({"Balancers": 0}, "Balancers"),
        ({"Balancers": "two"}, "Balancers"),
        ({"Layer": 2}, "Tiers"),
        ({"Allowed": {"MaxAttempts": 0}}, "MaxAttempts"),
        ({"Rules": {"ColdFrom": 0}}, "ColdFrom"),
        ({"Parties": [{"Name": "a", "QuotaPerS": -1}]}, "QuotaPerS"),
        ({"Discovery": "guess"}, "Discovery"),
    ],
)
def test_invalid_settings_are_reported_with_their_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError, match=key):
        parse_settings(make_setup(**changes))
