"""What overload control knows of the load, at one host."""

from collections.abc import Iterable

from azureswitch.core import HostName
from azureswitch.serving._digests import Digest
from azureswitch.serving.overload._arrivals import Arrivals
from azureswitch.serving.overload._return import Bookings

REPORT_SECONDS = 0.25
"""Seconds after which new arrivals are reported, so that all hosts know of them within 0.3 s."""


class Overload:
    """The arrivals at all hosts, and the callers whom this host has told to come back.

    Args:
        max_age: Seconds after which a peer's report is not used any more.
        hosts: Assumed number of hosts until the others are known.
    """

    def __init__(self, *, max_age: float, hosts: int) -> None:
        self.arrivals = Arrivals(max_age=max_age)
        self.bookings = Bookings()
        self.hosts = hosts
        self._reported_at = 0.0

    def report_due(self, now: float) -> bool:
        """Return whether arrivals since the last digest are to be reported."""
        return self.arrivals.changed and now - self._reported_at >= REPORT_SECONDS

    def reported(self, now: float) -> None:
        """Record that a digest with the arrivals is sent."""
        self.arrivals.changed = False
        self._reported_at = now

    def apply(self, digest: Digest, *, now: float) -> None:
        """Take over what a peer has reported."""
        self.arrivals.apply(digest.host, digest.arrivals, now=now)

    def keep(self, hosts: Iterable[HostName]) -> None:
        """Set the live hosts, and forget the reports of all others."""
        names = set(hosts)
        self.hosts = max(1, len(names))
        self.arrivals.keep(names)
