"""Generated files are valid and reproducible, and the real program serves requests with them."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from eiderhub.config.check import check
from eiderhub.config.command import main
from eiderhub.config.write import dedup_window_us, fitting_attempts, generate, write
from eiderhub.schema.toml_writer import toml_table, toml_value
from tests.config.serving import serve_through

REPOSITORY = Path(__file__).parents[2]
DESCRIPTION_COUNT = 200
MAX_CONCURRENT_PROGRAMS = 8

names = st.text("abcdefghijklmnopqrstuvwxyz0123456789-_", min_size=1, max_size=8).map(lambda name: "n" + name)
milliseconds = st.integers(200, 4000)


def duration(ms: int) -> str:
    return f"{ms}ms" if ms % 1000 else f"{ms // 1000}s"


@st.composite
def classes(draw: st.DrawFn) -> dict[str, Any]:
    objective_ms = draw(milliseconds)
    found: dict[str, Any] = {
        "wanted": duration(objective_ms),
        "give_up": duration(objective_ms + draw(st.integers(600, 3000))),
        "repeat": draw(st.sampled_from(["harmless", "keyed", "never"])),
    }
    if found["repeat"] == "keyed":
        found["remembered"] = duration(draw(st.integers(300, 9000)))
        found["dropped_by"] = draw(st.sampled_from(["all", "zone", "cell"]))
    if draw(st.booleans()):
        found["worth"] = draw(st.floats(0.1, 10).map(lambda x: round(x, 2)))
        found["late"] = draw(st.sampled_from([0.0, 0.25, 1.0]))
    return found


METHODS = {"harmless": "GET", "keyed": "POST", "never": "POST"}


@st.composite
def descriptions(draw: st.DrawFn) -> dict[str, Any]:
    """Valid descriptions: objectives below deadlines, shares that add up to 1 or less, routes on distinct paths."""
    request_classes = draw(st.dictionaries(names, classes(), min_size=1, max_size=4))
    flag: st.SearchStrategy[bool] = st.booleans()
    tiers = draw(st.lists(names, min_size=1, max_size=3, unique=True))
    sidecars = draw(st.integers(1, 50))
    tenants: list[str] = draw(st.lists(names, max_size=4, unique=True))
    found: dict[str, Any] = {
        "name": draw(names),
        "tiers": tiers,
        "tier": draw(st.sampled_from(tiers)),
        "sidecars": sidecars,
        "number": draw(st.integers(0, sidecars - 1)),
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "lists": draw(st.sampled_from(["ask", "push"])),
        "zone": "here",
        "rate": draw(st.integers(0, 10 * sidecars)),
        "clients_wait": duration(draw(st.sampled_from([0, 500, 2000]))),
        "default": draw(st.sampled_from(["first-part", "refuse"])),
        "machine": {"memory": f"{draw(st.integers(32, 192))}MiB", "descriptors": draw(st.integers(256, 1024))},
        "classes": request_classes,
        "tenants": {name: round(1 / len(tenants) - 0.001, 3) for name in tenants},
    }
    pools = {"near": {"zones": ["here"]}, "rack": {"labels": {"rack": "r1"}}}
    chosen: list[str] = sorted(draw(st.sets(st.sampled_from(sorted(pools)))))
    found["pools"] = {name: pools[name] for name in chosen}
    found["routes"] = []
    for i in range(draw(st.integers(int(found["default"] == "refuse"), 3))):
        class_name = draw(st.sampled_from(sorted(request_classes)))
        route: dict[str, Any] = {
            "name": f"r{i}",
            "class": class_name,
            "path": f"/route-{i}" + draw(st.sampled_from(["", "/{id}", "/{id}/rest", "/*"])),
        }
        if draw(flag):
            route["method"] = METHODS[request_classes[class_name]["repeat"]]
        if bool(chosen) and draw(flag):
            route["pool"] = draw(st.sampled_from(chosen))
        if bool(tenants) and draw(flag):
            route["tenant"] = draw(st.sampled_from(tenants))
        if draw(flag):
            route["attempts"] = 1
        if draw(flag):
            route["headers"] = {"X-Kind": draw(names)}
        found["routes"].append(route)
    return found


def text_of(description: dict[str, Any]) -> str:
    lines = [f"{key} = {toml_value(value)}" for key, value in description.items() if not isinstance(value, dict)]
    lines = [line for line in lines if not line.startswith("routes")]
    for key in ("machine", "tenants"):
        lines += toml_table(f"[{key}]", description[key])
    for key in ("classes", "pools"):
        for name, table in description[key].items():
            lines += toml_table(f"[{key}.{name}]", table)
    for route in description["routes"]:
        lines += toml_table("[[routes]]", route)
    return "\n".join(lines) + "\n"


def test_files_generated_from_200_random_descriptions_start_and_serve() -> None:
    drawn: list[dict[str, Any]] = []

    @settings(max_examples=DESCRIPTION_COUNT, phases=[Phase.generate], suppress_health_check=list(HealthCheck))
    @given(descriptions())
    def draw(description: dict[str, Any]) -> None:
        drawn.append(description)

    draw()
    assert len(drawn) >= DESCRIPTION_COUNT

    async def serve(description: dict[str, Any], semaphore: asyncio.Semaphore, folder: Path) -> None:
        path = folder / "d.toml"
        path.write_text(text_of(description))
        generated = generate(str(path))
        assert generated.is_valid, (generated.findings, path.read_text())
        sidecar_content, operator_content = generated.files.values()
        async with semaphore:
            assert await serve_through(json.loads(sidecar_content), operator_content.decode()) > 0

    async def serve_all() -> None:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_PROGRAMS)
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.TaskGroup() as group:
                for i, description in enumerate(drawn):
                    program_folder = Path(folder) / str(i)
                    program_folder.mkdir()
                    group.create_task(serve(description, semaphore, program_folder))

    asyncio.run(serve_all())


@given(descriptions())
@settings(max_examples=30)
def test_the_same_description_gives_the_same_bytes(description: dict[str, Any]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "d.toml"
        path.write_text(text_of(description))
        assert generate(str(path)).files == generate(str(path)).files


def test_the_platforms_two_tiers_are_generated_and_valid(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The main use: about twenty lines per application give files that a sidecar starts from and serves with."""
    description = REPOSITORY / "deploy" / "descriptions" / "santiago-central.toml"
    assert main(["write", "--fleet", str(description), "--out", str(tmp_path)]) == 0
    assert main(["check", "--strict", str(tmp_path)]) == 0
    assert capsys.readouterr().out.endswith("4 files: 0 errors, 0 warnings\n")
    for name, rank, attempt_limit in (("pedidos", 0, 3), ("bodega", 1, 2)):
        document = json.loads((tmp_path / name / "sidecar.json").read_text())
        settings_table = document["settings"]
        assert (settings_table["Layer"], settings_table["Allowed"]["MaxAttempts"]) == (rank, attempt_limit)
        effects = {row["Name"]: row["Effect"] for row in settings_table["Categories"]}
        assert effects == {"reserva": "deduplicated", "despacho": "at_most_once"}
        operator = (tmp_path / name / "operator.toml").read_text()
        assert asyncio.run(serve_through(document, operator)) == 2


