"""A fleet of sidecar processes on loopback, with faults between them and one timeline of all their events.

    async with Rig(24, seed=3) as rig:
        await rig.settle()
        await rig.play(draw("third", 3, 24))
        await rig.settle()

Every wait has a timeout. At the end each process is killed by its own id, whatever else fails.
"""

from __future__ import annotations

import asyncio
import calendar
import contextlib
import json
import os
import random
import re
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from standins.discovery import row
from standins.fleet.faults import Faults, Link
from standins.fleet.relay import Relay
from standins.fleet.script import Step

TIMEOUT_S = 30.0  # of every wait
MAX_PROCESSES = 48
POLL_INTERVAL_S = 0.02  # between readings of the processes' files
LOG_LINE = re.compile(r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d),(\d{3}) (.*)")

SETTINGS: dict[str, Any] = {
    "Categories": [
        {"Name": "look", "AimUs": 1_000_000, "DeadlineUs": 3_000_000, "Effect": "idempotent", "LateShare": 0.5}
    ],
    "Allowed": {"MaxAttempts": 4, "ConnIdleUs": 5_000_000, "ConnectTimeoutUs": 250_000, "Peers": True},
    "Discovery": "push",
    "MyZone": "a",
    "Tiers": ["one"],
}  # fmt: skip


class NotSettled(Exception):
    """A wait has timed out or a process did not start; the text describes the state."""


@dataclass
class Member:
    """One member of the fleet: its current process, and what it has written, over all its processes."""

    number: int
    folder: Path
    process: asyncio.subprocess.Process | None = None
    stopped: bool = False
    offset: int = 0  # bytes of its file of events that have been read
    view: str = ""
    view_since: float = 0.0  # Unix time of the change to this view
    present_count: int = 0
    port: int = 0  # of its HTTP server; 0: not ready
    options: dict[str, str] = field(default_factory=dict)  # further keys of its table [fleet]

    @property
    def is_live(self) -> bool:
        return self.process is not None and not self.stopped


