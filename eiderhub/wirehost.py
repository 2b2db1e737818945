"""Adapter between the decision module and the simulator: `python -m eiderhub.wirehost` on stdin and stdout.

Converts the lines of the simulator's wire into events, and actions into lines. Output is flushed once per batch. The
adapter makes no decisions.
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

MANIFEST_PAGES = 16
HINT_VALID = 1  # bit of Options in `order`: HintUs is valid
OUTCOME_BY_CODE = {str(int(o)): o for o in Outcome}
FORM_BY_CODE = {f.value: f for f in ListForm}
READINESS_BY_NAME = {r.value: r for r in Readiness}
BOOL_BY_CODE = {"0": False, "1": True}
INTEGER_PATTERN = re.compile(r"-?[0-9]+\Z")


class WireError(Exception):
    """The input does not follow the simulator's wire."""


class ActionWriter:
    """Implements `Actions` for one instance: appends each action as a line to the output of the batch."""

    __slots__ = ("name", "output_lines")

    def __init__(self, name: str, output_lines: list[str]) -> None:
        self.name = name
        self.output_lines = output_lines

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        self.output_lines.append(f"hand_off {self.name} {call} {endpoint} {max_wait_us}")

    def cancel(self, call: str, attempt: int) -> None:
        self.output_lines.append(f"cancel {self.name} {call} {attempt}")

    def shed(self, call: str, wait_us: int) -> None:
        self.output_lines.append(f"shed {self.name} {call} {wait_us}")

    def surrender(self, call: str) -> None:
        self.output_lines.append(f"surrender {self.name} {call}")

    def timer(self, delay_us: int, mark: str) -> None:
        self.output_lines.append(f"timer {self.name} {delay_us} {mark}")

    def tail(self, on: bool) -> None:
        self.output_lines.append(f"tail {self.name} {int(on)}")

    def disconnect(self, endpoint: str) -> None:
        self.output_lines.append(f"disconnect {self.name} {endpoint}")

    def write_log(self, text: str) -> None:
        self.output_lines.append(f"write_log {self.name} {text}")


def _int(text: str, field: str) -> int:
    if not INTEGER_PATTERN.match(text):
        raise WireError(f"{field} is not an integer")
    return int(text)


def _lookup(table: dict[str, Any], text: str, field: str) -> Any:
    value = table.get(text)
    if value is None:
        raise WireError(f"{field} has an unknown value")
    return value


