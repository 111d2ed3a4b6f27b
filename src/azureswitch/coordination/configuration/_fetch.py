"""What a host wants to fetch, and from where."""

from random import Random

from azureswitch.coordination.configuration._effects import (
    ConfigurationEffect,
    FetchFromHost,
    FetchFromStore,
)
from azureswitch.coordination.configuration._limits import (
    PULL_PAUSE,
    PULL_PAUSE_LIMIT,
    PULL_TIMEOUT,
    PULL_TIMEOUT_LIMIT,
    SOURCES,
)
from azureswitch.coordination.configuration._model import AuditEntry


class Fetch:
    """The newest revision heard of and not yet in force, and who has it.

    One body is fetched at a time, from a host where one is known to have it and else from the
    store.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._revision = 0
        self._sources: list[str] = []
        self._entry: AuditEntry | None = None
        self._running = False
        self._failures = 0
        self._starts_at = 0.0

    @property
    def revision(self) -> int:
        """The wanted revision; zero for none."""
        return self._revision

    def want(self, *, revision: int, address: str = "", entry: AuditEntry | None = None) -> None:
        """Want a revision that a host has, or that the store's head names."""
        if revision < self._revision:
            return
        if revision > self._revision:
            self._revision = revision
            self._sources = []
            self._entry = None
        if entry is not None:
            self._entry = entry
        if address and address not in self._sources and len(self._sources) < SOURCES:
            self._sources.append(address)

    def settle(self, *, revision: int, address: str) -> None:
        """Want a lower revision, because the wanted one is nowhere to be had."""
        self._revision = 0
        self.want(revision=revision, address=address)

    def satisfied(self, *, revision: int) -> None:
        """Note that a revision is in force, and want only later ones."""
        self._running = False
        self._failures = 0
        if revision >= self._revision:
            self._revision = 0
            self._sources = []
            self._entry = None

    def failed(self, *, address: str, now: float) -> None:
        """Note that a fetch failed; the next one goes elsewhere if it can."""
        self._running = False
        pause = min(PULL_PAUSE * 2.0 ** min(self._failures, 16), PULL_PAUSE_LIMIT)
        self._failures += 1
        self._starts_at = now + pause * self._random.uniform(0.5, 1.0)
        if address in self._sources:
            self._sources.remove(address)

    def start(self, *, now: float) -> ConfigurationEffect | None:
        """Return the fetch to carry out now, or None."""
        if self._running or not self._revision or now < self._starts_at:
            return None
        effect = self._choose()
        self._running = effect is not None
        return effect

    def _choose(self) -> ConfigurationEffect | None:
        if self._sources:
            timeout = min(PULL_TIMEOUT * 2.0 ** min(self._failures, 16), PULL_TIMEOUT_LIMIT)
            return FetchFromHost(
                address=self._random.choice(self._sources),
                revision=self._revision,
                timeout=timeout,
            )
        return None if self._entry is None else FetchFromStore(entry=self._entry)
