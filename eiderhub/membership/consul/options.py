"""The operator's table `[consul]`: which services are asked for, of whom, and what their answers mean."""

from __future__ import annotations

from typing import Any

from eiderhub.interface import Readiness
from eiderhub.membership.consul.health import Meaning
from eiderhub.membership.consul.query import CONSISTENCY, Options
from eiderhub.schema.kinds import (
    HOUR_US,
    REQUIRED,
    Choice,
    Duration,
    Key,
    Kind,
    Several,
    Size,
    SocketAddress,
    Table,
    Text,
)
from eiderhub.schema.pair import Pair

META = Text(r"[A-Za-z0-9_-]{1,128}", "a key of Meta")
NAME = Text(r"[^\x00-\x20/?#]{1,128}", "a name as Consul has it")
SCOPE = {"datacenter": "dc", "namespace": "ns", "partition": "partition", "filter": "filter"}
TABLES: dict[str, Kind] = {
    "consul": Table(
        (
            Key("agents", Several(SocketAddress(1), 16), "agents, the first in use, the others in reserve", REQUIRED),
            Key("services", Several(NAME), "services whose instances are endpoints; each bears the label `service`",
                REQUIRED),
            Key("api", Choice(("health", "catalogue")), "which API is asked; the catalogue tells no checks", "health"),
            Key("mode", Choice(CONSISTENCY), "how fresh answers are", "default"),
            Key("wait", Duration(1_000_000, HOUR_US // 6), "how long an agent may hold a question", 30_000_000),
            Key("oldest", Duration(0, HOUR_US), "how old an agent's knowledge may be", 30_000_000),
            Key("caution", Duration(0, 24 * HOUR_US),
                "how long a silent Consul's caution stands above the platform's `ready`; 0: for good", 60_000_000),
            Key("answer", Size(65_536, 1 << 26), "the longest answer", 8 << 20),
            Key("token-file", Text(), "holds the ACL token, and may be replaced at any time", None),
            Key("datacenter", NAME, "asked of instead of the agent's own", None),
            Key("namespace", NAME, "of the services", None),
            Key("partition", NAME, "of the services", None),
            Key("filter", Text(r"(?s).{1,1024}", "a filter expression"), "instances that it leaves out are gone", None),
            Key("tags", Several(NAME), "that instances must bear", ()),
            Key("warning", Choice(("ready", "draining")), "what a check with a warning means", "ready"),
            Key("zone", META, "the key of Meta that tells an instance's zone", "zone"),
            Key("kind", META, "the key of Meta that tells its kind of machine", "kind"),
            Key("cell", META, "the key of Meta that tells its cell", "cell"),
            Key("started", META, "the key of Meta that tells its start, in milliseconds of Unix time", "started_ms"),
        )
    ),
}  # fmt: skip


def read_options(tables: dict[str, Any]) -> Options | None:
    """What a checked operator's file asks for."""
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
        tuple((theirs, row[ours]) for ours, theirs in SCOPE.items() if row[ours] is not None),
        tuple(row["tags"]),
        row["api"] == "catalogue",
        Meaning(row["zone"], row["kind"], row["cell"], row["started"], Readiness(row["warning"])),
    )


def check(pair: Pair) -> None:
    row = pair.tables.get("consul")
    if row is None:
        return
    spot = pair.operator / "consul"
    for key in ("agents", "services"):
        if len(set(row[key])) < len(row[key]):
            (spot / key).error("twice", f"one of the {key} stands twice", "It would be asked twice", "Leave one out")
