"""What is known of one target and of the work that it has."""

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
"""Seconds after which a load report says nothing any more."""

PEER_MAX_AGE = 2.0
"""Seconds after which a peer's digest says nothing any more."""


class Work(Struct, frozen=True, kw_only=True):
    """What one attempt puts on each of its targets.

    Attributes:
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        level: How long its prompt is.
    """

    seconds: float
    tokens: int
    level: Level


class PeerLoad(Struct, frozen=True, kw_only=True):
    """What one peer has outstanding at one target.

    Attributes:
        load: What the peer said.
        at: When it said so.
        before: What it had said before that, or None.
    """

    load: TargetLoad
    at: float
    before: TargetLoad | None = None


class Sent(Struct, frozen=True, kw_only=True):
    """One attempt that was sent to a target lately.

    Attributes:
        at: When it was sent.
        seconds: Its prefill in engine seconds.
        tokens: Tokens of memory that it may take.
        level: How long its prompt is.
    """

    at: float
    seconds: float
    tokens: int
    level: Level


class TargetState(Struct, kw_only=True):
    """One target as this host sees it.

    Attributes:
        target: Its entry in the inventory.
        nearness: 0 in this host's place, 1 in its region, 2 elsewhere.
        backlog: By level, engine seconds of prompts that this host sent and that have no first
            token.
        running: Attempts of this host that have not ended.
        tokens: Tokens of memory that attempts of this host may take.
        sent: What this host sent lately, oldest first.
        report: The last load report.
        report_at: When the report was true.
        peers: What the peers have outstanding here.
        unusable_until: When it may get new work again after a failure.
        ejected_until: Until when others are preferred, since it failed here.
        suspected_until: Until when others are preferred, since it failed at a peer.
        saved_until: Until when a peer saves its memory.
        silent_since: Since when it has answered no poll, or None.
        stuck_since: Since when requests wait there although none runs, or None.
        failures: Failures in a row.
        ended_start: The start in reports that is over, as told by the target itself, or zero.
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
    ejected_until: float = 0.0
    suspected_until: float = 0.0
    saved_until: float = 0.0
    silent_since: float | None = None
    stuck_since: float | None = None
    failures: int = 0
    ended_start: int = 0

    def usable(self, now: float) -> bool:
        """Whether the target may get new work."""
        if self.target.role is not TargetRole.SERVING or now < self.unusable_until:
            return False
        return self.report is None or not self.report.draining

    def preferred(self, now: float) -> bool:
        """Whether the target may get new work and has not failed lately."""
        return self.usable(now) and now >= max(self.ejected_until, self.suspected_until)

    def has_report(self, now: float) -> bool:
        """Whether the load report still says something."""
        return self.report is not None and now - self.report_at <= REPORT_MAX_AGE

    def waits(self, *, now: float, level: Level) -> float:
        """Estimate for how many engine seconds a new prompt of a level waits here.

        A report counts what all hosts sent, but late; what this host sent since, and what the
        peers have more than before, is added to it.  Without a report the hosts' own accounts
        stand for it.
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
        assert self.report is not None  # Asked for only where there is a report.
        urgent = self.report.urgent_tokens / PREFILL_RATE
        rest = self.report.waiting_tokens / PREFILL_RATE - urgent
        if level is Level.SHORT:
            rest = 0.0
        elif level is Level.MIDDLE:
            rest = min(rest, self._middle())
        return max(0.0, urgent + rest - (now - self.report_at))

    def _middle(self) -> float:
        """Return what the hosts say that they sent of the middle level."""
        return self.backlog[Level.MIDDLE] + sum(peer.load.middle for peer in self.peers.values())

    def free_tokens(self) -> int:
        """Estimate the tokens of memory that are free, the prefix cache counted as free.

        A report leaves out requests that still wait for memory, which the hosts' own accounts hold.
        """
        reported = self.report.memory_used if self.report else 0
        since = sum(sent.tokens for sent in self._since_report())
        sent = self.tokens + sum(peer.load.tokens for peer in self.peers.values())
        return self.target.memory - max(sent, reported + since)

    def _since_report(self) -> Iterator[Sent]:
        return (sent for sent in self.sent if sent.at > self.report_at)

    def prune(self, now: float) -> None:
        """Forget sends that the next report is sure to cover."""
        while self.sent and now - self.sent[0].at > REPORT_MAX_AGE:
            self.sent.popleft()

    def waiting_count(self) -> int:
        """Return how many requests wait or run here, by the report and own sends."""
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
