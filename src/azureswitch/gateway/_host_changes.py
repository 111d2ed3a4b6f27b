"""Logs which other hosts come, go, and start again without having stopped."""

from collections.abc import Iterable

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName
from azureswitch.gateway._host_log import HostsLost, PeersKnown
from azureswitch.logs import Log

MAX_REMEMBERED_HOSTS = 1_024
"""Hosts whose last process is remembered; the one that was seen first is forgotten first."""


class HostChanges:
    """Logs the changes of the set of hosts.

    Args:
        log: Receives the log entries.
    """

    def __init__(self, *, log: Log) -> None:
        self._log = log
        self._hosts: tuple[HostName, ...] = ()
        self._processes: dict[HostName, int] = {}
        self._stopping: set[HostName] = set()

    def note_hosts(self, hosts: tuple[HostName, ...]) -> None:
        """Log which of the hosts that take new work are new, and which are gone."""
        added = sorted(set(hosts) - set(self._hosts))
        gone = sorted(set(self._hosts) - set(hosts))
        self._hosts = hosts
        if added or gone:
            changed = PeersKnown(added=",".join(added), gone=",".join(gone), hosts=len(hosts))
            self._log.write(changed)

    def note_processes(self, members: Iterable[Member]) -> None:
        """Log the hosts whose process has ended without a stop and was replaced by another."""
        lost = sorted(member.incarnation.host for member in members if self._is_lost(member))
        if lost:
            self._log.write(HostsLost(hosts=",".join(lost)))

    def _is_lost(self, member: Member) -> bool:
        """Remember a host's process, and return whether the one before it ended without a stop."""
        host, started = member.incarnation.host, member.incarnation.started
        before = self._processes.get(host, 0)
        if started < before:
            return False
        replaced = 0 < before < started
        lost = replaced and host not in self._stopping
        if replaced:
            self._stopping.discard(host)
        if member.status is MemberStatus.LEAVING:
            self._stopping.add(host)
        self._processes[host] = started
        self._forget()
        return lost

    def _forget(self) -> None:
        while len(self._processes) > MAX_REMEMBERED_HOSTS:
            oldest = next(iter(self._processes))
            del self._processes[oldest]
            self._stopping.discard(oldest)
