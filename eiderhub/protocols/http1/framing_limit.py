"""The limit on what a peer sends of a message besides its body: headers, chunk-size lines and trailers. No I/O."""

from __future__ import annotations

MAX_FRAMING_BYTES = 16 * 1024
# Allowed for each byte of a body in addition: a chunk of a single byte takes 5, and more with a chunk extension.
CHUNK_OVERHEAD_BYTES = 16


class FramingLimit:
    """Counts the bytes of unfinished header sections, chunk-size lines and trailers.

    All of these may be of any length, and the parser makes no callback for a line before its end. Until then it copies
    what it has of the line with each read, so that the work for an endless line grows with the square of its length.
    """

    __slots__ = ("_excess_bytes", "_is_section_complete")

    def __init__(self) -> None:
        self._excess_bytes = 0
        self._is_section_complete = False

    def reset(self) -> None:
        """Start to count for another message."""
        self._excess_bytes = 0
        self._is_section_complete = False

    def complete_section(self) -> None:
        """Note that a header section or a message ends within the current read."""
        self._is_section_complete = True

    def add_read(self, size: int, body_size: int) -> bool:
        """Count a read, after the parser's callbacks for it; return whether the message is within the limit.

        `body_size` bytes of it were body: these and the chunk-size lines around them do not count.
        """
        if self._is_section_complete:
            self.reset()
        else:
            self._excess_bytes = max(0, self._excess_bytes + size - body_size * (1 + CHUNK_OVERHEAD_BYTES))
        return self._excess_bytes <= MAX_FRAMING_BYTES
