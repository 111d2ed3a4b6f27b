"""The state and load of one target as known to this host."""

from collections import deque
from collections.abc import Iterator

from msgspec import Struct, field

from azureswitch.core import HostName
from azureswitch.inventory import Target, TargetRole
from azureswitch.ports import LoadReport
from azureswitch.serving._cost import PREFILL_RATE
from azureswitch.serving._digests import TargetLoad
from azureswitch.serving._length import Level

REPORT_MAX_AGE = 3.0
"""Seconds after which a load report expires."""

PEER_MAX_AGE = 2.0
"""Seconds after which the loads in a peer's digest expire."""


class Work(Struct, frozen=True, kw_only=True):
    """The load of one attempt on each of its targets.

    Attributes:
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        level: The length class of its prompt.
    """

    seconds: float
    tokens: int
    level: Level


class PeerLoad(Struct, frozen=True, kw_only=True):
    """The unfinished load of one peer at one target.

    Attributes:
        load: The load in its last digest.
        at: When that digest arrived.
        before: The load in the digest before, or None.
    """

    load: TargetLoad
    at: float
    before: TargetLoad | None = None


class Sent(Struct, frozen=True, kw_only=True):
    """One attempt that was recently sent to a target.

    Attributes:
        at: When it was sent.
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        level: The length class of its prompt.
    """

    at: float
    seconds: float
    tokens: int
    level: Level


class TargetState(Struct, kw_only=True):
    """The state of one target as known to this host.

    Attributes:
        target: Its entry in the inventory.
        nearness: The distance: 0 in this host's place, 1 in its region, 2 elsewhere.
        backlog: By level, engine seconds of the prompts sent by this host that have not produced
            a first token.
        running: Attempts of this host that have not ended.
        tokens: Tokens of memory that attempts of this host may take.
        sent: Attempts that this host sent recently, oldest first.
        report: The last load report.
        report_at: The time whose state the report describes.
        peers: The unfinished load of each peer at this target.
        unusable_until: The time until which it gets no new work, as it was unreachable or full.
        pathless_until: The time until which no path is known that leads there from this host.
        ejected_until: The time until which others are preferred, as attempts of this host failed.
        suspected_until: The time until which others are preferred, as a peer reports it as suspect.
        saved_until: The time until which a peer reserves its memory for a long prompt.
        silent_since: The time since which it has not answered polls, or None.
        stuck_since: The time since which requests have waited there while none runs, or None.
        silences: The last consecutive failures that were silences.
        failures: Consecutive failures.
        ended_start: The start in the load reports from before a restart, or zero; further reports
            of this start or an earlier one are ignored.
        evacuated: Whether its failure domain is evacuated, so that it gets no new work.
    """

    target: Target
    nearness: int
    backlog: list[float] = field(default_factory=lambda: [0.0] * len(Level))
    running: int = 0
    tokens: int = 0
    sent: deque[Sent] = field(default_factory=deque)
    report: LoadReport | None = None
    report_at: float = 0.0
    peers: dict[HostName, PeerLoad] = field(default_factory=dict)
    unusable_until: float = 0.0
    pathless_until: float = 0.0
    ejected_until: float = 0.0
    suspected_until: float = 0.0
    saved_until: float = 0.0
    silent_since: float | None = None
    stuck_since: float | None = None
    silences: int = 0
    failures: int = 0
    ended_start: int = 0
    evacuated: bool = False

    def usable(self, now: float) -> bool:
        """Return whether the target may get new work."""
        return not self.evacuated and self.in_service(now)

    def in_service(self, now: float) -> bool:
        """Return whether the target may get new work unless its failure domain is evacuated."""
        return not self.draining and now >= self.unusable_until

    @property
    def draining(self) -> bool:
        """Whether the target says that it leaves, by its entry or its last report."""
        reported = self.report is not None and self.report.draining
        return reported or self.target.role is not TargetRole.SERVING

    def preferred(self, now: float) -> bool:
        """Return whether the target may get new work and is neither ejected nor suspected."""
        return self.usable(now) and now >= max(self.ejected_until, self.suspected_until)

    def has_report(self, now: float) -> bool:
        """Return whether there is a load report that has not expired."""
        return self.report is not None and now - self.report_at <= REPORT_MAX_AGE

    def waits(self, *, now: float, level: Level) -> float:
        """Estimate for how many engine seconds a new prompt of a level waits here.

        A report covers the attempts of all hosts, but with a delay; attempts that this host sent
        since and the growth of the peers' loads are added to it.  Without a report the estimate is
        the sum of the loads that the hosts account for themselves.
        """
        if self.report is None or not self.has_report(now):
            peers = sum(_peer_seconds(peer, now=now, level=level) for peer in self.peers.values())
            return sum(self.backlog[: level + 1]) + peers
        since = sum(sent.seconds for sent in self._since_report() if sent.level <= level)
        grown = sum(
            _peer_growth(peer, level=level)
            for peer in self.peers.values()
            if peer.at > self.report_at
        )
        return self._reported(now=now, level=level) + since + grown

    def _reported(self, *, now: float, level: Level) -> float:
        assert self.report is not None  # The caller has checked that there is a report.
        urgent = self.report.urgent_tokens / PREFILL_RATE
        rest = self.report.waiting_tokens / PREFILL_RATE - urgent
        if level is Level.SHORT:
            rest = 0.0
        elif level is Level.MIDDLE:
            rest = min(rest, self._middle())
        return max(0.0, urgent + rest - (now - self.report_at))

    def _middle(self) -> float:
        """Return the middle-level backlog of all hosts, by their own accounts."""
        return self.backlog[Level.MIDDLE] + sum(peer.load.middle for peer in self.peers.values())

    def free_tokens(self) -> int:
        """Estimate the tokens of free memory, including those of the prefix cache.

        A report does not include requests that wait for memory; the hosts' own accounts do.
        """
        reported = self.report.memory_used if self.report else 0
        since = sum(sent.tokens for sent in self._since_report())
        sent = self.tokens + sum(peer.load.tokens for peer in self.peers.values())
        return self.target.memory - max(sent, reported + since)

    def _since_report(self) -> Iterator[Sent]:
        return (sent for sent in self.sent if sent.at > self.report_at)

    def prune(self, now: float) -> None:
        """Forget attempts that are old enough for any valid report to cover them."""
        while self.sent and now - self.sent[0].at > REPORT_MAX_AGE:
            self.sent.popleft()

    def waiting_count(self) -> int:
        """Return how many requests wait or run here, by the report and this host's attempts."""
        reported = self.report.running + self.report.waiting if self.report else 0
        return max(reported, self.running)


def _seconds(load: TargetLoad, level: Level) -> float:
    if level is Level.SHORT:
        return load.urgent
    return load.urgent + load.middle if level is Level.MIDDLE else load.total


def _peer_seconds(peer: PeerLoad, *, now: float, level: Level) -> float:
    age = now - peer.at
    return max(0.0, _seconds(peer.load, level) - age) if age <= PEER_MAX_AGE else 0.0


def _peer_growth(peer: PeerLoad, *, level: Level) -> float:
    before = 0.0 if peer.before is None else _seconds(peer.before, level)
    return max(0.0, _seconds(peer.load, level) - before)
