"""Looks at what the kernel holds for the loop to read."""

from select import POLLIN, poll
from typing import Protocol


class Descriptor(Protocol):
    """A socket, or what stands for one."""

    def fileno(self) -> int:
        """Return its number, or -1 once it is closed."""


def is_readable(descriptor: Descriptor) -> bool:
    """Return whether bytes, an end or a new connection wait to be taken."""
    number = descriptor.fileno()
    if number < 0:
        return False
    look = poll()
    look.register(number, POLLIN)
    return bool(look.poll(0))
