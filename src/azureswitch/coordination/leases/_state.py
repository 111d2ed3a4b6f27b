"""The state of one lease on one host."""

from random import Random

from azureswitch.coordination.leases._model import LEASE_TERM
from azureswitch.core import Incarnation


class LeaseState:
    """A host's view of one lease."""

    def __init__(self, *, myself: Incarnation, seed: int, term: float = LEASE_TERM) -> None:
        self._myself = myself
        self._random = Random(seed)
        self._term = term
        self._fence: int | None = None
        self._version = 0
        self._nonce = 0
        self._acquiring = False
        self._write_began = 0.0
        self._confirmed_at = float("-inf")
        self._other_version = 0
        self._other_since = 0.0
        self._next_read_at = float("-inf")

    @property
    def fence(self) -> int | None:
        """The fencing number while this host assumes that it holds the lease, otherwise None."""
        return self._fence

    def is_fresh(self, *, now: float) -> bool:
        """Return whether the lease was confirmed within the last term.

        This saves a store call before each use; safety does not depend on it.
        """
        return self._fence is not None and now < self._confirmed_at + self._term
