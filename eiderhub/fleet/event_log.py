"""What a member writes down for those on call: events as JSON lines, and the members as one file, replaced whole.

Written by a thread, never by the loop: a disk that takes seconds a write, or is full, touches no request. Bounded in
lines that wait, in the size of the file and in how often the members are written.
"""

from __future__ import annotations

import json
import logging
import os
import threading
from collections import deque
from collections.abc import Mapping
from pathlib import Path
from typing import Any

WAITING = 512  # lines; past it the oldest are dropped, and counted
MOST_BYTES = 1 << 20  # of the file of events; then it becomes the one before, of which one is kept
EVENTS, MEMBERS = "fleet.jsonl", "members.json"
log = logging.getLogger(__name__)


class Journal:
    """Files in one folder."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.dropped = 0
        self._lines: deque[str] = deque()
        self._members: str | None = None
        self._failed = False
        self._writing = threading.Lock()  # the last flush may come while one is at work

    def line(self, **fields: Any) -> None:
        if len(self._lines) >= WAITING:
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(json.dumps(fields, separators=(",", ":")))

    def members(self, document: Mapping[str, Any]) -> None:
        """Replaces what waited: only the newest counts."""
        self._members = json.dumps(document, separators=(",", ":"))

    @property
    def waits(self) -> bool:
        return bool(self._lines) or self._members is not None

    def flush(self) -> None:
        """Write what waits; called off the loop. A failure is logged once, until one succeeds."""
        with self._writing:
            self._flush()

    def _flush(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        members, self._members = self._members, None
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            if lines:
                self._append("\n".join(lines) + "\n")
            if members is not None:
                self._replace(members)
            self._failed = False
        except OSError as error:
            self.dropped += len(lines)
            if not self._failed:
                log.warning("fleet: %s: %s", self.folder, error.strerror)
            self._failed = True

    def _append(self, text: str) -> None:
        path = self.folder / EVENTS
        with path.open("a", encoding="utf-8") as file:
            file.write(text)
            size = file.tell()
        if size > MOST_BYTES:
            os.replace(path, self.folder / (EVENTS + ".1"))

    def _replace(self, text: str) -> None:
        new = self.folder / (MEMBERS + ".new")
        new.write_text(text, encoding="utf-8")
        os.replace(new, self.folder / MEMBERS)
