"""Limits the bytes that are sent per second."""

from azureswitch.coordination.sharing._limits import BURST_BYTES


class Meter:
    """A token bucket of bytes.

    Args:
        rate: Bytes per second.
        burst: Capacity of the bucket in bytes.
        level: Initial level in bytes; different negative levels keep hosts that start together
            from sending at the same time.
    """

    def __init__(self, *, rate: float, burst: float = BURST_BYTES, level: float = 0.0) -> None:
        self._rate = rate
        self._burst = burst
        self._level = level
        self._at: float | None = None

    def take(self, size: int, *, now: float) -> bool:
        """Take the bytes of a message from the bucket; return whether there were enough.

        A message larger than the burst passes once the bucket is full; the level is then negative.

        Args:
            size: Bytes of the message.
            now: The time.
        """
        if self.room(now=now) < min(size, self._burst):
            return False
        self._level -= size
        return True

    def room(self, *, now: float) -> float:
        """Return the level: the bytes that may be sent now."""
        if self._at is not None:
            self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        return self._level
