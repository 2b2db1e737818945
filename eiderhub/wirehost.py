"""The wire adapter: turns the lines of the simulator's wire into events and actions into lines.

It parses, dispatches and flushes once a batch; it takes no decisions.
"""

from __future__ import annotations

import base64
import binascii
import json
import re
import sys
from collections.abc import Callable, Sequence
from typing import Any, TextIO

from eiderhub.balancer import Balancer
from eiderhub.interface import Endpoint, ListForm, Outcome, Readiness
from eiderhub.load_reports import parse_load_report
from eiderhub.settings import parse_settings

PAGES = 16  # manifests are numbered 0..15
HINT_VALID = 1  # bit of an order's Options: the cost hint counts
OUTCOMES = {str(int(o)): o for o in Outcome}
FORMS = {f.value: f for f in ListForm}
STATES = {r.value: r for r in Readiness}
BOOLS = {"0": False, "1": True}
INTEGER = re.compile(r"-?[0-9]+\Z")


class WireError(Exception):
    """Malformed input."""


class Lines:
    """The actions of one instance, written as lines into the reply of the batch."""

    __slots__ = ("name", "out")

    def __init__(self, name: str, out: list[str]) -> None:
        self.name = name
        self.out = out

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        self.out.append(f"hand_off {self.name} {call} {endpoint} {max_wait_us}")

    def cancel(self, call: str, attempt: int) -> None:
        self.out.append(f"cancel {self.name} {call} {attempt}")

    def shed(self, call: str, wait_us: int) -> None:
        self.out.append(f"shed {self.name} {call} {wait_us}")

    def surrender(self, call: str) -> None:
        self.out.append(f"surrender {self.name} {call}")

    def timer(self, delay_us: int, mark: str) -> None:
        self.out.append(f"timer {self.name} {delay_us} {mark}")

    def tail(self, on: bool) -> None:
        self.out.append(f"tail {self.name} {int(on)}")

    def disconnect(self, endpoint: str) -> None:
        self.out.append(f"disconnect {self.name} {endpoint}")

    def write_log(self, text: str) -> None:
        self.out.append(f"write_log {self.name} {text}")


def _int(text: str, what: str) -> int:
    if not INTEGER.match(text):
        raise WireError(f"{what} is no integer")
    return int(text)


def _code(table: dict[str, Any], text: str, what: str) -> Any:
    value = table.get(text)
    if value is None:
        raise WireError(f"{what} is unknown")
    return value


