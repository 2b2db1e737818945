"""The operator's table `[fleet]`: whether the sidecar joins its fleet, through which contacts and on which address."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from eiderhub.fleet.member_table import Address
from eiderhub.fleet.messages import MAX_NAME_BYTES, digest
from eiderhub.fleet.protocol import ProtocolConfig
from eiderhub.schema.file_pair import FilePair
from eiderhub.schema.value_types import (
    Duration,
    Flag,
    Int,
    Key,
    Number,
    OneOrMore,
    SocketAddress,
    Table,
    Text,
    ValueType,
)

VIEW_FORMAT = b"1"  # part of the build: programs with different formats count as different builds
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
PER_MEMBER_SETTINGS = ("Rank", "MyZone")  # settings that differ between the sidecars of a fleet
TABLES: dict[str, ValueType] = {
    "fleet": Table(
        (
            Key("period", Duration(20_000, 10_000_000), "in each period a member pings one other member", 500_000),
            Key("listen", SocketAddress(), "where it receives datagrams, in place of the platform's peer_listen", None),
            Key("address", SocketAddress(1), "where the others reach it, in place of its own row in peers", None),
            Key("contacts", OneOrMore(SocketAddress(1), 1024), "the others' addresses, in place of the platform's", ()),
            Key("introduced", Flag(), "whether members that are not listed as contacts may join; needs a key", False),
            Key("roster", Int(0, 4096), "the expected number of members; 0: as many as contacts", 0),
            Key("key-file", Text(), "file with the key that all members share: it authenticates each datagram", None),
            Key("evidence", Flag(), "whether members exchange observations of failing endpoints", True),
            Key("folder", Text(), "where events and members are written, for `eiderhub fleet`", None),
            Key("clock-offset", Number(-1e6, 1e6, "seconds"), "offset of the wall clock, for test rigs only", 0.0),
        )
    ),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Options:
    """What a member is started with."""

    name: str
    listen: Address
    address: Address
    config: ProtocolConfig
    key: bytes | None = field(repr=False)
    folder: str | None
    clock_offset_s: float
    build: bytes = field(compare=False)  # digest of the configuration in force: may change without a restart


def check(pair: FilePair) -> None:
    """Report everything that would make a start fail."""
    row = pair.tables.get("fleet")
    if row is None:
        return
    location = pair.operator / "fleet"
    if pair.document and pair.settings.get("Allowed", {}).get("Peers") is not True:
        location.error(
            "peers-not-allowed",
            "the settings do not allow messages between sidecars (Allowed.Peers)",
            "The platform would drop the datagrams, or void the run",
            "Remove the table, or have Peers allowed",
        )
    if row["introduced"] and not row["key-file"]:
        location.error(
            "key",
            "introduced = true without key-file",
            "Anyone who can send a datagram could join the fleet",
            "Name a file with a key that all members share, or list all contacts",
        )
    try:
        if row["key-file"]:
            read_key(row["key-file"])
    except ValueError as error:
        (location / "key-file").error(
            "key", str(error), "The sidecar would not start", "Write 16 to 64 random bytes to the file"
        )
    if pair.document:
        _check_addresses(pair, row)


def _check_addresses(pair: FilePair, row: dict[str, Any]) -> None:
    try:
        parse_addresses(pair.document, row)
    except ValueError as error:
        (pair.operator / "fleet").error(
            "address",
            str(error),
            "Other members could not reach it",
            "Write listen, address and contacts as address:port",
        )
    name = str(pair.document.get("name", ""))
    if pair.document.get("name") is not None and not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        pair.sidecar.error(
            "name",
            f"the name {name!r} has to be 1 to {MAX_NAME_BYTES} bytes long",
            "No datagram could hold it",
            "Shorten it",
        )


def read_key(path: str) -> bytes:
    """Return the shared key. Raises ValueError if the file can't be read or the key's length is out of bounds."""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(f"{path}: the key has {len(key)} bytes")
    return key


def parse_addresses(document: dict[str, Any], row: dict[str, Any]) -> tuple[Address, Address, tuple[Address, ...]]:
    """Return the address to listen on, the address that others use, and the contacts. Raises ValueError."""
    peers = document.get("peers") or []
    if not isinstance(peers, list):
        raise ValueError("peers: must be a list of addresses")
    contacts = tuple(_parse_address(text, "contacts") for text in (row["contacts"] or peers))
    listen = _parse_address(row["listen"] or document.get("peer_listen"), "listen (or peer_listen)")
    rank = (document.get("settings") or {}).get("Rank", 0)
    own = row["address"] or (peers[rank] if not row["contacts"] and rank < len(peers) else None)
    return listen, _parse_address(own, "address") if own else listen, contacts


def _parse_address(value: Any, key: str) -> Address:
    if isinstance(value, tuple):
        value = f"{value[0]}:{value[1]}"
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        if ip_address(host).version == 4 and port.isdigit() and int(port) <= 0xFFFF:
            return host, int(port)
    except ValueError:
        pass
    raise ValueError(f"{key}: must be an IPv4 address:port, not {value!r}")


def member_options(document: dict[str, Any], tables: dict[str, Any], name: str) -> Options | None:
    """Return the options of a checked pair of files, or None without a table `[fleet]`. Raises ValueError."""
    row = tables.get("fleet")
    if row is None:
        return None
    listen, address, contacts = parse_addresses(document, row)
    config = ProtocolConfig(row["period"], contacts, row["introduced"], row["roster"], row["evidence"])
    key = read_key(row["key-file"]) if row["key-file"] else None
    return Options(name, listen, address, config, key, row["folder"], row["clock-offset"], build_of(document, tables))


def build_of(document: dict[str, Any], tables: dict[str, Any]) -> bytes:
    """Return a digest of the configuration that is equal for all members of a fleet with the same files."""
    settings = {k: v for k, v in (document.get("settings") or {}).items() if k not in PER_MEMBER_SETTINGS}
    others = {name: value for name, value in tables.items() if name != "fleet"}
    return digest(VIEW_FORMAT, *(json.dumps(part, sort_keys=True, default=str).encode() for part in (settings, others)))
