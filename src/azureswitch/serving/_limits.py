"""What targets have said in their answers of how many requests they take from all hosts together.

A host tells the others at once of what it hears.  Of two that say different things the one that
heard its target last is believed, so that what hosts tell travels with its age.
"""

from collections.abc import Iterable, Iterator

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.serving._digests import LimitReport
from azureswitch.serving._starts import Starts

LEAST_RATE = 0.1
"""Requests a second that a target gets at least, which shows when it takes more."""

UNREADABLE_RATE = 0.5
"""Requests a second of a target whose limit cannot be read: it is in need, but not how much."""

MOST_RATE = 10_000.0
"""Requests a second above which a limit makes no difference to a host."""

RISE_SECONDS = 3.0
"""Seconds for which a target whose limit has ended gets more and more requests."""

DOUBLING_SECONDS = 0.5
"""Seconds in which they double meanwhile, up to 64 times the limit."""

ENDED_SECONDS = 30.0
"""Seconds for which hosts remember that a limit has ended, as others may not have heard of it."""

TRANSIT_SECONDS = 0.005
"""Seconds that a message between hosts may take, by which its news is taken for older."""

TOLD_MOST = 8
"""Limits that a regular digest tells of at most, by turns."""

REMEMBERED_MOST = 1_024
"""Targets of which a limit is remembered at most; those heard of first are forgotten first."""


class LimitChange(Struct, frozen=True, kw_only=True):
    """A limit that is known to be another one than before.

    Attributes:
        target: The target.
        rate: Requests a second, or None where it names none any more.
        before: What was known before, or None.
        age: Seconds since the target was heard, by whichever host.
    """

    target: TargetName
    rate: float | None
    before: float | None
    age: float


class _Named(Struct, frozen=True, kw_only=True):
    """What a target said last.

    Attributes:
        started: Its start, or zero where it does not tell.
        rate: Requests a second, or None where it names none any more.
        at: When it was heard.
        since: Since when it has named a limit, or none.
        before: The rate that it named before that ended; zero while it names one.
    """

    started: int
    rate: float | None
    at: float
    since: float
    before: float = 0.0


def safe_rate(rate: float | None) -> float:
    """Return the rate to keep to where a target names one, which may be unreadable."""
    if rate is None:
        return UNREADABLE_RATE
    return min(MOST_RATE, max(LEAST_RATE, rate))


