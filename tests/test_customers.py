"""Nothing in the program or the deploy file belongs to one customer: names, shares, limits and times are told."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
DESCRIPTIONS = sorted((ROOT / "deploy" / "descriptions").glob("*.toml"))
# Times of some customer that are constants of ours too, each with its own reason where it stands.
COINCIDENCES = {1_000_000, 1_500_000, 2_000_000, 2_500_000, 3_000_000, 8_000_000}


def tables() -> list[dict[str, Any]]:
    return [tomllib.loads(path.read_text(encoding="utf-8")) for path in (*SITES, *DESCRIPTIONS)]


def names(table: dict[str, Any]) -> Iterator[str]:
    """What one customer calls its classes, tenants, zones, tiers and machines."""
    yield table.get("name", "")
    for key in ("class", "tenant", "tier"):
        for row in table.get(key, []):
            yield row["name"]
            yield from (kind["name"] for kind in row.get("kind", []))
    yield from (*table.get("net", {}).get("zones", []), *table.get("zones", []), *table.get("tiers", []))
    yield from (*table.get("classes", {}), *table.get("tenants", {}))
    for row in table.get("application", []):
        yield from row.get("kinds", [])


def times_us() -> set[int]:
    rows = [row for table in tables() for row in table.get("class", [])]
    return {int(row[key] * 1000) for row in rows for key in ("aim_ms", "deadline_ms", "window_ms") if key in row}


def sidecar_modules() -> list[Path]:
    """What `run` may ever import, and the tool round its files."""
    return sorted((ROOT / "eiderhub").rglob("*.py"))


def constants() -> list[tuple[Path, object]]:
    """Every constant of the sidecar, but for docstrings."""
    found: list[tuple[Path, object]] = []
    for path in sidecar_modules():
        tree = ast.parse(path.read_text(encoding="utf-8"))
        prose = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
        found += [
            (path, node.value) for node in ast.walk(tree) if isinstance(node, ast.Constant) and id(node) not in prose
        ]
    return found


def test_no_name_of_a_customer_stands_in_the_program_or_the_deploy_file() -> None:
    known = {name for table in tables() for name in names(table) if name}
    assert len(SITES) == 2 and len(known) > 30
    met = [(path.name, value) for path, value in constants() if isinstance(value, str) and value in known]
    assert met == []
    deploy = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    assert [name for name in known if name in deploy] == []


def test_no_time_of_a_customers_classes_is_a_constant_of_the_program() -> None:
    own = times_us() - COINCIDENCES
    assert own
    met = [(path.name, value) for path, value in constants() if isinstance(value, int) and value in own]
    assert met == []


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_each_variant_has_a_class_of_every_effect_and_its_companions(path: Path) -> None:
    site = tomllib.loads(path.read_text(encoding="utf-8"))
    assert {row["effect"] for row in site["class"]} == {"safe", "keyed", "unsafe"}
    assert {"real.json", "wire.json", "unlock.txt"} <= {beside.name for beside in path.parent.iterdir()}
