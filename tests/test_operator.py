"""The program with an operator's file: valid and invalid starts, and reloads, which apply completely or not at all."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from eiderhub.cli import main as cli
from tests.sidecar_support import Program, program, run, start_process

TABLES = """
[[routes]]
name = "stock"
class = "look"
path = "/stock/{id}"
"""
GET = "GET {} HTTP/1.1\r\nHost: a\r\nReq-Id: {}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 2000\r\n\r\n"


class OperatorFile:
    """An operator's file beside a running program."""

    def __init__(self, tmp_path: Path, text: str = TABLES) -> None:
        self.path = tmp_path / "operator.toml"
        self.path.write_text(text)
        self.arguments = ("--operator", str(self.path))

    async def reload(self, running: Program, text: str, line: str) -> str:
        self.path.write_text(text)
        running.process.send_signal(signal.SIGHUP)
        return await running.line_with(line)


async def status(running: Program, target: str, number: int) -> int:
    """Send a request on a new connection and return its status. An endpoint that receives it answers 200."""
    client = await running.client()
    client.writer.write(GET.format(target, f"r{number}").encode())
    answer = asyncio.create_task(client.answer())
    received = asyncio.create_task(running.endpoint.next())
    await asyncio.wait((answer, received), return_when=asyncio.FIRST_COMPLETED)
    if received.done():
        received.result().reply()
    else:
        received.cancel()
    return (await answer).status


def test_routes_of_the_file_are_served_and_a_reload_changes_them(tmp_path: Path) -> None:
    async def test() -> None:
        operator_file = OperatorFile(tmp_path)
        async with program(tmp_path, {}, *operator_file.arguments) as running:
            assert await status(running, "/stock/7", 1) == 200
            assert await status(running, "/look/7", 2) == 200
            other = TABLES.replace("/stock", "/parts") + '\n[routing]\ndefault = "refuse"\n'
            await operator_file.reload(running, other, "the configuration is taken")
            assert await status(running, "/stock/7", 3) == 404
            assert await status(running, "/parts/7", 4) == 200
            assert await status(running, "/look/7", 5) == 404

    run(test())


def test_a_reload_with_errors_changes_nothing(tmp_path: Path) -> None:
    """The first of two errors is logged in the checker's words, and a valid change in the same file is not applied."""

    async def test() -> None:
        operator_file = OperatorFile(tmp_path)
        async with program(tmp_path, {}, *operator_file.arguments) as running:
            bad = TABLES.replace("/stock", "/parts") + '\n[routing]\ndefualt = "refuse"\n\n[nothing]\n'
            line = await operator_file.reload(running, bad, "is not taken")
            assert f"{operator_file.path}:8: routing.defualt: error [unknown-key]" in line
            assert await status(running, "/stock/7", 1) == 200
            assert await status(running, "/parts/7", 2) == 404

    run(test())


def test_a_reload_that_needs_a_restart_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        operator_file = OperatorFile(tmp_path)
        async with program(tmp_path, {}, *operator_file.arguments) as running:
            path = tmp_path / "config.json"
            document = json.loads(path.read_text())
            document["settings"] = {**document["settings"], "OverShareWorth": 0.5}
            path.write_text(json.dumps(document))
            line = await operator_file.reload(running, TABLES.replace("/stock", "/parts"), "is not taken")
            assert "a restart is needed for settings.over_share_worth; nothing has changed" in line
            assert await status(running, "/parts/7", 1) == 404

    run(test())


def test_a_request_in_flight_at_a_reload_keeps_its_class(tmp_path: Path) -> None:
    """Guards against mixed classes: the route's class is safe to repeat before the reload and unsafe after it."""

    async def test() -> None:
        operator_file = OperatorFile(tmp_path)
        async with program(tmp_path, {}, *operator_file.arguments) as running:
            client = await running.client()
            client.writer.write(GET.format("/stock/7", "r1").encode())
            received = await running.endpoint.next()
            await operator_file.reload(running, TABLES.replace('"look"', '"pay"'), "the configuration is taken")
            assert await status(running, "/stock/8", 2) == 405
            received.reset()
            # `look` may be refused even after it may have run; `pay` may not, and would be answered with 502.
            assert (await client.answer()).status == 503

    run(test())


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[routing]\ndefualt = 1\n", "error [unknown-key]"),
        ('[[routes]]\nname = "a"\nclass = "look"\npath = "/pay/*"\n', "error [disguise]"),
        (None, "No such file"),
    ],
)
def test_an_invalid_operators_file_fails_the_start_with_one_line(
    tmp_path: Path, text: str | None, expected: str
) -> None:
    path = tmp_path / "operator.toml"
    if text is not None:
        path.write_text(text)
    document = {"settings": json.loads((Path(__file__).parent / "corpus" / "base.json").read_text())["settings"]}
    document["settings"]["Categories"][2]["Name"] = "pay"
    process = start_process(tmp_path, document, "--operator", str(path))
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1
    assert errors.startswith("eiderhub.sidecar: ")
    assert errors.count("\n") == 1
    assert expected in errors


def test_unused_features_are_not_imported() -> None:
    """A sidecar without an operator's file imports none of these modules; checked in a separate process."""
    code = (
        "import sys, eiderhub.sidecar.__main__; "
        "bad = [m for m in sys.modules if m.startswith(('eiderhub.config', 'eiderhub.schema', "
        "'eiderhub.protocols.thrift', 'eiderhub.membership.consul', 'eiderhub.membership.merger', 'msgspec', "
        "'eiderhub.routing.options', 'eiderhub.routing.table', 'eiderhub.routing.conflicts', "
        "'tomllib', 'argparse', 'difflib', 'standins'))]; "
        "print(bad); sys.exit(bool(bad))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout) == (0, "[]\n")


def test_the_command_prints_its_usage(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli(["--help"]) == 0
    assert "eiderhub COMMAND" in capsys.readouterr().out
    assert cli([]) == 2
    assert cli(["nothing"]) == 2
    assert cli(["sidecar", "--wrong"]) == 2
    assert "usage: eiderhub sidecar" in capsys.readouterr().err


def test_the_demonstration_serves_and_exits_with_0() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "eiderhub", "demo", "--seconds", "2"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "without an answer: 0; the sidecar ended with status 0" in done.stdout
