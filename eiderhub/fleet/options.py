"""The operator's table `[fleet]`: whether sidecars keep a view of one another, with whom, and on which address."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from eiderhub.fleet.member_table import Address
from eiderhub.fleet.messages import NAME, digest
from eiderhub.fleet.protocol import Terms
from eiderhub.schema.kinds import Duration, Flag, Int, Key, Kind, Number, Several, SocketAddress, Table, Text
from eiderhub.schema.pair import Pair

FORM = b"1"  # of the view: programs that differ in it count as of different builds
KEY_LEAST, KEY_MOST = 16, 64  # bytes of a shared key
OWN = ("Rank", "MyZone")  # settings that differ from one sidecar of a fleet to the next
TABLES: dict[str, Kind] = {
    "fleet": Table(
        (
            Key("period", Duration(20_000, 10_000_000), "how often each asks another whether it is there", 500_000),
            Key("listen", SocketAddress(), "where datagrams come in, in place of the platform's peer_listen", None),
            Key("address", SocketAddress(1), "where the others reach it, in place of its own row in peers", None),
            Key("contacts", Several(SocketAddress(1), 1024), "the others' addresses, in place of the platform's", ()),
            Key("introduced", Flag(), "whether members told of by others may speak to it; needs a key", False),
            Key("roster", Int(0, 4096), "how many members there ought to be; 0: as many as contacts", 0),
            Key("key-file", Text(), "holds the key that all share: each datagram then bears a digest", None),
            Key("evidence", Flag(), "whether failing endpoints are told of and heard of", True),
            Key("folder", Text(), "where the view is written down, for `eiderhub fleet`", None),
            Key("clock-offset", Number(-1e6, 1e6, "seconds"), "sets the wall clock off, for test rigs alone", 0.0),
        )
    ),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Options:
    """What a member starts from."""

    name: str
    listen: Address
    address: Address
    terms: Terms
    key: bytes | None = field(repr=False)
    folder: str | None
    clock_offset_s: float
    build: bytes = field(compare=False)  # of the configuration in force: changes without a restart


def check(pair: Pair) -> None:
    """All that a start would stumble over."""
    row = pair.tables.get("fleet")
    if row is None:
        return
    spot = pair.operator / "fleet"
    if pair.document and pair.settings.get("Allowed", {}).get("Peers") is not True:
        spot.error(
            "peers-not-allowed",
            "the settings do not allow sidecars to talk to one another (Allowed.Peers)",
            "The platform would drop what it sends, or void the run",
            "Leave the table out, or have Peers allowed",
        )
    if row["introduced"] and not row["key-file"]:
        spot.error(
            "key",
            "introduced = true without key-file",
            "Whoever can send a datagram could join",
            "Name a file with a key that all members share, or list all contacts",
        )
    try:
        if row["key-file"]:
            read_key(row["key-file"])
    except ValueError as error:
        (spot / "key-file").error("key", str(error), "No sidecar starts from it", "Write 16 to 64 random bytes there")
    if pair.document:
        _check_addresses(pair, row)


def _check_addresses(pair: Pair, row: dict[str, Any]) -> None:
    try:
        addresses(pair.document, row)
    except ValueError as error:
        (pair.operator / "fleet").error(
            "address", str(error), "Nobody could reach it", "State listen, address and contacts as address:port"
        )
    name = str(pair.document.get("name", ""))
    if pair.document.get("name") is not None and not 0 < len(name.encode()) <= NAME:
        pair.sidecar.error(
            "name", f"the name {name!r} has to be 1 to {NAME} bytes long", "No datagram could hold it", "Shorten it"
        )


def read_key(path: str) -> bytes:
    """The shared key. Raises ValueError with what is wrong."""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    if not KEY_LEAST <= len(key) <= KEY_MOST:
        raise ValueError(f"{path}: a key of {len(key)} bytes")
    return key


def addresses(document: dict[str, Any], row: dict[str, Any]) -> tuple[Address, Address, tuple[Address, ...]]:
    """Where to listen, where others reach us, and the contacts. Raises ValueError."""
    peers = document.get("peers") or []
    if not isinstance(peers, list):
        raise ValueError("peers: no list of addresses")
    contacts = tuple(_parse(text, "contacts") for text in (row["contacts"] or peers))
    listen = _parse(row["listen"] or document.get("peer_listen"), "listen (or peer_listen)")
    rank = (document.get("settings") or {}).get("Rank", 0)
    own = row["address"] or (peers[rank] if not row["contacts"] and rank < len(peers) else None)
    return listen, _parse(own, "address") if own else listen, contacts


def _parse(value: Any, what: str) -> Address:
    if isinstance(value, tuple):
        value = f"{value[0]}:{value[1]}"
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        if ip_address(host).version == 4 and port.isdigit() and int(port) <= 0xFFFF:
            return host, int(port)
    except ValueError:
        pass
    raise ValueError(f"{what}: no IPv4 address:port: {value!r}")


def member_options(document: dict[str, Any], tables: dict[str, Any], name: str) -> Options | None:
    """What a checked pair of files asks for. Raises ValueError."""
    row = tables.get("fleet")
    if row is None:
        return None
    listen, address, contacts = addresses(document, row)
    terms = Terms(row["period"], contacts, row["introduced"], row["roster"], row["evidence"])
    key = read_key(row["key-file"]) if row["key-file"] else None
    return Options(name, listen, address, terms, key, row["folder"], row["clock-offset"], build_of(document, tables))


def build_of(document: dict[str, Any], tables: dict[str, Any]) -> bytes:
    """What names the rules that a sidecar lives by: the same for all of one fleet that have the same files."""
    settings = {k: v for k, v in (document.get("settings") or {}).items() if k not in OWN}
    others = {name: value for name, value in tables.items() if name != "fleet"}
    return digest(FORM, *(json.dumps(part, sort_keys=True, default=str).encode() for part in (settings, others)))
