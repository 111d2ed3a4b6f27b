"""The failure domains whose hosts receive this host's digests.

A request costs two messages to every host that is notified of it.  In a large fleet the hosts of a
failure domain are therefore notified only of attempts at its engines, by whichever host they are
sent.  They send to these engines unless a call would miss its latency objective there, and know the
load of the engines of other failure domains only as totals that are seconds old.
"""

from collections.abc import Iterable
from math import inf

from azureswitch.core import PlaceName


class Domains:
    """Selects the failure domains that receive this host's digests.

    Args:
        own: This host's failure domain.
        full_hosts: Fleet size up to which all hosts receive all digests.
    """

    def __init__(self, *, own: PlaceName, full_hosts: float = inf) -> None:
        self._own = own
        self._full_hosts = full_hosts
        self._hosts = 1
        self._concerned: frozenset[PlaceName] = frozenset()

    @property
    def divided(self) -> bool:
        """Whether the fleet is so large that digests are limited to failure domains."""
        return self._hosts > self._full_hosts

    def set_hosts(self, count: int) -> None:
        """Set the number of live hosts."""
        self._hosts = count

    def audience(
        self, places: Iterable[PlaceName], *, regular: bool
    ) -> frozenset[PlaceName] | None:
        """Return the failure domains whose hosts receive a digest, or None for all hosts.

        Args:
            places: The failure domains of the targets that the digest names.
            regular: Whether it is a regular digest, which need not contain changes.
        """
        if not self.divided:
            return None
        current = frozenset(places)
        # Hosts of the last digest's domains receive this one too, to remove attempts that ended.
        audience = current | self._concerned | {self._own}
        if not regular:
            self._concerned = current
        return audience
