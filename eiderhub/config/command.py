"""`eiderhub config ...`: words in, words out. Exit status 0: sound; 1: findings; 2: can't be read, or asked wrongly."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Iterator, Sequence
from typing import Any

from eiderhub.config import explain as explaining
from eiderhub.config.check import Result, check
from eiderhub.config.operator import OWNERS, owner
from eiderhub.config.write import write
from eiderhub.routing.request_target import RequestAttributes
from eiderhub.schema.files import UnreadableFileError
from eiderhub.schema.findings import Finding, Severity
from eiderhub.schema.units import format_duration
from eiderhub.schema.value_types import REQUIRED, Key, ListOf, Located, MapOf, Table, ValueType
from eiderhub.sidecar.config import Config


def main(arguments: Sequence[str]) -> int:
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

    one = commands.add_parser("write", help="write an application's files from its description")
    one.add_argument("description", nargs="?", help="a description (TOML) of one application")
    one.add_argument("--fleet", metavar="FILE", help="a description of many applications")
    one.add_argument("--out", metavar="DIR", required=True, help="the folder to write below; one folder an application")
    one.set_defaults(run=_write)

    one = commands.add_parser("check", help="check files, folders, or a fleet")
    one.add_argument("paths", nargs="+", metavar="FILE", help="files or folders: .json, and .toml beside it")
    one.add_argument("--json", action="store_true", help="findings as JSON, for machines")
    one.add_argument("--strict", action="store_true", help="warnings count as errors")
    one.add_argument("--probe", action="store_true", help="ask the Consul agents that are named, once for each service")
    one.set_defaults(run=_check)

    one = commands.add_parser("explain", help="say what becomes of a request")
    one.add_argument("paths", nargs="+", metavar="FILE", help="a sidecar's file, and its operator's file if it has one")
    one.add_argument("--request", required=True, metavar="R", help='such as "POST /despacho/a" or "Invoice:issue"')
    one.add_argument("--header", action="append", default=[], metavar="NAME=VALUE", help="a header of the request")
    one.add_argument("--tenant", help="its tenant")
    one.add_argument("--protocol", choices=("http", "thrift"), default="http")
    one.add_argument("--service", help="for protocols that have services")
    one.add_argument("--call", help="the method called on the service")
    one.add_argument("--json", action="store_true", help="as JSON, for machines")
    one.set_defaults(run=_explain)

    one = commands.add_parser("diff", help="say what would behave differently")
    one.add_argument("old", help="a folder with a sidecar's files, or its file")
    one.add_argument("new", help="the same, later")
    one.add_argument("--json", action="store_true", help="as JSON, for machines")
    one.set_defaults(run=_diff)

    one = commands.add_parser("keys", help="list the keys of the operator's file")
    one.set_defaults(run=_keys)
    return parser


def _print(findings: Sequence[Finding]) -> None:
    for finding in findings:
        print(finding)


def _write(options: argparse.Namespace) -> int:
    if (options.description is None) == (options.fleet is None):
        print("eiderhub config write: name a description, or --fleet FILE", file=sys.stderr)
        return 2
    made = write(options.description or options.fleet, options.out)
    _print(made.findings)
    for name in made.files:
        print(f"wrote {options.out}/{name}")
    return 0 if made.sound else 1


def _check(options: argparse.Namespace) -> int:
    result = check(options.paths)
    status = result.status
    if options.strict and result.findings:
        status = max(status, 1)
    probed = _probe(result) if options.probe else []
    if not all(one.sound for one in probed):
        status = max(status, 1)
    if options.json:
        print(json.dumps(_as_json(result, status) | {"probes": [one._asdict() for one in probed]}, indent=2))
        return status
    _print(result.findings)
    for one in probed:
        print(one)
    for reason in result.unreadable:
        print(f"can't be read: {reason}")
    errors = sum(f.severity is Severity.ERROR for f in result.findings)
    print(f"{result.files} files: {errors} errors, {len(result.findings) - errors} warnings")
    return status


def _probe(result: Result) -> list[Any]:
    """What the agents of each sidecar's Consul say; the same ones are asked once."""
    wanted = {one.config.consul: None for one in result.examined if one.config and one.config.consul}
    if not wanted:
        return []
    from eiderhub.membership.consul.probe import probe  # only where a file names Consul

    return [one for options in wanted for one in asyncio.run(probe(options))]


