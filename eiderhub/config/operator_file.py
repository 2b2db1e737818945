"""The operator's file (TOML): one table for each feature, declared and checked by the package that owns it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from importlib import import_module
from typing import Any, Protocol

from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.findings import Location
from eiderhub.schema.value_types import INVALID, ValueType, did_you_mean

# Which module owns a table. It is imported only where the file names one of its tables, so that what is off costs
# nothing; it brings `TABLES` (what may stand there) and `check(pair)` (what is well-formed and wrong).
TABLE_MODULES = {
    "limits": "eiderhub.sidecar.options",
    "classes": "eiderhub.routing.options",
    "pools": "eiderhub.routing.options",
    "routing": "eiderhub.routing.options",
    "routes": "eiderhub.routing.options",
    "consul": "eiderhub.membership.consul.options",
    "thrift": "eiderhub.protocols.thrift.options",
    "fleet": "eiderhub.fleet.options",
}


class TableOwner(Protocol):
    TABLES: dict[str, ValueType]

    def check(self, pair: FilePair) -> None: ...


def table_owner(table: str) -> TableOwner:
    module: Any = import_module(TABLE_MODULES[table])
    return module  # type: ignore[no-any-return]


def read_tables(document: dict[str, Any], location: Location) -> dict[str, Any]:
    """The tables of a decoded file, each read by its owner; what can't be read is left out, with findings."""
    tables = {}
    for name, value in document.items():
        if name not in TABLE_MODULES:
            (location / name).error(
                "unknown-key",
                "the table is not known",
                "What it says would not be done",
                did_you_mean(name, TABLE_MODULES),
            )
            continue
        try:
            kind = table_owner(name).TABLES[name]
        except ModuleNotFoundError as error:  # of an extra of the package: eiderhub[consul]
            (location / name).error(
                "not-installed",
                f"the table needs {error.name}, which is not installed",
                "No sidecar starts from it",
                f"Install eiderhub[{name}], or leave the table out",
            )
            continue
        read = kind.read(value, location / name)
        if read is not INVALID:
            tables[name] = read
    return tables


def table_owners(document: dict[str, Any]) -> Iterator[TableOwner]:
    """The owners of a file's tables, each once."""
    for module in sorted({TABLE_MODULES[name] for name in document if name in TABLE_MODULES}):
        with suppress(ModuleNotFoundError):  # told where its table was read
            yield import_module(module)
