"""Rate limits that targets announce in their answers, each for all hosts together.

A host gossips a change of a limit at once.  Of contradicting reports the one with the most recent
observation wins, so reports carry the age of their observation.
"""

from collections.abc import Iterable, Iterator

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.serving._digests import LimitReport
from azureswitch.serving._starts import Starts

MIN_RATE = 0.1
"""Lowest rate applied, in requests per second, so that answers show when the limit rises."""

UNREADABLE_RATE = 0.5
"""Requests per second to a target whose limit cannot be parsed: it is overloaded to an unknown
degree.
"""

MAX_RATE = 10_000.0
"""Highest rate applied, in requests per second; a higher limit has no effect on a host."""

RAMP_SECONDS = 3.0
"""Seconds of the ramp-up of a target whose limit has ended."""

DOUBLING_SECONDS = 0.5
"""Seconds in which the rate doubles during the ramp-up, up to 64 times the limit."""

ENDED_SECONDS = 30.0
"""Seconds for which hosts remember the end of a limit, as others may not know of it yet."""

TRANSIT_SECONDS = 0.005
"""Assumed transit time in seconds of a message between hosts, added to the age of a report."""

MAX_REPEATED_LIMITS = 8
"""Upper bound of unchanged limits that a regular digest repeats, in rotation."""

MAX_REMEMBERED_TARGETS = 1_024
"""Upper bound of targets with a remembered limit; the least recently updated is evicted first."""


class LimitChange(Struct, frozen=True, kw_only=True):
    """A change of the known limit of a target.

    Attributes:
        target: The target.
        rate: Requests per second, or None where the limit has ended.
        before: The rate known before, or None.
        age: Seconds since a host observed the change.
    """

    target: TargetName
    rate: float | None
    before: float | None
    age: float


class _Observation(Struct, frozen=True, kw_only=True):
    """The last announcement of a target.

    Attributes:
        started: The target's start, or zero where it does not announce one.
        rate: Requests per second, or None where the limit has ended.
        at: When a host observed it.
        since: Since when the target has had a limit, or since when it has had none.
        before: The rate of the limit that ended; zero while there is a limit.
    """

    started: int
    rate: float | None
    at: float
    since: float
    before: float = 0.0


def safe_rate(rate: float | None) -> float:
    """Return an announced rate within bounds; None stands for one that cannot be parsed."""
    if rate is None:
        return UNREADABLE_RATE
    return min(MAX_RATE, max(MIN_RATE, rate))


