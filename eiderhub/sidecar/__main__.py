"""Runs one sidecar: reloads the configuration on SIGHUP, drains on SIGTERM, and sets the exit status."""

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
from eiderhub.sidecar.statistics import StatisticsLogger

# New connections are accepted for this long after SIGTERM, since the front end opens some for up to 0.4 s.
ACCEPT_PERIOD_S = 0.6
# SIGKILL follows SIGTERM after the longest deadline, or after this if it is shorter, plus 0.7 s.
MAX_DEADLINE_WAIT_S = 3.0
DRAIN_MARGIN_S = 0.45  # added to that deadline; below 0.7 s, so that everything is answered before SIGKILL
KEEP_SERVING_SHARE = 0.75  # of the drain, for serving kept connections; the rest is for requests still open then
FLUSH_TIMEOUT_S = 0.15  # for sending the last bytes
LAG_CHECK_INTERVAL_S = 0.1
LAG_LOG_INTERVAL_S = 10.0
LAG_LOG_THRESHOLD_US = 50_000  # a lag that takes up a large part of the margin for sending answers
MAX_LINES_PER_S = 20
log = logging.getLogger("eiderhub.sidecar")


class RateLimitFilter(logging.Filter):
    """Passes at most `MAX_LINES_PER_S` lines a second: writing to a log that is full would block every request.

    The first line after a second with more lines says how many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.current_second = 0
        self.line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.current_second:
            left_out = self.line_count - MAX_LINES_PER_S
            self.current_second, self.line_count = int(record.created), 0
            if left_out > 0:
                record.msg, record.args = f"{record.getMessage()} ({left_out} lines before it left out)", ()
        self.line_count += 1
        return self.line_count <= MAX_LINES_PER_S


async def log_loop_lag() -> None:
    """Log the longest lag of the event loop in each interval: it adds to every latency that is measured here."""
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
    """Answer all accepted requests before SIGKILL, while new callers are directed to other sidecars.

    Callers use their connections for as long as these stay open, so kept connections are served for a while. Closing
    them at once would move a whole sidecar's load to its neighbours in one moment; that load would be lost if the
    neighbour is itself still restarting.
    """
    drain_s = min(MAX_DEADLINE_WAIT_S, callers.max_deadline_s) + DRAIN_MARGIN_S
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
    await asyncio.sleep(0)  # process the input of the last loop iteration at least once
    while callers.has_unfinished_work() and now_us() < flush_until_us:
        callers.close_idle()
        await asyncio.sleep(0.005)
    callers.close_idle()
    await asyncio.sleep(0.005)


async def close_listener(listener: asyncio.Server) -> None:
    """Close a listener at a moment when its backlog is empty.

    The kernel has accepted the connections in the backlog, and requests may have been sent on them: closing the
    listener resets them, and those requests would get no answer.
    """
    poll = select.poll()
    poll.register(listener.sockets[0].fileno(), select.POLLIN)
    for _ in range(LISTEN_BACKLOG):  # the loop accepts one in each iteration; a flood without end is reset eventually
        if not poll.poll(0):
            break
        await asyncio.sleep(0)
    listener.close()


class Reloader:
    """Reloads the configuration on SIGHUP: reads and checks the files in a thread, one read at a time.

    Checking a large file takes a large part of a second, in which the event loop would serve no request. The checks
    are the same as at the start: a platform's file with which a sidecar starts must not be rejected by a reload.
    """

    def __init__(self, host: Host, config: Config, operator: str | None) -> None:
        self.host = host
        self.config = config
        self.operator = operator
        self.on_reload: Callable[[Config], None] | None = None  # also called with each applied configuration
        self._requested = False
        self._task: asyncio.Task[None] | None = None

    def request_reload(self) -> None:
        """Reload now, or once more after the reload that is running."""
        self._requested = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._requested:
            self._requested = False
            try:
                self._apply(await asyncio.to_thread(self._read))
            except Exception as error:  # no fault in a file may end a process that serves
                log.error("the configuration is not taken: %s", error)
        self._task = None

    def _read(self) -> Config:
        new_config = _load_config(self.operator)
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
    """Return the port that a listener is bound to, which the system chooses if the file gives port 0."""
    return int(listener.sockets[0].getsockname()[1])


async def open_thrift_port(config: Config, host: Host, callers: Callers) -> asyncio.Server:
    """Open the Thrift port. The Thrift modules are imported only if it is configured."""
    from eiderhub.protocols.thrift import server as thrift

    server = thrift.Server(host, callers, config.thrift)
    await server.bind()
    log.info("%s takes Thrift on %s:%d", config.name, config.thrift.host, port_of(server.listener))
    return server.listener


async def serve(config: Config, operator: str | None) -> None:
    """Run a sidecar until SIGTERM or SIGINT, and drain it. Raises OSError if an address is not available."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    host = Host(config)
    reloader = Reloader(host, config, operator)
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    callers = Callers(config.bounds.caller_connections, host.max_deadline_s, host.budget)
    host.statistics.closed_connections = callers.closed_connections
    statistics = StatisticsLogger(host.statistics, host.describe_list)
    server = Server(host, callers)
    await server.bind(config.listen.host, config.listen.port)
    listeners = [server.listener]
    if config.thrift is not None:
        listeners.append(await open_thrift_port(config, host, callers))
    consul = None
    if config.consul is not None:
        # Imported only if the operator's file configures it.
        from eiderhub.membership.source_aggregator import add_consul_source

        consul = add_consul_source(config.consul, host)
    fleet = None
    if config.fleet is not None:
        from eiderhub.fleet.node import join_fleet  # imported only if the operator's file configures it

        fleet = join_fleet(config.fleet, host)
    host.start()
    if consul is not None:
        consul.start()
    if fleet is not None:
        fleet.start()
        reloader.on_reload = lambda new_config: fleet.adopt(new_config.fleet.build)
    coroutines = (host.upstream.sweep(), callers.watch_timeouts(), log_loop_lag(), statistics.run())
    background = [loop.create_task(coroutine) for coroutine in coroutines]
    # Objects that live until the end need not be traversed again: a full collection delays every request.
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
    statistics.log_now()


def _load_config(operator: str | None) -> Config:
    """Load the configuration from the environment and, if given, the operator's file. Raises ConfigError."""
    if operator is None:
        return load(os.environ)
    from eiderhub.config.load import load_checked  # not needed without an operator's file

    return load_checked(os.environ, operator)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one sidecar with the arguments `[--operator FILE]`; all other settings come from the environment.

    Returns the exit status: 0 after a drain, 1 if the sidecar can't start, 2 for wrong arguments.
    """
    argument_list = list(sys.argv[1:] if arguments is None else arguments)
    if argument_list and (len(argument_list) != 2 or argument_list[0] != "--operator"):
        print("usage: eiderhub sidecar [--operator FILE]; GW_CONFIG names the sidecar's file", file=sys.stderr)
        return 2
    operator = argument_list[1] if argument_list else None
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler])
    try:
        config = _load_config(operator)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, operator))
    except (ConfigError, OSError) as error:
        print(f"eiderhub.sidecar: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
