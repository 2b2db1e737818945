"""The table `[consul]` of the operator's file: agents, services, and how responses are interpreted."""

from __future__ import annotations

from typing import Any

from eiderhub.interface import Readiness
from eiderhub.membership.consul.health import FieldMapping
from eiderhub.membership.consul.query import CONSISTENCY_MODES, Options
from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.value_types import (
    HOUR_US,
    REQUIRED,
    Choice,
    Duration,
    Key,
    OneOrMore,
    Size,
    SocketAddress,
    Table,
    Text,
    ValueType,
)

META_KEY = Text(r"[A-Za-z0-9_-]{1,128}", "a key of Meta")
NAME = Text(r"[^\x00-\x20/?#]{1,128}", "a name without spaces, '/', '?' or '#'")
SCOPE_PARAMETERS = {"datacenter": "dc", "namespace": "ns", "partition": "partition", "filter": "filter"}
TABLES: dict[str, ValueType] = {
    "consul": Table(
        (
            Key("agents", OneOrMore(SocketAddress(1), 16), "agents; one is polled, the next after a failure", REQUIRED),
            Key("services", OneOrMore(NAME), "services whose instances are endpoints; each gets the label `service`",
                REQUIRED),
            Key("api", Choice(("health", "catalogue")), "which API is polled; the catalogue has no checks", "health"),
            Key("mode", Choice(CONSISTENCY_MODES), "consistency mode of requests", "default"),
            Key("wait", Duration(1_000_000, HOUR_US // 6), "how long an agent may wait for a change", 30_000_000),
            Key("oldest", Duration(0, HOUR_US), "maximum age of an agent's data", 30_000_000),
            Key("caution", Duration(0, 24 * HOUR_US),
                "how long a silent Consul's draining or removed state overrides the platform's `ready`; 0: no limit",
                60_000_000),
            Key("answer", Size(65_536, 1 << 26), "maximum size of a response", 8 << 20),
            Key("token-file", Text(), "file with the ACL token; it may be replaced at any time", None),
            Key("datacenter", NAME, "instead of the agent's own", None),
            Key("namespace", NAME, "of the services", None),
            Key("partition", NAME, "of the services", None),
            Key("filter", Text(r"(?s).{1,1024}", "a filter expression"), "excluded instances are removed", None),
            Key("tags", OneOrMore(NAME), "tags that instances must have", ()),
            Key("warning", Choice(("ready", "draining")), "state of an instance with a warning check", "ready"),
            Key("zone", META_KEY, "the key of Meta with an instance's zone", "zone"),
            Key("kind", META_KEY, "the key of Meta with its kind of machine", "kind"),
            Key("cell", META_KEY, "the key of Meta with its cell", "cell"),
            Key("started", META_KEY, "the key of Meta with its start, in milliseconds of Unix time", "started_ms"),
        )
    ),
}  # fmt: skip


def read_options(tables: dict[str, Any]) -> Options | None:
    """Return the options from the tables of a checked operator's file, or None if Consul is not used."""
    row = tables.get("consul")
    if row is None:
        return None
    return Options(
        tuple(row["agents"]),
        tuple(row["services"]),
        row["mode"],
        row["wait"],
        row["oldest"],
        row["caution"],
        row["answer"],
        row["token-file"],
        tuple((parameter, row[key]) for key, parameter in SCOPE_PARAMETERS.items() if row[key] is not None),
        tuple(row["tags"]),
        row["api"] == "catalogue",
        FieldMapping(row["zone"], row["kind"], row["cell"], row["started"], Readiness(row["warning"])),
    )


def check(pair: FilePair) -> None:
    """Add findings for what is well-formed but wrong."""
    row = pair.tables.get("consul")
    if row is None:
        return
    location = pair.operator / "consul"
    for key in ("agents", "services"):
        if len(set(row[key])) < len(row[key]):
            (location / key).error(
                "twice", f"one of the {key} is listed twice", "It would be polled twice", "Remove one of them"
            )
