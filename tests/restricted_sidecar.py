"""Starts the sidecar with what the fleet's platform refuses refused in this process too:
`python -m tests.restricted_sidecar`.

Other programs, fork, splice and sendfile; sockets that are neither TCP nor UDP over IPv4 may not be bound or connected.
What libuv does in C passes no hook: the test looks at the process from outside for that.
"""

from __future__ import annotations

import errno
import os
import socket
import sys
from typing import Any, NoReturn

STARTS = (
    "os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen", "pty.spawn"
)  # fmt: skip


def refuse(*_: Any, **__: Any) -> NoReturn:
    raise OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))


def hook(event: str, arguments: tuple[Any, ...]) -> None:
    if event in STARTS:
        refuse()
    if event in ("socket.bind", "socket.connect") and arguments[0].family != socket.AF_INET:
        refuse()


if __name__ == "__main__":
    for name in ("splice", "sendfile"):
        if hasattr(os, name):  # not every build has them
            setattr(os, name, refuse)
    sys.addaudithook(hook)
    from eiderhub.sidecar.__main__ import main

    sys.exit(main())