class WireHost:
    """All instances of one process."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.now = 0
        self.line_number = 0
        self.out: list[str] = []
        self.instances: dict[str, Balancer] = {}
        self.pages: dict[int, Sequence[Endpoint]] = {}
        self.handlers: dict[str, tuple[int, Callable[[list[str]], None]]] = {
            "order": (9, self._order),
            "reply": (9, self._reply),
            "wake": (3, self._wake),
            "expired": (3, self._expired),
            "discovery": (5, self._discovery),
            "manifest": (3, self._manifest),
            "streaming": (6, self._streaming),
            "sampled": (6, self._sampled),
            "mail": (4, self._mail),
            "stop": (2, self._stop),
        }

    def _read(self) -> str:
        line = self.source.readline()
        if line:
            self.line_number += 1
        return line

    def run(self) -> None:
        """Answer batches until the input ends."""
        while True:
            line = self._read()
            if not line:
                return
            self._batch(line.rstrip("\n"))
            self.out.append("finished\n")
            self.sink.write("\n".join(self.out))
            self.sink.flush()
            self.out.clear()

    def _batch(self, head: str) -> None:
        parts = head.split(" ")
        if parts[0] != "sync" or len(parts) != 2:
            raise WireError("a batch must start with 'sync TIME'")
        self.now = _int(parts[1], "the batch clock")
        handlers = self.handlers
        while True:
            line = self._read()
            if not line.endswith("\n"):
                raise WireError("the input ends inside a batch")
            line = line[:-1]
            parts = line.split(" ")
            name = parts[0]
            if name == "over_to_you":
                if len(parts) != 1:
                    raise WireError("over_to_you takes no values")
                return
            if name == "power_on":
                self._power_on(line)
                continue
            handler = handlers.get(name)
            if handler is None:
                raise WireError(f"unknown message {name[:40]!r}")
            if len(parts) != handler[0]:
                raise WireError(f"{name} takes {handler[0] - 1} values, {len(parts) - 1} came")
            try:
                handler[1](parts)
            except WireError:
                raise
            except Exception as error:  # the module's own fault: told, never silent
                self._broken(parts[1], error)

    def _broken(self, instance: str, error: Exception) -> None:
        text = " ".join(f"{type(error).__name__}: {error}".split())
        self.out.append(f"broken {instance} {text}")

    def _instance(self, name: str) -> Balancer:
        found = self.instances.get(name)
        if found is None:
            raise WireError(f"{name[:40]!r} has not been started")
        return found

    def _power_on(self, line: str) -> None:
        parts = line.split(" ", 3)
        if len(parts) != 4:
            raise WireError(f"power_on takes 3 values, {len(parts) - 1} came")
        name, seed = parts[1], _int(parts[2], "Entropy")
        try:
            setup = json.loads(parts[3])
        except ValueError:
            raise WireError("Setup is no JSON object") from None
        try:
            settings = parse_settings(setup)
        except ValueError as error:
            raise WireError(f"Setup: {error}") from None
        try:
            balancer = Balancer(settings, seed, Lines(name, self.out))
            balancer.start(self.now)
        except Exception as error:  # as above
            self._broken(name, error)
            return
        self.instances[name] = balancer

    def _stop(self, parts: list[str]) -> None:
        if self.instances.pop(parts[1], None) is None:
            raise WireError(f"{parts[1][:40]!r} has not been started")

    def _order(self, parts: list[str]) -> None:
        _, name, call, grade, team, _key, left, hint, options = parts
        valid = options != "-" and _int(options, "Options") & HINT_VALID
        hint_us = _int(hint, "HintUs") if hint != "-" else None
        tenant = None if team in ("-", "0") else team
        instance = self._instance(name)
        if grade not in instance.classes:
            raise WireError("Grade is no class of this instance")
        instance.order(self.now, call, grade, tenant, _int(left, "ExpiresInUs"), hint_us if valid else None)

    def _reply(self, parts: list[str]) -> None:
        _, name, call, hop, endpoint, spent, closed, result, stats = parts
        self._instance(name).reply(
            self.now,
            call,
            _int(hop, "Hop"),
            endpoint,
            _int(spent, "SpentUs"),
            _code(BOOLS, closed, "Closed"),
            _code(OUTCOMES, result, "Result"),
            parse_load_report(stats, ":"),
        )

    def _wake(self, parts: list[str]) -> None:
        self._instance(parts[1]).wake(self.now, parts[2])

    def _expired(self, parts: list[str]) -> None:
        self._instance(parts[1]).expired(self.now, parts[2])

    def _streaming(self, parts: list[str]) -> None:
        _int(parts[5], "SpentUs")
        self._instance(parts[1]).streaming(self.now, parts[2], _int(parts[4], "Hop"))

    def _sampled(self, parts: list[str]) -> None:
        """Probe results: this module sends no probes, so they are only checked."""
        self._instance(parts[1])
        _code(OUTCOMES, parts[3], "Result")
        _int(parts[4], "SpentUs")

    def _mail(self, parts: list[str]) -> None:
        """Messages of peers: this module sends none, so they are only checked."""
        self._instance(parts[1])
        _int(parts[2], "Neighbour")
        if parts[3] != "-":
            try:
                base64.b64decode(parts[3], validate=True)
            except (binascii.Error, ValueError):
                raise WireError("Octets is no base64") from None

    def _discovery(self, parts: list[str]) -> None:
        _, name, form_code, index, page = parts
        form: ListForm = _code(FORMS, form_code, "Form")
        if index != "-":
            _int(index, "Index")
        entries: Sequence[Endpoint] = ()
        if form is not ListForm.FAILED:
            found = self.pages.get(_int(page, "Page"))
            if found is None:
                raise WireError(f"no manifest has number {page[:40]}")
            entries = found
        self._instance(name).discovery(self.now, form, entries)

    def _manifest(self, parts: list[str]) -> None:
        page, count = _int(parts[1], "Page"), _int(parts[2], "Lines")
        if not 0 <= page < PAGES:
            raise WireError("Page must lie in 0..15")
        if count < 0:
            raise WireError("Lines must not be negative")
        self.pages[page] = [self._row() for _ in range(count)]

    def _row(self) -> Endpoint:
        line = self._read()
        if not line.endswith("\n"):
            raise WireError("the input ends inside a manifest")
        parts = line[:-1].split(" ")
        if parts[0] != "row" or len(parts) != 8:
            raise WireError("a manifest takes rows of 7 values")
        _, endpoint, zone, kind, cell, state, weight, launched = parts
        try:
            size = float(weight) if weight != "-" else 1.0
        except ValueError:
            raise WireError("Nominal is no number") from None
        return Endpoint(
            endpoint,
            zone,
            kind,
            _int(cell, "Cohort") if cell != "-" else -1,
            _code(STATES, state, "Readiness"),
            size if size > 0 else 1.0,
            _int(launched, "LaunchedUs") if launched != "-" else 0,
        )


def main() -> int:
    host = WireHost(sys.stdin, sys.stdout)
    try:
        host.run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"eiderhub: line {host.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
