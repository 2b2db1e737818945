"""The command `eiderhub config`. Exit status 0: no errors; 1: errors; 2: unreadable files or wrong arguments."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Iterator, Sequence
from typing import Any

from eiderhub.config import explain as explaining
from eiderhub.config.check import CheckResult, check
from eiderhub.config.operator_file import TABLE_MODULES, table_owner
from eiderhub.config.write import write
from eiderhub.routing.request_target import RequestAttributes
from eiderhub.schema.files import UnreadableFileError
from eiderhub.schema.findings import Finding, Severity
from eiderhub.schema.units import format_duration
from eiderhub.schema.value_types import REQUIRED, Key, ListOf, Located, MapOf, Table, ValueType
from eiderhub.sidecar.config import Config


def main(arguments: Sequence[str]) -> int:
    """Run `eiderhub config` with these arguments and return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except UnreadableFileError as error:
        print(f"eiderhub config: {error}", file=sys.stderr)
    except OSError as error:
        print(f"eiderhub config: {error.filename}: {error.strerror}", file=sys.stderr)
    return 2


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="eiderhub config", description="Write and check sidecar configurations.")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")

    subparser = commands.add_parser("write", help="write an application's files from its description")
    subparser.add_argument("description", nargs="?", help="a description (TOML) of one application")
    subparser.add_argument("--fleet", metavar="FILE", help="a description of many applications")
    subparser.add_argument(
        "--out", metavar="DIR", required=True, help="the output folder; each application gets a folder in it"
    )
    subparser.set_defaults(run=_write)

    subparser = commands.add_parser("check", help="check files, folders, or a fleet")
    subparser.add_argument(
        "paths", nargs="+", metavar="FILE", help="files or folders: .json files, and .toml files beside them"
    )
    subparser.add_argument("--json", action="store_true", help="print the findings as JSON")
    subparser.add_argument("--strict", action="store_true", help="treat warnings as errors")
    subparser.add_argument(
        "--probe", action="store_true", help="query the configured Consul agents, once for each service"
    )
    subparser.set_defaults(run=_check)

    subparser = commands.add_parser("explain", help="explain how a request is handled")
    subparser.add_argument(
        "paths", nargs="+", metavar="FILE", help="a sidecar's file, and its operator's file if there is one"
    )
    subparser.add_argument(
        "--request", required=True, metavar="R", help='a request, such as "POST /despacho/a" or "Invoice:issue"'
    )
    subparser.add_argument(
        "--header", action="append", default=[], metavar="NAME=VALUE", help="a header of the request"
    )
    subparser.add_argument("--tenant", help="the tenant of the request")
    subparser.add_argument("--protocol", choices=("http", "thrift"), default="http")
    subparser.add_argument("--service", help="the service, for protocols that have services")
    subparser.add_argument("--call", help="the method that is called on the service")
    subparser.add_argument("--json", action="store_true", help="print JSON")
    subparser.set_defaults(run=_explain)

    subparser = commands.add_parser("diff", help="list what would behave differently")
    subparser.add_argument("old", help="a folder with a sidecar's files, or the sidecar's file")
    subparser.add_argument("new", help="the same for the new configuration")
    subparser.add_argument("--json", action="store_true", help="print JSON")
    subparser.set_defaults(run=_diff)

    subparser = commands.add_parser("keys", help="list the keys of the operator's file")
    subparser.set_defaults(run=_keys)
    return parser


def _print_findings(findings: Sequence[Finding]) -> None:
    for finding in findings:
        print(finding)


def _write(options: argparse.Namespace) -> int:
    if (options.description is None) == (options.fleet is None):
        print("eiderhub config write: give either a description or --fleet FILE", file=sys.stderr)
        return 2
    generated = write(options.description or options.fleet, options.out)
    _print_findings(generated.findings)
    for name in generated.files:
        print(f"wrote {options.out}/{name}")
    return 0 if generated.is_valid else 1


def _check(options: argparse.Namespace) -> int:
    result = check(options.paths)
    status = result.status
    if options.strict and result.findings:
        status = max(status, 1)
    probe_results = _probe(result) if options.probe else []
    if not all(one.sound for one in probe_results):
        status = max(status, 1)
    if options.json:
        print(
            json.dumps(_result_as_json(result, status) | {"probes": [one._asdict() for one in probe_results]}, indent=2)
        )
        return status
    _print_findings(result.findings)
    for one in probe_results:
        print(one)
    for reason in result.unreadable:
        print(f"can't be read: {reason}")
    errors = sum(f.severity is Severity.ERROR for f in result.findings)
    print(f"{result.files} files: {errors} errors, {len(result.findings) - errors} warnings")
    return status


