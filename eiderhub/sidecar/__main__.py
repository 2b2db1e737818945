"""Starts one sidecar, reloads on SIGHUP, ends on SIGTERM, and sets the exit status."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import select
import signal
import sys
from collections.abc import Callable, Sequence

import uvloop

from eiderhub.protocols.http1.server import LISTEN_BACKLOG, Server
from eiderhub.sidecar.callers import Callers
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.config import Config, ConfigError, load, needs_restart
from eiderhub.sidecar.host import Host

ACCEPT_S = 0.6  # new connections are taken for so long after SIGTERM: the front sends some for up to 0.4 s
LONGEST_S = 3.0  # SIGKILL comes this, or the longest deadline if that is shorter, and 0.7 s after SIGTERM
AFTER_LONGEST_S = 0.45  # so that everything is answered by then
SERVE_SHARE = 0.75  # of that time, how long kept connections are served: the rest is for what is open then
FLUSH_S = 0.15  # for the last bytes to leave, at the most
LAG_EVERY_S = 0.1
LAG_LOG_S = 10.0
LAG_WORTH_US = 50_000  # a lag that eats a good part of the margin for answers
LINES_PER_S = 20
log = logging.getLogger("eiderhub.sidecar")


class Sparse(logging.Filter):
    """Lets through so many lines a second: a log that runs full would hold up every request."""

    def __init__(self) -> None:
        super().__init__()
        self.second = 0
        self.count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            self.second, self.count = int(record.created), 0
        self.count += 1
        return self.count <= LINES_PER_S


async def watch_lag() -> None:
    """Log the longest lag of the event loop, sparsely: it adds to every latency that is measured here."""
    worst, next_log = 0, now_us() + int(LAG_LOG_S * 1e6)
    while True:
        before = now_us()
        await asyncio.sleep(LAG_EVERY_S)
        now = now_us()
        worst = max(worst, now - before - int(LAG_EVERY_S * 1e6))
        if now >= next_log:
            if worst >= LAG_WORTH_US:
                log.warning("the event loop was late by up to %d ms", worst // 1000)
            worst, next_log = 0, now + int(LAG_LOG_S * 1e6)


async def drain(listeners: Sequence[asyncio.Server], callers: Callers, host: Host) -> None:
    """Answer all that was taken, in time for SIGKILL, while new callers are sent elsewhere.

    Callers use the connections that they have for as long as these stay open, so those are served on for a
    while. Closing them at once would send a whole sidecar's load to its neighbours in one moment, and to
    nobody where the neighbour is about to come back from a restart of its own.
    """
    end = min(LONGEST_S, callers.max_deadline_s) + AFTER_LONGEST_S
    begun_us = now_us()
    callers.draining = True
    await asyncio.sleep(ACCEPT_S)
    for listener in listeners:
        await close_listener(listener)
    await asyncio.sleep(SERVE_SHARE * end - ACCEPT_S)
    callers.closing = True
    while callers and now_us() < begun_us + int(end * 1e6):
        callers.close_idle()
        await asyncio.sleep(0.01)
    host.close()
    flushed_us = now_us() + int(FLUSH_S * 1e6)
    await asyncio.sleep(0)  # what the last turn read is taken in, at the least once
    while callers.has_unfinished_work() and now_us() < flushed_us:
        callers.close_idle()
        await asyncio.sleep(0.005)
    callers.close_idle()
    await asyncio.sleep(0.005)


async def close_listener(listener: asyncio.Server) -> None:
    """Close it at a moment when nothing waits in its backlog.

    Rule 1: the machine has accepted those, and requests may be on them; closing resets them unseen.
    """
    poll = select.poll()
    poll.register(listener.sockets[0].fileno(), select.POLLIN)
    for _ in range(LISTEN_BACKLOG):  # the loop takes one in each turn; a flood that never ends is left to its reset
        if not poll.poll(0):
            break
        await asyncio.sleep(0)
    listener.close()


class Reloader:
    """SIGHUP: reads and checks the files beside the loop, one reading at a time, and takes the newest whole.

    A check of a large file takes a good part of a second, in which every request would stand still. What is read is
    held to what a start holds it to, no less and no more: a platform's file that starts may not be refused later.
    """

    def __init__(self, host: Host, config: Config, operator: str | None) -> None:
        self.host = host
        self.config = config
        self.operator = operator
        self.taken: Callable[[Config], None] | None = None  # who else is told of a new configuration
        self._wanted = False
        self._task: asyncio.Task[None] | None = None

    def ask(self) -> None:
        self._wanted = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._wanted:
            self._wanted = False
            try:
                self._take(await asyncio.to_thread(self._read))
            except Exception as error:  # whatever is wrong with a file, it must not end a process that serves
                log.error("the configuration is not taken: %s", error)
        self._task = None

    def _read(self) -> Config:
        new = _start(self.operator)
        changed = needs_restart(self.config, new)
        if changed:
            raise ConfigError(f"a restart is needed for {', '.join(changed)}; nothing has changed")
        return new

    def _take(self, new: Config) -> None:
        self.host.reload(new)
        self.config = new
        if self.taken is not None:
            self.taken(new)
        log.info("the configuration is taken")


def port_of(listener: asyncio.Server) -> int:
    """The one that was taken, where the file asks for any."""
    return int(listener.sockets[0].getsockname()[1])


async def thrift_port(config: Config, host: Host, callers: Callers) -> asyncio.Server:
    """The port for Thrift; what it needs is imported only where there is one."""
    from eiderhub.protocols.thrift import server as thrift

    server = thrift.Server(host, callers, config.thrift)
    await server.bind()
    log.info("%s takes Thrift on %s:%d", config.name, config.thrift.host, port_of(server.listener))
    return server.listener


async def serve(config: Config, operator: str | None) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    host = Host(config)
    reloader = Reloader(host, config, operator)
    loop.add_signal_handler(signal.SIGHUP, reloader.ask)
    callers = Callers(config.bounds.caller_connections, host.max_deadline_s, host.budget)
    server = Server(host, callers)
    await server.bind(config.listen.host, config.listen.port)
    listeners = [server.listener]
    if config.thrift is not None:
        listeners.append(await thrift_port(config, host, callers))
    consul = None
    if config.consul is not None:
        from eiderhub.membership.source_aggregator import (
            add_consul_source,  # off where the operator's file says nothing of it
        )

        consul = add_consul_source(config.consul, host)
    fleet = None
    if config.fleet is not None:
        from eiderhub.fleet.node import join_fleet  # off where the operator's file says nothing of it

        fleet = join_fleet(config.fleet, host)
    host.start()
    if consul is not None:
        consul.start()
    if fleet is not None:
        fleet.start()
        reloader.taken = lambda new: fleet.adopt(new.fleet.build)
    chores = (host.upstream.sweep(), callers.watch_timeouts(), watch_lag())
    background = [loop.create_task(chore) for chore in chores]
    # What lives from here to the end need not be walked again: a full collection holds up every request.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    for listener in listeners:
        await listener.start_serving()
    log.info("%s serves on %s:%d", config.name, config.listen.host, port_of(server.listener))
    await stop.wait()
    if fleet is not None:
        fleet.stop()
    await drain(listeners, callers, host)
    if consul is not None:
        consul.stop()
    for task in background:
        task.cancel()


def _start(operator: str | None) -> Config:
    if operator is None:
        return load(os.environ)
    from eiderhub.config.load import checked  # not for a sidecar without an operator's file

    return checked(os.environ, operator)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one sidecar: `[--operator FILE]`, all else by the environment. The exit status is 0 after a drain."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    if words and (len(words) != 2 or words[0] != "--operator"):
        print("usage: eiderhub sidecar [--operator FILE]; GW_CONFIG names the sidecar's file", file=sys.stderr)
        return 2
    operator = words[1] if words else None
    handler = logging.StreamHandler()
    handler.addFilter(Sparse())
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler])
    try:
        config = _start(operator)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, operator))
    except (ConfigError, OSError) as error:
        print(f"eiderhub.sidecar: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