class Rig:
    """The fleet. `period_s` is the protocol period, the unit of time in scripts."""

    def __init__(
        self, count: int, seed: int = 1, period_s: float = 0.1, endpoint_rows: list[dict[str, Any]] | None = None,
        options: Mapping[str, str] | None = None, contacts: Mapping[int, list[int]] | None = None,
        operator: str = "",
    ) -> None:  # fmt: skip
        if not 1 <= count <= MAX_PROCESSES:
            raise ValueError(f"1 to {MAX_PROCESSES} processes")
        self.count = count
        self.period_s = period_s
        self.faults = Faults(random.Random(seed))
        self.timeline: list[tuple[float, str, dict[str, Any]]] = []
        self.last_fault = 0.0
        self.endpoint_rows = endpoint_rows or [row("s-0", "127.0.0.1:9")]  # nothing listens at this address
        self.options = dict(options or {})
        self.contacts = contacts or {}
        self.operator = operator
        self._tasks: set[asyncio.Task[Any]] = set()
        self._timeline_grew = asyncio.Event()

    async def __aenter__(self) -> Rig:
        self._temporary = tempfile.TemporaryDirectory()
        root = Path(self._temporary.name)
        self.relay = Relay(self.count, self.faults)
        self.members = [Member(i, root / f"n{i}") for i in range(self.count)]
        self._reader = asyncio.create_task(self._read_events())
        try:
            await asyncio.gather(*(self._start(member) for member in self.members))
        except BaseException:
            await self._end_all()
            raise
        return self

    async def __aexit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._end_all()

    async def _end_all(self) -> None:
        self._reader.cancel()
        for task in self._tasks:
            task.cancel()
        for member in self.members:
            process, member.process = member.process, None
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self.relay.close()
        self._temporary.cleanup()

    # --- processes ---

    def document(self, number: int) -> dict[str, Any]:
        """Return the platform's document for one member."""
        own = self.relay.member_addresses[number]
        return {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "seed": f"{number + 1:x}",
            "settings": {**SETTINGS, "Rank": number, "Balancers": self.count},
            "known": {"generation": 1, "reset": True, "instances": self.endpoint_rows},
            "peer_listen": f"{own[0]}:{own[1]}",
            "peers": [f"{host}:{port}" for host, port in self.relay.addresses],
        }

    def _operator(self, member: Member) -> str:
        lines = {"period": f'"{self.period_s * 1000:g}ms"', "folder": json.dumps(str(member.folder / "fleet"))}
        known = self.contacts.get(member.number)
        if known is not None:
            own = self.relay.addresses[member.number]
            lines["contacts"] = json.dumps([f"{h}:{p}" for h, p in (self.relay.addresses[i] for i in known)])
            lines["address"] = json.dumps(f"{own[0]}:{own[1]}")
        lines |= self.options | member.options
        return self.operator + "[fleet]\n" + "".join(f"{key} = {value}\n" for key, value in lines.items())

    async def _start(self, member: Member) -> None:
        member.folder.mkdir(exist_ok=True)
        document, operator = member.folder / "sidecar.json", member.folder / "operator.toml"
        document.write_text(json.dumps(self.document(member.number)), encoding="utf-8")
        operator.write_text(self._operator(member), encoding="utf-8")
        environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        log = member.folder / "log.txt"
        log_offset = log.stat().st_size if log.exists() else 0
        with log.open("ab") as file:
            member.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "eiderhub.sidecar", "--operator", str(operator),
                env={**environ, "GW_CONFIG": str(document)}, stderr=file,
            )  # fmt: skip
        member.stopped = False
        await self._wait_until_serving(member, log, log_offset)

    async def _wait_until_serving(self, member: Member, log: Path, log_offset: int) -> None:
        process = member.process
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                text = log.read_bytes()[log_offset:].decode()
                if found := re.search(r" serves on [^ ]*:(\d+)\n", text):
                    member.port = int(found[1])
                    return
                if member.process is not process:  # the script has killed it meanwhile
                    return
                if process is not None and process.returncode is not None:
                    raise NotSettled(f"n{member.number} did not start: {text}")
                await asyncio.sleep(POLL_INTERVAL_S)

    def _run_in_background(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- actions of scripts ---

    def cut(self, senders: set[int], receivers: set[int], both_ways: bool) -> None:
        self.faults.cut(senders, receivers, both_ways)

    def heal(self) -> None:
        self.faults.heal()

    def link(self, members: set[int], link: Link) -> None:
        """Apply the faults of `link` to all links among these members."""
        for a in members:
            for b in members:
                self.faults.links[a, b] = link

    def kill(self, number: int) -> None:
        self._end_process(number, signal.SIGKILL)

    def leave(self, number: int) -> None:
        """Let the member announce its end, drain and exit."""
        self._end_process(number, signal.SIGTERM)

    def _end_process(self, number: int, signal_number: signal.Signals) -> None:
        member = self.members[number]
        process, member.process = member.process, None
        if process is not None:
            process.send_signal(signal_number)
            self._run_in_background(process.wait())

    def start(self, number: int) -> object:
        member = self.members[number]
        if member.process is None:
            self._run_in_background(self._start(member))
        return None

    def stop(self, number: int) -> None:
        self._signal(number, signal.SIGSTOP, True)

    def resume(self, number: int) -> None:
        self._signal(number, signal.SIGCONT, False)

    def _signal(self, number: int, signal_number: signal.Signals, stopped: bool) -> None:
        member = self.members[number]
        if member.process is not None:
            member.process.send_signal(signal_number)
            member.stopped = stopped

    async def play(self, steps: list[Step]) -> None:
        """Run the steps at their times; return after the last one, once all started processes serve."""
        started = time.monotonic()
        for step in steps:
            await asyncio.sleep(max(0.0, started + step.at_periods * self.period_s - time.monotonic()))
            self.timeline.append((time.time(), "rig", {"event": "step", "step": str(step)}))
            self.last_fault = time.time()  # taken before the step, whose effects may be written at once
            step.apply(self)
        pending = [task for task in self._tasks if not task.done()]
        if any(step.action in ("start", "leave") for step in steps) and pending:
            async with asyncio.timeout(TIMEOUT_S):
                await asyncio.gather(*pending)
            if any(step.action == "start" for step in steps):
                self.last_fault = max(self.last_fault, self._last_start())

    def _last_start(self) -> float:
        return max((t for t, _, row in self.timeline if row["event"] == "start"), default=0.0)

    # --- the timeline ---

    async def _read_events(self) -> None:
        while True:
            for member in self.members:
                self._read_new_events(member)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _read_new_events(self, member: Member) -> None:
        path = member.folder / "fleet" / "fleet.jsonl"
        if not path.exists() or path.stat().st_size <= member.offset:
            return
        with path.open("rb") as file:
            file.seek(member.offset)
            data = file.read()
        complete = data[: data.rfind(b"\n") + 1]
        member.offset += len(complete)
        for line in complete.splitlines():
            row = json.loads(line)
            self.timeline.append((row["t"], f"n{member.number}", row))
            if row["event"] == "view":
                member.view, member.view_since, member.present_count = row["view"], row["t"], row["here"]
        self._timeline_grew.set()

    async def until(self, done: Callable[[], bool], condition: str, timeout_s: float = TIMEOUT_S) -> None:
        """Wait until `done()`. Raises NotSettled with `condition` and the state of the members."""
        try:
            async with asyncio.timeout(timeout_s):
                while not done():
                    self._timeline_grew.clear()
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.2):  # the condition may become true without a further event
                            await self._timeline_grew.wait()
        except TimeoutError:
            states = [
                f"n{m.number}: {m.view} {m.present_count}{'' if m.is_live else ' (not live)'}" for m in self.members
            ]
            raise NotSettled(f"after {timeout_s:g} s not {condition}:\n" + "\n".join(states)) from None

    def settled(self) -> bool:
        """Whether all live members hold one view, with as many members as are live."""
        live = [m for m in self.members if m.is_live]
        return len({m.view for m in live}) == 1 and all(m.present_count == len(live) for m in live)

    async def settle(self, timeout_s: float = TIMEOUT_S) -> float:
        """Wait until the fleet has settled. Raises NotSettled.

        Return the seconds from the last fault until the last member had the common view.
        """
        await self.until(self.settled, "settled", timeout_s)
        return max(0.0, max(m.view_since for m in self.members if m.is_live) - self.last_fault)

    def events(self, kind: str, since: float = 0.0) -> list[tuple[float, str, dict[str, Any]]]:
        """Return the (Unix time, source, row) of all events of a kind since a Unix time."""
        return [entry for entry in self.timeline if entry[2]["event"] == kind and entry[0] >= since]

    def write_timeline(self, path: Path) -> None:
        """Write all steps, events and log lines in order of time, one JSON object a line."""
        rows = [{**row, "t": t, "n": source} for t, source, row in self.timeline]
        for member in self.members:
            log = member.folder / "log.txt"
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines() if log.exists() else ():
                if found := LOG_LINE.fullmatch(line):
                    at = calendar.timegm(time.strptime(found[1], "%Y-%m-%d %H:%M:%S")) + int(found[2]) / 1000
                    rows.append({"t": at, "n": f"n{member.number}", "event": "log", "line": found[3]})
        rows.sort(key=lambda row: row["t"])
        path.write_text("".join(json.dumps(row) + "\n" for row in rows), encoding="utf-8")
