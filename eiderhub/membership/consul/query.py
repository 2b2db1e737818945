"""Decides when and with what request Consul is polled next, and which of its responses are accepted. No I/O.

Sources: Consul's HTTP API, "Blocking queries", "Consistency modes", "Agent caching".

| response | consequence |
| --- | --- |
| 200 with an index that is higher, or lower than the last | a change; after a lower index the next request has none |
| 200 with the index that was requested | no change, unless the body differs: it is read all the same |
| 200 without an index, with 0 or with an invalid one | a change; the next request does not wait, but is paced |
| 200 without a known leader, or older than allowed | rejected: the next agent is polled |
| 403, 404, 429, 500, any other status, or a lost connection | rejected: the next agent is polled after a pause |

A rejected response changes nothing: the last accepted list stays in force.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import quote, urlencode

from eiderhub.membership.consul.health import FieldMapping

MAX_INDEX = 1 << 63
MIN_INTERVAL_US = 100_000  # between two requests, however soon responses come
MAX_INTERVAL_US = 2_000_000  # while responses without a change keep coming at once
# First and longest pause, before jitter. Once Consul is back, a request that is not answered and a pause may pass
# before the next one: together less than the 6 s after which a change of the platform's own list counts as notified.
BACKOFF_US = (250_000, 2_000_000)
EXTRA_TIMEOUT_US = 2_000_000  # beyond the time that Consul may wait
CONSISTENCY_MODES = ("default", "consistent", "stale", "cached")


@dataclass(frozen=True)
class Options:
    """The table `[consul]` of the operator's file."""

    agents: tuple[tuple[str, int], ...]
    services: tuple[str, ...]
    mode: str = "default"
    wait_us: int = 30_000_000  # how long an agent may delay its response until there is a change
    max_age_us: int = 30_000_000  # since the agent's last contact with its leader, or since a cached response was made
    override_us: int = 60_000_000  # how long a silent Consul's restrictive states override another source's ready state
    max_response_bytes: int = 8 << 20
    token_file: str | None = None
    scope: tuple[tuple[str, str], ...] = ()  # dc, ns, partition, filter: Consul's query parameters
    tags: tuple[str, ...] = ()
    use_catalogue: bool = False  # poll the catalogue, which has no checks, rather than the health API
    field_mapping: FieldMapping = field(default_factory=FieldMapping)


class QueryRequest(NamedTuple):
    """One request: the agent, the target of the request line, and the timeout of the whole exchange."""

    host: str
    port: int
    target: str
    timeout_us: int


class Query:
    """The sequence of requests for one service. Times are microseconds of a monotonic clock."""

    def __init__(self, options: Options, service: str) -> None:
        self.options = options
        self.service = service
        self.index = 0
        self.agent_number = 0
        self._sent_us = 0
        self._interval_us = MIN_INTERVAL_US
        self._backoff_us = BACKOFF_US[0]

    def next_request(self, now_us: int) -> QueryRequest:
        """Return the next request. The caller waits until it has ended before requesting another."""
        self._sent_us = now_us
        parameters: list[tuple[str, str]] = [*self.options.scope, *(("tag", tag) for tag in self.options.tags)]
        if self.index:
            parameters += [("index", str(self.index)), ("wait", f"{self.options.wait_us // 1000}ms")]
        mode = "" if self.options.mode == "default" else self.options.mode
        query = "&".join(part for part in (urlencode(parameters), mode) if part)
        api = "catalog" if self.options.use_catalogue else "health"
        target = f"/v1/{api}/service/{quote(self.service, safe='')}" + (f"?{query}" if query else "")
        # Consul adds up to a sixteenth to the wait, so that requests do not all end at once.
        max_wait_us = self.options.wait_us * 17 // 16 if self.index else 0
        host, port = self.options.agents[self.agent_number]
        return QueryRequest(host, port, target, max_wait_us + EXTRA_TIMEOUT_US)

    def on_response(self, now_us: int, status: int, headers: Mapping[str, str]) -> int:
        """Accept a complete response; return the microseconds to wait before the next request.

        Raises ValueError with the reason if it is rejected; the caller then calls `on_failure`.
        """
        if status != 200:
            raise ValueError(f"unexpected status {status}")
        if headers.get("x-consul-knownleader", "true").lower() != "true":
            raise ValueError("the agent has no known leader")
        age_us = max(_number(headers.get("x-consul-lastcontact")) * 1000, _number(headers.get("age")) * 1_000_000)
        if age_us > self.options.max_age_us:
            raise ValueError(f"the response may be {age_us / 1e6:.1f} s old")
        index = _number(headers.get("x-consul-index"))
        if not 0 < index < MAX_INDEX or index < self.index:
            index = 0
        # Without a growing interval, a constant or missing index with immediate responses would be polled in a loop.
        has_change = index > self.index
        is_early = now_us - self._sent_us < MIN_INTERVAL_US
        self._interval_us = (
            MIN_INTERVAL_US if has_change or not is_early else min(2 * self._interval_us, MAX_INTERVAL_US)
        )
        self.index = index
        self._backoff_us = BACKOFF_US[0]
        return max(0, self._sent_us + self._interval_us - now_us)

    def on_failure(self, jitter: float) -> int:
        """Switch to the next agent after a rejected or missing response; return the microseconds to wait.

        `jitter`, from 0 to 1, spreads the requests of many sidecars after one failure. An index is valid only for the
        agent that sent it, so the next request has none.
        """
        self.agent_number = (self.agent_number + 1) % len(self.options.agents)
        self.index = 0
        pause_us = round(self._backoff_us * (0.5 + jitter))
        self._backoff_us = min(2 * self._backoff_us, BACKOFF_US[1])
        return pause_us


def _number(text: str | None) -> int:
    """Return a header's number, 0 if it is missing or invalid."""
    return int(text) if text is not None and text.isascii() and text.isdigit() and len(text) < 20 else 0
