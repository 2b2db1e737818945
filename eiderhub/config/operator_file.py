"""Reads the operator's file (TOML). It has one table per feature, which the feature's package declares and checks."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from importlib import import_module
from typing import Any, Protocol

from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.findings import Location
from eiderhub.schema.value_types import INVALID, ValueType, did_you_mean

# The module that owns each table. It is imported only if the file contains one of its tables, so that unused features
# cost nothing. It provides `TABLES` (the declared keys) and `check(pair)` (checks of well-formed values).
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
    """A module that declares and checks tables of the operator's file."""

    TABLES: dict[str, ValueType]

    def check(self, pair: FilePair) -> None: ...


def table_owner(table: str) -> TableOwner:
    """Import and return the module that owns a table."""
    module: Any = import_module(TABLE_MODULES[table])
    return module  # type: ignore[no-any-return]


def read_tables(document: dict[str, Any], location: Location) -> dict[str, Any]:
    """Return the tables of a decoded file, each read by its owner. Invalid tables are reported and left out."""
    tables = {}
    for name, value in document.items():
        if name not in TABLE_MODULES:
            (location / name).error(
                "unknown-key",
                "the table is unknown",
                "It would have no effect",
                did_you_mean(name, TABLE_MODULES),
            )
            continue
        try:
            kind = table_owner(name).TABLES[name]
        except ModuleNotFoundError as error:  # an optional dependency, such as that of eiderhub[consul]
            (location / name).error(
                "not-installed",
                f"the table needs {error.name}, which is not installed",
                "The sidecar would not start",
                f"Install eiderhub[{name}], or remove the table",
            )
            continue
        read = kind.read(value, location / name)
        if read is not INVALID:
            tables[name] = read
    return tables


def table_owners(document: dict[str, Any]) -> Iterator[TableOwner]:
    """Yield the owners of a file's tables, each once."""
    for module in sorted({TABLE_MODULES[name] for name in document if name in TABLE_MODULES}):
        with suppress(ModuleNotFoundError):  # already reported by `read_tables`
            yield import_module(module)
