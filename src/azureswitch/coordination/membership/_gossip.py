"""Queues of updates that are gossiped with probes, each a bounded number of times."""

from heapq import nsmallest
from math import ceil, log2
from random import Random

from msgspec import Struct

from azureswitch.coordination.membership._limits import (
    MAX_CANDIDATES,
    MAX_PIGGYBACK_BYTES,
    MAX_REPORT_BYTES,
    RETRANSMISSION_FACTOR,
)
from azureswitch.coordination.membership._messages import NO_REPORT, RevisionReport, Update
from azureswitch.core import HostName


def max_transmissions(size: int) -> int:
    """Return how often one host sends an update in a fleet of a size."""
    return RETRANSMISSION_FACTOR * ceil(log2(size + 1))


class _Entry(Struct, kw_only=True):
    update: Update
    sent: int = 0


class GossipQueue:
    """Updates to gossip: those sent least often first, in random order among equals.

    Without the random order, hosts with the same updates would all send the same ones first.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._entries: dict[HostName, _Entry] = {}

    def add(self, update: Update) -> None:
        """Add an update, which replaces an older one on the same host."""
        self._entries[update.host] = _Entry(update=update)

    def take(self, *, size: int, first: Update | None = None) -> tuple[Update, ...]:
        """Choose the updates of the next datagram, and count them as sent.

        Args:
            size: Number of members.
            first: An update that must be included.
        """
        chosen = [] if first is None else [first]
        room = MAX_PIGGYBACK_BYTES - sum(item.size for item in chosen)
        limit = max_transmissions(size)
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
        return nsmallest(
            MAX_CANDIDATES, self._entries.values(), key=lambda item: (item.sent, draw())
        )

    def _count(self, entry: _Entry, limit: int) -> None:
        entry.sent += 1
        if entry.sent >= limit:
            del self._entries[entry.update.host]


class RevisionReports:
    """Which hosts have the newest revision in force, and how often each was reported."""

    def __init__(self) -> None:
        self._revision = 0
        self._sent: dict[HostName, int] = {}

    def add(self, *, revision: int, hosts: tuple[HostName, ...]) -> tuple[HostName, ...]:
        """Merge a report.

        Returns:
            The hosts that were not known to have the revision in force.
        """
        if revision < self._revision:
            return ()
        if revision > self._revision:
            self._revision = revision
            self._sent = {}
        added = tuple(host for host in hosts if host not in self._sent)
        for host in added:
            self._sent[host] = 0
        return added

    def take(self, *, size: int) -> RevisionReport:
        """Choose the hosts that the next datagram reports, and count them as sent."""
        limit = max_transmissions(size)
        waiting = (item for item in self._sent.items() if item[1] < limit)
        candidates = nsmallest(MAX_REPORT_BYTES // 2, waiting, key=lambda item: item[1])
        room = MAX_REPORT_BYTES
        chosen = []
        for host, sent in candidates:
            room -= len(host) + 1
            if room < 0:
                break
            self._sent[host] = sent + 1
            chosen.append(host)
        return RevisionReport(revision=self._revision, hosts=tuple(chosen)) if chosen else NO_REPORT