class WireHost:
    """Runs all instances of one process. `source` and `sink` carry the simulator's wire."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.now_us = 0
        self.line_number = 0
        self.output_lines: list[str] = []
        self.instances: dict[str, Balancer] = {}
        self.manifests: dict[int, Sequence[Endpoint]] = {}
        # Per message: the number of parts of its line, the name included, and its handler.
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

    def _read_line(self) -> str:
        line = self.source.readline()
        if line:
            self.line_number += 1
        return line

    def run(self) -> None:
        """Process batches until the input ends. Raises WireError for malformed input."""
        while True:
            line = self._read_line()
            if not line:
                return
            self._run_batch(line.rstrip("\n"))
            self.output_lines.append("finished\n")
            self.sink.write("\n".join(self.output_lines))
            self.sink.flush()
            self.output_lines.clear()

    def _run_batch(self, first_line: str) -> None:
        parts = first_line.split(" ")
        if parts[0] != "sync" or len(parts) != 2:
            raise WireError("a batch must start with 'sync TIME'")
        self.now_us = _int(parts[1], "the batch clock")
        handlers = self.handlers
        while True:
            line = self._read_line()
            if not line.endswith("\n"):
                raise WireError("the input ends inside a batch")
            line = line[:-1]
            parts = line.split(" ")
            message = parts[0]
            if message == "over_to_you":
                if len(parts) != 1:
                    raise WireError("over_to_you takes no values")
                return
            if message == "power_on":
                self._power_on(line)
                continue
            handler = handlers.get(message)
            if handler is None:
                raise WireError(f"unknown message {message[:40]!r}")
            if len(parts) != handler[0]:
                raise WireError(f"{message} takes {handler[0] - 1} values, but {len(parts) - 1} were given")
            try:
                handler[1](parts)
            except WireError:
                raise
            except Exception as error:  # a fault of the decision module: reported to the simulator, never ignored
                self._report_broken(parts[1], error)

    def _report_broken(self, instance: str, error: Exception) -> None:
        text = " ".join(f"{type(error).__name__}: {error}".split())
        self.output_lines.append(f"broken {instance} {text}")

    def _instance(self, name: str) -> Balancer:
        instance = self.instances.get(name)
        if instance is None:
            raise WireError(f"{name[:40]!r} has not been started")
        return instance

    def _power_on(self, line: str) -> None:
        parts = line.split(" ", 3)
        if len(parts) != 4:
            raise WireError(f"power_on takes 3 values, but {len(parts) - 1} were given")
        name, seed = parts[1], _int(parts[2], "Entropy")
        try:
            setup = json.loads(parts[3])
        except ValueError:
            raise WireError("Setup is not JSON") from None
        try:
            settings = parse_settings(setup)
        except ValueError as error:
            raise WireError(f"Setup: {error}") from None
        try:
            balancer = Balancer(settings, seed, ActionWriter(name, self.output_lines))
            balancer.start(self.now_us)
        except Exception as error:  # reported as in _run_batch
            self._report_broken(name, error)
            return
        self.instances[name] = balancer

    def _stop(self, parts: list[str]) -> None:
        if self.instances.pop(parts[1], None) is None:
            raise WireError(f"{parts[1][:40]!r} has not been started")

    def _order(self, parts: list[str]) -> None:
        _, name, call, class_name, team, _key, expires_in, hint, options = parts
        is_hint_valid = options != "-" and _int(options, "Options") & HINT_VALID
        hint_us = _int(hint, "HintUs") if hint != "-" else None
        tenant = None if team in ("-", "0") else team
        instance = self._instance(name)
        if class_name not in instance.classes:
            raise WireError("Grade is not a class of this instance")
        instance.order(
            self.now_us, call, class_name, tenant, _int(expires_in, "ExpiresInUs"), hint_us if is_hint_valid else None
        )

    def _reply(self, parts: list[str]) -> None:
        _, name, call, hop, endpoint, spent, closed, result, stats = parts
        self._instance(name).reply(
            self.now_us,
            call,
            _int(hop, "Hop"),
            endpoint,
            _int(spent, "SpentUs"),
            _lookup(BOOL_BY_CODE, closed, "Closed"),
            _lookup(OUTCOME_BY_CODE, result, "Result"),
            parse_load_report(stats, ":"),
        )

    def _wake(self, parts: list[str]) -> None:
        self._instance(parts[1]).wake(self.now_us, parts[2])

    def _expired(self, parts: list[str]) -> None:
        self._instance(parts[1]).expired(self.now_us, parts[2])

    def _streaming(self, parts: list[str]) -> None:
        _int(parts[5], "SpentUs")
        self._instance(parts[1]).streaming(self.now_us, parts[2], _int(parts[4], "Hop"))

    def _sampled(self, parts: list[str]) -> None:
        """Check a probe's result, which is not used: the decision module sends no probes."""
        self._instance(parts[1])
        _lookup(OUTCOME_BY_CODE, parts[3], "Result")
        _int(parts[4], "SpentUs")

    def _mail(self, parts: list[str]) -> None:
        """Check a message of a peer, which is not used: the decision module exchanges none."""
        self._instance(parts[1])
        _int(parts[2], "Neighbour")
        if parts[3] != "-":
            try:
                base64.b64decode(parts[3], validate=True)
            except (binascii.Error, ValueError):
                raise WireError("Octets is not base64") from None

    def _discovery(self, parts: list[str]) -> None:
        _, name, form_code, index, page = parts
        form: ListForm = _lookup(FORM_BY_CODE, form_code, "Form")
        if index != "-":
            _int(index, "Index")
        entries: Sequence[Endpoint] = ()
        if form is not ListForm.FAILED:
            manifest = self.manifests.get(_int(page, "Page"))
            if manifest is None:
                raise WireError(f"there is no manifest {page[:40]}")
            entries = manifest
        self._instance(name).discovery(self.now_us, form, entries)

    def _manifest(self, parts: list[str]) -> None:
        page, count = _int(parts[1], "Page"), _int(parts[2], "Lines")
        if not 0 <= page < MANIFEST_PAGES:
            raise WireError("Page must lie in 0..15")
        if count < 0:
            raise WireError("Lines must not be negative")
        self.manifests[page] = [self._read_row() for _ in range(count)]

    def _read_row(self) -> Endpoint:
        line = self._read_line()
        if not line.endswith("\n"):
            raise WireError("the input ends inside a manifest")
        parts = line[:-1].split(" ")
        if parts[0] != "row" or len(parts) != 8:
            raise WireError("a manifest must consist of rows of 7 values")
        _, endpoint, zone, machine_kind, cell, readiness, nominal, started = parts
        try:
            weight = float(nominal) if nominal != "-" else 1.0
        except ValueError:
            raise WireError("Nominal is not a number") from None
        return Endpoint(
            endpoint,
            zone,
            machine_kind,
            _int(cell, "Cohort") if cell != "-" else -1,
            _lookup(READINESS_BY_NAME, readiness, "Readiness"),
            weight if weight > 0 else 1.0,
            _int(started, "LaunchedUs") if started != "-" else 0,
        )


def main() -> int:
    """Run the adapter until stdin ends. The exit status is 0, or 1 after malformed input."""
    host = WireHost(sys.stdin, sys.stdout)
    try:
        host.run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"eiderhub: line {host.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