def test_derived_values_have_notes_with_their_reasons(tmp_path: Path) -> None:
    write(str(REPOSITORY / "deploy" / "descriptions" / "santiago-central.toml"), str(tmp_path))
    document = json.loads((tmp_path / "pedidos" / "sidecar.json").read_text())
    reserva = document["settings"]["Categories"][0]
    assert reserva["DedupWindowUs"] == 3_750_000
    assert "resend may have to connect first" in document["notes"]["settings.Categories reserva"]
    assert document["settings"]["Parties"][0]["QuotaPerS"] == pytest.approx(420 * 0.43)


def test_deduplication_windows_and_attempt_limits() -> None:
    assert dedup_window_us(4_000_000, 250_000) == 3_750_000
    assert fitting_attempts([6_000_000, 2_500_000], 250_000, 0) == 3
    assert fitting_attempts([6_000_000, 2_500_000], 250_000, 1) == 2
    assert fitting_attempts([600_000], 250_000, 0) == 2
    assert fitting_attempts([100_000], 250_000, 0) == 1


def test_the_old_files_stay_if_the_new_ones_have_errors(tmp_path: Path) -> None:
    path = tmp_path / "d.toml"
    text = (REPOSITORY / "standins" / "demo.toml").read_text()
    path.write_text(text)
    assert main(["write", str(path), "--out", str(tmp_path)]) == 0
    before = (tmp_path / "demo" / "sidecar.json").read_bytes()
    path.write_text(text.replace('repeat = "never"', 'repeat = "harmless"'))
    assert main(["write", str(path), "--out", str(tmp_path)]) == 1
    assert (tmp_path / "demo" / "sidecar.json").read_bytes() == before
    assert sorted(p.name for p in (tmp_path / "demo").iterdir()) == ["operator.toml", "sidecar.json"]


def test_findings_of_generated_files_point_into_the_description(tmp_path: Path) -> None:
    path = tmp_path / "d.toml"
    text = (REPOSITORY / "standins" / "demo.toml").read_text()
    path.write_text(text.replace('path = "/catalogo/partes"', 'path = "/despacho/*"'))
    found = [(f.code, f.key, f.line) for f in check([str(path)]).findings]
    line = path.read_text().split("\n").index('path = "/despacho/*"') + 1
    assert found == [("disguise", "routes[0].path", line)]


def test_an_application_with_fixed_endpoints_and_no_discovery(tmp_path: Path) -> None:
    text = (REPOSITORY / "standins" / "demo.toml").read_text()
    path = tmp_path / "d.toml"
    path.write_text(text.replace('discovery = "127.0.0.1:8500"', 'endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]'))
    found = generate(str(path))
    assert found.findings == []
    document = json.loads(found.files["demo/sidecar.json"])
    assert "discovery" not in document
    assert [row["hostPort"] for row in document["known"]["instances"]] == ["127.0.0.1:9001", "127.0.0.1:9002"]
    path.write_text(text.replace('discovery = "127.0.0.1:8500"', ""))
    assert [(f.code, f.key) for f in generate(str(path)).findings] == [("missing", "discovery")]