def _as_json(result: Result, status: int) -> dict[str, Any]:
    return {
        "status": status,
        "files": result.files,
        "findings": [finding.as_dict() for finding in result.findings],
        "unreadable": result.unreadable,
    }


def _config(paths: Sequence[str]) -> Config | None:
    """The one configuration that these paths hold; its errors are printed."""
    result = check(paths)
    configs = [one.config for one in result.examined if one.config is not None]
    if result.unreadable:
        raise UnreadableFileError("; ".join(result.unreadable))
    if result.status or len(configs) != 1:
        _print(result.findings)
        if not result.status:
            print(f"{' '.join(paths)}: {len(configs)} sidecars' files; one is needed")
        return None
    return configs[0]


def _explain(options: argparse.Namespace) -> int:
    service, call = options.service, options.call
    try:
        if options.protocol == "thrift" and call is None:
            service, call = explaining.call_of(options.request)
            method, path, query = "", b"/" + call.encode(), b""
        else:
            method, path, query = explaining.requests_of(options.request.split())
    except ValueError as error:
        print(f"eiderhub config explain: {error}", file=sys.stderr)
        return 2
    config = _config(options.paths)
    if config is None or config.plan is None:
        return 1
    headers = {}
    for pair in options.header:
        name, _, value = pair.partition("=")
        headers[name.lower().encode("latin-1", "replace")] = value.encode("latin-1", "replace")
    asked = RequestAttributes(options.protocol, method, (), headers, query, options.tenant, service, call)
    found = explaining.explain(config.plan, asked, path)
    told = dict(_told(found, config))
    if options.json:
        print(json.dumps(told, indent=2))
    else:
        width = max(len(key) for key in told)
        for key, value in told.items():
            print(f"{key:<{width}}  {value}")
    return 0


def _told(found: explaining.Explained, config: Config) -> Iterator[tuple[str, str]]:
    if found.route:
        yield "route", found.route
    if found.request_class is None or found.refusal:
        yield "answer", found.refusal
        return
    request_class = found.request_class
    yield "class", request_class.variant_of or request_class.name
    yield "effect of a repeat", request_class.effect.value
    if hint := explaining.keyed_hint(request_class):
        yield "key", hint
    yield "pool", explaining.describe_pool(request_class)
    yield "wanted within", format_duration(request_class.objective_us)
    yield "given up after", format_duration(request_class.deadline_us)
    yield from explaining.may_do(request_class, config.settings).items()


def _diff(options: argparse.Namespace) -> int:
    old, new = _config([options.old]), _config([options.new])
    if old is None or new is None:
        return 1
    found = explaining.differences(old, new)
    if options.json:
        print(json.dumps([difference._asdict() for difference in found], indent=2))
        return 0
    for d in found:
        mark = "restart" if d.restart else "reload "
        change = f"{d.old} -> {d.new}" if d.old and d.new else f"new: {d.new}" if d.new else f"gone: {d.old}"
        print(f"{mark}  {d.subject} {d.what}: {change}")
    print(f"{len(found)} differences, {sum(d.restart for d in found)} of them need a restart")
    return 0


def _keys(options: argparse.Namespace) -> int:
    for name in OWNERS:
        _print_kind(name, owner(name).TABLES[name])
    return 0


def _print_kind(name: str, value_type: ValueType) -> None:
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
        return "; needed"
    return f"; {key.default} where it is left out" if isinstance(key.default, str) else ""
