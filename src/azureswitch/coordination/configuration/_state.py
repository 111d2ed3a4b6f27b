"""The configuration in force on one host."""

from random import Random

from azureswitch.coordination.configuration._fetch import Fetch
from azureswitch.coordination.configuration._limits import (
    ASK_DELAY,
    NEWS_PERIOD,
    READ_SECONDS,
    RECONNECT_FIRST,
    RECONNECT_LIMIT,
    WATCH_SETTLE,
    WATCH_SETTLE_LIMIT,
)
from azureswitch.coordination.configuration._messages import RevisionNews, pack_body
from azureswitch.coordination.configuration._start import Start
from azureswitch.coordination.membership import Member
from azureswitch.core import HostName, PlaceName


class ConfigurationState:
    """What the configuration reducer keeps; only `reduce` and its helpers write to it.

    Args:
        host: This host.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which peers reach it.
        random: The seeded generator of every random choice.
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
        self._start: Start | None = Start(host=host, now=now)
        self._members: tuple[Member, ...] = ()
        self._watching = False
        self._chosen = False
        self._chosen_since = now
        self._store_at = now
        self._store_failures = 0
        self._store_busy = False
        self._promoted = False
        self._neighbours: frozenset[HostName] = frozenset()
        self._neighbours_since = now
        self._asks_at = now + ASK_DELAY
        self._reminds_at = now + random.random() * NEWS_PERIOD
        self._rounds: list[float] = []

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
        """The body in force, compressed once for all hosts that pull it."""
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
        """What this host says of itself."""
        return RevisionNews(
            host=self._host, address=self._address, revision=self._revision, digest=self._digest
        )

    def is_settled(self, *, now: float) -> bool:
        """Whether this host may act on being, or not being, among the watchers of its place."""
        return (
            now - self._neighbours_since >= WATCH_SETTLE
            or now - self._chosen_since >= WATCH_SETTLE_LIMIT
        )

    def next_read(self, *, now: float) -> float:
        """Draw when a host that does not watch reads the head again."""
        return now + READ_SECONDS * self._random.uniform(0.75, 1.25)

    def next_reconnect(self, *, now: float) -> float:
        """Draw when to try the store again, later after each failure and spread over hosts."""
        limit = min(RECONNECT_FIRST * 2.0 ** min(self._store_failures, 16), RECONNECT_LIMIT)
        self._store_failures += 1
        return now + limit * self._random.uniform(0.5, 1.0)
