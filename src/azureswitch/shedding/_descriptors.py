"""Which share of a process's descriptors each of its listeners may take."""

from msgspec import Struct

CALLERS_SHARE = 0.7
"""Share for connections of callers; each request also needs one to a target for a while."""

PEERS_SHARE = 0.15
"""Share for connections of other hosts, each of which keeps one."""

PAGES_SHARE = 0.05
"""Share for each listener of pages: readiness, metrics and status."""

MIN_SOCKETS = 64
"""Descriptors that sockets are taken to have, however low the limit of the process is."""


class DescriptorShares(Struct, frozen=True, kw_only=True):
    """How many connections each listener may have; the rest is for targets, store and tunnels.

    Attributes:
        sockets: Descriptors that all sockets of the process may take.
    """

    sockets: int

    @property
    def callers(self) -> int:
        """Connections of callers."""
        return int(CALLERS_SHARE * self.sockets)

    @property
    def peers(self) -> int:
        """Connections of other hosts."""
        return int(PEERS_SHARE * self.sockets)

    @property
    def pages(self) -> int:
        """Connections to one listener of pages."""
        return int(PAGES_SHARE * self.sockets)


def descriptor_shares(limit: int, *, files: int) -> DescriptorShares:
    """Return the shares of a process.

    Args:
        limit: Descriptors that the process may have open.
        files: Those of them that sockets do not take.
    """
    return DescriptorShares(sockets=max(limit - files, MIN_SOCKETS))
