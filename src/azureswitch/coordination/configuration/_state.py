"""The state of the configuration on one host."""

from random import Random

from azureswitch.coordination.configuration._fetch import Fetch
from azureswitch.coordination.configuration._limits import (
    BASE_RECONNECT_BACKOFF_SECONDS,
    GOSSIP_PERIOD_SECONDS,
    MAX_RECONNECT_BACKOFF_SECONDS,
    MAX_STABLE_WAIT_SECONDS,
    QUERY_DELAY_SECONDS,
    READ_INTERVAL_SECONDS,
    STABLE_HOSTS_SECONDS,
)
from azureswitch.coordination.configuration._messages import RevisionNews, pack_body
from azureswitch.coordination.configuration._start import Startup
from azureswitch.coordination.membership import Member
from azureswitch.core import HostName, PlaceName


class ConfigurationState:
    """The state of the configuration reducer; only `reduce` and its helpers change it.

    Args:
        host: This host.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which peers reach it.
        random: The seeded source of all random choices.
        now: The time.
    """

    def __init__(
        self, *, host: HostName, place: PlaceName, address: str, random: Random, now: float
    ) -> None:
        self._host = host
        self._place = place
        self._address = address
        self._random = random
        self._revision = 0
        self._digest = ""
        self._body = b""
        self._packed = b""
        self._fetch = Fetch(random=random)
        self._start: Startup | None = Startup(host=host, now=now)
        self._members: tuple[Member, ...] = ()
        self._watching = False
        self._should_watch = False
        self._should_watch_since = now
        self._next_store_call = now
        self._store_failures = 0
        self._store_call_open = False
        self._promoted = False
        self._local_hosts: frozenset[HostName] = frozenset()
        self._local_hosts_since = now
        self._next_query = now + QUERY_DELAY_SECONDS
        self._next_gossip = now + random.random() * GOSSIP_PERIOD_SECONDS
        self._gossip_rounds: list[float] = []

    @property
    def revision(self) -> int:
        """The revision in force; zero before the first one."""
        return self._revision

    @property
    def body(self) -> bytes:
        """The body in force."""
        return self._body

    @property
    def packed(self) -> bytes:
        """The body in force, compressed once for all pulls."""
        if not self._packed:
            self._packed = pack_body(self._body)
        return self._packed

    @property
    def digest(self) -> str:
        """SHA-256 of the body in force."""
        return self._digest

    @property
    def watching(self) -> bool:
        """Whether this host watches the store."""
        return self._watching

    @property
    def news(self) -> RevisionNews:
        """This host's announcement of its revision in force."""
        return RevisionNews(
            host=self._host, address=self._address, revision=self._revision, digest=self._digest
        )

    def is_stable(self, *, now: float) -> bool:
        """Return whether this host may start or end its watch now."""
        return (
            now - self._local_hosts_since >= STABLE_HOSTS_SECONDS
            or now - self._should_watch_since >= MAX_STABLE_WAIT_SECONDS
        )

    def next_read(self, *, now: float) -> float:
        """Return the randomized time of the next read by a host that does not watch."""
        return now + READ_INTERVAL_SECONDS * self._random.uniform(0.75, 1.25)

    def next_reconnect(self, *, now: float) -> float:
        """Return when to retry the store, by exponential backoff with jitter."""
        limit = min(
            BASE_RECONNECT_BACKOFF_SECONDS * 2.0 ** min(self._store_failures, 16),
            MAX_RECONNECT_BACKOFF_SECONDS,
        )
        self._store_failures += 1
        return now + limit * self._random.uniform(0.5, 1.0)
