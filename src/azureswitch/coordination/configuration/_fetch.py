"""The body that a host fetches, and its sources."""

from random import Random

from azureswitch.coordination.configuration._effects import (
    ConfigurationEffect,
    FetchFromHost,
    FetchFromStore,
)
from azureswitch.coordination.configuration._limits import (
    BASE_FETCH_BACKOFF_SECONDS,
    BASE_PULL_TIMEOUT_SECONDS,
    MAX_FETCH_BACKOFF_SECONDS,
    MAX_PULL_TIMEOUT_SECONDS,
    MAX_SOURCES,
)
from azureswitch.coordination.configuration._model import AuditEntry


class Fetch:
    """The newest known revision that is not in force yet, and its sources.

    One body is fetched at a time: from a host that is known to have it, if any, otherwise from the
    store.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._revision = 0
        self._sources: list[str] = []
        self._entry: AuditEntry | None = None
        self._is_running = False
        self._failures = 0
        self._next_start = 0.0

    @property
    def revision(self) -> int:
        """The requested revision; zero for none."""
        return self._revision

    def request(self, *, revision: int, address: str = "", entry: AuditEntry | None = None) -> None:
        """Request a revision that a host has, or that the head in the store names."""
        if revision < self._revision:
            return
        if revision > self._revision:
            self._revision = revision
            self._sources = []
            self._entry = None
        if entry is not None:
            self._entry = entry
        if address and address not in self._sources and len(self._sources) < MAX_SOURCES:
            self._sources.append(address)

    def fall_back(self, *, revision: int, address: str) -> None:
        """Request a lower revision, as the requested one is not available from any source."""
        self._revision = 0
        self.request(revision=revision, address=address)

    def complete(self, *, revision: int) -> None:
        """Record that a revision is in force."""
        self._is_running = False
        self._failures = 0
        if revision >= self._revision:
            self._revision = 0
            self._sources = []
            self._entry = None

    def fail(self, *, address: str, now: float) -> None:
        """Record that a fetch failed; the next one uses another source if there is one."""
        self._is_running = False
        pause = min(
            BASE_FETCH_BACKOFF_SECONDS * 2.0 ** min(self._failures, 16), MAX_FETCH_BACKOFF_SECONDS
        )
        self._failures += 1
        self._next_start = now + pause * self._random.uniform(0.5, 1.0)
        if address in self._sources:
            self._sources.remove(address)

    def start(self, *, now: float) -> ConfigurationEffect | None:
        """Start a fetch and return its effect, or None if none is due."""
        if self._is_running or not self._revision or now < self._next_start:
            return None
        effect = self._choose()
        self._is_running = effect is not None
        return effect

    def _choose(self) -> ConfigurationEffect | None:
        if self._sources:
            timeout = min(
                BASE_PULL_TIMEOUT_SECONDS * 2.0 ** min(self._failures, 16), MAX_PULL_TIMEOUT_SECONDS
            )
            return FetchFromHost(
                address=self._random.choice(self._sources),
                revision=self._revision,
                timeout=timeout,
            )
        return None if self._entry is None else FetchFromStore(entry=self._entry)
