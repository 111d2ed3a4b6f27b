"""Writes lines to a pipe that may be full, without waiting for its reader."""

import os

PENDING_MOST = 65_536
"""Bytes that wait for the reader at most; further lines are dropped and counted."""


class LineStream:
    """The stream of a log handler over a file descriptor, which becomes non-blocking.

    Args:
        descriptor: The file descriptor.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the reader was too slow or is gone."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write text as far as the reader takes it now, and keep a little of the rest."""
        data = text.encode("utf-8", errors="replace")
        if len(self._pending) + len(data) > PENDING_MOST:
            self._dropped += 1
        else:
            self._pending += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more.  There is no other place to say so than the counter.
                self._pending = b""
                self._dropped += 1
                return
            self._pending = self._pending[written:]

    def close(self) -> None:
        """Write what can be written; the descriptor stays open."""
        self.flush()
