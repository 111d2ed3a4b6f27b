"""News that is passed on with probes, each a bounded number of times."""

from heapq import nsmallest
from math import ceil, log2
from random import Random

from msgspec import Struct

from azureswitch.coordination.membership._limits import (
    CANDIDATES,
    PIGGYBACK_BYTES,
    REPORT_BYTES,
    RETRANSMISSIONS,
)
from azureswitch.coordination.membership._messages import NO_REPORT, RevisionReport, Update
from azureswitch.core import HostName


def transmissions(size: int) -> int:
    """Return how often one host passes an update on in a fleet of a size."""
    return RETRANSMISSIONS * ceil(log2(size + 1))


class _Entry(Struct, kw_only=True):
    update: Update
    sent: int = 0


class GossipQueue:
    """Updates to pass on, those passed on least often first and else in a random order.

    Hosts that hold the same news would otherwise all begin with the same part of it.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._entries: dict[HostName, _Entry] = {}

    def add(self, update: Update) -> None:
        """Pass an update on from now, in place of older ones on the same host."""
        self._entries[update.host] = _Entry(update=update)

    def take(self, *, size: int, first: Update | None = None) -> tuple[Update, ...]:
        """Choose what the next datagram carries, and count it as passed on.

        Args:
            size: Members of the fleet.
            first: An update that must be in it.
        """
        chosen = [] if first is None else [first]
        room = PIGGYBACK_BYTES - sum(item.size for item in chosen)
        limit = transmissions(size)
        for entry in self._least_sent():
            room -= entry.update.size
            if room < 0:
                break
            if first is None or entry.update.host != first.host:
                chosen.append(entry.update)
            self._count(entry, limit)
        return tuple(chosen)

    def _least_sent(self) -> list[_Entry]:
        draw = self._random.random
        return nsmallest(CANDIDATES, self._entries.values(), key=lambda item: (item.sent, draw()))

    def _count(self, entry: _Entry, limit: int) -> None:
        entry.sent += 1
        if entry.sent >= limit:
            del self._entries[entry.update.host]


class RevisionReports:
    """Which hosts have the newest revision in force, and how often that was passed on."""

    def __init__(self) -> None:
        self._revision = 0
        self._sent: dict[HostName, int] = {}

    def add(self, *, revision: int, hosts: tuple[HostName, ...]) -> tuple[HostName, ...]:
        """Take in a report.

        Returns:
            The hosts for which it is news.
        """
        if revision < self._revision:
            return ()
        if revision > self._revision:
            self._revision = revision
            self._sent = {}
        news = tuple(host for host in hosts if host not in self._sent)
        for host in news:
            self._sent[host] = 0
        return news

    def take(self, *, size: int) -> RevisionReport:
        """Choose what the next datagram reports, and count it as passed on."""
        limit = transmissions(size)
        waiting = (item for item in self._sent.items() if item[1] < limit)
        candidates = nsmallest(REPORT_BYTES // 2, waiting, key=lambda item: item[1])
        room = REPORT_BYTES
        chosen = []
        for host, sent in candidates:
            room -= len(host) + 1
            if room < 0:
                break
            self._sent[host] = sent + 1
            chosen.append(host)
        return RevisionReport(revision=self._revision, hosts=tuple(chosen)) if chosen else NO_REPORT
