"""The checker and the sidecar agree: accepted files start, and the checker accepts valid files that start."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderhub.config.load import PLACEHOLDER_ADDRESSES, SourceFile, examine
from eiderhub.routing.plan import default_plan
from eiderhub.sidecar.config import ConfigError, config_from
from tests.support import RecordingHost

BASE: dict[str, Any] = json.loads((Path(__file__).parent.parent / "corpus" / "base.json").read_text())


def error_codes(document: Any) -> list[str]:
    found = examine(SourceFile("x.json", json.dumps(document).encode()), None)
    assert (found.config is None) == bool(found.errors)
    return [finding.code for finding in found.errors]


def starts(document: Any) -> bool:
    """Return whether the program's own parser accepts the document and the decision module starts with it."""
    environ = {key: value for key, value in PLACEHOLDER_ADDRESSES.items() if key[3:].lower() not in document}
    try:
        config = config_from(document, environ)
    except ConfigError:
        return False
    RecordingHost(default_plan(config.settings).settings, [entry.endpoint for entry in config.known.entries])
    return True


def key_paths(value: object, path: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    found = [path] if path else []
    steps = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for step, inner in steps:
        found += key_paths(inner, (*path, step))
    return found


KEY_PATHS = key_paths(BASE)
ODD_VALUES = [
    None,
    True,
    False,
    0,
    1,
    -1,
    0.5,
    10**30,
    2**53,
    "",
    "x",
    "127.0.0.1:1",
    [],
    ["a"],
    {},
    {"a": 1},
    "a\nb",
    "GET",
]


@st.composite
def mutated_documents(draw: st.DrawFn) -> Any:
    """Draw the base document with some values replaced or removed."""
    document = copy.deepcopy(BASE)
    for path in draw(st.lists(st.sampled_from(KEY_PATHS), min_size=1, max_size=3)):
        inner: Any = document
        try:
            for step in path[:-1]:
                inner = inner[step]
            if draw(st.booleans()):
                inner[path[-1]] = draw(st.sampled_from(ODD_VALUES))
            else:
                del inner[path[-1]]
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change removed the parent
    return document


@given(mutated_documents())
@settings(max_examples=1500)
def test_accepted_documents_start(document: Any) -> None:
    if not error_codes(document):
        assert starts(document)


@st.composite
def platform_documents(draw: st.DrawFn) -> dict[str, Any]:
    """Draw documents as the platform writes them: valid values, and keys that the sidecar does not use."""
    durations_us = st.integers(50_000, 10_000_000)
    request_classes = []
    for i in range(draw(st.integers(1, 4))):
        objective_us = draw(durations_us)
        effect = draw(st.sampled_from(["idempotent", "deduplicated", "at_most_once"]))
        request_classes.append(
            {
                "Name": f"c{i}",
                "AimUs": objective_us,
                "DeadlineUs": objective_us + draw(st.integers(2_000_000, 9_000_000)),
                "Effect": effect,
                "Group": draw(st.sampled_from(["all", "zone", "cell"])),
                "DedupWindowUs": draw(st.integers(1 if effect == "deduplicated" else 0, 9_000_000)),
                "Credit": draw(st.floats(0.0, 10.0)),
                "LateShare": draw(st.floats(0.0, 1.0)),
                "Streaming": draw(st.booleans()),
            }
        )
    parties = draw(st.integers(0, 6))
    balancers = draw(st.integers(1, 140))
    return {
        "name": "n3",
        "listen": "10.0.0.4:7070",
        "discovery": "10.2.0.1:8500",
        "seed": draw(st.text("0123456789abcdef", min_size=16, max_size=16)),
        "limits": {"cores": 1.0, "memory_mb": draw(st.integers(32, 192)), "sockets": draw(st.integers(256, 1024))},
        "peer_listen": "10.0.0.4:7946",
        "peers": ["10.3.0.1:7946"],
        "peers_all": "10.3.255.1:7946",
        "known": {
            "generation": draw(st.integers(0, 1000)),
            "reset": True,
            "instances": [
                {
                    "instanceId": f"s-{i}", "hostPort": f"10.1.0.{i}:7070", "zone": "z", "machineType": "m2", "cell": i,
                    "lifecycle": draw(st.sampled_from(["ready", "draining"])), "weight": 1.0,
                    "startedAtMs": draw(st.sampled_from([0, 1_790_000_000_000])),
                }
                for i in range(draw(st.integers(0, 9)))
            ],
        },
        "settings": {
            "Allowed": {
                "ConnIdleUs": draw(durations_us), "ConnectTimeoutUs": 250_000, "CpuUsPerRequest": 0.0,
                "CpuUsPerS": 7_088_004,
                "MaxAttempts": draw(st.integers(1, 6)), "MaxOpen": 177_200, "MaxRetryAfterUs": draw(durations_us),
                "MayCancel": True, "Multiplex": 1, "Peers": False, "Probing": False, "RetryAfter": True,
                "SecondCopies": draw(st.booleans()),
            },
            "Balancers": balancers,
            "Rank": draw(st.integers(0, 200)),
            "Categories": request_classes,
            "Charges": {"Connection": 0.08, "CrossZone": 0.0, "Waste": 0.05},
            "Clients": {"MarksRetry": False},
            "Discovery": draw(st.sampled_from(["ask", "push"])),
            "Family": "chain",
            "FamilyInfo": {"PassesDeadline": True},
            "Goal": {"Whole": 0.4, "WorstClass": 0.1, "WorstTenant": 0.4, "WorstWindow": 0.1},
            "Kinds": ["ped-std", "ped-lento"],
            "Layer": draw(st.integers(0, 1)),
            "Localities": ["z"],
            "MyZone": "z",
            "OverShareWorth": 0.05,
            "Parties": [{"Name": f"p{i}", "QuotaPerS": 12.0, "Share": 1 / parties} for i in range(parties)],
            "Report": {"Fields": [], "How": "none"},
            "Rules": {"AnswerSlackUs": 20_000, "AskEveryUs": 10_000_000, "ColdFrom": 0.32, "ColdUs": 9_000_000,
                      "DrainGraceUs": 1_000_000, "FallUs": 1_000_000, "OverloadFactor": 4.0},
            "StepUs": 5_000,
            "Tiers": ["pedidos", "bodega"],
            "Weights": "none",
            "WorthBy": "request",
        },
    }  # fmt: skip


@given(platform_documents())
@settings(max_examples=200)
def test_valid_documents_of_the_platform_start_and_are_accepted(document: dict[str, Any]) -> None:
    assert starts(document)
    assert error_codes(document) == []


@pytest.mark.parametrize("key", ["Peer5", "Zonal", "Zeitgeist"])
def test_an_unknown_key_is_a_warning_and_a_misspelt_one_an_error(key: str) -> None:
    document = copy.deepcopy(BASE)
    document["settings"][key] = 1
    assert error_codes(document) == []
    document["settings"]["Balancer"] = 1
    assert error_codes(document) == ["unknown-key"]
