"""The files that a member writes for operators: events as JSON lines, and the table of members, replaced as a whole.

A thread writes them, never the event loop, so that a slow or full disk does not delay requests. The number of pending
lines and the size of the file of events are bounded.
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

MAX_PENDING_LINES = 512  # beyond it the oldest are dropped and counted
MAX_FILE_BYTES = 1 << 20  # beyond it the file of events is rotated; one earlier file is kept
EVENTS_FILE, MEMBERS_FILE = "fleet.jsonl", "members.json"
log = logging.getLogger(__name__)


class EventLog:
    """The two files in one folder."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.dropped = 0  # lines that were never written
        self._pending_lines: deque[str] = deque()
        self._pending_members: str | None = None
        self._is_failing = False
        self._write_lock = threading.Lock()  # the flush at the end may overlap a periodic one

    def append(self, **fields: Any) -> None:
        """Queue one event."""
        if len(self._pending_lines) >= MAX_PENDING_LINES:
            self._pending_lines.popleft()
            self.dropped += 1
        self._pending_lines.append(json.dumps(fields, separators=(",", ":")))

    def set_members(self, document: Mapping[str, Any]) -> None:
        """Queue the table of members, in place of one that was not yet written."""
        self._pending_members = json.dumps(document, separators=(",", ":"))

    @property
    def has_pending(self) -> bool:
        return bool(self._pending_lines) or self._pending_members is not None

    def flush(self) -> None:
        """Write what is pending. Called in a thread; of successive failures only the first is logged."""
        with self._write_lock:
            self._flush()

    def _flush(self) -> None:
        lines = []
        while self._pending_lines:
            lines.append(self._pending_lines.popleft())
        members, self._pending_members = self._pending_members, None
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            if lines:
                self._append_events("\n".join(lines) + "\n")
            if members is not None:
                self._replace_members(members)
            self._is_failing = False
        except OSError as error:
            self.dropped += len(lines)
            if not self._is_failing:
                log.warning("fleet: %s: %s", self.folder, error.strerror)
            self._is_failing = True

    def _append_events(self, text: str) -> None:
        path = self.folder / EVENTS_FILE
        with path.open("a", encoding="utf-8") as file:
            file.write(text)
            size = file.tell()
        if size > MAX_FILE_BYTES:
            os.replace(path, self.folder / (EVENTS_FILE + ".1"))

    def _replace_members(self, text: str) -> None:
        temporary = self.folder / (MEMBERS_FILE + ".new")
        temporary.write_text(text, encoding="utf-8")
        os.replace(temporary, self.folder / MEMBERS_FILE)
