"""Keeps the volume of the log bounded."""

from collections.abc import Callable

from absl import logging
from msgspec.structs import asdict
from xxhash import xxh3_64_intdigest

from azureswitch.clock import elapsed
from azureswitch.logs._entry import Entry, Level

LINES_PER_SECOND = 200.0
"""Lines a second that are written in the long run; some 20 requests a second take half of them."""

BURST_LINES = 1_000.0
"""Lines that may be written at once after a quiet time."""

SAMPLE = 8
"""One in so many requests keeps its lines once half of the burst is used up.

Which ones depends on their id alone, so that all hosts keep the same, from the first line to the
last.
"""


class Log:
    """Writes entries, as many as the volume permits.

    Args:
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, clock: Callable[[], float] = elapsed) -> None:
        self._clock = clock
        self._room = BURST_LINES
        self._at = clock()
        self._left_out = 0
        self._untold = 0

    @property
    def left_out(self) -> int:
        """Lines that were left out so far."""
        return self._left_out

    def write(self, entry: Entry) -> None:
        """Write an entry, or count it where the volume does not permit it."""
        if not self._permits(entry):
            self._left_out += 1
            self._untold += 1
            return
        self._room -= 1.0
        extra: dict[str, object] = asdict(entry)
        if self._untold:
            extra["left_out"] = self._untold
            self._untold = 0
        logging.log(entry.level.value, "%s: %s", entry.part, entry.sentence, extra=extra)

    def _permits(self, entry: Entry) -> bool:
        now = self._clock()
        self._room = min(BURST_LINES, self._room + (now - self._at) * LINES_PER_SECOND)
        self._at = now
        if self._room < 1.0:
            return False
        if entry.level is not Level.INFO or self._room > BURST_LINES / 2.0:
            return True
        return entry.request is None or xxh3_64_intdigest(entry.request.encode()) % SAMPLE == 0
