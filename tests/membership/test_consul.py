"""Reading Consul's responses, and the command `eiderhub members` that replays recorded ones."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from eiderhub.cli import main
from eiderhub.interface import Readiness
from eiderhub.membership.consul.health import FieldMapping, read_health


def instance(name: str = "web-1", checks: Any = (), address: str = "10.0.0.1", port: Any = 80, **meta: str) -> Any:
    """Return one row in the format of Consul's API documentation."""
    return {
        "Node": {"ID": "40e4", "Node": "n1", "Address": "10.0.0.9", "Datacenter": "dc1", "Meta": {"zone": "far"}},
        "Service": {
            "ID": name, "Service": "web", "Tags": ["v2"], "Address": address, "Port": port, "Meta": meta,
            "Weights": {"Passing": 10, "Warning": 2}, "Namespace": "default",
        },
        "Checks": [{"Node": "n1", "CheckID": i, "Status": status, "ServiceID": ""} for i, status in checks],
    }  # fmt: skip


def read(*rows: Any, field_mapping: FieldMapping = FieldMapping()) -> Any:  # noqa: B008
    return read_health(json.dumps(rows).encode(), field_mapping)


@pytest.mark.parametrize(
    ("checks", "readiness", "weight"),
    [
        ([], Readiness.READY, 10),
        ([("serfHealth", "passing"), ("service:web-1", "passing")], Readiness.READY, 10),
        ([("serfHealth", "passing"), ("service:web-1", "warning")], Readiness.READY, 2),
        ([("serfHealth", "critical"), ("service:web-1", "passing")], Readiness.DRAINING, 10),
        ([("a", "passing"), ("b", "critical")], Readiness.DRAINING, 10),
        ([("_node_maintenance", "critical"), ("b", "passing")], Readiness.DRAINING, 10),
        ([("_service_maintenance:web-1", "critical")], Readiness.DRAINING, 10),
        ([("a", "a state of a later version")], Readiness.DRAINING, 10),
    ],
)
def test_the_most_severe_check_counts(checks: Any, readiness: Readiness, weight: int) -> None:
    endpoint = read(instance(checks=checks)).entries[0].endpoint
    assert (endpoint.readiness, endpoint.weight) == (readiness, weight)


def test_the_state_for_a_warning_is_configurable() -> None:
    found = read(instance(checks=[("a", "warning")]), field_mapping=FieldMapping(warning_state=Readiness.DRAINING))
    assert found.entries[0].endpoint.readiness is Readiness.DRAINING


def test_tags_and_locality_supply_what_meta_lacks() -> None:
    row = instance(kind="m4")
    row["Node"]["Meta"] = None
    row["Service"] |= {"Tags": ["kind=m1", "cell=5", "v2"], "Locality": {"Region": "sur", "Zone": "sur-b"}}
    endpoint = read(row).entries[0].endpoint
    assert (endpoint.zone, endpoint.machine_kind, endpoint.cell) == ("sur-b", "m4", 5)


def test_the_meta_of_a_service_overrides_that_of_its_node() -> None:
    (near,), (far,) = read(instance(zone="near", cell="3", kind="m4")).entries, read(instance()).entries
    assert (near.endpoint.id, near.endpoint.zone, near.endpoint.cell, near.endpoint.machine_kind) == (
        "n1/web-1",
        "near",
        3,
        "m4",
    )
    assert (far.endpoint.zone, far.endpoint.cell) == ("far", -1)
    assert far.endpoint.labels == {"service=web", "zone=far", "tag=v2"}


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"address": "web.internal"}, "not an IP address"),
        ({"port": 0}, "port 0"),
        ({"port": 70_000}, "port 70000"),
        ({"started_ms": "soon"}, "started_ms"),
    ],
)
def test_an_unusable_instance_is_left_out_and_the_others_stay(changes: dict[str, Any], reason: str) -> None:
    found = read(instance("bad", **changes), instance("good", address="", port=81), instance("six", address="::1"))
    assert [(e.host, e.port) for e in found.entries] == [("10.0.0.9", 81), ("::1", 80)]
    assert len(found.rejected) == 1 and found.rejected[0].startswith("n1/bad: ") and reason in found.rejected[0]


@pytest.mark.parametrize("body", [b"", b"[{", b'{"a": 1}', b'[{"Node": {}}]', b'"no cluster leader"', b"\xff"])
def test_a_malformed_response_raises_an_error(body: bytes) -> None:
    with pytest.raises(ValueError, match="malformed response"):
        read_health(body, FieldMapping())


def test_members_prints_the_merged_view_over_time(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    row = {"instanceId": "s-1", "hostPort": "10.0.0.1:80", "lifecycle": "ready"}
    rows = [
        {"at_ms": 5000, "source": "platform", "body": {"generation": 1, "reset": True, "instances": [row]}},
        {"at_ms": 6000, "source": "consul:web", "body": [instance(checks=[("a", "critical")])]},
        {"at_ms": 7000, "source": "consul:web", "body": {"not": "a list"}},
        {"at_ms": 7500, "source": "platform"},
    ]
    path = tmp_path / "recorded"
    path.write_text("\n".join(map(json.dumps, rows)))
    assert main(["members", str(path), "--caution", "3"]) == 1
    lines = [line.strip() for line in capsys.readouterr().out.splitlines()]
    assert lines[:3] == [
        "0.000 s  s-1 at 10.0.0.1:80  ready (platform: ready)",
        "1.000 s  s-1 at 10.0.0.1:80  draining (platform: ready, consul:web: draining)",
        "1.000 s  sources disagree: 10.0.0.1:80: platform reports ready, consul:web reports draining",
    ]
    assert lines[3].startswith("2.000 s  line 3: consul:web: malformed response of the health API")
    assert lines[4].startswith("4.000 s  s-1 at 10.0.0.1:80  ready (")  # Consul has been silent for three seconds
    assert lines[5:] == ["in the end: 1 endpoints", "s-1 at 10.0.0.1:80  ready"]


@pytest.mark.parametrize(
    "line", ["no JSON", '{"at_ms": 1}', '{"at_ms": "x", "source": "consul"}', '{"at_ms": 1, "source": "etcd"}']
)
def test_an_invalid_line_is_reported_with_its_number(
    line: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "recorded"
    path.write_text('{"at_ms": 1, "source": "consul", "body": []}\n' + line)
    assert main(["members", str(path)]) == 2
    assert f"{path}:2: " in capsys.readouterr().err