class Limits:
    """The known limits of targets; a limit ends with the start of the target that announced it.

    Args:
        starts: Which start of each target is known.
    """

    def __init__(self, *, starts: Starts) -> None:
        self._starts = starts
        self._observations: dict[TargetName, _Observation] = {}
        self._unreported: dict[TargetName, None] = {}
        self._turn = 0

    @property
    def any(self) -> bool:
        """Whether a limit, or the recent end of one, is known of any target."""
        return bool(self._observations)

    @property
    def targets(self) -> tuple[TargetName, ...]:
        """The targets with a limit or with one that ended recently."""
        return tuple(self._observations)

    @property
    def has_unreported(self) -> bool:
        """Whether this host has observed a change that it has not gossiped yet."""
        return bool(self._unreported)

    def record_limit(
        self, target: TargetName, *, started: int, rate: float, now: float
    ) -> LimitChange | None:
        """Record a limit that a target announced in an answer to this host."""
        return self._observe(target, started=started, rate=rate, at=now, now=now, own=True)

    def record_no_limit(
        self, target: TargetName, *, started: int, sent: float, now: float
    ) -> LimitChange | None:
        """Record that the answer to a request announced no limit.

        Args:
            target: The target.
            started: Its start, or zero.
            sent: When the request was sent.  Answers may arrive out of order, so the answer to a
                request from before the limit was observed is ignored.
            now: The time.
        """
        known = self._observations.get(target)
        if known is None or known.rate is None or sent <= known.at:
            return None
        return self._observe(target, started=started, rate=None, at=now, now=now, own=True)

    def merge(self, reports: Iterable[LimitReport], *, now: float) -> list[LimitChange]:
        """Merge a peer's reports, where newer than what is known, and return the changes."""
        changes = []
        for report in reports:
            at = now - report.age - TRANSIT_SECONDS
            change = self._observe(
                report.target, started=report.started, rate=report.rate, at=at, now=now, own=False
            )
            if change is not None:
                changes.append(change)
        return changes

    def rate(self, target: TargetName, *, now: float) -> float | None:
        """Return the requests per second that a target takes from all hosts, or None if unlimited.

        After the end of a limit the rate ramps up, so that the hosts do not all send at once.
        """
        known = self._observations.get(target)
        if known is None or not self._starts.holds(target, known.started):
            return None
        if known.rate is not None:
            return known.rate
        elapsed = now - known.since
        if elapsed >= RAMP_SECONDS:
            return None
        return known.before * float(2.0 ** (max(0.0, elapsed) / DOUBLING_SECONDS))

    def knows(self, target: TargetName) -> bool:
        """Return whether a target has a limit or had one until recently."""
        return target in self._observations

    def since(self, target: TargetName) -> float:
        """Return the time since which a known target has had a limit, or has had none."""
        return self._observations[target].since

    def seconds_unobserved(self, target: TargetName, *, now: float) -> float:
        """Return the seconds since the last known observation of a target; zero if unknown."""
        known = self._observations.get(target)
        return 0.0 if known is None else now - known.at

    def report(self, target: TargetName, *, now: float) -> LimitReport | None:
        """Return the report of one target for a peer, or None if nothing is known."""
        known = self._observations.get(target)
        if known is None:
            return None
        age = max(0.0, now - known.at)
        return LimitReport(target=target, started=known.started, rate=known.rate, age=age)

    def rates(self, *, now: float) -> dict[TargetName, float]:
        """Return the rates of the targets with a limit in force."""
        observed = ((name, known.rate) for name, known in self._observations.items())
        return {
            name: rate
            for name, rate in observed
            if rate is not None and self.rate(name, now=now) is not None
        }

    def collect_reports(self, *, now: float, regular: bool) -> tuple[LimitReport, ...]:
        """Return the reports of a digest: all changes, and in a regular one others in rotation."""
        names = dict(self._unreported)
        self._unreported.clear()
        if regular:
            names.update(dict.fromkeys(self._next_repeated()))
        return tuple(filter(None, (self.report(name, now=now) for name in names)))

    def expire(self, now: float) -> None:
        """Forget limits that ended long enough ago, and those of earlier starts of targets."""
        for target, known in list(self._observations.items()):
            ended = known.rate is None and now - known.since > ENDED_SECONDS
            if ended or not self._starts.holds(target, known.started):
                del self._observations[target]

    def _next_repeated(self) -> Iterator[TargetName]:
        names = list(self._observations)
        for _ in range(min(MAX_REPEATED_LIMITS, len(names))):
            self._turn += 1
            yield names[self._turn % len(names)]

    def _observe(
        self,
        target: TargetName,
        *,
        started: int,
        rate: float | None,
        at: float,
        now: float,
        own: bool,
    ) -> LimitChange | None:
        """Record an observation, unless a later one of its start, or another start, is known.

        Only a host's own observations (``own``) add to the changes that it gossips.
        """
        known = self._known(target, started=started)
        if not self._starts.holds(target, started) or (known is not None and at <= known.at):
            return None
        self._store(target, _next_observation(known, started=started, rate=rate, at=at))
        before = None if known is None else known.rate
        if rate == before:
            return None
        if own:
            self._unreported[target] = None
        return LimitChange(target=target, rate=rate, before=before, age=max(0.0, now - at))

    def _known(self, target: TargetName, *, started: int) -> _Observation | None:
        """Return the last observation of a start of a target; an unknown start matches any."""
        known = self._observations.get(target)
        if known is None or (started and known.started not in (0, started)):
            return None
        return known

    def _store(self, target: TargetName, observation: _Observation) -> None:
        self._observations.pop(target, None)
        self._observations[target] = observation
        if len(self._observations) > MAX_REMEMBERED_TARGETS:
            del self._observations[next(iter(self._observations))]


def _next_observation(
    known: _Observation | None, *, started: int, rate: float | None, at: float
) -> _Observation:
    """Return the record of an observation that follows a known one."""
    same = known is not None and (rate is None) == (known.rate is None)
    since = known.since if known is not None and same else at
    if rate is not None:
        return _Observation(started=started, rate=rate, at=at, since=since)
    # A host that did not know of the limit does not know its rate.
    before = (known and (known.rate or known.before)) or UNREADABLE_RATE
    return _Observation(started=started, rate=None, at=at, since=since, before=before)
