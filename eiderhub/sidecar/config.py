"""The configuration of a sidecar: the environment and the JSON file that it names."""

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

DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 192  # if the configuration contains no limits


class ConfigError(Exception):
    """A configuration that no sidecar can start from. The text is for the operators on call."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host name or IP address and a TCP port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """All settings of one sidecar."""

    name: str
    listen: Address
    discovery: Address | None  # None: only the known list is used
    seed: int
    bounds: ResourceLimits
    known: EndpointList
    settings: Settings
    plan: Plan | None = None  # routes; None: the first segment of the path names the class
    consul: Any = None  # options of Consul as a source of endpoints, if the operator's file configures it
    thrift: Any = None  # options of the Thrift port, if the operator's file configures it
    fleet: Any = None  # options of the fleet's membership, if the operator's file configures it


def parse_address(text: object, key: str) -> Address:
    """Parse "host:port". Raises `ConfigError`, which names `key`."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{key}: not of the form address:port: {text!r}")
    return Address(host, int(port))


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {value!r}") from None


def _document(path: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigError(f"GW_CONFIG: {path}: not valid JSON") from None


def _limit(document: dict[str, Any], key: str, default: int) -> float:
    limits = document.get("limits")
    value = limits.get(key, default) if isinstance(limits, dict) else default
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
        raise ConfigError(f"limits.{key}: must be a number of at least 1, not {value!r}")
    return float(value)


def _discovery(text: object, has_other_source: bool) -> Address | None:
    if not text and has_other_source:
        return None
    return parse_address(text, "discovery")


def load(environ: Mapping[str, str]) -> Config:
    """Load the platform's configuration file that the environment names. Raises `ConfigError`."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: missing")
    return config_from(_document(path), environ)


def config_from(document: Any, environ: Mapping[str, str], has_other_source: bool = False) -> Config:
    """Return the configuration from the decoded file. Raises `ConfigError`.

    With `has_other_source`, endpoints may come from another source only, so that discovery may be missing.

    Environment variables take precedence over the file, except for discovery: the file can be replaced while the
    process runs, and the environment cannot.
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
            has_other_source or bool(known.entries),  # a non-empty known list serves as a fixed list
        ),
        seed=_seed(document.get("seed")),
        bounds=ResourceLimits.divide(
            int(_limit(document, "sockets", DEFAULT_SOCKETS)), _limit(document, "memory_mb", DEFAULT_MEMORY_MB)
        ),
        known=known,
        settings=settings,
    )


def needs_restart(old: Config, new: Config) -> list[str]:
    """Return the keys whose changes a running sidecar can't apply.

    Only discovery, the routes and their pools may change while a sidecar runs.
    """
    changed = [
        key
        for key in ("name", "listen", "bounds", "thrift", "consul", "fleet")
        if getattr(old, key) != getattr(new, key)
    ]
    for field in dataclasses.fields(old.settings):
        if getattr(old.settings, field.name) != getattr(new.settings, field.name):
            changed.append(f"settings.{field.name}")
    return changed