class Limits:
    """The limits that are known of targets; a later start of one has none.

    Args:
        starts: Which start of each target is known.
    """

    def __init__(self, *, starts: Starts) -> None:
        self._starts = starts
        self._named: dict[TargetName, _Named] = {}
        self._news: dict[TargetName, None] = {}
        self._turn = 0

    @property
    def any(self) -> bool:
        """Whether anything is known of any target."""
        return bool(self._named)

    @property
    def targets(self) -> tuple[TargetName, ...]:
        """The targets of which something is known."""
        return tuple(self._named)

    @property
    def news(self) -> bool:
        """Whether this host has heard a target say something that the others are to know."""
        return bool(self._news)

    def name(
        self, target: TargetName, *, started: int, rate: float, now: float
    ) -> LimitChange | None:
        """Note that a target names a limit in an answer to this host."""
        return self._hear(target, started=started, rate=rate, at=now, now=now, own=True)

    def unname(
        self, target: TargetName, *, started: int, sent: float, now: float
    ) -> LimitChange | None:
        """Note that a target names none in the answer to a request.

        Args:
            target: The target.
            started: Its start, or zero.
            sent: When the request was sent; answers overtake each other, so that one to a request
                that was sent before the limit was heard of says nothing.
            now: The time.
        """
        known = self._named.get(target)
        if known is None or known.rate is None or sent <= known.at:
            return None
        return self._hear(target, started=started, rate=None, at=now, now=now, own=True)

    def hear(self, reports: Iterable[LimitReport], *, now: float) -> list[LimitChange]:
        """Take over what a peer tells, where it is newer than what is known; return what is new."""
        changes = []
        for report in reports:
            at = now - report.age - TRANSIT_SECONDS
            change = self._hear(
                report.target, started=report.started, rate=report.rate, at=at, now=now, own=False
            )
            if change is not None:
                changes.append(change)
        return changes

    def rate(self, target: TargetName, *, now: float) -> float | None:
        """Return how many requests a second a target takes from all hosts, or None for any number.

        After the end of a limit it rises, lest all hosts send to the target at that moment.
        """
        known = self._named.get(target)
        if known is None or not self._starts.holds(target, known.started):
            return None
        if known.rate is not None:
            return known.rate
        elapsed = now - known.since
        if elapsed >= RISE_SECONDS:
            return None
        return known.before * float(2.0 ** (max(0.0, elapsed) / DOUBLING_SECONDS))

    def knows(self, target: TargetName) -> bool:
        """Return whether a target has named a limit that has not long ended."""
        return target in self._named

    def since(self, target: TargetName) -> float:
        """Return since when a target has named its limit, of which one is known."""
        return self._named[target].since

    def unheard(self, target: TargetName, *, now: float) -> float:
        """Return for how many seconds nobody is known to have heard a target."""
        known = self._named.get(target)
        return 0.0 if known is None else now - known.at

    def report(self, target: TargetName, *, now: float) -> LimitReport | None:
        """Return what is known of one target, to be told to a peer."""
        known = self._named.get(target)
        if known is None:
            return None
        age = max(0.0, now - known.at)
        return LimitReport(target=target, started=known.started, rate=known.rate, age=age)

    def rates(self, *, now: float) -> dict[TargetName, float]:
        """Return the rates of the targets that name a limit now."""
        named = ((name, known.rate) for name, known in self._named.items())
        return {
            name: rate
            for name, rate in named
            if rate is not None and self.rate(name, now=now) is not None
        }

    def tell(self, *, now: float, regular: bool) -> tuple[LimitReport, ...]:
        """Return what the peers are to hear: all news, and in a regular digest more, by turns."""
        names = dict(self._news)
        self._news.clear()
        if regular:
            names.update(dict.fromkeys(self._next_told()))
        return tuple(filter(None, (self.report(name, now=now) for name in names)))

    def expire(self, now: float) -> None:
        """Forget limits that have ended, and those of starts that are over."""
        for target, known in list(self._named.items()):
            ended = known.rate is None and now - known.since > ENDED_SECONDS
            if ended or not self._starts.holds(target, known.started):
                del self._named[target]

    def _next_told(self) -> Iterator[TargetName]:
        names = list(self._named)
        for _ in range(min(TOLD_MOST, len(names))):
            self._turn += 1
            yield names[self._turn % len(names)]

    def _hear(
        self,
        target: TargetName,
        *,
        started: int,
        rate: float | None,
        at: float,
        now: float,
        own: bool,
    ) -> LimitChange | None:
        """Take what a target said at some time, unless something later is known of its start."""
        known = self._known(target, started=started)
        if not self._starts.holds(target, started) or (known is not None and at <= known.at):
            return None
        self._keep(target, _followed(known, started=started, rate=rate, at=at))
        before = None if known is None else known.rate
        if rate == before:
            return None
        if own:
            self._news[target] = None
        return LimitChange(target=target, rate=rate, before=before, age=max(0.0, now - at))

    def _known(self, target: TargetName, *, started: int) -> _Named | None:
        """Return what is known of a start of a target; one that does not tell is the same one."""
        known = self._named.get(target)
        if known is None or (started and known.started not in (0, started)):
            return None
        return known

    def _keep(self, target: TargetName, named: _Named) -> None:
        self._named.pop(target, None)
        self._named[target] = named
        if len(self._named) > REMEMBERED_MOST:
            del self._named[next(iter(self._named))]


def _followed(known: _Named | None, *, started: int, rate: float | None, at: float) -> _Named:
    """Return what a target says now, after what it said before."""
    same = known is not None and (rate is None) == (known.rate is None)
    since = known.since if known is not None and same else at
    if rate is not None:
        return _Named(started=started, rate=rate, at=at, since=since)
    # A host that had not heard of the limit does not know how high it was.
    before = (known and (known.rate or known.before)) or UNREADABLE_RATE
    return _Named(started=started, rate=None, at=at, since=since, before=before)
