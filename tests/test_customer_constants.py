"""The program and the deploy file contain no constants of a customer: names and times come from settings."""

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
# Times of a customer that are also constants of the program, each for a reason given in its place.
COINCIDENCES = {1_000_000, 1_500_000, 2_000_000, 2_500_000, 3_000_000, 8_000_000}


def customer_tables() -> list[dict[str, Any]]:
    return [tomllib.loads(path.read_text(encoding="utf-8")) for path in (*SITES, *DESCRIPTIONS)]


def customer_names(table: dict[str, Any]) -> Iterator[str]:
    """Yield a customer's names of classes, tenants, zones, tiers and kinds of machine."""
    yield table.get("name", "")
    for key in ("class", "tenant", "tier"):
        for row in table.get(key, []):
            yield row["name"]
            yield from (kind["name"] for kind in row.get("kind", []))
    yield from (*table.get("net", {}).get("zones", []), *table.get("zones", []), *table.get("tiers", []))
    yield from (*table.get("classes", {}), *table.get("tenants", {}))
    for row in table.get("application", []):
        yield from row.get("kinds", [])


def customer_times_us() -> set[int]:
    """The times of the customers' classes, in microseconds."""
    rows = [row for table in customer_tables() for row in table.get("class", [])]
    return {int(row[key] * 1000) for row in rows for key in ("aim_ms", "deadline_ms", "window_ms") if key in row}


def package_modules() -> list[Path]:
    """All modules of the package: the sidecar and the tools for its files."""
    return sorted((ROOT / "eiderhub").rglob("*.py"))


def constants() -> list[tuple[Path, object]]:
    """Every literal of the package except docstrings, with its file."""
    found: list[tuple[Path, object]] = []
    for path in package_modules():
        tree = ast.parse(path.read_text(encoding="utf-8"))
        docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
        found += [
            (path, node.value)
            for node in ast.walk(tree)
            if isinstance(node, ast.Constant) and id(node) not in docstrings
        ]
    return found


def test_program_and_deploy_file_contain_no_customer_name() -> None:
    known_names = {name for table in customer_tables() for name in customer_names(table) if name}
    assert len(SITES) == 2 and len(known_names) > 30
    matches = [(path.name, value) for path, value in constants() if isinstance(value, str) and value in known_names]
    assert matches == []
    deploy = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    assert [name for name in known_names if name in deploy] == []


def test_no_time_of_a_customer_class_is_a_constant_of_the_program() -> None:
    customer_times = customer_times_us() - COINCIDENCES
    assert customer_times
    matches = [(path.name, value) for path, value in constants() if isinstance(value, int) and value in customer_times]
    assert matches == []


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_each_site_has_a_class_of_every_effect_and_its_companion_files(path: Path) -> None:
    site = tomllib.loads(path.read_text(encoding="utf-8"))
    assert {row["effect"] for row in site["class"]} == {"safe", "keyed", "unsafe"}
    assert {"real.json", "wire.json", "unlock.txt"} <= {beside.name for beside in path.parent.iterdir()}
