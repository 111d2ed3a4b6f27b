"""The state behind one host's part in one lease."""

from random import Random

from azureswitch.coordination.leases._model import LEASE_TERM
from azureswitch.core import Incarnation


class LeaseState:
    """What a host knows of one lease."""

    def __init__(self, *, myself: Incarnation, seed: int, term: float = LEASE_TERM) -> None:
        self._myself = myself
        self._random = Random(seed)
        self._term = term
        self._fence: int | None = None
        self._version = 0
        self._nonce = 0
        self._acquiring = False
        self._began = 0.0
        self._confirmed = float("-inf")
        self._other_version = 0
        self._other_since = 0.0
        self._next_look = float("-inf")

    @property
    def fence(self) -> int | None:
        """The fencing number while this host believes that it holds the lease, else None."""
        return self._fence

    def is_fresh(self, *, now: float) -> bool:
        """Whether the last confirmation is younger than the term.

        It saves a call to the store before each use; safety does not rest on it.
        """
        return self._fence is not None and now < self._confirmed + self._term
