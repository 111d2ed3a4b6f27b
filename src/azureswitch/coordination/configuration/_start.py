"""By which revision a host serves that starts while the store is down.

A host that has just started knows nothing.  If the store does not answer, it asks the other hosts
and takes the highest revision among the answers of a majority of all the hosts that it knows of, so
that it meets every revision that is in force on a majority.  After `START_BOUND` seconds, a
majority of the hosts that it can reach is enough.
"""

from azureswitch.coordination.configuration._limits import START_BOUND, START_SETTLE
from azureswitch.coordination.configuration._messages import RevisionNews
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName
from azureswitch.ports import ListedHost


class Start:
    """The answers that a starting host has collected.

    Args:
        host: The host that starts.
        now: The time.
    """

    def __init__(self, *, host: HostName, now: float) -> None:
        self._host = host
        self._began = now
        self._grew = now
        self._addresses: dict[HostName, str] = {}
        self._reachable: set[HostName] = set()
        self._listed = False
        self._heard = 0
        self._answers: dict[HostName, RevisionNews] = {}

    @property
    def unanswered(self) -> tuple[str, ...]:
        """Addresses of hosts that have not answered."""
        return tuple(
            address for host, address in self._addresses.items() if host not in self._answers
        )

    @property
    def listed(self) -> bool:
        """Whether the host list was read."""
        return self._listed

    def overdue(self, *, now: float) -> bool:
        """Whether the host has waited for as long as it may."""
        return now - self._began >= START_BOUND

    def list(self, *, hosts: tuple[ListedHost, ...], now: float) -> None:
        """Take in the host list."""
        self._listed = True
        for item in hosts:
            self._know(item.name, item.address, now)

    def see(self, *, members: tuple[Member, ...], now: float) -> None:
        """Take in the fleet as membership shows it."""
        for member in members:
            self._know(member.incarnation.host, member.address, now)
            if member.incarnation.host != self._host:
                self._heard = max(self._heard, member.revision)
        alive = (item for item in members if item.status is not MemberStatus.SUSPECT)
        self._reachable = {item.incarnation.host for item in alive} - {self._host}

    def answer(self, *, news: RevisionNews) -> None:
        """Take in what a host says."""
        self._answers[news.host] = news

    def choose(self, *, now: float) -> RevisionNews | None:
        """Return the answer to serve by, or None while none may be chosen."""
        serving = [item for item in self._answers.values() if item.revision]
        if not serving:
            return None
        newest = max(serving, key=lambda item: item.revision)
        if self.overdue(now=now):
            return newest if self._majority(self._reachable) else None
        if not self._listed and now - self._grew < START_SETTLE:
            return None
        if newest.revision < self._heard:
            return None
        return newest if self._majority(set(self._addresses)) else None

    def _majority(self, hosts: set[HostName]) -> bool:
        """Whether most hosts answered; those that serve by none yet count on neither side."""
        starting = {host for host, item in self._answers.items() if not item.revision}
        asked = hosts - starting
        answered = asked & self._answers.keys()
        return 2 * len(answered) > len(asked)

    def _know(self, host: HostName, address: str, now: float) -> None:
        if host != self._host and host not in self._addresses:
            self._addresses[host] = address
            self._grew = now