def _probe(result: CheckResult) -> list[Any]:
    """Query the Consul agents of all sidecars, each set of Consul options once."""
    consul_options = {one.config.consul: None for one in result.examined if one.config and one.config.consul}
    if not consul_options:
        return []
    from eiderhub.membership.consul.probe import probe  # imported only if a file configures Consul

    return [one for options in consul_options for one in asyncio.run(probe(options))]


def _result_as_json(result: CheckResult, status: int) -> dict[str, Any]:
    return {
        "status": status,
        "files": result.files,
        "findings": [finding.as_dict() for finding in result.findings],
        "unreadable": result.unreadable,
    }


def _load_config(paths: Sequence[str]) -> Config | None:
    """Return the single configuration at these paths. Prints the findings and returns None if there are errors."""
    result = check(paths)
    configs = [one.config for one in result.examined if one.config is not None]
    if result.unreadable:
        raise UnreadableFileError("; ".join(result.unreadable))
    if result.status or len(configs) != 1:
        _print_findings(result.findings)
        if not result.status:
            print(f"{' '.join(paths)}: {len(configs)} sidecars' files found; exactly one is needed")
        return None
    return configs[0]


def _explain(options: argparse.Namespace) -> int:
    service, call = options.service, options.call
    try:
        if options.protocol == "thrift" and call is None:
            service, call = explaining.parse_call(options.request)
            method, path, query = "", b"/" + call.encode(), b""
        else:
            method, path, query = explaining.parse_request_line(options.request.split())
    except ValueError as error:
        print(f"eiderhub config explain: {error}", file=sys.stderr)
        return 2
    config = _load_config(options.paths)
    if config is None or config.plan is None:
        return 1
    headers = {}
    for pair in options.header:
        name, _, value = pair.partition("=")
        headers[name.lower().encode("latin-1", "replace")] = value.encode("latin-1", "replace")
    request = RequestAttributes(options.protocol, method, (), headers, query, options.tenant, service, call)
    explanation = explaining.explain(config.plan, request, path)
    fields = dict(_explanation_fields(explanation, config))
    if options.json:
        print(json.dumps(fields, indent=2))
    else:
        width = max(len(key) for key in fields)
        for key, value in fields.items():
            print(f"{key:<{width}}  {value}")
    return 0


def _explanation_fields(explanation: explaining.Explanation, config: Config) -> Iterator[tuple[str, str]]:
    if explanation.route:
        yield "route", explanation.route
    if explanation.request_class is None or explanation.refusal:
        yield "answer", explanation.refusal
        return
    request_class = explanation.request_class
    yield "class", request_class.variant_of or request_class.name
    yield "effect of a repeat", request_class.effect.value
    if hint := explaining.describe_deduplication(request_class):
        yield "key", hint
    yield "pool", explaining.describe_pool(request_class)
    yield "wanted within", format_duration(request_class.objective_us)
    yield "given up after", format_duration(request_class.deadline_us)
    yield from explaining.permitted_actions(request_class, config.settings).items()


def _diff(options: argparse.Namespace) -> int:
    old, new = _load_config([options.old]), _load_config([options.new])
    if old is None or new is None:
        return 1
    differences = explaining.find_differences(old, new)
    if options.json:
        print(json.dumps([difference._asdict() for difference in differences], indent=2))
        return 0
    for d in differences:
        mark = "restart" if d.restart else "reload "
        change = f"{d.old} -> {d.new}" if d.old and d.new else f"new: {d.new}" if d.new else f"removed: {d.old}"
        print(f"{mark}  {d.subject} {d.what}: {change}")
    print(f"{len(differences)} differences, {sum(d.restart for d in differences)} of them need a restart")
    return 0


def _keys(options: argparse.Namespace) -> int:
    for name in TABLE_MODULES:
        _print_table(name, table_owner(name).TABLES[name])
    return 0


def _print_table(name: str, value_type: ValueType) -> None:
    header = f"[{name}]"
    if isinstance(value_type, MapOf):
        header, value_type = f"[{name}.NAME]", value_type.value_type
    elif isinstance(value_type, ListOf):
        header, value_type = f"[[{name}]]", value_type.value_type
    if isinstance(value_type, Located):
        value_type = value_type.value_type
    print(header)
    for key in value_type.keys if isinstance(value_type, Table) else ():
        print(f"  {key.name:<14} {key.help}\n  {'':<14} {key.value_type.description}{_default(key)}")
    print()


def _default(key: Key) -> str:
    if key.default is REQUIRED:
        return "; required"
    return f"; {key.default} by default" if isinstance(key.default, str) else ""
