"""What a sidecar is told at its start: the environment and the JSON file that it names."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from eiderhub.interface import Settings
from eiderhub.membership.endpoint_list import EndpointList, read_endpoint_list
from eiderhub.routing.plan import Plan
from eiderhub.settings import parse_settings
from eiderhub.sidecar.resource_limits import ResourceLimits

DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 192  # where the configuration states no limit


class ConfigError(Exception):
    """A configuration that no sidecar can start from, worded for those on call."""


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address | None  # None: the known list is all there is
    seed: int
    bounds: ResourceLimits
    known: EndpointList
    settings: Settings
    plan: Plan | None = None  # routes; None: the first part of the path is the class
    consul: Any = None  # the options of Consul as a source of endpoints, where the operator's file asks for it
    thrift: Any = None  # the options of a port for Thrift, where the operator's file asks for one
    fleet: Any = None  # the options of a view of the fleet, where the operator's file asks for one


def parse_address(text: object, key: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{key}: no address:port: {text!r}")
    return Address(host, int(port))


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: no hexadecimal number: {value!r}") from None


def _document(path: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigError(f"GW_CONFIG: {path}: no JSON") from None


def _limit(document: dict[str, Any], key: str, default: int) -> float:
    limits = document.get("limits")
    value = limits.get(key, default) if isinstance(limits, dict) else default
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
        raise ConfigError(f"limits.{key}: impossible value {value!r}")
    return float(value)


def _discovery(text: object, has_other_source: bool) -> Address | None:
    if not text and has_other_source:
        return None
    return parse_address(text, "discovery")


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration that the environment names, as the platform gives it. Raises `ConfigError`."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: missing")
    return config_from(_document(path), environ)


def config_from(document: Any, environ: Mapping[str, str], has_other_source: bool = False) -> Config:
    """A configuration from the decoded file; `elsewhere`: endpoints may come from another source alone.

    Raises `ConfigError`.

    The variables stand above what the file says of the same, but for discovery: the file may be replaced
    while the process runs, the environment can't.
    """
    if not isinstance(document, dict):
        raise ConfigError("GW_CONFIG: must be an object")
    try:
        settings = parse_settings(document.get("settings"))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        known = read_endpoint_list(document.get("known"))
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    return Config(
        name=environ.get("GW_NAME") or str(document.get("name", "")),
        listen=parse_address(environ.get("GW_LISTEN") or document.get("listen"), "GW_LISTEN"),
        discovery=_discovery(
            document.get("discovery") or environ.get("GW_DISCOVERY"),
            has_other_source or bool(known.entries),  # a fixed list of endpoints
        ),
        seed=_seed(document.get("seed")),
        bounds=ResourceLimits.divide(
            int(_limit(document, "sockets", DEFAULT_SOCKETS)), _limit(document, "memory_mb", DEFAULT_MEMORY_MB)
        ),
        known=known,
        settings=settings,
    )


def needs_restart(old: Config, new: Config) -> list[str]:
    """What a running sidecar can't take up: only discovery, the routes and their pools may change while it runs."""
    changed = [
        key
        for key in ("name", "listen", "bounds", "thrift", "consul", "fleet")
        if getattr(old, key) != getattr(new, key)
    ]
    for field in dataclasses.fields(old.settings):
        if getattr(old.settings, field.name) != getattr(new.settings, field.name):
            changed.append(f"settings.{field.name}")
    return changed
