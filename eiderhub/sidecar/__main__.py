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

from eiderhub.protocols.http1.server import BACKLOG, Server
from eiderhub.sidecar.callers import Callers
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.config import Config, ConfigError, load, needs_restart
from eiderhub.sidecar.host import Host

ACCEPT_PERIOD_S = 0.6  # new connections are taken for so long after SIGTERM: the front sends some for up to 0.4 s
MAX_DRAIN_S = 3.0  # SIGKILL comes this, or the longest deadline if that is shorter, and 0.7 s after SIGTERM
DRAIN_MARGIN_S = 0.45  # so that everything is answered by then
KEEP_SERVING_SHARE = 0.75  # of that time, how long kept connections are served: the rest is for what is open then
FLUSH_TIMEOUT_S = 0.15  # for the last bytes to leave, at the most
LAG_CHECK_INTERVAL_S = 0.1
LAG_LOG_INTERVAL_S = 10.0
LAG_LOG_THRESHOLD_US = 50_000  # a lag that eats a good part of the margin for answers
MAX_LINES_PER_S = 20
log = logging.getLogger("eiderhub.sidecar")


class RateLimitFilter(logging.Filter):
    """Lets through so many lines a second: a log that runs full would hold up every request."""

    def __init__(self) -> None:
        super().__init__()
        self.current_second = 0
        self.line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.current_second:
            self.current_second, self.line_count = int(record.created), 0
        self.line_count += 1
        return self.line_count <= MAX_LINES_PER_S


async def log_loop_lag() -> None:
    """Log the longest lag of the event loop, sparsely: it adds to every latency that is measured here."""
    max_lag_us, next_log = 0, now_us() + int(LAG_LOG_INTERVAL_S * 1e6)
    while True:
        started_us = now_us()
        await asyncio.sleep(LAG_CHECK_INTERVAL_S)
        now = now_us()
        max_lag_us = max(max_lag_us, now - started_us - int(LAG_CHECK_INTERVAL_S * 1e6))
        if now >= next_log:
            if max_lag_us >= LAG_LOG_THRESHOLD_US:
                log.warning("the event loop was late by up to %d ms", max_lag_us // 1000)
            max_lag_us, next_log = 0, now + int(LAG_LOG_INTERVAL_S * 1e6)


async def drain(listeners: Sequence[asyncio.Server], callers: Callers, host: Host) -> None:
    """Answer all that was taken, in time for SIGKILL, while new callers are sent elsewhere.

    Callers use the connections that they have for as long as these stay open, so those are served on for a
    while. Closing them at once would send a whole sidecar's load to its neighbours in one moment, and to
    nobody where the neighbour is about to come back from a restart of its own.
    """
    drain_s = min(MAX_DRAIN_S, callers.max_deadline_s) + DRAIN_MARGIN_S
    started_us = now_us()
    callers.draining = True
    await asyncio.sleep(ACCEPT_PERIOD_S)
    for listener in listeners:
        await close_listener(listener)
    await asyncio.sleep(KEEP_SERVING_SHARE * drain_s - ACCEPT_PERIOD_S)
    callers.closing = True
    while callers and now_us() < started_us + int(drain_s * 1e6):
        callers.close_idle()
        await asyncio.sleep(0.01)
    host.close()
    flush_until_us = now_us() + int(FLUSH_TIMEOUT_S * 1e6)
    await asyncio.sleep(0)  # what the last turn read is taken in, at the least once
    while callers.has_unfinished_work() and now_us() < flush_until_us:
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
    for _ in range(BACKLOG):  # the loop takes one in each turn; a flood that never ends is left to its reset
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
        self.on_reload: Callable[[Config], None] | None = None  # who else is told of a new configuration
        self._requested = False
        self._task: asyncio.Task[None] | None = None

    def request_reload(self) -> None:
        self._requested = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._requested:
            self._requested = False
            try:
                self._apply(await asyncio.to_thread(self._read))
            except Exception as error:  # whatever is wrong with a file, it must not end a process that serves
                log.error("the configuration is not taken: %s", error)
        self._task = None

    def _read(self) -> Config:
        new_config = load_config(self.operator)
        changed = needs_restart(self.config, new_config)
        if changed:
            raise ConfigError(f"a restart is needed for {', '.join(changed)}; nothing has changed")
        return new_config

    def _apply(self, new_config: Config) -> None:
        self.host.reload(new_config)
        self.config = new_config
        if self.on_reload is not None:
            self.on_reload(new_config)
        log.info("the configuration is taken")


def port_of(listener: asyncio.Server) -> int:
    """The one that was taken, where the file asks for any."""
    return int(listener.sockets[0].getsockname()[1])


async def open_thrift_port(config: Config, host: Host, callers: Callers) -> asyncio.Server:
    """The port for Thrift; what it needs is imported only where there is one."""
    from eiderhub.protocols.thrift import server as thrift

    server = thrift.Server(host, callers, config.thrift)
    await server.bind()
    log.info("%s takes Thrift on %s:%d", config.name, config.thrift.host, port_of(server.listener))
    return server.listener


async def serve(config: Config, operator: str | None) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    host = Host(config)
    reloader = Reloader(host, config, operator)
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    callers = Callers(config.bounds.caller_connections, host.max_deadline_s, host.budget)
    server = Server(host, callers)
    await server.bind(config.listen.host, config.listen.port)
    listeners = [server.listener]
    if config.thrift is not None:
        listeners.append(await open_thrift_port(config, host, callers))
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
        reloader.on_reload = lambda new_config: fleet.adopt(new_config.fleet.build)
    coroutines = (host.upstream.sweep(), callers.watch_timeouts(), log_loop_lag())
    background = [loop.create_task(coroutine) for coroutine in coroutines]
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


def load_config(operator: str | None) -> Config:
    if operator is None:
        return load(os.environ)
    from eiderhub.config.load import checked  # not for a sidecar without an operator's file

    return checked(os.environ, operator)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one sidecar: `[--operator FILE]`, all else by the environment. The exit status is 0 after a drain."""
    arguments_list = list(sys.argv[1:] if arguments is None else arguments)
    if arguments_list and (len(arguments_list) != 2 or arguments_list[0] != "--operator"):
        print("usage: eiderhub sidecar [--operator FILE]; GW_CONFIG names the sidecar's file", file=sys.stderr)
        return 2
    operator = arguments_list[1] if arguments_list else None
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler])
    try:
        config = load_config(operator)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, operator))
    except (ConfigError, OSError) as error:
        print(f"eiderhub.sidecar: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
