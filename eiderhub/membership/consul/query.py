"""When Consul is asked again, for what, and which of its answers are believed: pure.

Sources: Consul's HTTP API, "Blocking queries", "Consistency modes", "Agent caching".

| what came | what it means |
| --- | --- |
| 200 with an index that is new, or older than the last | news; an index that went back starts anew from none |
| 200 with the index that was asked for | nothing is new, unless the body differs: it is read all the same |
| 200 without an index, or with 0 or what is no index | news; the next question does not wait, and is paced |
| 200, no leader is known, or the answer is older than allowed | no answer: another agent is asked |
| 403, 404, 429, 500, anything else, or a connection that ends | no answer: another agent is asked, after a pause |

What is no answer changes nothing: what Consul said last stands.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import quote, urlencode

from eiderhub.membership.consul.health import Meaning

MAX_INDEX = 1 << 63
PACE_US = 100_000  # between two questions, however soon answers come
SLOWEST_PACE_US = 2_000_000  # where answers that bring nothing keep coming at once
BACKOFF_US = (250_000, 8_000_000)
PATIENCE_US = 2_000_000  # beyond what Consul may wait
CONSISTENCY = ("default", "consistent", "stale", "cached")


@dataclass(frozen=True)
class Options:
    """The operator's table `[consul]`."""

    agents: tuple[tuple[str, int], ...]
    services: tuple[str, ...]
    mode: str = "default"
    wait_us: int = 30_000_000  # that a question may be held
    oldest_us: int = 30_000_000  # how long ago an agent may last have heard of its leader, or a cached answer been made
    caution_us: int = 60_000_000  # that a silent Consul's caution stands above another source's "ready"
    most: int = 8 << 20  # bytes of an answer
    token_file: str | None = None
    scope: tuple[tuple[str, str], ...] = ()  # dc, ns, partition, filter; as Consul names them
    tags: tuple[str, ...] = ()
    catalogue: bool = False  # ask the catalogue, which knows no checks, and not the health API
    meaning: Meaning = field(default_factory=Meaning)


class Ask(NamedTuple):
    """One question: where, what, and how long it may take in all."""

    host: str
    port: int
    target: str
    patience_us: int


class Query:
    """The questions for one service. Times are microseconds of a clock that never goes back."""

    def __init__(self, options: Options, service: str) -> None:
        self.options = options
        self.service = service
        self.index = 0
        self.agent = 0
        self._asked_us = 0
        self._pace_us = PACE_US
        self._backoff_us = BACKOFF_US[0]

    def ask(self, now_us: int) -> Ask:
        """The next question. At most one is out at a time: whoever calls waits for its end."""
        self._asked_us = now_us
        words: list[tuple[str, str]] = [*self.options.scope, *(("tag", tag) for tag in self.options.tags)]
        if self.index:
            words += [("index", str(self.index)), ("wait", f"{self.options.wait_us // 1000}ms")]
        mode = "" if self.options.mode == "default" else self.options.mode
        query = "&".join(part for part in (urlencode(words), mode) if part)
        where = "catalog" if self.options.catalogue else "health"
        target = f"/v1/{where}/service/{quote(self.service, safe='')}" + (f"?{query}" if query else "")
        # Consul adds up to a sixteenth to the wait, so that not all questions end at once.
        held_us = self.options.wait_us * 17 // 16 if self.index else 0
        host, port = self.options.agents[self.agent]
        return Ask(host, port, target, held_us + PATIENCE_US)

    def answered(self, now_us: int, status: int, headers: Mapping[str, str]) -> int:
        """A whole answer has come and may be believed; microseconds to wait before the next question.

        Raises ValueError, with the reason, where it may not be; `failed` then says when to ask again.
        """
        if status != 200:
            raise ValueError(f"answered {status}")
        if headers.get("x-consul-knownleader", "true").lower() != "true":
            raise ValueError("the agent knows no leader")
        age_us = max(_number(headers.get("x-consul-lastcontact")) * 1000, _number(headers.get("age")) * 1_000_000)
        if age_us > self.options.oldest_us:
            raise ValueError(f"the answer may be {age_us / 1e6:.1f} s old")
        index = _number(headers.get("x-consul-index"))
        if not 0 < index < MAX_INDEX or index < self.index:
            index = 0
        # Danger: an index that stands still, or none, with answers that come at once would be asked for without end.
        brought = index > self.index
        early = now_us - self._asked_us < PACE_US
        self._pace_us = PACE_US if brought or not early else min(2 * self._pace_us, SLOWEST_PACE_US)
        self.index = index
        self._backoff_us = BACKOFF_US[0]
        return max(0, self._asked_us + self._pace_us - now_us)

    def failed(self, chance: float) -> int:
        """There was no answer that may be believed: another agent is next; microseconds to wait before it is asked.

        `chance`, from 0 to 1, spreads what many sidecars do after one failure. Indexes are an agent's own.
        """
        self.agent = (self.agent + 1) % len(self.options.agents)
        self.index = 0
        pause_us = round(self._backoff_us * (0.5 + chance))
        self._backoff_us = min(2 * self._backoff_us, BACKOFF_US[1])
        return pause_us


def _number(told: str | None) -> int:
    """A header's number, 0 where it is none."""
    return int(told) if told is not None and told.isascii() and told.isdigit() and len(told) < 20 else 0
