"""The choice of a revision by a host that starts while the store is down.

A host that has just started has no configuration.  If the store does not answer, it queries the
other hosts and takes the highest revision among the answers of a majority of all hosts that it
knows, which includes every revision that is in force on a majority.  After
`STARTUP_TIMEOUT_SECONDS`, a majority of the reachable hosts is enough.
"""

from azureswitch.coordination.configuration._limits import (
    STARTUP_STABLE_SECONDS,
    STARTUP_TIMEOUT_SECONDS,
)
from azureswitch.coordination.configuration._messages import RevisionNews
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName
from azureswitch.ports import ListedHost


class Startup:
    """The known hosts, and their answers to a starting host.

    Args:
        host: The host that starts.
        now: The time.
    """

    def __init__(self, *, host: HostName, now: float) -> None:
        self._host = host
        self._started_at = now
        self._last_added_at = now
        self._addresses: dict[HostName, str] = {}
        self._reachable: set[HostName] = set()
        self._listed = False
        self._max_known_revision = 0
        self._answers: dict[HostName, RevisionNews] = {}

    @property
    def unanswered(self) -> tuple[str, ...]:
        """The addresses of the hosts that have not answered."""
        return tuple(
            address for host, address in self._addresses.items() if host not in self._answers
        )

    @property
    def listed(self) -> bool:
        """Whether the host list has been read."""
        return self._listed

    def timed_out(self, *, now: float) -> bool:
        """Return whether `STARTUP_TIMEOUT_SECONDS` have passed since the start."""
        return now - self._started_at >= STARTUP_TIMEOUT_SECONDS

    def add_hosts(self, *, hosts: tuple[ListedHost, ...], now: float) -> None:
        """Add the hosts of the host list."""
        self._listed = True
        for item in hosts:
            self._add_host(item.name, item.address, now)

    def add_members(self, *, members: tuple[Member, ...], now: float) -> None:
        """Add the current members."""
        for member in members:
            self._add_host(member.incarnation.host, member.address, now)
            if member.incarnation.host != self._host:
                self._max_known_revision = max(self._max_known_revision, member.revision)
        alive = (item for item in members if item.status is not MemberStatus.SUSPECT)
        self._reachable = {item.incarnation.host for item in alive} - {self._host}

    def add_answer(self, *, news: RevisionNews) -> None:
        """Record the answer of a host."""
        self._answers[news.host] = news

    def choose(self, *, now: float) -> RevisionNews | None:
        """Return the answer whose revision is adopted, or None while none may be."""
        serving = [item for item in self._answers.values() if item.revision]
        if not serving:
            return None
        newest = max(serving, key=lambda item: item.revision)
        if self.timed_out(now=now):
            return newest if self._majority(self._reachable) else None
        if not self._listed and now - self._last_added_at < STARTUP_STABLE_SECONDS:
            return None
        if newest.revision < self._max_known_revision:
            return None
        return newest if self._majority(set(self._addresses)) else None

    def _majority(self, hosts: set[HostName]) -> bool:
        """Return whether most hosts answered; hosts that have no revision yet are not counted."""
        starting = {host for host, item in self._answers.items() if not item.revision}
        asked = hosts - starting
        answered = asked & self._answers.keys()
        return 2 * len(answered) > len(asked)

    def _add_host(self, host: HostName, address: str, now: float) -> None:
        if host != self._host and host not in self._addresses:
            self._addresses[host] = address
            self._last_added_at = now
