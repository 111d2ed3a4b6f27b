"""Keeps what is sent within so many bytes a second."""

from azureswitch.coordination.sharing._limits import BURST_BYTES


class Meter:
    """A token bucket of bytes.

    Args:
        rate: Bytes a second.
        burst: Bytes that may be sent at once.
        level: Bytes that may be sent at first; below zero, hosts that start together do not send
            in step.
    """

    def __init__(self, *, rate: float, burst: float = BURST_BYTES, level: float = 0.0) -> None:
        self._rate = rate
        self._burst = burst
        self._level = level
        self._at: float | None = None

    def take(self, size: int, *, now: float) -> bool:
        """Use up the bytes of a message, if they are there.

        A message over the burst passes once the bucket is full and is paid for afterwards.

        Args:
            size: Bytes of the message.
            now: The time.
        """
        if self.room(now=now) < min(size, self._burst):
            return False
        self._level -= size
        return True

    def room(self, *, now: float) -> float:
        """Return the bytes that may be sent now."""
        if self._at is not None:
            self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        return self._level
