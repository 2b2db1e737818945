"""From one sidecar's two files to all findings, and to the configuration that a sidecar starts from.

The checker, the start with an operator's file and every reload go through `examine`: what one accepts, all accept.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from eiderhub.config import sidecar_file
from eiderhub.config.operator import owners_of, read_tables
from eiderhub.routing.plan import Plan, default_plan
from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.files import UnreadableFileError, decode_text, parse_json, parse_toml, read_bytes
from eiderhub.schema.findings import Finding, Location, Report, sort_findings
from eiderhub.sidecar.config import Config, ConfigError, config_from

OPERATOR_TABLES = ("routing", "classes", "pools", "routes")  # those that make a plan


@dataclass(frozen=True)
class Examined:
    """One sidecar's files as they were read, with all that was found."""

    pair: FilePair
    document: Any  # the sidecar's file as it was decoded
    config: Config | None  # None where there are errors, or no sidecar's file

    @property
    def findings(self) -> list[Finding]:
        return sort_findings([finding for report in self.pair.reports for finding in report.findings])

    @property
    def errors(self) -> list[Finding]:
        return sort_findings([finding for report in self.pair.reports for finding in report.errors])


class Source(NamedTuple):
    """A file's name, and what stood in it at one moment: nothing is read twice."""

    name: str
    content: bytes

    @staticmethod
    def of(path: str | None) -> Source | None:
        return None if path is None else Source(path, read_bytes(path))


def examine(sidecar: Source | None, operator: Source | None, environ: Mapping[str, str] | None = None) -> Examined:
    """Check a sidecar's file, an operator's file, or both together.

    `environ` stands above the file, as at a start; without it an address that only a start tells is no finding.
    """
    own = Report(sidecar.name if sidecar else "")
    theirs = Report(operator.name if operator else "")
    raw = _decode_json(sidecar, own)
    read = sidecar_file.DOCUMENT.read(raw, Location(own)) if raw is not None else {}
    document: dict[str, Any] = read if isinstance(read, dict) else {}
    tables = _decode_toml(operator, theirs)
    pair = FilePair(document, Location(own), read_tables(tables, Location(theirs)), Location(theirs))
    if document:
        sidecar_file.check(document, pair.sidecar)
    for owner in owners_of(tables):
        owner.check(pair)
    config = None
    if raw is not None and not own.errors and not theirs.errors:
        config = _config(raw, pair, environ)
    return Examined(pair, raw, config)


def _decode_json(source: Source | None, report: Report) -> Any:
    text = decode_text(source.content, Location(report)) if source else None
    return None if text is None else parse_json(text, report)


def _decode_toml(source: Source | None, report: Report) -> dict[str, Any]:
    text = decode_text(source.content, Location(report)) if source else None
    return (parse_toml(text, report) if text is not None else None) or {}


ANYWHERE = {"GW_LISTEN": "127.0.0.1:0", "GW_DISCOVERY": "127.0.0.1:1"}  # for files whose start tells these


def _config(raw: Any, pair: FilePair, environ: Mapping[str, str] | None) -> Config | None:
    """What a sidecar starts from; whatever its own reading still refuses is a finding like the others."""
    if environ is None:
        environ = {key: value for key, value in ANYWHERE.items() if key[3:].lower() not in raw}
    try:
        config = config_from(raw, environ, has_other_source="consul" in pair.tables)
        return dataclasses.replace(
            config,
            plan=make_plan(pair, config),
            thrift=_thrift(pair),
            consul=_consul(pair),
            fleet=_fleet(raw, pair, config.name),
        )
    except (ConfigError, ValueError) as error:
        pair.sidecar.error("start", str(error), "No sidecar starts from it", "Mend it")
        return None


def make_plan(pair: FilePair, config: Config) -> Plan:
    if not any(name in pair.tables for name in OPERATOR_TABLES):
        return default_plan(config.settings)
    from eiderhub.routing import options  # off where the file says nothing of it

    return options.make_plan(pair.tables, config.settings)


def _thrift(pair: FilePair) -> Any:
    if "thrift" not in pair.tables:
        return None
    from eiderhub.protocols.thrift import options  # off where the file says nothing of it

    return options.listener(pair.tables)


def _consul(pair: FilePair) -> Any:
    if "consul" not in pair.tables:
        return None
    from eiderhub.membership.consul import options  # off where the file says nothing of it

    return options.read_options(pair.tables)


def _fleet(raw: dict[str, Any], pair: FilePair, name: str) -> Any:
    if "fleet" not in pair.tables:
        return None
    from eiderhub.fleet import options  # off where the file says nothing of it

    return options.member_options(raw, pair.tables, name)


def checked(environ: Mapping[str, str], operator: str | None) -> Config:
    """The configuration for a start or a reload. Raises `ConfigError` with the first error that was found."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: missing")
    try:
        examined = examine(Source.of(path), Source.of(operator), environ)
    except UnreadableFileError as error:
        raise ConfigError(str(error)) from None
    if examined.errors:
        raise ConfigError(str(examined.errors[0]))
    if examined.config is None:
        raise ConfigError(f"{path}: must be an object")
    return examined.config
