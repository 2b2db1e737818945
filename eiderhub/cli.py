"""The command `eiderhub`: runs the sidecar, the configuration and membership tools, and the demonstration."""

from __future__ import annotations

import sys
from collections.abc import Sequence

USAGE = """\
usage: eiderhub COMMAND ...

  sidecar [--operator FILE]           run one sidecar; GW_CONFIG is the path of its file
  config write DESCRIPTION --out DIR  write an application's configuration from its description
  config write --fleet FILE --out DIR write the configurations of a fleet
  config check FILE...                check files, folders or a fleet
  config explain FILE... --request R  show which route takes a request, and how it may be retried
  config diff OLD NEW                 list what would behave differently, and what needs a restart
  config keys                         list the keys of the operator's file
  members FILE                        show the endpoint list that results from recorded answers of the sources
  fleet members|watch|explain FOLDER  show how a running sidecar sees the members of its fleet
  demo [--seconds N]                  run a sidecar with stand-ins for the other services

See eiderhub COMMAND --help.
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; returns the subcommand's exit status, or 2 if there is no such subcommand."""
    argument_list = list(sys.argv[1:] if arguments is None else arguments)
    command, command_arguments = (argument_list[0], argument_list[1:]) if argument_list else ("", [])
    # Each subcommand is imported on use, so that the sidecar does not load the tools.
    if command == "sidecar":
        from eiderhub.sidecar.__main__ import main as sidecar

        return sidecar(command_arguments)
    if command == "config":
        from eiderhub.config.command import main as config

        return config(command_arguments)
    if command == "members":
        from eiderhub.membership.command import main as members

        return members(command_arguments)
    if command == "fleet":
        from eiderhub.fleet.command import main as fleet

        return fleet(command_arguments)
    if command == "demo":
        return _demo(command_arguments)
    help_requested = command in ("-h", "--help")
    print(USAGE, end="", file=sys.stdout if help_requested else sys.stderr)
    return 0 if help_requested else 2


def _demo(command_arguments: list[str]) -> int:
    """Run the demonstration in a separate process, since the stand-ins are not part of the package."""
    import importlib.util
    import subprocess

    if importlib.util.find_spec("standins") is None:
        print("eiderhub demo: the stand-ins are not installed; run it in a checkout of the repository", file=sys.stderr)
        return 2
    return subprocess.call([sys.executable, "-m", "standins.demo", *command_arguments])
