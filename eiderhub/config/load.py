"""Reads and checks one sidecar's two files and builds the configuration that the sidecar starts from.

The checker, the start with an operator's file and every reload call `examine`, so that all accept the same files.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from eiderhub.config import sidecar_file
from eiderhub.config.operator_file import read_tables, table_owners
from eiderhub.routing.plan import Plan, default_plan
from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.files import UnreadableFileError, decode_text, parse_json, parse_toml, read_bytes
from eiderhub.schema.findings import Finding, Location, Report, sort_findings
from eiderhub.sidecar.config import Config, ConfigError, config_from

OPERATOR_TABLES = ("routing", "classes", "pools", "routes")  # the tables that change the routing plan


@dataclass(frozen=True)
class ExaminedFiles:
    """One sidecar's parsed files, their findings and the resulting configuration."""

    pair: FilePair
    document: Any  # the sidecar's file, decoded but not checked
    config: Config | None  # None if there are errors or no sidecar's file

    @property
    def findings(self) -> list[Finding]:
        return sort_findings([finding for report in self.pair.reports for finding in report.findings])

    @property
    def errors(self) -> list[Finding]:
        return sort_findings([finding for report in self.pair.reports for finding in report.errors])


class SourceFile(NamedTuple):
    """A file's name and content. Each file is read once, so that all checks see the same content."""

    name: str
    content: bytes

    @staticmethod
    def read(path: str | None) -> SourceFile | None:
        """Read a file. Raises `UnreadableFileError`."""
        return None if path is None else SourceFile(path, read_bytes(path))


def examine(
    sidecar: SourceFile | None, operator: SourceFile | None, environ: Mapping[str, str] | None = None
) -> ExaminedFiles:
    """Check a sidecar's file, an operator's file, or both together.

    `environ` overrides the file, as it does when a sidecar starts. Without it, `listen` and `discovery` may be missing
    from the file, since the environment may set them at the start.
    """
    sidecar_report = Report(sidecar.name if sidecar else "")
    operator_report = Report(operator.name if operator else "")
    decoded = _decode_json(sidecar, sidecar_report)
    parsed = sidecar_file.DOCUMENT.read(decoded, Location(sidecar_report)) if decoded is not None else {}
    document: dict[str, Any] = parsed if isinstance(parsed, dict) else {}
    tables = _decode_toml(operator, operator_report)
    pair = FilePair(
        document, Location(sidecar_report), read_tables(tables, Location(operator_report)), Location(operator_report)
    )
    if document:
        sidecar_file.check(document, pair.sidecar)
    for owner in table_owners(tables):
        owner.check(pair)
    config = None
    if decoded is not None and not sidecar_report.errors and not operator_report.errors:
        config = _build_config(decoded, pair, environ)
    return ExaminedFiles(pair, decoded, config)


def _decode_json(source: SourceFile | None, report: Report) -> Any:
    text = decode_text(source.content, Location(report)) if source else None
    return None if text is None else parse_json(text, report)


def _decode_toml(source: SourceFile | None, report: Report) -> dict[str, Any]:
    text = decode_text(source.content, Location(report)) if source else None
    return (parse_toml(text, report) if text is not None else None) or {}


# For files without these addresses, which come from the environment at a start.
PLACEHOLDER_ADDRESSES = {"GW_LISTEN": "127.0.0.1:0", "GW_DISCOVERY": "127.0.0.1:1"}


def _build_config(decoded: Any, pair: FilePair, environ: Mapping[str, str] | None) -> Config | None:
    """Return the configuration that a sidecar starts from, or None.

    An error that only the sidecar's own parser detects becomes a finding like the others.
    """
    if environ is None:
        environ = {key: value for key, value in PLACEHOLDER_ADDRESSES.items() if key[3:].lower() not in decoded}
    try:
        config = config_from(decoded, environ, has_other_source="consul" in pair.tables)
        return dataclasses.replace(
            config,
            plan=make_plan(pair, config),
            thrift=_thrift_options(pair),
            consul=_consul_options(pair),
            fleet=_fleet_options(decoded, pair, config.name),
        )
    except (ConfigError, ValueError) as error:
        pair.sidecar.error("start", str(error), "The sidecar would not start", "Correct the value")
        return None


def make_plan(pair: FilePair, config: Config) -> Plan:
    """Return the routing plan of both files."""
    if not any(name in pair.tables for name in OPERATOR_TABLES):
        return default_plan(config.settings)
    from eiderhub.routing import options  # imported only if the file configures it

    return options.make_plan(pair.tables, config.settings)


def _thrift_options(pair: FilePair) -> Any:
    if "thrift" not in pair.tables:
        return None
    from eiderhub.protocols.thrift import options  # imported only if the file configures it

    return options.listener(pair.tables)


def _consul_options(pair: FilePair) -> Any:
    if "consul" not in pair.tables:
        return None
    from eiderhub.membership.consul import options  # imported only if the file configures it

    return options.read_options(pair.tables)


def _fleet_options(decoded: dict[str, Any], pair: FilePair, name: str) -> Any:
    if "fleet" not in pair.tables:
        return None
    from eiderhub.fleet import options  # imported only if the file configures it

    return options.member_options(decoded, pair.tables, name)


def load_checked(environ: Mapping[str, str], operator: str | None) -> Config:
    """Return the configuration for a start or a reload. Raises `ConfigError` with the first error that was found."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: missing")
    try:
        examined = examine(SourceFile.read(path), SourceFile.read(operator), environ)
    except UnreadableFileError as error:
        raise ConfigError(str(error)) from None
    if examined.errors:
        raise ConfigError(str(examined.errors[0]))
    if examined.config is None:
        raise ConfigError(f"{path}: must be an object")
    return examined.config
